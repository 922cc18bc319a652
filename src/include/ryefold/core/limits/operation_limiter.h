#pragma once

// Whether an operation may start under the rate limit of its workspace, which
// holds over all instances together.

#include <chrono>
#include <cstdint>

#include "ryefold/core/types.h"
#include "ryefold/core/workspace/workspaces.h"

namespace ryefold::core::limits {

/// Names an operation at the instance that its caller is connected to.
using OperationId = uint64_t;

enum class Verdict : uint8_t {
  kAllowed,
  kRefused,
  kPending,  ///< `LimitListener` is told.
};

struct LimitAnswer {
  Verdict verdict = Verdict::kAllowed;
  /// kRefused: when to come back.
  std::chrono::milliseconds retry_after{0};
  /// kRefused: nobody could say whether the workspace is below its limit.
  bool unknown = false;
};

/// Told what became of operations that were pending.
class LimitListener {
 public:
  virtual ~LimitListener() = default;
  virtual void OperationAllowed(TimePoint now, OperationId operation) = 0;
  virtual void OperationRefused(TimePoint now, OperationId operation,
                                const LimitAnswer& answer) = 0;
};

/// Admits operations. Never calls its listener from within `Ask`.
class OperationLimiter {
 public:
  virtual ~OperationLimiter() = default;
  virtual LimitAnswer Ask(TimePoint now,
                          const workspace::WorkspaceRef& workspace,
                          OperationId operation) = 0;
  /// The operation does not wait any more.
  virtual void Cancel(const std::string& workspace, OperationId operation) = 0;
};

}  // namespace ryefold::core::limits
