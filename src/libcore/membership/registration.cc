#include "ryefold/core/membership/registration.h"

#include <algorithm>

namespace ryefold::core::membership {

using std::chrono::milliseconds;

namespace {

/// Inverse of the random fraction of the renewal interval. Without jitter,
/// instances that started together would always renew at the same time.
constexpr int kJitterDivisor = 5;

}  // namespace

Registration::Registration(RegistrationTiming timing, uint64_t seed,
                           RegistrationPort* port)
    : timing_(timing), port_(port), random_(seed) {}

void Registration::Start(TimePoint now) { Schedule(now, Step::kGrant); }

void Registration::Leave() {
  leaving_ = true;
  due_at_ = TimePoint::max();
  if (lease_ != 0) port_->EndLease(lease_);
}

void Registration::EntryLost(TimePoint now) {
  // A pending call either detects the loss or is the new registration itself.
  if (leaving_ || due_at_ == TimePoint::max() || step_ == Step::kGrant) return;
  Schedule(now + RandomUpTo(timing_.reregistration_spread), Step::kGrant);
}

void Registration::LeaseGranted(TimePoint now, std::optional<LeaseId> lease) {
  if (!lease.has_value()) {
    ScheduleRetry(now, Step::kGrant);
    return;
  }
  lease_ = *lease;
  if (leaving_) {
    port_->EndLease(lease_);
  } else {
    port_->PutEntry(lease_);
  }
}

void Registration::EntryPut(TimePoint now, StoreOutcome outcome) {
  if (outcome != StoreOutcome::kDone) {
    ScheduleRetry(now, Step::kGrant);
    return;
  }
  failures_ = 0;
  const milliseconds jitter = timing_.renew_interval / kJitterDivisor;
  Schedule(now + timing_.renew_interval - RandomUpTo(jitter), Step::kRenew);
}

void Registration::LeaseRenewed(TimePoint now, StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kDone:
      EntryPut(now, outcome);
      break;
    case StoreOutcome::kRefused:
      Schedule(now, Step::kGrant);
      break;
    case StoreOutcome::kUnknown:
      ScheduleRetry(now, Step::kRenew);
      break;
  }
}

void Registration::Schedule(TimePoint when, Step step) {
  if (leaving_) return;
  step_ = step;
  due_at_ = when;
}

void Registration::ScheduleRetry(TimePoint now, Step step) {
  constexpr uint32_t kMaxDoublings = 8;
  const uint32_t doublings = std::min(failures_++, kMaxDoublings);
  const milliseconds delay =
      std::min(timing_.retry_delay * (1 << doublings), timing_.max_retry_delay);
  Schedule(now + delay / 2 + RandomUpTo(delay / 2), step);
}

milliseconds Registration::RandomUpTo(milliseconds limit) {
  std::uniform_int_distribution<int64_t> distribution(0, limit.count());
  return milliseconds(distribution(random_));
}

void Registration::Tick(TimePoint now) {
  if (now < due_at_) return;
  due_at_ = TimePoint::max();
  if (step_ == Step::kGrant) {
    port_->GrantLease(timing_.lease_ttl);
  } else {
    port_->RenewLease(lease_);
  }
}

}  // namespace ryefold::core::membership
