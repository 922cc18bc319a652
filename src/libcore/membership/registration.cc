#include "ryefold/core/membership/registration.h"

#include <algorithm>

namespace ryefold::core::membership {

using std::chrono::milliseconds;

namespace {

/// Part of the pause between renewals that is drawn at random. Instances that
/// have started together would otherwise renew at one moment for good.
constexpr int kJitterDivisor = 5;

}  // namespace

Registration::Registration(RegistrationTiming timing, uint64_t seed,
                           RegistrationPort* port)
    : timing_(timing), port_(port), random_(seed) {}

void Registration::Start(TimePoint now) { Next(now, Step::kGrant); }

void Registration::Leave() {
  leaving_ = true;
  due_ = TimePoint::max();
  if (lease_ != 0) port_->EndLease(lease_);
}

void Registration::EntryLost(TimePoint now) {
  // What is due sooner finds out or is the remedy.
  if (leaving_ || due_ == TimePoint::max() || step_ == Step::kGrant) return;
  Next(now + UpTo(timing_.spread), Step::kGrant);
}

void Registration::LeaseGranted(TimePoint now, std::optional<LeaseId> lease) {
  if (!lease.has_value()) {
    Retry(now, Step::kGrant);
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
    Retry(now, Step::kGrant);
    return;
  }
  failures_ = 0;
  const milliseconds jitter = timing_.renew / kJitterDivisor;
  Next(now + timing_.renew - UpTo(jitter), Step::kRenew);
}

void Registration::LeaseRenewed(TimePoint now, StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kDone:
      EntryPut(now, outcome);
      break;
    case StoreOutcome::kRefused:
      Next(now, Step::kGrant);
      break;
    case StoreOutcome::kUnknown:
      Retry(now, Step::kRenew);
      break;
  }
}

void Registration::Next(TimePoint when, Step step) {
  if (leaving_) return;
  step_ = step;
  due_ = when;
}

void Registration::Retry(TimePoint now, Step step) {
  constexpr uint32_t kMostDoublings = 8;
  const uint32_t doublings = std::min(failures_++, kMostDoublings);
  const milliseconds pause =
      std::min(timing_.retry * (1 << doublings), timing_.most_retry);
  Next(now + pause / 2 + UpTo(pause / 2), step);
}

milliseconds Registration::UpTo(milliseconds most) {
  std::uniform_int_distribution<int64_t> part(0, most.count());
  return milliseconds(part(random_));
}

void Registration::Tick(TimePoint now) {
  if (now < due_) return;
  due_ = TimePoint::max();
  if (step_ == Step::kGrant) {
    port_->GrantLease(timing_.ttl);
  } else {
    port_->RenewLease(lease_);
  }
}

}  // namespace ryefold::core::membership
