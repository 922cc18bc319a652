#pragma once

// Measured rates: how fast a busy group finishes statements and how fast
// tickets arrive.

#include <cstdint>
#include <optional>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// Statements a group finishes a second while there is work waiting. Time
/// without waiting work does not count: then the rate would only tell how
/// little was asked for, and a burst after a quiet hour would be refused.
class DrainRate {
 public:
  /// Time has passed until `now`, with work waiting or not.
  void Advance(TimePoint now, bool busy);
  /// One statement finished while work was waiting.
  void Finished();
  /// Statements a second; nothing as long as too little was seen.
  std::optional<double> per_second() const;

 private:
  TimePoint at_;
  bool started_ = false;
  uint64_t total_ = 0;
  double finished_ = 0;
  double busy_seconds_ = 0;
};

/// Statements a group finishes a second as a rule, from the pauses between
/// those that finish while work is waiting. A time in which nothing finishes
/// counts for little, so that an outage does not pass for slowness.
class UsualRate {
 public:
  /// One statement finished; `busy` says whether work was waiting.
  void Finished(TimePoint now, bool busy);
  std::optional<double> per_second() const;

 private:
  std::optional<TimePoint> last_;
  uint64_t pauses_ = 0;
  double mean_seconds_ = 0;
};

/// Arrivals a second.
class ArrivalRate {
 public:
  void Add(TimePoint now);
  double per_second(TimePoint now) const;

 private:
  double Faded(TimePoint now) const;

  TimePoint at_;
  double count_ = 0;
};

}  // namespace ryefold::core::admission
