#pragma once

// Choice of the database for a read. Uses no sockets or clocks.

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// Upper bound of a replica's replication lag, estimated from its answers.
class LagEstimate {
 public:
  /// An answer showed that the replica lags by at most `lag`, including
  /// network delay.
  void RecordLag(std::chrono::milliseconds lag);
  /// The replica rejected a position that a primary had `age` ago.
  void RecordRejection(TimePoint now, std::chrono::milliseconds age);
  /// The replica served a read at a position that a primary had `age` ago.
  void RecordServed(std::chrono::milliseconds age);
  /// The replica reported at `as_of` that it lags by `lag`. A later answer that
  /// shows a shorter lag replaces the report.
  void RecordReport(TimePoint as_of, std::chrono::milliseconds lag);
  /// Returns whether the replica should be tried for a position of this age: it
  /// is expected to hold the position, or a trial is due. False for a short
  /// time after a rejection, and while a report younger than a second shows a
  /// longer lag.
  bool ShouldTry(TimePoint now, std::chrono::milliseconds age) const;
  /// Returns whether a report younger than a second shows a lag above `age`.
  bool IsReportedBehind(TimePoint now, std::chrono::milliseconds age) const;

  std::chrono::milliseconds bound() const { return bound_; }

 private:
  std::chrono::milliseconds bound_{100};
  TimePoint backoff_until_;
  TimePoint next_trial_;
  /// Reported lag; meaningful until one second after `reported_at_`.
  std::chrono::milliseconds reported_lag_{0};
  TimePoint reported_at_;
};

/// Moving average of a database's response time as seen from this instance,
/// including time queued at the database.
class Latency {
 public:
  void Add(std::chrono::microseconds sample);
  std::chrono::microseconds mean() const { return mean_; }

 private:
  std::chrono::microseconds mean_{20000};
};

/// One database that may serve a read.
struct ReadCandidate {
  size_t index = 0;
  bool same_domain = false;
  bool primary = false;
  /// Its log is known or expected to hold the requested position.
  bool expected_to_hold = false;
  /// Timed out or rejected a connection recently.
  bool suspected = false;
  /// Statements of this instance in flight at the database.
  uint32_t in_flight = 0;
  std::chrono::microseconds latency{0};
};

/// Returns the indexes of `candidates` in the order in which to try them.
/// Databases expected to hold the position come first, ordered by the estimated
/// response time of one more statement. The primary has an extra cost, since
/// only it can run writes; other failure domains too, since cross-domain
/// traffic is charged.
std::vector<size_t> OrderForRead(std::vector<ReadCandidate> candidates);

}  // namespace ryefold::core::session
