// Which replica to promote, by what is known of each of them.

#include <algorithm>

#include "ryefold/core/failover/coordinator.h"

namespace ryefold::core::failover {

using session::DatabaseView;
using session::GroupView;
using std::chrono::milliseconds;

/// Records changes of the primary or the term, each of which shows that a
/// promotion took place. A list of databases can name the new primary before
/// any of them reports its term.
void Coordinator::UpdateLeadership(TimePoint now, const GroupView& group,
                                   GroupState* state) {
  uint64_t newest = group.term;
  for (const DatabaseView& database : group.databases) {
    newest = std::max({newest, database.status.term,
                       database.status.received.term, database.applied.term});
  }
  const bool new_term = newest > state->term;
  const bool new_primary =
      !group.primary.empty() && group.primary != state->primary;
  if (new_term || new_primary) state->leadership_since = now;
  if (new_term) {
    state->term = newest;
    state->term_unknown = false;
  } else if (new_primary) {
    state->term_unknown = true;
  }
  if (new_primary) state->primary = group.primary;
  const DatabaseView* primary = FindPrimary(group);
  if (state->term_unknown && primary != nullptr && primary->status.primary &&
      primary->status.term == state->term &&
      primary->status_requested_at > state->leadership_since) {
    state->term_unknown = false;
  }
}

bool Coordinator::IsOfPresentTerm(const GroupState& state, uint64_t term) {
  return term >= state.term && !state.term_unknown;
}

/// Returns a lower bound of the position that the database has received under
/// the present primary. Returns nullopt if all that is known of it may predate
/// the last promotion, which discards the entries that the promoted database
/// lacks.
std::optional<LogPosition> Coordinator::ReceivedPosition(
    const GroupState& state, const DatabaseView& database) {
  const session::StatusReport& status = database.status;
  const bool current_status =
      database.status_requested_at > state.leadership_since ||
      IsOfPresentTerm(state, std::max(status.term, status.received.term));
  const bool current_applied = IsOfPresentTerm(state, database.applied.term);
  if (!current_status && !current_applied) return std::nullopt;
  LogPosition position;
  if (current_status) position = status.received;
  if (current_applied) position = std::max(position, database.applied);
  return position;
}

/// Returns whether the database's position was requested after the present
/// primary failed, so that it includes all commits that were acknowledged.
bool Coordinator::IsReadSinceFailure(const GroupState& state,
                                     const DatabaseView& database) {
  return ReceivedPosition(state, database).has_value() &&
         database.status_requested_at >= state.suspected_since;
}

/// Returns whether the database no longer receives entries of the present
/// primary, so that its position is final.
bool Coordinator::IsPaused(const GroupState& state,
                           const DatabaseView& database) {
  return database.status.paused_term > state.term;
}

/// Returns whether the database is a replica that answers and stays.
bool Coordinator::IsEligible(TimePoint now, const GroupView& group,
                             const DatabaseView& database) const {
  return database.id != group.primary && !database.draining &&
         database.refusals == 0 && database.responsive &&
         now - database.last_contact <= timing_.max_status_age;
}

/// Returns the most advanced replica among those that answer, since only what
/// it has received survives the promotion; nullptr if there is none. Entries of
/// the present term are not discarded, so an old status or an applied position
/// of that term counts too: a replica that is too busy for status calls may be
/// the most advanced one.
const DatabaseView* Coordinator::FindMostAdvanced(
    TimePoint now, const GroupView& group, const GroupState& state) const {
  const DatabaseView* best = nullptr;
  std::optional<LogPosition> best_position;
  for (const DatabaseView& database : group.databases) {
    if (!IsEligible(now, group, database)) continue;
    const auto position = ReceivedPosition(state, database);
    if (!position.has_value() || position <= best_position) continue;
    best = &database;
    best_position = position;
  }
  return best;
}

/// Returns the database to promote; nullptr if there is none. While the primary
/// runs, the database for which the others are paused catches up with them, so
/// it is kept although another one appears more advanced for a moment.
const DatabaseView* Coordinator::ChooseCandidate(
    TimePoint now, const GroupView& group, const GroupState& state) const {
  const DatabaseView* primary = FindPrimary(group);
  if (primary != nullptr && primary->responsive && primary->refusals == 0 &&
      now < state.pause_deadline) {
    for (const DatabaseView& database : group.databases) {
      const bool kept = database.id == state.candidate &&
                        IsEligible(now, group, database) &&
                        ReceivedPosition(state, database).has_value();
      if (kept) return &database;
    }
  }
  return FindMostAdvanced(now, group, state);
}

/// Returns the replicas beside the candidate that answer and still receive. A
/// commit that only one of them receives is acknowledged, and the promotion
/// would discard it.
std::vector<const DatabaseView*> Coordinator::UnpausedReplicas(
    TimePoint now, const GroupView& group, const GroupState& state,
    const DatabaseView& candidate) const {
  std::vector<const DatabaseView*> unpaused;
  for (const DatabaseView& database : group.databases) {
    if (database.id == group.primary || database.id == candidate.id) continue;
    const bool answers = database.refusals == 0 &&
                         now - database.last_contact <= timing_.max_status_age;
    if (answers && !IsPaused(state, database)) unpaused.push_back(&database);
  }
  return unpaused;
}

/// Returns whether a replica answers other calls but has no status that is both
/// recent and from after the primary's failure.
bool Coordinator::HasStaleReplicaStatus(TimePoint now, const GroupView& group,
                                        const GroupState& state) const {
  return std::any_of(
      group.databases.begin(), group.databases.end(),
      [this, now, &group, &state](const DatabaseView& database) {
        const bool counts =
            database.id != group.primary && !database.draining &&
            database.refusals == 0 &&
            now - database.last_contact <= timing_.max_status_age;
        return counts &&
               (!IsReadSinceFailure(state, database) ||
                now - database.status_requested_at > timing_.max_status_age);
      });
}

/// Returns whether another replica, which cannot be promoted at present, has
/// received entries that the candidate lacks. These may include acknowledged
/// commits, which the promotion would discard, so it waits until that replica
/// answers or is unlisted. A draining replica is never promoted. It counts only
/// while the primary is alive: then only writes wait for the promotion.
bool Coordinator::WouldDiscardCommits(const GroupView& group,
                                      const GroupState& state,
                                      const DatabaseView& candidate) {
  const DatabaseView* primary = FindPrimary(group);
  const bool primary_alive = primary != nullptr && primary->responsive &&
                             primary->refusals == 0 && !primary->draining;
  const auto candidate_position = ReceivedPosition(state, candidate);
  return std::any_of(
      group.databases.begin(), group.databases.end(),
      [primary_alive, &state, &candidate_position](const DatabaseView& each) {
        const bool counts =
            each.id != state.primary && (primary_alive || !each.draining);
        return counts && ReceivedPosition(state, each) > candidate_position;
      });
}

/// Returns whether the candidate has not heard of the present term while
/// nothing current is known of another replica. Commits of the term are
/// acknowledged once one replica has received them, which is then the other.
bool Coordinator::MayLackPresentTerm(const GroupView& group,
                                     const GroupState& state,
                                     const DatabaseView& candidate) {
  const uint64_t known_term =
      std::max({candidate.status.term, candidate.status.received.term,
                candidate.applied.term});
  if (IsOfPresentTerm(state, known_term)) return false;
  return std::any_of(group.databases.begin(), group.databases.end(),
                     [&group, &state](const DatabaseView& database) {
                       return database.id != group.primary &&
                              !database.draining &&
                              !ReceivedPosition(state, database).has_value();
                     });
}

/// Returns whether the candidate may lack acknowledged commits that only an
/// unreachable replica has received. That is excluded if every unreachable
/// replica is paused, or if the primary itself shows that it has nothing more:
/// the primary holds every commit that was acknowledged under it. An
/// unreachable replica that has ended is removed from the list of databases
/// soon, so this delays the promotion by a few seconds at most.
bool Coordinator::MayLackUnreadCommits(TimePoint now, const GroupView& group,
                                       const GroupState& state,
                                       const DatabaseView& candidate) const {
  const bool all_known =
      std::all_of(group.databases.begin(), group.databases.end(),
                  [this, now, &state](const DatabaseView& database) {
                    const bool answers =
                        database.responsive && database.refusals == 0 &&
                        now - database.last_contact <= timing_.max_status_age;
                    return database.id == state.primary || database.draining ||
                           answers || IsPaused(state, database);
                  });
  if (all_known) return false;
  const DatabaseView* primary = FindPrimary(group);
  if (primary == nullptr || !IsReadSinceFailure(state, *primary)) return true;
  return ReceivedPosition(state, candidate) < ReceivedPosition(state, *primary);
}

/// Formats received position, status age and responsiveness of each database
/// for the log.
std::string Coordinator::DescribeDatabases(TimePoint now,
                                           const GroupView& group,
                                           const GroupState& state) {
  std::string text;
  for (const DatabaseView& database : group.databases) {
    const auto age = std::chrono::duration_cast<milliseconds>(
        now - database.status_requested_at);
    const auto position = ReceivedPosition(state, database);
    if (!text.empty()) text.append(",");
    text.append(database.id).append(":");
    if (position.has_value()) {
      text.append(std::to_string(position->term)).append(".");
      text.append(std::to_string(position->index));
    } else {
      text.append("outdated");
    }
    text.append("@").append(std::to_string(age.count())).append("ms");
    if (!database.responsive) text.append("(silent)");
    if (database.status.paused_term > 0) text.append("(paused)");
  }
  return text;
}

}  // namespace ryefold::core::failover
