#pragma once

// The store as the mirror reads it.

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
  /// One page of all there is, from behind the key `after` on.
  virtual void List(const std::string& after, const AnswerLimits& limits,
                    const Done& done) = 0;
  /// Answers when something has changed since the revision `after`, at the
  /// latest after `wait`.
  virtual void Watch(uint64_t after, std::chrono::milliseconds wait,
                     const AnswerLimits& limits, const Done& done) = 0;
};

}  // namespace ryefold::core::mirror
