#pragma once

// Sends store changes to other instances.

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "ryefold/core/mirror/change_log.h"
#include "ryefold/core/types.h"

namespace ryefold::core::mirror {

/// Identifies one call of another instance; chosen by the port, never reused.
using RelayCallId = uint64_t;

struct RelayAnswer {
  /// This instance follows the store and its copy is current. If false, the
  /// other fields are unset: the receiver would otherwise wait here for changes
  /// that do not arrive, and serve a stale configuration.
  bool current = false;
  bool whole = false;
  /// Revision since which the changes are; 0 if the answer is whole.
  uint64_t after = 0;
  std::vector<Change> changes;
  uint64_t as_of = 0;
  uint64_t digest = 0;
  /// `Mirror::confirmed_at`, which is sent as an age because clocks differ.
  TimePoint confirmed_at;
};

/// Whether this instance can serve as a relay.
enum class RelayState : uint8_t {
  kNotCurrent,  ///< It does not follow the store: use another source.
  kCatchingUp,  ///< It has missed changes and is listing the store again.
  kCurrent,
};

class RelayPort {
 public:
  virtual ~RelayPort() = default;
  virtual void SendRelayAnswer(RelayCallId call, const RelayAnswer& answer) = 0;
};

/// State machine that holds calls until there are changes to send. Not
/// thread-safe.
class Relay {
 public:
  Relay(const ChangeLog* log, RelayPort* port) : log_(log), port_(port) {}

  /// Handles a call of an instance that has read up to revision `after` (0:
  /// nothing). The call is answered when changes arrive, at `wait_until` at the
  /// latest, so that a timeout shows that a relay is suspended.
  void HandleRequest(TimePoint now, RelayCallId call, uint64_t after,
                     TimePoint wait_until);
  /// Handles a call of an instance that has just started and wants any recent
  /// copy. It is held until this instance has one, until `wait_until` at most.
  void HandleCopyRequest(TimePoint now, RelayCallId call, TimePoint wait_until);
  /// Drops a call whose sender no longer waits.
  void DropRequest(RelayCallId call) { pending_.erase(call); }

  /// Sets `Mirror::relay_state` and `Mirror::confirmed_at`.
  void SetState(RelayState state, TimePoint confirmed_at);
  /// Sets whether this instance has a copy to give.
  void SetHasCopy(bool has_copy);
  /// Answers waiting calls after changes were applied to the log.
  void OnLogChanged();
  void Tick(TimePoint now);
  TimePoint next_deadline() const;
  size_t pending_requests() const { return pending_.size(); }

 private:
  struct PendingRequest {
    uint64_t after = 0;
    TimePoint until;
    /// The call wants a copy.
    bool copy = false;
  };
  RelayAnswer AnswerFor(const PendingRequest& request) const;
  RelayAnswer CopyAnswer() const;
  template <class Predicate>
  void AnswerMatching(const Predicate& matches);

  const ChangeLog* log_;
  RelayPort* port_;
  RelayState state_ = RelayState::kNotCurrent;
  TimePoint confirmed_at_;
  bool has_copy_ = false;
  std::map<RelayCallId, PendingRequest> pending_;
};

}  // namespace ryefold::core::mirror
