// Sending, retries and answers of the forwarder.

#include <algorithm>

#include "forwarder_impl.h"

namespace ryefold::core::entry {
namespace {

/// Number of instances in rank that a request is sent to at most. Instances
/// further down would only redirect to higher ones, and trying a whole large
/// fleet would multiply the load.
constexpr size_t kMaxInstancesTried = 4;

}  // namespace

/// Returns the next untried instance in rank; nullopt if there is none. Steps
/// of a transaction go only to the instance that holds its connection.
std::optional<std::string> Forwarder::Impl::NextTarget(Pending* pending) const {
  if (pending->in_transaction() && pending->phase == Phase::kForwarding) {
    return TransactionKeeper(pending->request.transaction);
  }
  const std::vector<std::string> ranked =
      ranking_(now_, pending->request.group);
  const size_t depth = std::min(ranked.size(), kMaxInstancesTried);
  for (size_t i = 0; i < depth; ++i) {
    const auto& tried = pending->tried;
    const bool already_tried =
        std::find(tried.begin(), tried.end(), ranked[i]) != tried.end();
    if (!already_tried) return ranked[i];
  }
  return std::nullopt;
}

void Forwarder::Impl::SendNext(Pending* pending) {
  const std::optional<std::string> target = NextTarget(pending);
  if (target.has_value()) {
    Send(pending, *target);
  } else {
    RestartRanking(pending);
  }
}

void Forwarder::Impl::Send(Pending* pending, const std::string& instance) {
  const CallId call = next_call_++;
  const bool is_settle = pending->phase == Phase::kSettling;
  calls_[call] = Call{pending->tag, instance, now_, is_settle};
  pending->tried.push_back(instance);
  pending->watched_call = call;
  pending->retry_at = TimePoint::max();
  const StatementRequest& request = pending->request;
  if (is_settle) {
    const SettleRequest settle{request.request_id, request.group,
                               request.workspace, request.deadline};
    pending->settle_calls.insert(call);
    actions_->push_back(Settle{call, instance, settle});
  } else {
    pending->unanswered_copies.insert(call);
    actions_->push_back(Forward{call, instance, request});
  }
  Reschedule(pending);
}

/// All instances in reach have been tried. Unless no instance is known, starts
/// again from the top of the ranking after a backoff, charged to the retry
/// budget.
void Forwarder::Impl::RestartRanking(Pending* pending) {
  if (pending->tried.empty()) {
    GiveUp(pending, Reason::kNotReady);
    return;
  }
  pending->tried.clear();
  RetryOrGiveUp(pending, Reason::kNotReady);
}

/// Schedules the next retry. Returns false if the retry budget is exhausted.
bool Forwarder::Impl::ScheduleRetry(Pending* pending) {
  if (!budget_.TakeRetry()) return false;
  pending->watched_call = 0;
  pending->retry_at = now_ + backoff_.Delay(pending->retry_rounds++);
  Reschedule(pending);
  return true;
}

void Forwarder::Impl::RetryOrGiveUp(Pending* pending, Reason reason) {
  if (!ScheduleRetry(pending)) GiveUp(pending, reason);
}

/// From here on the request is not sent again: the settle call fences its id,
/// or finds the record of its run.
void Forwarder::Impl::BeginSettling(Pending* pending) {
  pending->phase = Phase::kSettling;
  SendNext(pending);
}

void Forwarder::Impl::Reschedule(Pending* pending) {
  TimePoint due = std::min(pending->request.deadline, pending->retry_at);
  const auto watched = calls_.find(pending->watched_call);
  if (watched != calls_.end()) {
    const Call& call = watched->second;
    due = std::min(due, health_.NextEvaluation(call.instance, call.sent));
  }
  due_.erase({pending->due, pending->tag});
  pending->due = due;
  due_.emplace(due, pending->tag);
}

void Forwarder::Impl::Finish(Pending* pending, StatementAnswer answer) {
  actions_->push_back(Respond{pending->tag, std::move(answer)});
  Remove(pending);
}

void Forwarder::Impl::FinishUnknown(Pending* pending, Reason reason) {
  Finish(pending, StatementAnswer::Unknown(reason));
}

/// The only place that answers "not run" without such an answer from an
/// instance.
void Forwarder::Impl::GiveUp(Pending* pending, Reason reason) {
  if (pending->is_certainly_not_run()) {
    Finish(pending, StatementAnswer::NotRun(NotRunProof::NeverSent(), reason,
                                            backoff_.RetryAfter()));
    return;
  }
  const bool deadline_passed = reason == Reason::kDeadline;
  FinishUnknown(pending, deadline_passed ? reason : Reason::kInstanceLost);
}

void Forwarder::Impl::Remove(Pending* pending) {
  due_.erase({pending->due, pending->tag});
  for (const CallId call : pending->unanswered_copies) calls_.erase(call);
  for (const CallId call : pending->settle_calls) calls_.erase(call);
  requests_.erase(pending->tag);
}

void Forwarder::Impl::RecordAnswer(const std::string& instance) {
  if (health_.OnAnswer(now_, instance)) actions_->push_back(Trust{instance});
}

void Forwarder::Impl::RecordFailure(const std::string& instance) {
  if (health_.OnFailure(now_, instance)) actions_->push_back(Suspect{instance});
}

}  // namespace ryefold::core::entry
