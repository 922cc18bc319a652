// What the keeper does by control calls: statuses, promotion, followers,
// questions about lost answers.

#include <algorithm>
#include <utility>

#include "keeper_impl.h"
#include "ryefold/core/group/log.h"

namespace ryefold::core::group {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSettleCallTime{1000};
/// How long a change of primary takes once it has begun, for callers' sake.
constexpr milliseconds kExpectedGap{300};

}  // namespace

void Keeper::Impl::AskNow(const std::string& database) {
  PendingCall call{database, CallPurpose::kConfirm, now_,
                   now_ + timing_.status_grace};
  calls_.Send(std::move(call), StatusCall{}, actions_);
}

void Keeper::Impl::PollStatus() {
  for (const std::string& database : health_.TakeProbes()) AskNow(database);
  for (StatusDue& due : health_.TakeDue(now_)) {
    PendingCall call{due.database, CallPurpose::kStatus, now_, due.deadline};
    calls_.Send(std::move(call), due.call, actions_);
  }
}

void Keeper::Impl::CallFailed(const PendingCall& call, bool refused) {
  switch (call.purpose) {
    case CallPurpose::kStatus:
      health_.Failed(now_, call.database, refused);
      break;
    case CallPurpose::kAdopt:
    case CallPurpose::kPromote:
      promotion_.CallFailed(now_, call.term, call.database);
      break;
    case CallPurpose::kFollow:
      following_.Failed(call.database);
      break;
    case CallPurpose::kSettle:
      resolution_.AskAgain(now_, call.tag);
      break;
    case CallPurpose::kConfirm:
      break;
  }
}

void Keeper::Impl::StatusArrived(const PendingCall& call,
                                 const DatabaseStatus& status) {
  Learn(call.database, status, call.sent, call.purpose == CallPurpose::kStatus);
}

void Keeper::Impl::Learn(const std::string& database,
                         const DatabaseStatus& status, TimePoint sent,
                         bool waited) {
  const DatabaseStatus* before = health_.status(database);
  const bool stale =
      before != nullptr && status.adopted_term < before->adopted_term;
  health_.Answered(now_, database, status, waited);
  confirmation_.Saw(database, status, sent);
  if (stale) return;
  dropped_.erase(database);
  if (status.role == DatabaseRole::kPrimary &&
      status.adopted_term >= leadership_.term()) {
    reads_.PrimaryAt(now_, sent, status.last);
  } else {
    reads_.ReplicaAt(now_, database, status.last);
  }
}

bool Keeper::Impl::PrimaryQuiet() const {
  const std::string& primary = leadership_.primary();
  const DatabaseStatus* status = health_.status(primary);
  // A status from before the last write would take a replica that lacks the
  // write for level.
  const bool seen = status != nullptr && status->last >= last_written_;
  return seen && pool_.running(primary) == 0 &&
         transactions_.On(primary).empty();
}

void Keeper::Impl::DrivePromotion() {
  promotion_.Tick(now_);
  if (const auto promoted = promotion_.TakePromoted()) {
    ++failovers_;
    leadership_.Update(now_, health_, confirmation_);
  }
  // Another proposer was faster: its primary is as good as ours.
  const bool overtaken =
      !leadership_.primary().empty() && leadership_.term() >= promotion_.term();
  if (promotion_.active() && overtaken) promotion_.Stop();
  if (promotion_.ready(now_)) {
    const PromotionCause cause =
        leadership_.Needs(now_, health_, PrimaryQuiet());
    if (cause != PromotionCause::kNone) {
      promotion_.Start(now_, leadership_.highest_term(),
                       leadership_.Peers(now_, health_, cause));
      leadership_.Proposed(cause);
      gap_until_ = now_ + kExpectedGap;
    }
  }
  SendProposalCalls();
  if (leadership_.TakeProofWanted(now_)) AskReplicas();
  if (!leadership_.primary().empty()) {
    patience_until_ = now_ + 2 * timing_.lost_after;
  }
  if (primary_open()) gap_until_.reset();
}

void Keeper::Impl::AskReplicas() {
  for (const DatabaseSpec& spec : group_.databases) {
    const bool replica = spec.database != leadership_.primary();
    if (replica && health_.reachable(now_, spec.database)) {
      AskNow(spec.database);
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

void Keeper::Impl::DriveFollowing() {
  const DatabaseStatus* primary = health_.status(leadership_.primary());
  if (primary == nullptr || promotion_.active()) return;
  if (primary->role != DatabaseRole::kPrimary) return;
  for (const DatabaseSpec& spec : group_.databases) {
    const DatabaseStatus* replica = health_.status(spec.database);
    if (replica == nullptr || spec.database == leadership_.primary()) continue;
    if (!health_.reachable(now_, spec.database)) continue;
    if (!following_.TakeDue(now_, *primary, *replica)) continue;
    PendingCall call{spec.database, CallPurpose::kFollow, now_,
                     now_ + timing_.proposal_call, primary->adopted_term};
    calls_.Send(
        std::move(call),
        FollowCall{primary->adopted_term, primary->proposer, primary->database},
        actions_);
  }
}

void Keeper::Impl::DropLostDatabases() {
  for (const DatabaseSpec& spec : group_.databases) {
    if (!health_.lost(now_, spec.database)) continue;
    if (!dropped_.insert(spec.database).second) continue;
    for (const ConnectionId id : pool_.ConnectionsTo(spec.database)) {
      const auto closed = pool_.Close(id, actions_);
      if (closed.has_value()) ConnectionGone(*closed, id);
    }
  }
}

void Keeper::Impl::SendSettleCalls() {
  if (resolution_.empty() || promotion_.active()) return;
  const std::string& primary = leadership_.primary();
  if (primary.empty() || health_.lost(now_, primary)) return;
  for (const RequestTag tag : resolution_.TakeDue(now_, leadership_.term())) {
    const PendingRequest* pending = Find(tag);
    if (pending == nullptr) {
      resolution_.Remove(tag);
      continue;
    }
    PendingCall call{primary,
                     CallPurpose::kSettle,
                     now_,
                     now_ + kSettleCallTime,
                     leadership_.term(),
                     tag};
    calls_.Send(std::move(call),
                SettleCall{leadership_.term(), pending->request.request_id,
                           pending->request.workspace},
                actions_);
  }
}

void Keeper::Impl::SendRound() {
  if (!round_wanted_.has_value() || leadership_.primary().empty()) return;
  if (!reads_.StartRound(now_, read_view(), *round_wanted_)) return;
  for (const DatabaseSpec& spec : group_.databases) {
    if (health_.reachable(now_, spec.database)) AskNow(spec.database);
  }
}

bool Keeper::Impl::primary_open() const {
  const std::string& primary = leadership_.primary();
  return !primary.empty() && !promotion_.active() &&
         !leadership_.primary_leaving() && !health_.doubted(primary) &&
         health_.reachable(now_, primary);
}

bool Keeper::Impl::given_up() const {
  if (leadership_.primary().empty() && now_ >= patience_until_) return true;
  if (!health_.settled(now_)) return false;
  const bool needed = leadership_.primary().empty() ||
                      health_.lost(now_, leadership_.primary());
  return needed && !leadership_.majority_reachable(now_, health_);
}

}  // namespace ryefold::core::group
