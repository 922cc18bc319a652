#include "ryefold/core/failover/coordinator.h"

#include <algorithm>
#include <set>

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
bool IsWaitForReplies(const std::string& deferral) {
  return deferral == kStaleStatus || deferral == kNotPaused;
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
  if (IsUnreachable(now, group.group, *primary)) return "primary unreachable";
  const bool stalled = state->replication.stalled_since() != TimePoint() &&
                       now - state->replication.stalled_since() >=
                           timing_.replication_stall_timeout;
  if (stalled) return "replication to all replicas stalled";
  return "";
}

/// Returns whether the primary has been silent for long enough. Another
/// instance that noticed it first counts too, once this one has no answer
/// either.
bool Coordinator::IsUnreachable(TimePoint now, const std::string& group,
                                const DatabaseView& primary) const {
  if (primary.unanswered_since == TimePoint()) return false;
  TimePoint since = primary.unanswered_since;
  const auto reported = silences_.find(group);
  const bool confirmed =
      reported != silences_.end() &&
      now - since >= timing_.silence_confirmation &&
      now - reported->second.reported_at <= timing_.silence_report_age;
  if (confirmed) since = std::min(since, reported->second.since);
  return now - since >= timing_.primary_timeout;
}

void Coordinator::SilenceReported(TimePoint now, const std::string& group,
                                  TimePoint since) {
  silences_[group] = {since, now};
}

/// Asks the replicas to stop receiving under the present term.
void Coordinator::RequestPauses(
    TimePoint now, const GroupView& group, const DatabaseView& candidate,
    const std::vector<const DatabaseView*>& replicas, const GroupState& state) {
  // Replicas ignore a pause under a term that they know already.
  const uint64_t term = state.term + 1;
  for (const DatabaseView* replica : replicas) {
    Event(events_, EventPriority::kState, "replication_paused")
        .Add("group", group.group)
        .Add("database", replica->id)
        .Add("candidate", candidate.id)
        .Add("term", term)
        .Add("known", DescribeDatabases(now, group, state));
    port_->PauseReplication(replica->id, term);
  }
}

/// Pauses the replicas beside the candidate. Returns whether the promotion has
/// to wait for them.
bool Coordinator::PauseOtherReplicas(TimePoint now, const GroupView& group,
                                     const DatabaseView& candidate,
                                     GroupState* state) {
  const auto unpaused = UnpausedReplicas(now, group, *state, candidate);
  if (unpaused.empty()) return false;
  // The wait begins anew after one for an unreachable replica.
  if (state->candidate != candidate.id || !IsWaitForReplies(state->deferral)) {
    state->candidate = candidate.id;
    state->pause_deadline = now + timing_.pause_wait;
    state->next_pause_at = now;
  }
  if (now >= state->pause_deadline) return false;
  if (now < state->next_pause_at) return true;
  state->next_pause_at = now + timing_.pause_interval;
  RequestPauses(now, group, candidate, unpaused, *state);
  // The candidate may receive more before the others stop.
  port_->Probe(group.group);
  state->next_probe_at = now + timing_.suspected_probe_interval;
  return true;
}

/// Resumes replicas that were paused for a promotion which did not take effect.
/// One that is announced, or that an earlier holder of the duty ordered, may
/// still take effect and needs them paused.
void Coordinator::ResumeReplicas(TimePoint now, const GroupView& group,
                                 GroupState* state) {
  state->candidate.clear();
  if (announcements_.count(group.group) > 0) return;
  if (now < state->earlier_orders_end || now < state->next_pause_at) return;
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

bool Coordinator::AwaitsReplies() const {
  return std::any_of(groups_.begin(), groups_.end(), [](const auto& each) {
    return IsWaitForReplies(each.second.deferral);
  });
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
      IsWaitForReplies(state.deferral) && now >= state.reply_deadline;
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
    if (IsWaitForReplies(reason) && !IsWaitForReplies(state->deferral)) {
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
  std::set<std::string> evaluated;
  for (const GroupView& group : groups) {
    if (group.databases.empty()) continue;
    EvaluateGroup(now, group, *token);
    evaluated.insert(group.group);
  }
  // What is known of a group ages while it is not evaluated.
  std::erase_if(groups_, [&evaluated](const auto& each) {
    return evaluated.count(each.first) == 0;
  });
  std::erase_if(silences_, [this, now](const auto& each) {
    return now - each.second.reported_at > timing_.silence_report_age;
  });
}

std::vector<std::string> Coordinator::OpenGroups(TimePoint now) const {
  std::vector<std::string> open;
  for (const auto& [name, state] : groups_) {
    const bool at_rest = now >= state.promotion_deadline &&
                         state.needed_since == TimePoint() &&
                         state.suspected_since == TimePoint() &&
                         state.replication.stalled_since() == TimePoint();
    if (!at_rest) open.push_back(name);
  }
  for (const auto& [name, announcement] : announcements_) open.push_back(name);
  return open;
}

void Coordinator::EvaluateGroup(TimePoint now, const GroupView& group,
                                uint64_t token) {
  const auto [found, is_new] = groups_.try_emplace(group.group);
  GroupState& state = found->second;
  if (is_new) state.earlier_orders_end = now + timing_.promotion_timeout;
  UpdateLeadership(now, group, &state);
  const bool promoting = now < state.promotion_deadline;
  if (promoting && group.primary != state.ordered_database) return;
  if (promoting) state.promotion_deadline = TimePoint();
  state.replication.Update(now, group, timing_.max_stall_status_age);
  const bool failing =
      SeemsToFail(now, FindPrimary(group), timing_.primary_timeout / 2);
  UpdateSuspicion(now, failing, &state);
  const bool suspected =
      failing || state.replication.stalled_since() != TimePoint();
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
  PromoteOrDefer(now, group, cause, token, &state);
}

/// Orders a necessary promotion, or records why it has to wait. The other
/// replicas are paused while statuses are awaited: the reply to a pause is one.
void Coordinator::PromoteOrDefer(TimePoint now, const GroupView& group,
                                 const std::string& cause, uint64_t token,
                                 GroupState* state) {
  const DatabaseView* candidate = ChooseCandidate(now, group, *state);
  std::string deferral = DeferralReason(now, group, *state, candidate);
  if (deferral.empty() || deferral == kStaleStatus) {
    const bool awaits_pause = PauseOtherReplicas(now, group, *candidate, state);
    if (awaits_pause && deferral.empty()) deferral = kNotPaused;
  }
  if (deferral.empty()) {
    OrderPromotion(now, group, *candidate, cause, token, state);
  } else {
    DeferPromotion(now, group, cause, deferral, state);
  }
}

void Coordinator::AnnouncementRead(TimePoint now, const std::string& group,
                                   const std::string& database) {
  if (database.empty()) {
    announcements_.erase(group);
  } else {
    RecordAnnouncement(now, group, database);
  }
}

void Coordinator::RecordAnnouncement(TimePoint now, const std::string& group,
                                     const std::string& database) {
  announcements_[group] = {database, now + timing_.promotion_timeout};
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
  // The store may deliver the announcement late, or not at all.
  RecordAnnouncement(now, group.group, candidate.id);
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
      announcements_.erase(group);
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
