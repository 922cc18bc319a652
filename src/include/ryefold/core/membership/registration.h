#pragma once

// Keeps this instance's entry in the platform's store, by which the others know
// that it is there: an entry under a lease, renewed while the process lives.

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "ryefold/core/failover/election.h"
#include "ryefold/core/types.h"

namespace ryefold::core::membership {

using failover::LeaseId;
using failover::StoreOutcome;

/// Calls on the store. Each but the last leads to one event of the
/// registration, never before the call has returned.
class RegistrationPort {
 public:
  virtual ~RegistrationPort() = default;
  virtual void GrantLease(std::chrono::milliseconds ttl) = 0;
  virtual void PutEntry(LeaseId lease) = 0;
  virtual void RenewLease(LeaseId lease) = 0;
  /// Best effort: the lease ends by itself as well. Leads to no event.
  virtual void EndLease(LeaseId lease) = 0;
};

struct RegistrationTiming {
  /// An instance that died is listed for this long at most. Others pass it over
  /// within a tenth of a second by its silence; the list only settles who keeps
  /// which group, so there is no hurry.
  std::chrono::milliseconds ttl{60000};
  /// Each renewal is a call to the store, and a calm fleet makes most of its
  /// calls so. Two renewals may fail.
  std::chrono::milliseconds renew{20000};
  /// Pause after a failed call, doubled up to the most, half of it at random.
  /// Entries that were lost while the store was away have to be back before
  /// other instances stop counting them, 4 s after its return.
  std::chrono::milliseconds retry{500};
  std::chrono::milliseconds most_retry{2000};
  /// When entries are lost all at once, all instances hear of it at once; they
  /// register anew spread over this span.
  std::chrono::milliseconds spread{1000};
};

/// Not thread-safe; owned by one task, which hands in every event with its
/// time.
class Registration {
 public:
  Registration(RegistrationTiming timing, uint64_t seed,
               RegistrationPort* port);

  void Start(TimePoint now);
  /// Takes the entry away: others stop sending statements here.
  void Leave();
  /// The entry was seen to be gone while this process lives: its lease ran out,
  /// or the store dropped it.
  void EntryLost(TimePoint now);

  void LeaseGranted(TimePoint now, std::optional<LeaseId> lease);
  void EntryPut(TimePoint now, StoreOutcome outcome);
  void LeaseRenewed(TimePoint now, StoreOutcome outcome);

  void Tick(TimePoint now);
  TimePoint next_deadline() const { return due_; }

 private:
  /// The call that is made at `due_`.
  enum class Step : uint8_t { kGrant, kRenew };

  void Next(TimePoint when, Step step);
  void Retry(TimePoint now, Step step);
  std::chrono::milliseconds UpTo(std::chrono::milliseconds most);

  const RegistrationTiming timing_;
  RegistrationPort* port_;
  std::mt19937_64 random_;
  LeaseId lease_ = 0;
  Step step_ = Step::kGrant;
  TimePoint due_ = TimePoint::max();
  uint32_t failures_ = 0;
  bool leaving_ = false;
};

}  // namespace ryefold::core::membership
