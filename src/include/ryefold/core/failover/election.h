#pragma once

// Which instance may order promotions: one holder at a time, by a leased key
// in a store that is not ours.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "ryefold/core/event.h"
#include "ryefold/core/types.h"

namespace ryefold::core::failover {

/// Names one lease of the store; 0 for none.
using LeaseId = uint64_t;

/// What became of a call to the store.
enum class StoreOutcome : uint8_t {
  kDone,
  kRefused,  ///< Not done and never will be; for a renewal: the lease is gone.
  kUnknown,  ///< No answer, or none that says: try again later.
};

/// Calls on the store. Each leads to one event of the election, never before
/// the call has returned.
class ElectionPort {
 public:
  virtual ~ElectionPort() = default;
  virtual void GrantLease(std::chrono::milliseconds ttl) = 0;
  virtual void RenewLease(LeaseId lease) = 0;
  /// Writes the holder's key under the lease unless it exists.
  virtual void ClaimDuty(LeaseId lease) = 0;
  /// Best effort: the lease ends by itself as well. Leads to no event.
  virtual void EndLease(LeaseId lease) = 0;
};

/// The holder's key as the store shows it.
struct HolderRecord {
  std::string instance;
  LeaseId lease = 0;
  /// Store revision at which the key came to exist: the fencing token.
  uint64_t token = 0;
};

struct ElectionTiming {
  /// A holder that dies is replaced this long after its last renewal at most.
  /// Three renewals fit in, so that one lost answer does not end the duty.
  std::chrono::milliseconds ttl{3000};
  std::chrono::milliseconds renew{1000};
  /// Pause after a call that failed.
  std::chrono::milliseconds retry{300};
  /// Kept back from the end of the lease, for clocks that run unevenly.
  std::chrono::milliseconds reserve{200};
  /// Candidates claim in the order of their ranks, this long after each other:
  /// a claim takes two of the store's answers, and one that sees the key taken
  /// does not claim.
  std::chrono::milliseconds stagger{25};
  /// Those beyond the first few hold back this much longer, so that a vacancy
  /// does not cost a call from each instance of a large fleet. Few enough that
  /// their turns are soon over, and so many that a partition rarely takes them
  /// all: groups then wait this much longer for their primaries.
  size_t first_few = 16;
  std::chrono::milliseconds hold_back{2500};
  /// One that has just started lets this pass first: by then it has heard of
  /// the others, by a watch every two seconds, and so knows its rank.
  std::chrono::milliseconds settle{2600};
};

/// State machine of one instance's candidacy. The time is one that counts
/// suspensions: a holder that slept past its lease has to know it.
class Election {
 public:
  Election(std::string instance, ElectionTiming timing, ElectionPort* port,
           EventSink* events);

  /// The holder's key changed or was found gone. `revision` is the change's
  /// own, or that of the listing in which the key was missing.
  void HolderSeen(TimePoint now, const std::optional<HolderRecord>& holder,
                  uint64_t revision);
  /// `sent` is when the call was made: the lease runs from its arrival.
  void LeaseGranted(TimePoint now, StoreOutcome outcome, LeaseId lease,
                    std::chrono::milliseconds ttl);
  void LeaseRenewed(TimePoint now, StoreOutcome outcome);
  void DutyClaimed(TimePoint now, StoreOutcome outcome, uint64_t token);

  /// How many instances come before this one, by any order that is the same
  /// everywhere.
  void SetRank(size_t rank) { rank_ = rank; }

  /// Gives the duty up to get a new token with the next one: a call without an
  /// answer may still be executed, and only a higher token fences it off.
  void Renounce(TimePoint now, std::string_view reason);
  /// Gives the duty up for good, on the way out.
  void Retire(TimePoint now);

  void Tick(TimePoint now);
  TimePoint next_deadline() const { return due_; }

  /// The fencing token, while the duty is held beyond doubt.
  std::optional<uint64_t> token(TimePoint now) const;
  const std::string& instance() const { return instance_; }

 private:
  enum class State : uint8_t {
    kWaiting,   ///< Another holds the duty, or a pause runs until `due_`.
    kGranting,  ///< A lease was asked for.
    kClaiming,  ///< The key is being written.
    kHolding,
    kRetired,
  };
  void Campaign(TimePoint now);
  void Hold(TimePoint now, uint64_t token);
  void StepDown(TimePoint now, std::string_view reason);
  std::chrono::milliseconds Turn() const;
  void WaitFor(TimePoint now, std::chrono::milliseconds pause);

  const std::string instance_;
  const ElectionTiming timing_;
  ElectionPort* port_;
  EventSink* events_;
  State state_ = State::kWaiting;
  size_t rank_ = 0;
  bool store_seen_ = false;
  /// Waits for the first news of the others.
  bool settling_ = false;
  bool vacant_ = false;
  LeaseId lease_ = 0;
  uint64_t token_ = 0;
  /// End of the lease, counted from before the call that set it.
  TimePoint valid_until_;
  TimePoint sent_at_;
  bool renewing_ = false;
  TimePoint due_ = TimePoint::max();
};

}  // namespace ryefold::core::failover
