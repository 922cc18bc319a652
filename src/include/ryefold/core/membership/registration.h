#pragma once

// Registers this instance in the platform's store, where other instances
// discover it: a record under a lease that is renewed while the process runs.

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "ryefold/core/failover/election.h"
#include "ryefold/core/types.h"

namespace ryefold::core::membership {

using failover::LeaseId;
using failover::StoreOutcome;

/// Calls to the store. The result of each except `EndLease` is reported through
/// one event method of `Registration`, never before the call returns.
class RegistrationPort {
 public:
  virtual ~RegistrationPort() = default;
  virtual void GrantLease(std::chrono::milliseconds ttl) = 0;
  virtual void PutEntry(LeaseId lease) = 0;
  virtual void RenewLease(LeaseId lease) = 0;
  /// Best effort, since the lease also expires by itself. Reports no result.
  virtual void EndLease(LeaseId lease) = 0;
};

struct RegistrationTiming {
  /// A crashed instance stays listed for at most this long. The list only
  /// determines which instance keeps which group, so a long time is acceptable:
  /// other instances bypass an unreachable one within 100 ms.
  std::chrono::milliseconds lease_ttl{60000};
  /// Each renewal is a call to the store; in a healthy fleet most store calls
  /// are renewals. Two consecutive renewals may fail.
  std::chrono::milliseconds renew_interval{20000};
  /// Backoff after a failed call, doubled up to `max_retry_delay`; half of it
  /// is random. Records lost during a store outage must be restored before
  /// other instances drop them, 4 s after the store returns.
  std::chrono::milliseconds retry_delay{500};
  std::chrono::milliseconds max_retry_delay{2000};
  /// When all records are lost at once, all instances are notified at once.
  /// They register again at random times within this span.
  std::chrono::milliseconds reregistration_spread{1000};
};

/// State machine of the registration. Not thread-safe; owned by one task, which
/// passes in every event with its time.
class Registration {
 public:
  Registration(RegistrationTiming timing, uint64_t seed,
               RegistrationPort* port);

  void Start(TimePoint now);
  /// Removes the record, so that other instances send no more statements here.
  void Leave();
  /// The record no longer exists although this process runs: its lease expired
  /// or the store dropped it.
  void EntryLost(TimePoint now);

  void LeaseGranted(TimePoint now, std::optional<LeaseId> lease);
  void EntryPut(TimePoint now, StoreOutcome outcome);
  void LeaseRenewed(TimePoint now, StoreOutcome outcome);

  void Tick(TimePoint now);
  TimePoint next_deadline() const { return due_at_; }

 private:
  /// The call that is made at `due_at_`.
  enum class Step : uint8_t { kGrant, kRenew };

  void Schedule(TimePoint when, Step step);
  void ScheduleRetry(TimePoint now, Step step);
  std::chrono::milliseconds RandomUpTo(std::chrono::milliseconds limit);

  const RegistrationTiming timing_;
  RegistrationPort* port_;
  std::mt19937_64 random_;
  LeaseId lease_ = 0;
  Step step_ = Step::kGrant;
  TimePoint due_at_ = TimePoint::max();
  uint32_t failures_ = 0;
  bool leaving_ = false;
};

}  // namespace ryefold::core::membership
