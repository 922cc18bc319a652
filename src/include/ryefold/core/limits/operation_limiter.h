#pragma once

// Decides whether an operation may start under the rate limit of its workspace,
// which applies to all instances together.

#include <chrono>
#include <cstdint>

#include "ryefold/core/limits/urgency.h"
#include "ryefold/core/types.h"
#include "ryefold/core/workspace/workspaces.h"

namespace ryefold::core::limits {

/// Identifies an operation at the instance that its caller is connected to.
using OperationId = uint64_t;

enum class Verdict : uint8_t {
  kAllowed,
  kRefused,
  kPending,  ///< `LimitListener` receives the decision.
};

struct LimitAnswer {
  Verdict verdict = Verdict::kAllowed;
  /// kRefused: time after which the caller may retry.
  std::chrono::milliseconds retry_after{0};
  /// kRefused: no owner answered, so it is unknown whether the limit is
  /// exceeded.
  bool unknown = false;
};

/// Receives the decisions on pending operations.
class LimitListener {
 public:
  virtual ~LimitListener() = default;
  virtual void OperationAllowed(TimePoint now, OperationId operation) = 0;
  virtual void OperationRefused(TimePoint now, OperationId operation,
                                const LimitAnswer& answer) = 0;
};

/// Admits operations. `RequestAdmission` never calls the listener before it
/// returns.
class OperationLimiter {
 public:
  virtual ~OperationLimiter() = default;
  virtual LimitAnswer RequestAdmission(TimePoint now,
                                       const workspace::WorkspaceRef& workspace,
                                       OperationId operation,
                                       const Urgency& urgency) = 0;
  /// Withdraws a pending operation.
  virtual void Cancel(const std::string& workspace, OperationId operation) = 0;
};

}  // namespace ryefold::core::limits
