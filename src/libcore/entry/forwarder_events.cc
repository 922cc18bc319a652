// Event handling of the forwarder.

#include "forwarder_impl.h"

namespace ryefold::core::entry {
namespace {

/// Maximum number of lost copies of one request. A request that crashes its
/// keeper would otherwise be sent from keeper to keeper, and each crash fails
/// the requests of other callers.
constexpr uint32_t kMaxLostCopies = 3;

/// Returns true if the instance did not accept the call and another one may:
/// the instance is leaving or does not have the current configuration yet.
bool IsRetryableElsewhere(const StatementAnswer& answer) {
  return answer.reason() == Reason::kShuttingDown ||
         answer.reason() == Reason::kNotReady ||
         answer.reason() == Reason::kUnknownGroup;
}

/// Returns true if the answer to a settle call is a final outcome. Other
/// reasons for "not run" mean that the settle call itself was not carried out.
bool IsFinalOutcome(const StatementAnswer& answer) {
  if (answer.kind() == OutcomeKind::kDone) return true;
  return answer.kind() == OutcomeKind::kNotRun &&
         (answer.reason() == Reason::kFenced ||
          answer.reason() == Reason::kDiscarded);
}

}  // namespace

Forwarder::Impl::Impl(Ranking ranking, ForwarderTiming timing, uint64_t seed)
    : ranking_(std::move(ranking)),
      health_(timing.contact_timeout, timing.probe_timeout),
      backoff_(timing.backoff, seed),
      budget_(timing.retry_ratio, timing.retry_burst) {}

void Forwarder::Impl::Handle(TimePoint now, const Event& event,
                             std::vector<Action>* actions) {
  now_ = now;
  actions_ = actions;
  std::visit([this](const auto& e) { On(e); }, event);
  On(Tick{});
  actions_ = nullptr;
}

TimePoint Forwarder::Impl::next_deadline() const {
  return due_.empty() ? TimePoint::max() : due_.begin()->first;
}

void Forwarder::Impl::On(const RequestArrived& event) {
  const auto [found, added] = requests_.try_emplace(event.tag);
  if (!added) return;
  Pending* pending = &found->second;
  pending->tag = event.tag;
  pending->request = event.request;
  budget_.RecordFirstAttempt();
  if (pending->request.deadline <= now_) {
    GiveUp(pending, Reason::kDeadline);
    return;
  }
  SendNext(pending);
}

void Forwarder::Impl::On(const RequestAbandoned& event) {
  const auto found = requests_.find(event.tag);
  if (found != requests_.end()) Remove(&found->second);
}

void Forwarder::Impl::On(const PeerAnswered& event) {
  const auto found = calls_.find(event.call);
  // The call was abandoned and its request is already answered.
  if (found == calls_.end()) return;
  const Call call = found->second;
  calls_.erase(found);
  RecordAnswer(call.instance);
  Pending* pending = &requests_.at(call.tag);
  pending->unanswered_copies.erase(event.call);
  pending->settle_calls.erase(event.call);
  if (call.is_settle) {
    OnSettleAnswer(pending, event.answer, event.call == pending->watched_call);
  } else {
    OnForwardAnswer(pending, event.answer, event.call == pending->watched_call);
  }
}

void Forwarder::Impl::OnForwardAnswer(Pending* pending,
                                      const StatementAnswer& answer,
                                      bool latest) {
  const bool settling = pending->phase == Phase::kSettling;
  if (answer.kind() == OutcomeKind::kDone) {
    Finish(pending, answer);
    return;
  }
  if (answer.kind() == OutcomeKind::kUnknown) {
    if (settling) {
      pending->outcome_lost = true;
    } else {
      Finish(pending, answer);
    }
    return;
  }
  // "Not run" covers this copy only; another copy may still run.
  const bool others =
      !pending->unanswered_copies.empty() || pending->outcome_lost;
  if (settling) {
    if (!others) Finish(pending, answer);
    return;
  }
  // A refusal of an older copy does not end the request; the newer copy goes
  // on.
  if (!latest && !pending->unanswered_copies.empty()) return;
  if (IsRetryableElsewhere(answer) && !pending->in_transaction()) {
    SendNext(pending);
  } else if (others) {
    FinishUnknown(pending, Reason::kInstanceLost);
  } else {
    Finish(pending, answer);
  }
}

void Forwarder::Impl::OnSettleAnswer(Pending* pending,
                                     const StatementAnswer& answer,
                                     bool latest) {
  if (IsFinalOutcome(answer)) {
    Finish(pending, answer);
    return;
  }
  // The next settle call is already in flight or scheduled.
  if (!latest) return;
  pending->watched_call = 0;
  if (IsRetryableElsewhere(answer)) {
    SendNext(pending);
  } else {
    RetryOrGiveUp(pending, answer.reason());
  }
}

void Forwarder::Impl::On(const PeerFailed& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) return;
  const Call call = found->second;
  calls_.erase(found);
  RecordFailure(call.instance);
  Pending* pending = &requests_.at(call.tag);
  pending->unanswered_copies.erase(event.call);
  pending->settle_calls.erase(event.call);
  const bool latest = event.call == pending->watched_call;
  if (call.is_settle) {
    if (latest) RetryOrGiveUp(pending, Reason::kInstanceLost);
  } else if (event.may_have_arrived) {
    pending->outcome_lost = true;
    ++pending->lost_copies;
    OnCopyLost(pending);
  } else {
    OnCopyNotDelivered(pending);
  }
}

void Forwarder::Impl::On(const ProbeAnswered& event) {
  RecordAnswer(event.instance);
}

/// Handles a copy that certainly did not arrive.
void Forwarder::Impl::OnCopyNotDelivered(Pending* pending) {
  if (pending->phase == Phase::kSettling) {
    Reschedule(pending);
    return;
  }
  if (!pending->in_transaction()) {
    if (budget_.TakeRetry()) {
      SendNext(pending);
    } else {
      GiveUp(pending, Reason::kInstanceLost);
    }
    return;
  }
  // Only the instance that holds the transaction can run the step. The step is
  // retried once, because the failure may affect only the connection.
  if (pending->retry_rounds == 0 && ScheduleRetry(pending)) return;
  if (pending->is_commit()) {
    // An earlier attempt of the caller may have sent this commit.
    BeginSettling(pending);
  } else {
    GiveUp(pending, Reason::kTransactionLost);
  }
}

/// Handles a copy that may have arrived and will not be answered.
void Forwarder::Impl::OnCopyLost(Pending* pending) {
  const bool has_other_call = pending->phase == Phase::kSettling ||
                              !pending->unanswered_copies.empty() ||
                              pending->retry_at != TimePoint::max();
  if (has_other_call) {
    Reschedule(pending);
    return;
  }
  ResolveOutcome(pending);
}

/// Handles an instance that holds the watched copy and has not answered any
/// call within the contact and probe timeouts.
void Forwarder::Impl::OnKeeperUnreachable(Pending* pending) {
  const bool inner_step = pending->in_transaction() && !pending->is_commit();
  const bool read = pending->request.kind == StatementKind::kRead;
  const bool repeatable = pending->request.repeatable;
  // No other instance can serve or settle these; the answer may still arrive.
  if (inner_step || (read && !repeatable && !pending->is_commit())) {
    Reschedule(pending);
    return;
  }
  ResolveOutcome(pending);
}

/// Settles, retries or ends a request whose copies are not expected to be
/// answered.
void Forwarder::Impl::ResolveOutcome(Pending* pending) {
  const StatementRequest& request = pending->request;
  const bool is_recorded =
      pending->is_commit() ||
      (!pending->in_transaction() && request.step == Step::kStatement &&
       request.kind == StatementKind::kWrite && !request.repeatable);
  if (is_recorded) {
    BeginSettling(pending);
  } else if (request.repeatable && !pending->in_transaction() &&
             pending->lost_copies < kMaxLostCopies) {
    RetryOrGiveUp(pending, Reason::kInstanceLost);
  } else {
    FinishUnknown(pending, Reason::kInstanceLost);
  }
}

void Forwarder::Impl::On(const Tick& /*event*/) {
  while (!due_.empty() && due_.begin()->first <= now_) {
    ProcessDue(&requests_.at(due_.begin()->second));
  }
}

bool Forwarder::Impl::ContinueWaiting(Pending* pending, const Call& call) {
  const PeerHealth::CallState state =
      health_.Evaluate(now_, call.instance, call.sent);
  if (state == PeerHealth::CallState::kSuspected) return false;
  if (state == PeerHealth::CallState::kProbe) {
    actions_->push_back(Probe{call.instance});
  }
  Reschedule(pending);
  return true;
}

void Forwarder::Impl::ProcessDue(Pending* pending) {
  if (pending->request.deadline <= now_) {
    GiveUp(pending, Reason::kDeadline);
    return;
  }
  if (pending->retry_at <= now_) {
    pending->retry_at = TimePoint::max();
    SendNext(pending);
    return;
  }
  const auto watched = calls_.find(pending->watched_call);
  if (watched == calls_.end()) {
    Reschedule(pending);
    return;
  }
  const Call call = watched->second;
  if (ContinueWaiting(pending, call)) return;
  pending->watched_call = 0;
  if (!pending->in_transaction()) RecordFailure(call.instance);
  if (call.is_settle) {
    RetryOrGiveUp(pending, Reason::kInstanceLost);
  } else {
    OnKeeperUnreachable(pending);
  }
}

}  // namespace ryefold::core::entry
