// Event handling of the forwarder.

#include "forwarder_impl.h"

namespace ryefold::core::entry {
namespace {

/// Maximum number of lost copies of one request. A request that crashes its
/// keeper would otherwise be sent from keeper to keeper, and each crash fails
/// the requests of other callers.
constexpr uint32_t kMaxLosses = 3;

/// Returns true if the instance did not accept the call and another one may:
/// the instance is leaving or does not have the current configuration yet.
bool TurnsAway(const StatementAnswer& answer) {
  return answer.reason() == Reason::kShuttingDown ||
         answer.reason() == Reason::kNotReady ||
         answer.reason() == Reason::kUnknownGroup;
}

/// Returns true if the answer to a settle call is a final outcome. Other
/// reasons for "not run" mean that the settle call itself was not carried out.
bool Settles(const StatementAnswer& answer) {
  if (answer.kind() == OutcomeKind::kDone) return true;
  return answer.kind() == OutcomeKind::kNotRun &&
         (answer.reason() == Reason::kFenced ||
          answer.reason() == Reason::kDiscarded);
}

}  // namespace

Forwarder::Impl::Impl(Ranking ranking, ForwarderTiming timing, uint64_t seed)
    : ranking_(std::move(ranking)),
      hearing_(timing.patience, timing.probe_patience),
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
  budget_.FirstTry();
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
  Heard(call.instance);
  Pending* pending = &requests_.at(call.tag);
  pending->open.erase(event.call);
  pending->settles.erase(event.call);
  if (call.settles) {
    SettleAnswered(pending, event.answer, event.call == pending->watched);
  } else {
    ForwardAnswered(pending, event.answer, event.call == pending->watched);
  }
}

void Forwarder::Impl::ForwardAnswered(Pending* pending,
                                      const StatementAnswer& answer,
                                      bool latest) {
  const bool settling = pending->phase == Phase::kSettling;
  if (answer.kind() == OutcomeKind::kDone) {
    Finish(pending, answer);
    return;
  }
  if (answer.kind() == OutcomeKind::kUnknown) {
    if (settling) {
      pending->lost = true;
    } else {
      Finish(pending, answer);
    }
    return;
  }
  // "Not run" covers this copy only; another copy may still run.
  const bool others = !pending->open.empty() || pending->lost;
  if (settling) {
    if (!others) Finish(pending, answer);
    return;
  }
  // A refusal of an older copy does not end the request; the newer copy goes
  // on.
  if (!latest && !pending->open.empty()) return;
  if (TurnsAway(answer) && !pending->in_transaction()) {
    SendNext(pending);
  } else if (others) {
    FinishUnknown(pending, Reason::kInstanceLost);
  } else {
    Finish(pending, answer);
  }
}

void Forwarder::Impl::SettleAnswered(Pending* pending,
                                     const StatementAnswer& answer,
                                     bool latest) {
  if (Settles(answer)) {
    Finish(pending, answer);
    return;
  }
  // The next settle call is already in flight or scheduled.
  if (!latest) return;
  pending->watched = 0;
  if (TurnsAway(answer)) {
    SendNext(pending);
  } else {
    RetryLater(pending, answer.reason());
  }
}

void Forwarder::Impl::On(const PeerFailed& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) return;
  const Call call = found->second;
  calls_.erase(found);
  Failed(call.instance);
  Pending* pending = &requests_.at(call.tag);
  pending->open.erase(event.call);
  pending->settles.erase(event.call);
  const bool latest = event.call == pending->watched;
  if (call.settles) {
    if (latest) RetryLater(pending, Reason::kInstanceLost);
  } else if (event.may_have_arrived) {
    pending->lost = true;
    ++pending->losses;
    MayBeLost(pending);
  } else {
    NeverArrived(pending);
  }
}

void Forwarder::Impl::On(const ProbeAnswered& event) { Heard(event.instance); }

/// Handles a copy that certainly did not arrive.
void Forwarder::Impl::NeverArrived(Pending* pending) {
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
  if (pending->rounds == 0 && PlanRetry(pending)) return;
  if (pending->commits()) {
    // An earlier attempt of the caller may have sent this commit.
    BeginSettling(pending);
  } else {
    GiveUp(pending, Reason::kTransactionLost);
  }
}

/// Handles a copy that may have arrived and will not be answered.
void Forwarder::Impl::MayBeLost(Pending* pending) {
  const bool waits_elsewhere = pending->phase == Phase::kSettling ||
                               !pending->open.empty() ||
                               pending->retry_at != TimePoint::max();
  if (waits_elsewhere) {
    Reschedule(pending);
    return;
  }
  FindOut(pending);
}

/// Handles an instance that holds the watched copy and has not answered any
/// call within the contact and probe timeouts.
void Forwarder::Impl::FellSilent(Pending* pending) {
  const bool step_inside = pending->in_transaction() && !pending->commits();
  const bool read = pending->request.kind == StatementKind::kRead;
  const bool repeatable = pending->request.repeatable;
  // No other instance can serve or settle these; the answer may still arrive.
  if (step_inside || (read && !repeatable && !pending->commits())) {
    Reschedule(pending);
    return;
  }
  FindOut(pending);
}

/// Settles, retries or ends a request whose copies are not expected to be
/// answered.
void Forwarder::Impl::FindOut(Pending* pending) {
  const StatementRequest& request = pending->request;
  const bool recorded =
      pending->commits() ||
      (!pending->in_transaction() && request.step == Step::kStatement &&
       request.kind == StatementKind::kWrite && !request.repeatable);
  if (recorded) {
    BeginSettling(pending);
  } else if (request.repeatable && !pending->in_transaction() &&
             pending->losses < kMaxLosses) {
    RetryLater(pending, Reason::kInstanceLost);
  } else {
    FinishUnknown(pending, Reason::kInstanceLost);
  }
}

void Forwarder::Impl::On(const Tick& /*event*/) {
  while (!due_.empty() && due_.begin()->first <= now_) {
    LookAt(&requests_.at(due_.begin()->second));
  }
}

bool Forwarder::Impl::StillWaits(Pending* pending, const Call& call) {
  const Hearing::Verdict verdict =
      hearing_.Judge(now_, call.instance, call.sent);
  if (verdict == Hearing::Verdict::kDoubt) return false;
  if (verdict == Hearing::Verdict::kProbe) {
    actions_->push_back(Probe{call.instance});
  }
  Reschedule(pending);
  return true;
}

void Forwarder::Impl::LookAt(Pending* pending) {
  if (pending->request.deadline <= now_) {
    GiveUp(pending, Reason::kDeadline);
    return;
  }
  if (pending->retry_at <= now_) {
    pending->retry_at = TimePoint::max();
    SendNext(pending);
    return;
  }
  const auto watched = calls_.find(pending->watched);
  if (watched == calls_.end()) {
    Reschedule(pending);
    return;
  }
  const Call call = watched->second;
  if (StillWaits(pending, call)) return;
  pending->watched = 0;
  if (!pending->in_transaction()) Failed(call.instance);
  if (call.settles) {
    RetryLater(pending, Reason::kInstanceLost);
  } else {
    FellSilent(pending);
  }
}

}  // namespace ryefold::core::entry
