#pragma once

// Plans when the callers that a part refuses retry.

#include <chrono>
#include <cstdint>

#include "ryefold/core/types.h"

namespace ryefold::core::limits {

/// Retry delays of callers that are refused together: the first, and the
/// interval from each to the next.
struct RetryTimes {
  std::chrono::milliseconds first{0};
  std::chrono::microseconds interval{0};
  /// The times are spread evenly, because the plan has no place left.
  bool is_spread = false;
};

/// The plan of one part and priority. Retries arrive at half of the rate that
/// the part has for them; the rest is left to new operations.
class RetrySchedule {
 public:
  /// Plans `count` retries within `longest`. `rate` is the number of operations
  /// per second that the part can grant to this priority. If the plan has no
  /// place left, retries are spread evenly over the second half of `longest`.
  RetryTimes Plan(TimePoint now, uint32_t count, double rate,
                  std::chrono::milliseconds longest);

 private:
  /// First free place of the plan.
  TimePoint next_at_;
  /// Number of groups of callers that were spread.
  uint32_t spread_count_ = 0;
};

}  // namespace ryefold::core::limits
