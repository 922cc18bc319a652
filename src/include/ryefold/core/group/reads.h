#pragma once

// Builds the router's candidates for a read, and decides when reads need a
// heartbeat round.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/group/confirmation.h"
#include "ryefold/core/group/health.h"
#include "ryefold/core/group/keeper.h"
#include "ryefold/core/group/pool.h"
#include "ryefold/core/routing/router.h"

namespace ryefold::core::group {

/// State of the group that a read depends on.
struct ReadContext {
  const GroupSpec& group;
  const HealthMonitor& health;
  const ConfirmationTracker& confirmation;
  const ConnectionPool& pool;
  /// Empty when there is none.
  const std::string& primary;
  uint64_t term = 0;
  /// When a majority last confirmed the term, and when the latest call was sent
  /// that the primary answered.
  TimePoint term_confirmed_at;
  TimePoint primary_contact_at;
};

/// A read that waits to be routed.
struct ReadState {
  TimePoint arrived;
  std::chrono::milliseconds max_age{0};
  LogPosition seen;
  /// Position of the primary when a majority confirmed its term after the read
  /// arrived (compare Raft's read index). A database that has reached it serves
  /// the read with age 0.
  std::optional<LogPosition> fresh_position;
};

class ReadPlanner {
 public:
  explicit ReadPlanner(std::string preferred_domain)
      : preferred_domain_(std::move(preferred_domain)) {}

  /// Records that the primary of the current term answered a call sent at
  /// `sent` with its last position `last`.
  void RecordPrimaryPosition(TimePoint now, TimePoint sent,
                             const LogPosition& last);
  /// Records that a replica reported its last position `last`.
  void RecordReplicaPosition(TimePoint now, const std::string& database,
                             const LogPosition& last);

  /// Returns whether the read has to wait for a heartbeat round. Without one,
  /// the primary may have been replaced unnoticed, and its known log would be
  /// older than the read accepts.
  bool NeedsHeartbeatRound(const ReadContext& context, ReadState* read) const;

  /// Routes the read by the current state.
  routing::Route ChooseRoute(TimePoint now, const ReadContext& context,
                             const ReadState& read, TimePoint deadline) const;

  /// Returns whether a heartbeat round is due for reads of which the newest
  /// arrived at `newest_read`, and if so records it as sent. One round serves
  /// all waiting reads.
  bool StartRoundIfDue(TimePoint now, const ReadContext& context,
                       TimePoint newest_read);
  /// Returns when the current round times out, or the maximum if there is none.
  TimePoint next_deadline(TimePoint now) const;

  /// Returns the time since the replica was last known to have caught up with
  /// the primary, at most one day.
  std::chrono::milliseconds lag(TimePoint now, const ReadContext& context,
                                const std::string& database) const;

 private:
  struct PrimarySample {
    LogPosition position;
    TimePoint first_seen;
  };
  std::optional<TimePoint> EstimateCatchUp(const std::string& database,
                                           const LogPosition& wanted) const;

  std::string preferred_domain_;
  routing::AgeTracker ages_;
  std::deque<PrimarySample> samples_;
  /// Smoothed replication delay of each database.
  std::map<std::string, std::chrono::microseconds> replication_delays_;
  TimePoint round_started_;
  TimePoint round_deadline_;
};

}  // namespace ryefold::core::group
