#pragma once

// Retry delays for refused callers.

#include <chrono>
#include <optional>
#include <random>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

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

 private:
  std::chrono::milliseconds RandomBetween(std::chrono::milliseconds low,
                                          std::chrono::milliseconds high);

  std::mt19937_64 random_;
};

}  // namespace ryefold::core::admission
