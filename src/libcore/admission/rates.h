#pragma once

// Measured rates: statements finished by a busy group, and ticket arrivals.

#include <cstdint>
#include <optional>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// Statements that a group finishes per second while tickets are queued. Time
/// with an empty queue does not count: it would measure the demand instead of
/// the capacity, and a burst after an idle hour would be refused.
class DrainRate {
 public:
  /// Advances the measurement to `now`. `busy` is true if tickets were queued
  /// in the meantime.
  void Advance(TimePoint now, bool busy);
  /// Records a statement that finished while tickets were queued.
  void RecordFinished();
  /// Returns statements per second; nullopt if there are too few measurements.
  std::optional<double> per_second() const;

 private:
  TimePoint updated_at_;
  bool started_ = false;
  uint64_t total_finished_ = 0;
  double finished_ = 0;
  double busy_seconds_ = 0;
};

/// Typical number of statements that a group finishes per second, from the
/// intervals between statements that finish while tickets are queued. A period
/// in which nothing finishes has little weight, so that an outage does not
/// appear as low capacity.
class TypicalRate {
 public:
  /// Records a finished statement; `busy` is true if tickets were queued.
  void RecordFinished(TimePoint now, bool busy);
  std::optional<double> per_second() const;

 private:
  std::optional<TimePoint> last_finished_at_;
  uint64_t intervals_ = 0;
  double mean_interval_ = 0;
};

/// Arrivals per second, with exponential decay.
class ArrivalRate {
 public:
  /// Adds an arrival that counts as `amount`.
  void Add(TimePoint now, double amount = 1);
  double per_second(TimePoint now) const;

 private:
  double Decayed(TimePoint now) const;

  TimePoint updated_at_;
  double count_ = 0;
};

}  // namespace ryefold::core::admission
