#pragma once

// What a session has committed, by database group, and what its reads need in
// order to see it.
//
// Invariant: a session's own acknowledged commits hold for every group that it
// wrote to, for as long as the session lives, whatever its routes do. All that
// it needs is kept here: the proxy records each commit when it acknowledges it
// (`Proxy::Impl::FinishRequest`), and each read must meet `RequirementIn`
// (`Proxy::Impl::RequiredMark`). A keeper gets the requirement with each
// statement that is forwarded to it.

#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// What a read must see of the commits of its own session.
struct OwnCommitRequirement {
  /// Position of the session's last commit in the group; zero if none is
  /// recorded.
  LogPosition position;
  /// Time at which that commit was acknowledged.
  TimePoint acknowledged_at;
  /// The read must see every commit that anyone had acknowledged by this time;
  /// epoch if the session's commits require nothing beyond `position`. It
  /// stands for commits whose position is not recorded.
  TimePoint all_until;
};

/// The last acknowledged commit of one session in each of at most `kMaxGroups`
/// groups. Beyond that the oldest commit is forgotten: its position is replaced
/// by the time of its acknowledgement, which is stricter in each group without
/// a recorded position and needs no space of its own.
class OwnCommits {
 public:
  /// Maximum number of groups with a recorded position.
  static constexpr size_t kMaxGroups = 8;

  /// Records a commit that is acknowledged at `now`, with its position in the
  /// group's log if its reply had one. Returns the group of which a time is
  /// kept instead of a position from now on, or "" if there is none: that of
  /// the oldest commit at the bound, or `group` if its position cannot be used.
  std::string Record(TimePoint now, const std::string& group,
                     const std::optional<LogPosition>& position);

  /// Replaces the position in `group` by its time: another log has begun under
  /// the group's name.
  void ForgetPosition(const std::string& group);

  /// Returns what a read in `group` must see.
  OwnCommitRequirement RequirementIn(const std::string& group) const;
  /// Returns the number of groups with a recorded position.
  size_t size() const { return commits_.size(); }

 private:
  struct Commit {
    std::string group;
    LogPosition position;
    TimePoint acknowledged_at;
  };

  void ReplaceByTime(std::vector<Commit>::iterator commit);

  std::vector<Commit> commits_;
  /// Latest acknowledgement of a commit that has no entry in `commits_`.
  TimePoint forgotten_until_;
};

}  // namespace ryefold::core::session
