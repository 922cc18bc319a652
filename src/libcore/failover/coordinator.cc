#include "ryefold/core/failover/coordinator.h"

#include <algorithm>

namespace ryefold::core::failover {
namespace {

using session::DatabaseView;
using session::GroupView;
using std::chrono::milliseconds;

const DatabaseView* PrimaryOf(const GroupView& group) {
  for (const DatabaseView& database : group.databases) {
    if (database.id == group.primary) return &database;
  }
  return nullptr;
}

/// The least that the database has received.
LogPosition Received(const DatabaseView& database) {
  return std::max(database.status.received, database.applied);
}

/// What was known of every database when one was chosen: received position,
/// age of that, whether it answers.
std::string Known(TimePoint now, const GroupView& group) {
  std::string text;
  for (const DatabaseView& database : group.databases) {
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - database.status_asked);
    if (!text.empty()) text.append(",");
    text.append(database.id).append(":");
    text.append(std::to_string(Received(database).index)).append("@");
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

std::string Coordinator::Cause(TimePoint now, const GroupView& group,
                               GroupState* state) const {
  const DatabaseView* primary = PrimaryOf(group);
  if (primary == nullptr) {
    if (state->leaderless_since == TimePoint()) state->leaderless_since = now;
    const bool long_enough =
        now - state->leaderless_since >= timing_.leaderless;
    return long_enough ? "nobody leads" : "";
  }
  state->leaderless_since = TimePoint();
  if (primary->draining) return "primary is leaving";
  if (primary->refusals >= timing_.refusals) return "primary refuses";
  const bool silent = primary->silent_since != TimePoint() &&
                      now - primary->silent_since >= timing_.silent;
  if (silent) return "primary is silent";
  const bool unreceived = state->unreceived_since != TimePoint() &&
                          now - state->unreceived_since >= timing_.unreceived;
  if (unreceived) return "replicas receive nothing";
  return "";
}

/// A primary that is cut off from all its replicas still answers, and its log
/// goes on growing. It shows by what the others receive: all of them have to be
/// known, or one that receives might be overlooked.
void Coordinator::NoteReceived(TimePoint now, const GroupView& group,
                               GroupState* state) const {
  const DatabaseView* primary = PrimaryOf(group);
  LogPosition received;
  size_t replicas = 0;
  bool known = primary != nullptr;
  for (const DatabaseView& database : group.databases) {
    if (database.draining) continue;
    known = known && now - database.status_asked <= timing_.status_known;
    if (database.id == group.primary) continue;
    ++replicas;
    received = std::max(received, database.status.received);
  }
  const bool ahead = known && replicas > 0 &&
                     primary->status.received.term == received.term &&
                     primary->status.received > received;
  if (!ahead) {
    state->unreceived_since = TimePoint();
  } else if (state->unreceived_since == TimePoint() ||
             received != state->received) {
    state->unreceived_since = now;
  }
  state->received = received;
}

/// The most advanced replica among those that answer: what it has received is
/// what survives. What a replica once had received it still has, so an older
/// status, or a position that it has applied, counts as well: a replica that is
/// too busy for a status may be the one that has everything.
const DatabaseView* Coordinator::Candidate(TimePoint now,
                                           const GroupView& group) const {
  const DatabaseView* best = nullptr;
  for (const DatabaseView& database : group.databases) {
    if (database.id == group.primary || database.draining) continue;
    if (database.refusals > 0 || !database.responsive) continue;
    if (now - database.last_heard > timing_.status_age) continue;
    if (best == nullptr || Received(database) > Received(*best)) {
      best = &database;
    }
  }
  return best;
}

/// Whether a replica that answers has not yet told what it has received.
bool Coordinator::StatusMissing(TimePoint now, const GroupView& group) const {
  return std::any_of(
      group.databases.begin(), group.databases.end(),
      [this, now, &group](const DatabaseView& database) {
        const bool counts = database.id != group.primary &&
                            !database.draining && database.refusals == 0 &&
                            now - database.last_heard <= timing_.status_age;
        return counts && now - database.status_asked > timing_.status_age;
      });
}

/// Whether another replica, silent at the moment, is known to have received
/// what the candidate lacks. A commit may have been acknowledged on its word,
/// and promoting the candidate would discard it; callers would find work gone
/// that they were told is saved. As long as the primary lives only writes wait,
/// so the silent replica is waited for: it answers, or leaves the list.
bool Coordinator::WouldDiscard(const GroupView& group,
                               const DatabaseView& candidate) {
  const DatabaseView* primary = PrimaryOf(group);
  const bool lives = primary != nullptr && primary->responsive &&
                     primary->refusals == 0 && !primary->draining;
  if (!lives) return false;
  return std::any_of(group.databases.begin(), group.databases.end(),
                     [&group, &candidate](const DatabaseView& database) {
                       return database.id != group.primary &&
                              Received(database) > Received(candidate);
                     });
}

void Coordinator::Probe(TimePoint now, const GroupView& group,
                        GroupState* state, bool doubt) {
  if (now < state->probe_at) return;
  state->probe_at = now + (doubt ? timing_.probe_doubted : timing_.probe);
  port_->Probe(group.group);
}

void Coordinator::Observe(TimePoint now, const std::vector<GroupView>& groups,
                          std::optional<uint64_t> token) {
  if (!token.has_value()) {
    groups_.clear();
    return;
  }
  for (const GroupView& group : groups) {
    if (group.databases.empty()) continue;
    GroupState& state = groups_[group.group];
    const DatabaseView* primary = PrimaryOf(group);
    const bool settling = now < state.settle_until;
    if (settling && group.primary != state.ordered) continue;
    if (settling) state.settle_until = TimePoint();
    NoteReceived(now, group, &state);
    const bool doubt = primary == nullptr || primary->draining ||
                       !primary->responsive || primary->refusals > 0 ||
                       state.unreceived_since != TimePoint();
    Probe(now, group, &state, doubt);
    const std::string cause = Cause(now, group, &state);
    if (cause.empty()) {
      state.needed_since = TimePoint();
      continue;
    }
    if (state.needed_since == TimePoint()) state.needed_since = now;
    const bool may_wait = now - state.needed_since < timing_.choice;
    const DatabaseView* candidate = Candidate(now, group);
    const bool wait = candidate == nullptr || WouldDiscard(group, *candidate) ||
                      (may_wait && StatusMissing(now, group));
    if (wait) {
      Probe(now, group, &state, /*doubt=*/true);
      continue;
    }
    Event(events_, EventWeight::kState, "promotion_ordered")
        .Add("group", group.group)
        .Add("database", candidate->id)
        .Add("cause", cause)
        .Add("replaces", group.primary)
        .Add("token", *token)
        .Add("term", group.term)
        .Add("received", Received(*candidate).index)
        .Add("status_age", now - candidate->status_asked)
        .Add("known", Known(now, group))
        .Add("primary_heard",
             primary == nullptr ? now - now : now - primary->last_heard);
    state.settle_until = now + timing_.settle;
    state.ordered = candidate->id;
    authority_->Promote(group.group, candidate->id, *token);
  }
}

void Coordinator::PromotionAnswered(TimePoint now, const std::string& group,
                                    uint64_t token, PromotionOutcome outcome) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) return;
  GroupState& state = found->second;
  Event(events_, EventWeight::kState, "promotion_answered")
      .Add("group", group)
      .Add("database", state.ordered)
      .Add("token", token)
      .Add("outcome", static_cast<uint64_t>(outcome));
  switch (outcome) {
    case PromotionOutcome::kAccepted:
      port_->Announce(group, state.ordered);
      break;
    case PromotionOutcome::kNotRunning:
    case PromotionOutcome::kNotDone:
      state.settle_until = TimePoint();
      state.probe_at = now;
      state.leaderless_since = now - timing_.leaderless + timing_.retry;
      break;
    case PromotionOutcome::kFenced:
      port_->ReplaceToken("fenced");
      break;
    case PromotionOutcome::kUnknown:
      // A repetition under the same token could be followed by the late first
      // order, and turn the group round once more.
      port_->ReplaceToken("promotion unanswered");
      break;
  }
}

}  // namespace ryefold::core::failover
