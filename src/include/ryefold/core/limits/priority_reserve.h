#pragma once

// Keeps tokens of a part for more important operations while demand exceeds the
// part's rate.

#include <array>
#include <cstdint>

#include "ryefold/core/limits/urgency.h"
#include "ryefold/core/types.h"

namespace ryefold::core::limits {

/// Estimates the arrival rate of each priority at one part. The estimates decay
/// exponentially.
class PriorityReserve {
 public:
  /// Records that `count` operations of `priority` were requested at `now`.
  void RecordArrivals(TimePoint now, uint32_t priority, uint32_t count);

  /// Operations per second of all priorities together.
  double TotalRate(TimePoint now) const;
  /// Operations per second of the priorities that are served before `priority`.
  double RateBefore(TimePoint now, uint32_t priority) const;
  /// Returns how many tokens an operation of `priority` must leave in a bucket
  /// with this rate (tokens per second) and capacity (tokens). 0 while total
  /// demand does not exceed the rate by more than its usual variation.
  double Reserve(TimePoint now, uint32_t priority, double rate,
                 double capacity) const;

 private:
  double DecayFactor(TimePoint now) const;

  /// Decayed number of arrivals of each priority, as of `decayed_at_`.
  std::array<double, kPriorityLevels> arrivals_{};
  TimePoint decayed_at_;
};

}  // namespace ryefold::core::limits
