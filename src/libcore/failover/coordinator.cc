#include "ryefold/core/failover/coordinator.h"

#include <algorithm>

namespace ryefold::core::failover {
namespace {

using session::DatabaseView;
using session::GroupView;
using std::chrono::milliseconds;

/// Reason to defer a promotion: a replica that answers has no recent status.
constexpr const char* kStaleStatus = "stale status";
/// Reason to defer a promotion: another replica still receives.
constexpr const char* kNotPaused = "replica not paused";

/// Returns whether a promotion deferred for this reason waits for nothing but
/// replies of replicas.
bool AwaitsReplies(const std::string& deferral) {
  return deferral == kStaleStatus || deferral == kNotPaused;
}

const DatabaseView* FindPrimary(const GroupView& group) {
  for (const DatabaseView& database : group.databases) {
    if (database.id == group.primary) return &database;
  }
  return nullptr;
}

}  // namespace

Coordinator::Coordinator(CoordinatorTiming timing,
                         PromotionAuthority* authority, CoordinatorPort* port,
                         EventSink* events)
    : timing_(timing), authority_(authority), port_(port), events_(events) {}

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

/// Returns whether the primary may have failed. `responsive` allows a database
/// with a high latency more time, possibly more than the timeout after which it
/// is replaced, so half of that timeout without an answer counts as well.
bool Coordinator::SeemsToFail(TimePoint now,
                              const DatabaseView* primary) const {
  if (primary == nullptr || primary->draining || primary->refusals > 0) {
    return true;
  }
  const bool silent =
      primary->unanswered_since != TimePoint() &&
      now - primary->unanswered_since >= timing_.primary_timeout / 2;
  return silent || !primary->responsive;
}

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

/// Returns whether the database is a replica that answers and stays.
bool Coordinator::IsEligible(const GroupView& group,
                             const DatabaseView& database,
                             TimePoint now) const {
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
    if (!IsEligible(group, database, now)) continue;
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
                        IsEligible(group, database, now) &&
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

/// Pauses the replicas beside the candidate. Returns whether the promotion has
/// to wait for them.
bool Coordinator::AwaitsPause(TimePoint now, const GroupView& group,
                              const DatabaseView& candidate,
                              GroupState* state) {
  const auto unpaused = UnpausedReplicas(now, group, *state, candidate);
  if (unpaused.empty()) return false;
  // The wait begins anew after one for an unreachable replica.
  if (state->candidate != candidate.id || !AwaitsReplies(state->deferral)) {
    state->candidate = candidate.id;
    state->pause_deadline = now + timing_.pause_wait;
    state->next_pause_at = now;
  }
  if (now >= state->pause_deadline) return false;
  if (now < state->next_pause_at) return true;
  state->next_pause_at = now + timing_.pause_interval;
  // The replicas ignore a pause under a term that they know already.
  const uint64_t term = state->term + 1;
  for (const DatabaseView* replica : unpaused) {
    Event(events_, EventPriority::kState, "replication_paused")
        .Add("group", group.group)
        .Add("database", replica->id)
        .Add("candidate", candidate.id)
        .Add("term", term)
        .Add("known", DescribeDatabases(now, group, *state));
    port_->PauseReplication(replica->id, term);
  }
  // The candidate may receive more before the others stop.
  port_->Probe(group.group);
  state->next_probe_at = now + timing_.suspected_probe_interval;
  return true;
}

/// Resumes replicas that were paused for a promotion which did not take effect.
/// An announced promotion may still take effect and needs them paused.
void Coordinator::ResumeReplicas(TimePoint now, const GroupView& group,
                                 GroupState* state) {
  state->candidate.clear();
  if (announcements_.count(group.group) > 0) return;
  if (now < state->next_pause_at) return;
  for (const DatabaseView& database : group.databases) {
    if (database.status.paused_term == 0) continue;
    state->next_pause_at = now + timing_.pause_interval;
    Event(events_, EventPriority::kState, "replication_resumed")
        .Add("group", group.group)
        .Add("database", database.id)
        .Add("paused_term", database.status.paused_term)
        .Add("primary", group.primary)
        .Add("status_age", now - database.status_requested_at);
    port_->ResumeReplication(database.id);
  }
}

bool Coordinator::AwaitsReplicas() const {
  return std::any_of(groups_.begin(), groups_.end(), [](const auto& each) {
    return AwaitsReplies(each.second.deferral);
  });
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

std::string Coordinator::DeferralReason(TimePoint now, const GroupView& group,
                                        const GroupState& state,
                                        const DatabaseView* candidate) const {
  if (candidate == nullptr) return "no replica with a current position";
  if (WouldDiscardCommits(group, state, *candidate)) {
    return "another replica has received more";
  }
  if (MayLackPresentTerm(group, state, *candidate)) {
    return "candidate has not heard of the term";
  }
  if (MayLackUnreadCommits(now, group, state, *candidate)) {
    return "a replica is unreachable";
  }
  if (!HasStaleReplicaStatus(now, group, state)) return "";
  const bool waited =
      AwaitsReplies(state.deferral) && now >= state.reply_deadline;
  return waited ? "" : kStaleStatus;
}

/// Logs each new reason for which the promotion waits, and asks for statuses.
void Coordinator::DeferPromotion(TimePoint now, const GroupView& group,
                                 const std::string& cause,
                                 const std::string& reason, GroupState* state) {
  if (reason != state->deferral) {
    Event(events_, EventPriority::kState, "promotion_deferred")
        .Add("group", group.group)
        .Add("cause", cause)
        .Add("reason", reason)
        .Add("term", state->term)
        .Add("known", DescribeDatabases(now, group, *state));
    if (AwaitsReplies(reason) && !AwaitsReplies(state->deferral)) {
      state->reply_deadline = now + timing_.status_wait;
    }
  }
  state->deferral = reason;
  ProbeIfDue(now, group, state, /*suspected=*/true);
}

/// Records since when the primary seems to fail. Only statuses requested from
/// then on count, so the group is probed at once.
void Coordinator::UpdateSuspicion(TimePoint now, bool failing,
                                  GroupState* state) {
  if (!failing) {
    state->suspected_since = TimePoint();
  } else if (state->suspected_since == TimePoint()) {
    state->suspected_since = now;
    state->next_probe_at = now;
  }
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
    if (!group.databases.empty()) EvaluateGroup(now, group, *token);
  }
}

void Coordinator::EvaluateGroup(TimePoint now, const GroupView& group,
                                uint64_t token) {
  GroupState& state = groups_[group.group];
  UpdateLeadership(now, group, &state);
  const bool promoting = now < state.promotion_deadline;
  if (promoting && group.primary != state.ordered_database) return;
  if (promoting) state.promotion_deadline = TimePoint();
  UpdateReplicationStall(now, group, &state);
  const bool failing = SeemsToFail(now, FindPrimary(group));
  UpdateSuspicion(now, failing, &state);
  const bool suspected = failing || state.stalled_since != TimePoint();
  ProbeIfDue(now, group, &state, suspected);
  const std::string cause = PromotionReason(now, group, &state);
  if (cause.empty()) {
    state.needed_since = TimePoint();
    state.deferral.clear();
    WithdrawOutdatedAnnouncement(now, group);
    ResumeReplicas(now, group, &state);
    return;
  }
  if (state.needed_since == TimePoint()) state.needed_since = now;
  const DatabaseView* candidate = ChooseCandidate(now, group, state);
  std::string deferral = DeferralReason(now, group, state, candidate);
  if (deferral.empty() || deferral == kStaleStatus) {
    const bool awaits_pause = AwaitsPause(now, group, *candidate, &state);
    if (awaits_pause && deferral.empty()) deferral = kNotPaused;
  }
  if (deferral.empty()) {
    OrderPromotion(now, group, *candidate, cause, token, &state);
  } else {
    DeferPromotion(now, group, cause, deferral, &state);
  }
}

void Coordinator::AnnouncementRead(TimePoint now, const std::string& group,
                                   const std::string& database) {
  if (database.empty()) {
    announcements_.erase(group);
  } else {
    announcements_[group] = {database, now + timing_.promotion_timeout};
  }
}

void Coordinator::WithdrawOutdatedAnnouncement(TimePoint now,
                                               const GroupView& group) {
  const auto found = announcements_.find(group.group);
  if (found == announcements_.end()) return;
  if (group.primary.empty() || now < found->second.withdrawal_at) return;
  if (group.primary != found->second.database) {
    Event(events_, EventPriority::kState, "promotion_withdrawn")
        .Add("group", group.group)
        .Add("database", found->second.database)
        .Add("primary", group.primary);
    port_->Announce(group.group, "");
  }
  announcements_.erase(found);
}

void Coordinator::OrderPromotion(TimePoint now, const GroupView& group,
                                 const DatabaseView& candidate,
                                 const std::string& cause, uint64_t token,
                                 GroupState* state) {
  const DatabaseView* primary = FindPrimary(group);
  const LogPosition received =
      ReceivedPosition(*state, candidate).value_or(LogPosition());
  Event(events_, EventPriority::kState, "promotion_ordered")
      .Add("group", group.group)
      .Add("database", candidate.id)
      .Add("cause", cause)
      .Add("replaces", group.primary)
      .Add("token", token)
      .Add("term", state->term)
      .Add("received", received.index)
      .Add("status_age", now - candidate.status_requested_at)
      .Add("waited", now - state->needed_since)
      .Add("unpaused", UnpausedReplicas(now, group, *state, candidate).size())
      .Add("known", DescribeDatabases(now, group, *state))
      .Add("primary_heard",
           primary == nullptr ? now - now : now - primary->last_contact);
  state->deferral.clear();
  state->candidate.clear();
  state->promotion_deadline = now + timing_.promotion_timeout;
  state->ordered_database = candidate.id;
  authority_->Promote(group.group, candidate.id, token);
  // Announced before the answer, which may be lost although the order takes
  // effect: meanwhile only what the candidate receives may be acknowledged.
  port_->Announce(group.group, candidate.id);
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
      break;
    case PromotionOutcome::kNotRunning:
    case PromotionOutcome::kNotExecuted:
      port_->Announce(group, "");
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
