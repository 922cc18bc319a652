#include "ryefold/core/failover/election.h"

#include <utility>

namespace ryefold::core::failover {

using std::chrono::milliseconds;

Election::Election(std::string instance, ElectionTiming timing,
                   ElectionPort* port, EventSink* events)
    : instance_(std::move(instance)),
      timing_(timing),
      port_(port),
      events_(events) {}

std::optional<uint64_t> Election::token(TimePoint now) const {
  const bool held = state_ == State::kHolding && now < valid_until_;
  return held ? std::optional<uint64_t>(token_) : std::nullopt;
}

milliseconds Election::Turn() const {
  const milliseconds turn = timing_.stagger * static_cast<int64_t>(rank_);
  return rank_ < timing_.first_few ? turn : turn + timing_.hold_back;
}

void Election::WaitFor(TimePoint now, milliseconds pause) {
  state_ = State::kWaiting;
  due_ = now + pause;
}

void Election::HolderSeen(TimePoint now,
                          const std::optional<HolderRecord>& holder,
                          uint64_t revision) {
  if (state_ == State::kRetired) return;
  const bool first = !std::exchange(store_seen_, true);
  vacant_ = !holder.has_value();
  const bool ours = holder.has_value() && holder->instance == instance_ &&
                    holder->lease == lease_ && lease_ != 0;
  if (ours) {
    // The answer to the claim may have been lost; the key itself says more.
    if (state_ == State::kClaiming) Hold(now, holder->token);
    return;
  }
  if (state_ == State::kHolding && revision > token_) {
    StepDown(now, vacant_ ? "key gone" : "another holds the key");
    return;
  }
  if (state_ != State::kWaiting) return;
  if (vacant_) {
    if (first) {
      settling_ = true;
      WaitFor(now, timing_.settle);
    } else if (!settling_ && due_ == TimePoint::max()) {
      // Not again while the turn is awaited: news that comes faster than turns
      // would put each off for good.
      WaitFor(now, Turn());
    }
  } else {
    due_ = TimePoint::max();
  }
}

void Election::Campaign(TimePoint now) {
  state_ = State::kGranting;
  sent_at_ = now;
  due_ = TimePoint::max();
  port_->GrantLease(timing_.ttl);
}

void Election::LeaseGranted(TimePoint now, StoreOutcome outcome, LeaseId lease,
                            milliseconds ttl) {
  if (state_ != State::kGranting) {
    if (outcome == StoreOutcome::kDone) port_->EndLease(lease);
    return;
  }
  if (outcome != StoreOutcome::kDone) {
    WaitFor(now, timing_.retry);
    return;
  }
  lease_ = lease;
  valid_until_ = sent_at_ + ttl - timing_.reserve;
  state_ = State::kClaiming;
  // Should the answer stay out, the key itself may still show the outcome.
  due_ = valid_until_;
  port_->ClaimDuty(lease);
}

void Election::DutyClaimed(TimePoint now, StoreOutcome outcome,
                           uint64_t token) {
  if (state_ != State::kClaiming) return;
  if (outcome == StoreOutcome::kDone) {
    Hold(now, token);
  } else if (outcome == StoreOutcome::kRefused) {
    port_->EndLease(std::exchange(lease_, 0));
    vacant_ = false;
    state_ = State::kWaiting;
    due_ = TimePoint::max();
  }
}

void Election::Hold(TimePoint now, uint64_t token) {
  state_ = State::kHolding;
  token_ = token;
  renewing_ = false;
  due_ = sent_at_ + timing_.renew;
  Event(events_, EventWeight::kState, "duty_held")
      .Add("token", token)
      .Add("lease", lease_)
      .Add("valid_for", valid_until_ - now);
}

void Election::StepDown(TimePoint now, std::string_view reason) {
  Event(events_, EventWeight::kState, "duty_lost")
      .Add("token", token_)
      .Add("reason", reason);
  port_->EndLease(std::exchange(lease_, 0));
  token_ = 0;
  if (vacant_) {
    WaitFor(now, timing_.retry);
  } else {
    state_ = State::kWaiting;
    due_ = TimePoint::max();
  }
}

void Election::LeaseRenewed(TimePoint now, StoreOutcome outcome) {
  renewing_ = false;
  if (state_ != State::kHolding) return;
  switch (outcome) {
    case StoreOutcome::kDone:
      valid_until_ = sent_at_ + timing_.ttl - timing_.reserve;
      due_ = sent_at_ + timing_.renew;
      break;
    case StoreOutcome::kRefused:
      vacant_ = true;
      StepDown(now, "lease ended");
      break;
    case StoreOutcome::kUnknown:
      due_ = now + timing_.retry;
      break;
  }
}

void Election::Renounce(TimePoint now, std::string_view reason) {
  if (state_ != State::kHolding) return;
  vacant_ = true;
  StepDown(now, reason);
}

void Election::Retire(TimePoint now) {
  if (state_ == State::kHolding) StepDown(now, "leaving");
  state_ = State::kRetired;
  due_ = TimePoint::max();
}

void Election::Tick(TimePoint now) {
  if (now < due_) return;
  due_ = TimePoint::max();
  switch (state_) {
    case State::kWaiting:
      if (!store_seen_ || !vacant_) break;
      if (std::exchange(settling_, false)) {
        WaitFor(now, Turn());
      } else {
        Campaign(now);
      }
      break;
    case State::kClaiming:
      port_->EndLease(std::exchange(lease_, 0));
      vacant_ = true;
      WaitFor(now, timing_.retry);
      break;
    case State::kHolding:
      if (now >= valid_until_) {
        vacant_ = true;
        StepDown(now, "lease ran out unrenewed");
      } else if (!renewing_) {
        renewing_ = true;
        sent_at_ = now;
        due_ = valid_until_;
        port_->RenewLease(lease_);
      }
      break;
    default:
      break;
  }
}

}  // namespace ryefold::core::failover
