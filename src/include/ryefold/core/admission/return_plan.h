#pragma once

// Retry delays for refused callers.

#include <chrono>
#include <optional>
#include <random>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// A retry delay, and whether it had to be shortened to be of use.
struct RetryDelay {
  std::chrono::milliseconds delay{0};
  bool moved_up = false;
};

/// Returns the latest useful time of a retry: half of the time left until
/// `patience`, so that a caller that is refused twice can still be served
/// within it. Once `patience` has passed, half of the whole time from
/// `arrived` to it: the caller may wait for longer than is known. Returns
/// `TimePoint::max()` if `patience` is not known (epoch).
TimePoint LatestRetry(TimePoint now, TimePoint arrived, TimePoint patience);

/// Gives each refused caller its own retry time, so that callers return at no
/// more than a fraction of the drain rate. With one common time they would
/// return together, be refused together, and keep the group saturated long
/// after the cause has ended.
class RetryAfterPlanner {
 public:
  explicit RetryAfterPlanner(uint64_t seed) : random_(seed) {}

  /// Returns the delay after which the caller should retry. `rate` is the
  /// number of requests per second served for the caller's class, `ahead` the
  /// number of tickets ahead of it. `last_retry_at` holds the latest retry time
  /// given to a caller of this class and is advanced.
  std::chrono::milliseconds NextRetryAfter(TimePoint now,
                                           std::optional<double> rate,
                                           double ahead,
                                           TimePoint* last_retry_at);

  /// Same for a caller that has no use for a retry after `latest`. If the
  /// planned time is later, the retry takes no place in the plan and is spread
  /// over the second half of the time until `latest`.
  RetryDelay NextRetryAfter(TimePoint now, std::optional<double> rate,
                            double ahead, TimePoint latest,
                            TimePoint* last_retry_at);

  /// Returns `delay` if it ends by `latest`; otherwise a random one in the
  /// second half of the time until `latest`.
  RetryDelay Within(TimePoint now, std::chrono::milliseconds delay,
                    TimePoint latest);

 private:
  std::chrono::milliseconds RandomBetween(std::chrono::milliseconds low,
                                          std::chrono::milliseconds high);

  std::mt19937_64 random_;
};

}  // namespace ryefold::core::admission
