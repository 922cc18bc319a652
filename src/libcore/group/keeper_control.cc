// Control calls of the keeper: statuses, promotions, follow and settle calls.

#include <algorithm>
#include <utility>

#include "keeper_impl.h"
#include "ryefold/core/group/log.h"

namespace ryefold::core::group {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSettleCallTimeout{1000};
/// Expected duration of a promotion, for retry hints and early refusals.
constexpr milliseconds kExpectedOutage{300};

}  // namespace

void Keeper::Impl::SendProbe(const std::string& database) {
  PendingCall call{database, CallPurpose::kProbe, now_,
                   now_ + timing_.status_grace};
  calls_.Send(std::move(call), StatusCall{}, actions_);
}

void Keeper::Impl::PollStatus() {
  for (const std::string& database : health_.TakeProbes()) SendProbe(database);
  for (DueStatusCall& due : health_.TakeDueCalls(now_)) {
    PendingCall call{due.database, CallPurpose::kStatus, now_, due.deadline};
    calls_.Send(std::move(call), due.call, actions_);
  }
}

void Keeper::Impl::OnControlCallFailed(const PendingCall& call, bool refused) {
  switch (call.purpose) {
    case CallPurpose::kStatus:
      health_.RecordFailure(now_, call.database, refused);
      break;
    case CallPurpose::kAdopt:
    case CallPurpose::kPromote:
      promotion_.OnCallFailed(now_, call.term, call.database);
      break;
    case CallPurpose::kFollow:
      following_.OnCallFailed(call.database);
      break;
    case CallPurpose::kSettle:
      resolution_.ScheduleRetry(now_, call.tag);
      break;
    case CallPurpose::kProbe:
      break;
  }
}

void Keeper::Impl::OnStatus(const PendingCall& call,
                            const DatabaseStatus& status) {
  ApplyStatus(call.database, status, call.sent,
              call.purpose == CallPurpose::kStatus);
}

void Keeper::Impl::ApplyStatus(const std::string& database,
                               const DatabaseStatus& status, TimePoint sent,
                               bool long_poll) {
  const DatabaseStatus* before = health_.status(database);
  const bool stale =
      before != nullptr && status.adopted_term < before->adopted_term;
  health_.RecordStatus(now_, database, status, long_poll);
  confirmation_.RecordStatus(database, status, sent);
  if (stale) return;
  disconnected_.erase(database);
  if (status.role == DatabaseRole::kPrimary &&
      status.adopted_term >= leadership_.term()) {
    reads_.RecordPrimaryPosition(now_, sent, status.last);
  } else {
    reads_.RecordReplicaPosition(now_, database, status.last);
  }
}

bool Keeper::Impl::IsPrimaryIdle() const {
  const std::string& primary = leadership_.primary();
  const DatabaseStatus* status = health_.status(primary);
  // With a status older than the last write, a replica that lacks the write
  // would seem to have caught up.
  const bool status_current =
      status != nullptr && status->last >= last_written_;
  return status_current && pool_.running_count(primary) == 0 &&
         transactions_.FindOn(primary).empty();
}

void Keeper::Impl::DrivePromotion() {
  promotion_.Tick(now_);
  if (const auto promoted = promotion_.TakePromoted()) {
    ++failovers_;
    leadership_.Update(now_, health_, confirmation_);
  }
  // Another proposer has promoted a primary, which makes this proposal
  // obsolete.
  const bool superseded =
      !leadership_.primary().empty() && leadership_.term() >= promotion_.term();
  if (promotion_.IsActive() && superseded) promotion_.Stop();
  if (promotion_.IsReady(now_)) {
    const PromotionCause cause =
        leadership_.FindPromotionCause(now_, health_, IsPrimaryIdle());
    if (cause != PromotionCause::kNone) {
      promotion_.Start(now_, leadership_.highest_term(),
                       leadership_.MakeProposalPeers(now_, health_, cause));
      leadership_.OnProposalStarted(cause);
      outage_end_ = now_ + kExpectedOutage;
    }
  }
  SendProposalCalls();
  if (leadership_.TakeReplicaProbeDue(now_)) ProbeReplicas();
  if (!leadership_.primary().empty()) {
    primary_deadline_ = now_ + 2 * timing_.lost_after;
  }
  if (IsPrimaryAvailable()) outage_end_.reset();
}

void Keeper::Impl::ProbeReplicas() {
  for (const DatabaseSpec& spec : group_.databases) {
    const bool replica = spec.database != leadership_.primary();
    if (replica && health_.IsReachable(now_, spec.database)) {
      SendProbe(spec.database);
    }
  }
}

void Keeper::Impl::SendProposalCalls() {
  for (ProposalCall& proposal : promotion_.TakeCalls()) {
    const bool adopt = std::holds_alternative<AdoptCall>(proposal.call);
    PendingCall call{proposal.database,
                     adopt ? CallPurpose::kAdopt : CallPurpose::kPromote, now_,
                     proposal.deadline, promotion_.term()};
    calls_.Send(std::move(call), std::move(proposal.call), actions_);
  }
}

void Keeper::Impl::SendFollowCalls() {
  const DatabaseStatus* primary = health_.status(leadership_.primary());
  if (primary == nullptr || promotion_.IsActive()) return;
  if (primary->role != DatabaseRole::kPrimary) return;
  for (const DatabaseSpec& spec : group_.databases) {
    const DatabaseStatus* replica = health_.status(spec.database);
    if (replica == nullptr || spec.database == leadership_.primary()) continue;
    if (!health_.IsReachable(now_, spec.database)) continue;
    if (!following_.MarkSentIfDue(now_, *primary, *replica)) continue;
    PendingCall call{spec.database, CallPurpose::kFollow, now_,
                     now_ + timing_.proposal_call, primary->adopted_term};
    calls_.Send(
        std::move(call),
        FollowCall{primary->adopted_term, primary->proposer, primary->database},
        actions_);
  }
}

void Keeper::Impl::CloseConnectionsToLost() {
  for (const DatabaseSpec& spec : group_.databases) {
    if (!health_.IsLost(now_, spec.database)) continue;
    if (!disconnected_.insert(spec.database).second) continue;
    for (const ConnectionId id : pool_.ConnectionsTo(spec.database)) {
      const auto closed = pool_.Close(id, actions_);
      if (closed.has_value()) OnConnectionClosed(*closed, id);
    }
  }
}

void Keeper::Impl::SendSettleCalls() {
  if (resolution_.empty() || promotion_.IsActive()) return;
  const std::string& primary = leadership_.primary();
  if (primary.empty() || health_.IsLost(now_, primary)) return;
  for (const RequestTag tag :
       resolution_.TakeDueCalls(now_, leadership_.term())) {
    const PendingRequest* pending = FindRequest(tag);
    if (pending == nullptr) {
      resolution_.Remove(tag);
      continue;
    }
    PendingCall call{primary,
                     CallPurpose::kSettle,
                     now_,
                     now_ + kSettleCallTimeout,
                     leadership_.term(),
                     tag};
    calls_.Send(std::move(call),
                SettleCall{leadership_.term(), pending->request.request_id,
                           pending->request.workspace},
                actions_);
  }
}

void Keeper::Impl::SendHeartbeatRound() {
  if (!round_needed_for_.has_value() || leadership_.primary().empty()) return;
  if (!reads_.StartRoundIfDue(now_, read_context(), *round_needed_for_)) return;
  for (const DatabaseSpec& spec : group_.databases) {
    if (health_.IsReachable(now_, spec.database)) SendProbe(spec.database);
  }
}

bool Keeper::Impl::IsPrimaryAvailable() const {
  const std::string& primary = leadership_.primary();
  return !primary.empty() && !promotion_.IsActive() &&
         !leadership_.IsPrimaryLeaving() && !health_.IsSuspected(primary) &&
         health_.IsReachable(now_, primary);
}

bool Keeper::Impl::ShouldFailFast() const {
  if (leadership_.primary().empty() && now_ >= primary_deadline_) return true;
  if (!health_.HasAssessedAll(now_)) return false;
  const bool primary_missing = leadership_.primary().empty() ||
                               health_.IsLost(now_, leadership_.primary());
  return primary_missing && !leadership_.IsMajorityReachable(now_, health_);
}

}  // namespace ryefold::core::group
