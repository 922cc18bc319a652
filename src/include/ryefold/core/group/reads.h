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
struct ReadView {
  const GroupSpec& group;
  const Health& health;
  const Confirmation& confirmation;
  const Pool& pool;
  /// Empty when there is none.
  const std::string& primary;
  uint64_t term = 0;
  /// When a majority last vouched for the term, and when the call was sent
  /// that the primary answered last.
  TimePoint vouched;
  TimePoint heard;
};

/// One read that waits to be routed.
struct ReadState {
  TimePoint arrived;
  std::chrono::milliseconds max_age{0};
  LogPosition seen;
  /// Where a primary vouched for after the read arrived stood. A database that
  /// covers it serves with age 0.
  std::optional<LogPosition> floor;
};

class Reads {
 public:
  explicit Reads(std::string near) : near_(std::move(near)) {}

  /// The primary of the term in force answered a call, sent at `sent`, with
  /// `last`.
  void PrimaryAt(TimePoint now, TimePoint sent, const LogPosition& last);
  /// A replica was seen at `last`.
  void ReplicaAt(TimePoint now, const std::string& database,
                 const LogPosition& last);

  /// Whether the read has to wait for a round that vouches for the primary:
  /// it could have been replaced without knowing it, and then what is known of
  /// its log is older than what the read accepts.
  bool NeedsRound(const ReadView& view, ReadState* read) const;

  /// Routes the read by what is known now.
  routing::Route Choose(TimePoint now, const ReadView& view,
                        const ReadState& read, TimePoint deadline) const;

  /// Whether a round has to be sent, given when the newest read that needs one
  /// arrived. Counts as sent when true: one round serves all that wait.
  bool StartRound(TimePoint now, const ReadView& view, TimePoint wanted);
  /// When the round under way is given up; the far future without one.
  TimePoint next_deadline(TimePoint now) const;

  /// Time since the replica was last known level with the primary.
  std::chrono::milliseconds lag(TimePoint now, const ReadView& view,
                                const std::string& database) const;

 private:
  struct Mark {
    LogPosition position;
    TimePoint first_seen;
  };
  std::optional<TimePoint> CatchesUpAt(const std::string& database,
                                       const LogPosition& wanted) const;

  std::string near_;
  routing::AgeTracker ages_;
  std::deque<Mark> marks_;
  /// Replication delay of each database, smoothed.
  std::map<std::string, std::chrono::microseconds> delays_;
  TimePoint round_begun_;
  TimePoint round_until_;
};

}  // namespace ryefold::core::group
