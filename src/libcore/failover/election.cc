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

milliseconds Election::ClaimDelay() const {
  const milliseconds claim_delay =
      timing_.claim_stagger * static_cast<int64_t>(rank_);
  return rank_ < timing_.early_candidates
             ? claim_delay
             : claim_delay + timing_.late_claim_delay;
}

void Election::WaitFor(TimePoint now, milliseconds delay) {
  state_ = State::kWaiting;
  deadline_ = now + delay;
}

void Election::HolderChanged(TimePoint now,
                             const std::optional<HolderRecord>& holder,
                             uint64_t revision) {
  if (state_ == State::kRetired) return;
  const bool first = !std::exchange(store_read_, true);
  vacant_ = !holder.has_value();
  const bool ours = holder.has_value() && holder->instance == instance_ &&
                    holder->lease == lease_ && lease_ != 0;
  if (ours) {
    // The answer to the claim may have been lost; the key shows its outcome.
    if (state_ == State::kClaiming) BecomeHolder(now, holder->token);
    return;
  }
  if (state_ == State::kHolding && revision > token_) {
    StepDown(now, vacant_ ? "holder key deleted"
                          : "holder key owned by another instance");
    return;
  }
  if (state_ != State::kWaiting) return;
  if (vacant_) {
    if (first) {
      in_startup_delay_ = true;
      WaitFor(now, timing_.startup_delay);
    } else if (!in_startup_delay_ && deadline_ == TimePoint::max()) {
      // A running delay is not restarted: changes that arrive faster than the
      // delay ends would postpone the claim forever.
      WaitFor(now, ClaimDelay());
    }
  } else {
    deadline_ = TimePoint::max();
  }
}

void Election::Campaign(TimePoint now) {
  state_ = State::kGranting;
  call_sent_at_ = now;
  deadline_ = TimePoint::max();
  port_->GrantLease(timing_.lease_ttl);
}

void Election::LeaseGranted(TimePoint now, StoreOutcome outcome, LeaseId lease,
                            milliseconds ttl) {
  if (state_ != State::kGranting) {
    if (outcome == StoreOutcome::kDone) port_->EndLease(lease);
    return;
  }
  if (outcome != StoreOutcome::kDone) {
    WaitFor(now, timing_.retry_delay);
    return;
  }
  lease_ = lease;
  valid_until_ = call_sent_at_ + ttl - timing_.expiry_margin;
  state_ = State::kClaiming;
  // If no answer arrives, the key itself may still show the outcome.
  deadline_ = valid_until_;
  port_->ClaimDuty(lease);
}

void Election::DutyClaimed(TimePoint now, StoreOutcome outcome,
                           uint64_t token) {
  if (state_ != State::kClaiming) return;
  if (outcome == StoreOutcome::kDone) {
    BecomeHolder(now, token);
  } else if (outcome == StoreOutcome::kRefused) {
    port_->EndLease(std::exchange(lease_, 0));
    vacant_ = false;
    state_ = State::kWaiting;
    deadline_ = TimePoint::max();
  }
}

void Election::BecomeHolder(TimePoint now, uint64_t token) {
  state_ = State::kHolding;
  token_ = token;
  renewing_ = false;
  deadline_ = call_sent_at_ + timing_.renew_interval;
  Event(events_, EventPriority::kState, "duty_held")
      .Add("token", token)
      .Add("lease", lease_)
      .Add("valid_for", valid_until_ - now);
}

void Election::StepDown(TimePoint now, std::string_view reason) {
  Event(events_, EventPriority::kState, "duty_lost")
      .Add("token", token_)
      .Add("reason", reason);
  port_->EndLease(std::exchange(lease_, 0));
  token_ = 0;
  if (vacant_) {
    WaitFor(now, timing_.retry_delay);
  } else {
    state_ = State::kWaiting;
    deadline_ = TimePoint::max();
  }
}

void Election::LeaseRenewed(TimePoint now, StoreOutcome outcome) {
  renewing_ = false;
  if (state_ != State::kHolding) return;
  switch (outcome) {
    case StoreOutcome::kDone:
      valid_until_ = call_sent_at_ + timing_.lease_ttl - timing_.expiry_margin;
      deadline_ = call_sent_at_ + timing_.renew_interval;
      break;
    case StoreOutcome::kRefused:
      vacant_ = true;
      StepDown(now, "lease not found in the store");
      break;
    case StoreOutcome::kUnknown:
      deadline_ = now + timing_.retry_delay;
      break;
  }
}

void Election::Resign(TimePoint now, std::string_view reason) {
  if (state_ != State::kHolding) return;
  vacant_ = true;
  StepDown(now, reason);
}

void Election::Retire(TimePoint now) {
  if (state_ == State::kHolding) StepDown(now, "leaving");
  state_ = State::kRetired;
  deadline_ = TimePoint::max();
}

void Election::Tick(TimePoint now) {
  if (now < deadline_) return;
  deadline_ = TimePoint::max();
  switch (state_) {
    case State::kWaiting:
      if (!store_read_ || !vacant_) break;
      if (std::exchange(in_startup_delay_, false)) {
        WaitFor(now, ClaimDelay());
      } else {
        Campaign(now);
      }
      break;
    case State::kClaiming:
      port_->EndLease(std::exchange(lease_, 0));
      vacant_ = true;
      WaitFor(now, timing_.retry_delay);
      break;
    case State::kHolding:
      if (now >= valid_until_) {
        vacant_ = true;
        StepDown(now, "lease expired without renewal");
      } else if (!renewing_) {
        renewing_ = true;
        call_sent_at_ = now;
        deadline_ = valid_until_;
        port_->RenewLease(lease_);
      }
      break;
    default:
      break;
  }
}

}  // namespace ryefold::core::failover
