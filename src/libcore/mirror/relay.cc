#include "ryefold/core/mirror/relay.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::mirror {

RelayAnswer Relay::CopyAnswer() const {
  RelayAnswer answer;
  answer.current = has_copy_;
  if (!has_copy_) return answer;
  answer.whole = true;
  answer.changes = log_->AllChanges();
  answer.as_of = log_->as_of();
  answer.digest = log_->digest();
  answer.confirmed_at = confirmed_at_;
  return answer;
}

RelayAnswer Relay::AnswerFor(const PendingRequest& request) const {
  if (request.copy) return CopyAnswer();
  const uint64_t after = request.after;
  RelayAnswer answer;
  answer.current = state_ == RelayState::kCurrent;
  if (!answer.current) return answer;
  answer.as_of = log_->as_of();
  answer.digest = log_->digest();
  answer.confirmed_at = confirmed_at_;
  auto changes = after == 0 ? std::nullopt : log_->ChangesSince(after);
  answer.whole = !changes.has_value();
  answer.after = answer.whole ? 0 : after;
  answer.changes = answer.whole ? log_->AllChanges() : std::move(*changes);
  return answer;
}

void Relay::HandleRequest(TimePoint now, RelayCallId call, uint64_t after,
                          TimePoint wait_until) {
  const bool current = state_ == RelayState::kCurrent;
  const bool has_changes = current && after < log_->as_of();
  if (state_ == RelayState::kNotCurrent || has_changes || now >= wait_until) {
    port_->SendRelayAnswer(call, AnswerFor({after, wait_until}));
    return;
  }
  pending_[call] = {after, wait_until};
}

void Relay::HandleCopyRequest(TimePoint now, RelayCallId call,
                              TimePoint wait_until) {
  if (has_copy_ || now >= wait_until) {
    port_->SendRelayAnswer(call, CopyAnswer());
    return;
  }
  pending_[call] = {0, wait_until, /*copy=*/true};
}

void Relay::SetHasCopy(bool has_copy) {
  if (std::exchange(has_copy_, has_copy) == has_copy || !has_copy) return;
  AnswerMatching([](const PendingRequest& each) { return each.copy; });
}

template <class Predicate>
void Relay::AnswerMatching(const Predicate& matches) {
  std::vector<std::pair<RelayCallId, PendingRequest>> answered;
  for (const auto& [call, each] : pending_) {
    if (matches(each)) answered.emplace_back(call, each);
  }
  for (const auto& [call, request] : answered) {
    pending_.erase(call);
    port_->SendRelayAnswer(call, AnswerFor(request));
  }
}

void Relay::SetState(RelayState state, TimePoint confirmed_at) {
  confirmed_at_ = confirmed_at;
  if (std::exchange(state_, state) == state) return;
  // Calls stay pending while this instance catches up: if they were refused at
  // once, all callers would turn to the store while all relays list it.
  if (state == RelayState::kNotCurrent) {
    AnswerMatching([](const PendingRequest& each) { return !each.copy; });
  }
}

void Relay::OnLogChanged() {
  if (state_ != RelayState::kCurrent) return;
  const uint64_t as_of = log_->as_of();
  AnswerMatching([as_of](const PendingRequest& each) {
    return !each.copy && each.after < as_of;
  });
}

void Relay::Tick(TimePoint now) {
  AnswerMatching(
      [now](const PendingRequest& each) { return each.until <= now; });
}

TimePoint Relay::next_deadline() const {
  TimePoint next = TimePoint::max();
  for (const auto& [call, each] : pending_) next = std::min(next, each.until);
  return next;
}

}  // namespace ryefold::core::mirror
