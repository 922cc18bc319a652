#include "ryefold/core/failover/coordinator.h"

#include <algorithm>

namespace ryefold::core::failover {
namespace {

using session::DatabaseView;
using session::GroupView;
using std::chrono::milliseconds;

const DatabaseView* FindPrimary(const GroupView& group) {
  for (const DatabaseView& database : group.databases) {
    if (database.id == group.primary) return &database;
  }
  return nullptr;
}

/// Returns a lower bound of the position that the database has received.
LogPosition ReceivedPosition(const DatabaseView& database) {
  return std::max(database.status.received, database.applied);
}

/// Formats received position, status age and responsiveness of each database
/// for the log.
std::string DescribeDatabases(TimePoint now, const GroupView& group) {
  std::string text;
  for (const DatabaseView& database : group.databases) {
    const auto age = std::chrono::duration_cast<milliseconds>(
        now - database.status_requested_at);
    if (!text.empty()) text.append(",");
    text.append(database.id).append(":");
    text.append(std::to_string(ReceivedPosition(database).index)).append("@");
    text.append(std::to_string(age.count())).append("ms");
    if (!database.responsive) text.append("(silent)");
  }
  return text;
}

}  // namespace

Coordinator::Coordinator(CoordinatorTiming timing,
                         PromotionAuthority* authority, CoordinatorPort* port,
                         EventSink* events)
    : timing_(timing), authority_(authority), port_(port), events_(events) {}

std::string Coordinator::PromotionReason(TimePoint now, const GroupView& group,
                                         GroupState* state) const {
  const DatabaseView* primary = FindPrimary(group);
  if (primary == nullptr) {
    if (state->no_primary_since == TimePoint()) state->no_primary_since = now;
    const bool timed_out =
        now - state->no_primary_since >= timing_.no_primary_timeout;
    return timed_out ? "no primary" : "";
  }
  state->no_primary_since = TimePoint();
  if (primary->draining) return "primary is draining";
  if (primary->refusals >= timing_.refusal_limit) return "connection refused";
  const bool unreachable =
      primary->unanswered_since != TimePoint() &&
      now - primary->unanswered_since >= timing_.primary_timeout;
  if (unreachable) return "primary unreachable";
  const bool stalled =
      state->stalled_since != TimePoint() &&
      now - state->stalled_since >= timing_.replication_stall_timeout;
  if (stalled) return "replication to all replicas stalled";
  return "";
}

/// A primary that is partitioned from all its replicas still answers and its
/// log still grows, so only the positions received by the replicas reveal the
/// partition. The status of every replica has to be recent, or the one replica
/// that still receives could be missed.
void Coordinator::UpdateReplicationStall(TimePoint now, const GroupView& group,
                                         GroupState* state) const {
  const DatabaseView* primary = FindPrimary(group);
  LogPosition received;
  size_t replicas = 0;
  bool all_recent = primary != nullptr;
  for (const DatabaseView& database : group.databases) {
    if (database.draining) continue;
    all_recent = all_recent && now - database.status_requested_at <=
                                   timing_.max_stall_status_age;
    if (database.id == group.primary) continue;
    ++replicas;
    received = std::max(received, database.status.received);
  }
  const bool ahead = all_recent && replicas > 0 &&
                     primary->status.received.term == received.term &&
                     primary->status.received > received;
  if (!ahead) {
    state->stalled_since = TimePoint();
  } else if (state->stalled_since == TimePoint() ||
             received != state->newest_received) {
    state->stalled_since = now;
  }
  state->newest_received = received;
}

/// Returns the most advanced replica among those that answer, since only what
/// it has received survives the promotion; nullptr if there is none. Received
/// entries are never lost, so an old status or an applied position counts too:
/// a replica that is too busy for status calls may be the most advanced one.
const DatabaseView* Coordinator::ChooseCandidate(TimePoint now,
                                                 const GroupView& group) const {
  const DatabaseView* best = nullptr;
  for (const DatabaseView& database : group.databases) {
    if (database.id == group.primary || database.draining) continue;
    if (database.refusals > 0 || !database.responsive) continue;
    if (now - database.last_contact > timing_.max_status_age) continue;
    if (best == nullptr ||
        ReceivedPosition(database) > ReceivedPosition(*best)) {
      best = &database;
    }
  }
  return best;
}

/// Returns whether a replica answers other calls but has no recent status.
bool Coordinator::HasStaleReplicaStatus(TimePoint now,
                                        const GroupView& group) const {
  return std::any_of(group.databases.begin(), group.databases.end(),
                     [this, now, &group](const DatabaseView& database) {
                       const bool counts = database.id != group.primary &&
                                           !database.draining &&
                                           database.refusals == 0 &&
                                           now - database.last_contact <=
                                               timing_.max_status_age;
                       return counts && now - database.status_requested_at >
                                            timing_.max_status_age;
                     });
}

/// Returns whether the primary is alive and another replica has received
/// entries that the candidate lacks. These may include acknowledged commits,
/// which the promotion would discard. While the primary is alive only writes
/// wait, so the promotion waits until that replica answers or is unlisted.
bool Coordinator::WouldDiscardCommits(const GroupView& group,
                                      const DatabaseView& candidate) {
  const DatabaseView* primary = FindPrimary(group);
  const bool primary_alive = primary != nullptr && primary->responsive &&
                             primary->refusals == 0 && !primary->draining;
  if (!primary_alive) return false;
  return std::any_of(group.databases.begin(), group.databases.end(),
                     [&group, &candidate](const DatabaseView& database) {
                       return database.id != group.primary &&
                              ReceivedPosition(database) >
                                  ReceivedPosition(candidate);
                     });
}

void Coordinator::ProbeIfDue(TimePoint now, const GroupView& group,
                             GroupState* state, bool suspected) {
  if (now < state->next_probe_at) return;
  state->next_probe_at = now + (suspected ? timing_.suspected_probe_interval
                                          : timing_.probe_interval);
  port_->Probe(group.group);
}

void Coordinator::EvaluateGroups(TimePoint now,
                                 const std::vector<GroupView>& groups,
                                 std::optional<uint64_t> token) {
  if (!token.has_value()) {
    groups_.clear();
    return;
  }
  for (const GroupView& group : groups) {
    if (group.databases.empty()) continue;
    GroupState& state = groups_[group.group];
    const DatabaseView* primary = FindPrimary(group);
    const bool promoting = now < state.promotion_deadline;
    if (promoting && group.primary != state.ordered_database) continue;
    if (promoting) state.promotion_deadline = TimePoint();
    UpdateReplicationStall(now, group, &state);
    const bool suspected = primary == nullptr || primary->draining ||
                           !primary->responsive || primary->refusals > 0 ||
                           state.stalled_since != TimePoint();
    ProbeIfDue(now, group, &state, suspected);
    const std::string cause = PromotionReason(now, group, &state);
    if (cause.empty()) {
      state.needed_since = TimePoint();
      continue;
    }
    if (state.needed_since == TimePoint()) state.needed_since = now;
    const bool may_wait = now - state.needed_since < timing_.status_wait;
    const DatabaseView* candidate = ChooseCandidate(now, group);
    const bool wait = candidate == nullptr ||
                      WouldDiscardCommits(group, *candidate) ||
                      (may_wait && HasStaleReplicaStatus(now, group));
    if (wait) {
      ProbeIfDue(now, group, &state, /*suspected=*/true);
      continue;
    }
    Event(events_, EventPriority::kState, "promotion_ordered")
        .Add("group", group.group)
        .Add("database", candidate->id)
        .Add("cause", cause)
        .Add("replaces", group.primary)
        .Add("token", *token)
        .Add("term", group.term)
        .Add("received", ReceivedPosition(*candidate).index)
        .Add("status_age", now - candidate->status_requested_at)
        .Add("known", DescribeDatabases(now, group))
        .Add("primary_heard",
             primary == nullptr ? now - now : now - primary->last_contact);
    state.promotion_deadline = now + timing_.promotion_timeout;
    state.ordered_database = candidate->id;
    authority_->Promote(group.group, candidate->id, *token);
  }
}

void Coordinator::PromotionAnswered(TimePoint now, const std::string& group,
                                    uint64_t token, PromotionOutcome outcome) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) return;
  GroupState& state = found->second;
  Event(events_, EventPriority::kState, "promotion_answered")
      .Add("group", group)
      .Add("database", state.ordered_database)
      .Add("token", token)
      .Add("outcome", static_cast<uint64_t>(outcome));
  switch (outcome) {
    case PromotionOutcome::kAccepted:
      port_->Announce(group, state.ordered_database);
      break;
    case PromotionOutcome::kNotRunning:
    case PromotionOutcome::kNotExecuted:
      state.promotion_deadline = TimePoint();
      state.next_probe_at = now;
      state.no_primary_since =
          now - timing_.no_primary_timeout + timing_.retry_delay;
      break;
    case PromotionOutcome::kFenced:
      port_->ReplaceToken("fenced");
      break;
    case PromotionOutcome::kUnknown:
      // The unanswered order could still be executed after a repetition under
      // the same token, and would then change the primary a second time.
      port_->ReplaceToken("promotion unanswered");
      break;
  }
}

}  // namespace ryefold::core::failover
