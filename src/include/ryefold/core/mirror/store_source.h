#pragma once

// Interface through which the mirror reads the store.

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "ryefold/core/answer_limits.h"
#include "ryefold/core/mirror/entry.h"
#include "ryefold/core/types.h"

namespace ryefold::core::mirror {

class StoreSource {
 public:
  using Done = std::function<void(const ReadResult&)>;

  virtual ~StoreSource() = default;
  /// Reads one page of all entries, beginning after the key `after`.
  virtual void List(const std::string& after, const AnswerLimits& limits,
                    const Done& done) = 0;
  /// Calls `done` when something has changed since revision `after`, after
  /// `wait` at the latest.
  virtual void Watch(uint64_t after, std::chrono::milliseconds wait,
                     const AnswerLimits& limits, const Done& done) = 0;
};

}  // namespace ryefold::core::mirror
