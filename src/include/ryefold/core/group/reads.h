#pragma once

// Turns what is known of the databases into the router's candidates, and keeps
// the rounds that vouch for the primary's term.

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

/// What a read needs to know of the group's present state.
struct ReadContext {
  const GroupSpec& group;
  const HealthMonitor& health;
  const ConfirmationTracker& confirmation;
  const ConnectionPool& pool;
  /// Empty when there is none.
  const std::string& primary;
  uint64_t term = 0;
  /// When a majority last vouched for the term, and when the call was sent
  /// that the primary answered last.
  TimePoint term_confirmed_at;
  TimePoint primary_contact_at;
};

/// One read that waits to be routed.
struct ReadState {
  TimePoint arrived;
  std::chrono::milliseconds max_age{0};
  LogPosition seen;
  /// Where a primary vouched for after the read arrived stood. A database that
  /// covers it serves with age 0.
  std::optional<LogPosition> fresh_position;
};

class ReadPlanner {
 public:
  explicit ReadPlanner(std::string preferred_domain)
      : preferred_domain_(std::move(preferred_domain)) {}

  /// The primary of the term in force answered a call, sent at `sent`, with
  /// `last`.
  void RecordPrimaryPosition(TimePoint now, TimePoint sent,
                             const LogPosition& last);
  /// A replica was seen at `last`.
  void RecordReplicaPosition(TimePoint now, const std::string& database,
                             const LogPosition& last);

  /// Whether the read has to wait for a round that vouches for the primary:
  /// it could have been replaced without knowing it, and then what is known of
  /// its log is older than what the read accepts.
  bool NeedsHeartbeatRound(const ReadContext& context, ReadState* read) const;

  /// Routes the read by what is known now.
  routing::Route ChooseRoute(TimePoint now, const ReadContext& context,
                             const ReadState& read, TimePoint deadline) const;

  /// Whether a round has to be sent, given when the newest read that needs one
  /// arrived. Counts as sent when true: one round serves all that wait.
  bool StartRoundIfDue(TimePoint now, const ReadContext& context,
                       TimePoint newest_read);
  /// When the round under way is given up; the far future without one.
  TimePoint next_deadline(TimePoint now) const;

  /// Time since the replica was last known level with the primary, a day at
  /// most.
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
  /// Replication delay of each database, smoothed.
  std::map<std::string, std::chrono::microseconds> replication_delays_;
  TimePoint round_started_;
  TimePoint round_deadline_;
};

}  // namespace ryefold::core::group
