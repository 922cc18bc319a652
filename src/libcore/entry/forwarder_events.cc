// What the forwarder does about events.

#include "forwarder_impl.h"

namespace ryefold::core::entry {
namespace {

/// Copies of one request that may be lost before it is given up. A request
/// that makes whoever handles it fail would otherwise be carried from keeper to
/// keeper, and each failure takes the requests of others with it.
constexpr uint32_t kMaxLosses = 3;

/// The instance did not take the call on, and another one may: it is leaving,
/// or does not know yet what is in force.
bool TurnsAway(const StatementAnswer& answer) {
  return answer.reason() == Reason::kShuttingDown ||
         answer.reason() == Reason::kNotReady ||
         answer.reason() == Reason::kUnknownGroup;
}

/// The answer to a settle call tells the outcome for good. Other reasons for
/// "not run" say that the settle call itself was not carried out.
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
  // An answer to a call that was given up: its request has had its own.
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
  // "Not run" speaks for this copy only. Another one may still run.
  const bool others = !pending->open.empty() || pending->lost;
  if (settling) {
    if (!others) Finish(pending, answer);
    return;
  }
  // An older copy is out of the way; the one sent since goes on.
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
  // The next settle call is under way or planned already.
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

/// A copy certainly did not arrive.
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
  // Only the instance that holds the transaction can take the step. One more
  // try, in case just the connection to it was gone.
  if (pending->rounds == 0 && PlanRetry(pending)) return;
  if (pending->commits()) {
    // An earlier attempt of the caller may have sent this commit.
    BeginSettling(pending);
  } else {
    GiveUp(pending, Reason::kTransactionLost);
  }
}

/// A copy may have arrived and will not be answered.
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

/// The instance that holds the watched copy has not answered anything for
/// the time of patience.
void Forwarder::Impl::FellSilent(Pending* pending) {
  const bool step_inside = pending->in_transaction() && !pending->commits();
  const bool read = pending->request.kind == StatementKind::kRead;
  const bool repeatable = pending->request.repeatable;
  // Nobody else can serve or settle these; the answer may still come.
  if (step_inside || (read && !repeatable && !pending->commits())) {
    Reschedule(pending);
    return;
  }
  FindOut(pending);
}

/// Nobody is expected to answer the copies sent so far.
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
