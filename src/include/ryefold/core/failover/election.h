#pragma once

// Election of the instance that holds the duty, which is the right to order
// promotions. At most one instance holds it, through a leased key in the
// platform's store.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "ryefold/core/event.h"
#include "ryefold/core/types.h"

namespace ryefold::core::failover {

/// Identifies a lease in the store; 0 means no lease.
using LeaseId = uint64_t;

/// Result of a call to the store.
enum class StoreOutcome : uint8_t {
  kDone,
  kRefused,  ///< Has no effect; for a renewal: the lease no longer exists.
  kUnknown,  ///< No conclusive answer; to be retried later.
};

/// Calls to the store. The result of each is reported through one event method
/// of `Election`, never before the call returns.
class ElectionPort {
 public:
  virtual ~ElectionPort() = default;
  virtual void GrantLease(std::chrono::milliseconds ttl) = 0;
  virtual void RenewLease(LeaseId lease) = 0;
  /// Writes the holder key under the lease unless the key exists.
  virtual void ClaimDuty(LeaseId lease) = 0;
  /// Best effort, since the lease also expires by itself. Reports no result.
  virtual void EndLease(LeaseId lease) = 0;
};

/// The holder key as read from the store.
struct HolderRecord {
  std::string instance;
  LeaseId lease = 0;
  /// Fencing token: the store revision at which the key was created.
  uint64_t token = 0;
};

struct ElectionTiming {
  /// A crashed holder is replaced at most this long after its last renewal.
  /// Three renewals fit in, so that one lost answer does not end the duty.
  std::chrono::milliseconds lease_ttl{3000};
  std::chrono::milliseconds renew_interval{1000};
  /// Delay after a failed call.
  std::chrono::milliseconds retry_delay{300};
  /// Subtracted from the end of the lease to allow for clock drift.
  std::chrono::milliseconds expiry_margin{200};
  /// Delay between the claims of candidates with consecutive ranks. A claim
  /// takes two answers of the store; a candidate that sees the key exist does
  /// not claim.
  std::chrono::milliseconds claim_stagger{25};
  /// Candidates of this rank and above wait `late_claim_delay` longer, so that
  /// a missing holder does not cause a call from each instance of a large
  /// fleet. The number is small enough that the early claims end quickly, and
  /// large enough that a partition rarely includes all early candidates, which
  /// would delay promotions by `late_claim_delay`.
  size_t early_candidates = 16;
  std::chrono::milliseconds late_claim_delay{2500};
  /// Delay before the first claim after startup. A watch, repeated every two
  /// seconds, has listed the other instances by then, so the rank is known.
  std::chrono::milliseconds startup_delay{2600};
};

/// State machine of one instance's candidacy. Times come from a clock that
/// includes suspension, so that a holder that was suspended past the end of its
/// lease detects it.
class Election {
 public:
  Election(std::string instance, ElectionTiming timing, ElectionPort* port,
           EventSink* events);

  /// The holder key changed or does not exist. `revision` is that of the
  /// change, or of the listing that lacks the key.
  void HolderChanged(TimePoint now, const std::optional<HolderRecord>& holder,
                     uint64_t revision);
  /// The validity of the lease is counted from when the call was made.
  void LeaseGranted(TimePoint now, StoreOutcome outcome, LeaseId lease,
                    std::chrono::milliseconds ttl);
  void LeaseRenewed(TimePoint now, StoreOutcome outcome);
  void DutyClaimed(TimePoint now, StoreOutcome outcome, uint64_t token);

  /// Sets the number of instances ordered before this one. The order must be
  /// the same on all instances.
  void SetRank(size_t rank) { rank_ = rank; }

  /// Releases the duty in order to acquire it with a higher token: an
  /// unanswered promotion may still be executed, and only a higher token fences
  /// it.
  void Resign(TimePoint now, std::string_view reason);
  /// Releases the duty permanently, for shutdown.
  void Retire(TimePoint now);

  void Tick(TimePoint now);
  TimePoint next_deadline() const { return deadline_; }

  /// Returns the fencing token while the lease is certainly valid, else
  /// nullopt.
  std::optional<uint64_t> token(TimePoint now) const;
  const std::string& instance() const { return instance_; }

 private:
  enum class State : uint8_t {
    kWaiting,   ///< Another instance holds the duty, or a delay runs until
                ///< `deadline_`.
    kGranting,  ///< A lease has been requested.
    kClaiming,  ///< The holder key is being written.
    kHolding,
    kRetired,
  };
  void Campaign(TimePoint now);
  void BecomeHolder(TimePoint now, uint64_t token);
  void StepDown(TimePoint now, std::string_view reason);
  std::chrono::milliseconds ClaimDelay() const;
  void WaitFor(TimePoint now, std::chrono::milliseconds delay);

  const std::string instance_;
  const ElectionTiming timing_;
  ElectionPort* port_;
  EventSink* events_;
  State state_ = State::kWaiting;
  size_t rank_ = 0;
  bool store_read_ = false;
  /// Whether `startup_delay` is running.
  bool in_startup_delay_ = false;
  bool vacant_ = false;
  LeaseId lease_ = 0;
  uint64_t token_ = 0;
  /// End of the lease, counted from when the call that set it was made.
  TimePoint valid_until_;
  TimePoint call_sent_at_;
  bool renewing_ = false;
  TimePoint deadline_ = TimePoint::max();
};

}  // namespace ryefold::core::failover
