#pragma once

// Tells other instances what has changed in the store.

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "ryefold/core/mirror/change_log.h"
#include "ryefold/core/types.h"

namespace ryefold::core::mirror {

/// Names one call of another instance; chosen by the port, never reused.
using RelayCall = uint64_t;

struct RelayAnswer {
  /// This instance follows the store and has heard from it lately. If not,
  /// nothing else is told: the other side would wait here for changes that do
  /// not come, and serve under a configuration that is no longer in force.
  bool current = false;
  bool whole = false;
  std::vector<Change> changes;
  uint64_t as_of = 0;
  uint64_t digest = 0;
  /// `Mirror::confirmed_at`; goes as an age, since clocks differ.
  TimePoint confirmed_at;
};

/// What this instance can tell others about the store.
enum class RelayState : uint8_t {
  kNotCurrent,  ///< It does not follow the store: others have to ask elsewhere.
  kCatchingUp,  ///< It has missed changes and is listing the store anew.
  kCurrent,
};

class RelayPort {
 public:
  virtual ~RelayPort() = default;
  virtual void AnswerRelayed(RelayCall call, const RelayAnswer& answer) = 0;
};

/// State machine that holds calls until there is something to tell. Not
/// thread-safe.
class Relay {
 public:
  Relay(const ChangeLog* log, RelayPort* port) : log_(log), port_(port) {}

  /// An instance that has read up to `after` (0: nothing) wants to know what
  /// changes until `wait_until`, when it is answered in any case: a relay that
  /// is suspended shows by its silence.
  void Asked(TimePoint now, RelayCall call, uint64_t after,
             TimePoint wait_until);
  /// The other side does not wait any more.
  void Gone(RelayCall call) { waiting_.erase(call); }

  /// `Mirror::relay_state` and `Mirror::confirmed_at`.
  void SetState(RelayState state, TimePoint confirmed_at);
  /// The log has taken changes in.
  void Changed();
  void Tick(TimePoint now);
  TimePoint next_deadline() const;
  size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    uint64_t after = 0;
    TimePoint until;
  };
  RelayAnswer AnswerFor(uint64_t after) const;
  /// Answers all calls for which `due` holds.
  template <class Due>
  void AnswerIf(const Due& due);

  const ChangeLog* log_;
  RelayPort* port_;
  RelayState state_ = RelayState::kNotCurrent;
  TimePoint confirmed_at_;
  std::map<RelayCall, Waiting> waiting_;
};

}  // namespace ryefold::core::mirror
