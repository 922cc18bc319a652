#pragma once

// Which groups this instance keeps, and which it watches as a successor.
//
// Two instances may keep one group at the same time. Nothing but connections
// is lost by that: terms, checked by the databases, decide what is valid.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "ryefold/core/configuration/messages.h"
#include "ryefold/core/membership/roster.h"
#include "ryefold/core/types.h"

namespace ryefold::core::membership {

using CallId = uint64_t;

// ---- events ----

/// The groups of the catalog in force.
struct GroupsChanged {
  std::vector<std::string> groups;
};
/// The roster's members have changed.
struct RosterChanged {};
struct CheckAnswered {
  CallId call = 0;
  configuration::DutyReply reply;
};
/// `refused`: the address answers, but nobody listens there, or the peer has
/// closed its connections; a mere timeout may be slowness.
struct CheckFailed {
  CallId call = 0;
  bool refused = false;
};
/// The instance is going to stop: all groups are given up.
struct Retire {};
struct DutyTick {};

using DutyEvent = std::variant<GroupsChanged, RosterChanged, CheckAnswered,
                               CheckFailed, Retire, DutyTick>;

// ---- actions ----

/// Begin to keep the group, or go on (`group::StepUp`).
struct Keep {
  std::string group;
};
/// Finish what is open and give the connections back (`group::StepDown`).
struct GiveUp {
  std::string group;
};
struct Check {
  CallId call = 0;
  std::string instance;
  std::string address;
  configuration::DutyCheck request;
  TimePoint deadline;
};
using DutyAction = std::variant<Keep, GiveUp, Check>;

struct DutyTiming {
  std::chrono::milliseconds check_interval{1000};
  std::chrono::milliseconds check_timeout{800};
  /// Timeouts in a row after which the keeper is suspected; one refused
  /// connection is enough.
  uint32_t misses = 2;
  /// How long a group is kept because entries ask for it here.
  std::chrono::milliseconds asked_for{10000};
  /// How many in rank keep a group at once because entries ask. One further
  /// down first looks whether those before it answer.
  size_t asked_ranks = 3;
  /// How many in rank take part in a group at all. In a region of two failure
  /// domains one group in 2^ranks loses all of them with one domain.
  size_t ranks = 16;
};

/// State machine of one instance, for all groups. Owned by the task that owns
/// the roster.
class Duties {
 public:
  Duties(std::string self, Roster* roster, DutyTiming timing = {});
  ~Duties();
  Duties(const Duties&) = delete;
  Duties& operator=(const Duties&) = delete;

  void Handle(TimePoint now, const DutyEvent& event,
              std::vector<DutyAction>* actions);

  /// An entry has sent a request for `group` here. True when the group is
  /// kept, if need be from now on and for a while: an entry that cannot reach
  /// the intended keeper is served although the keeper lives. False tells the
  /// entry to go elsewhere; nothing was run.
  bool Asked(TimePoint now, const std::string& group,
             std::vector<DutyAction>* actions);

  /// Answer to a successor's check.
  configuration::DutyReply Answer(const configuration::DutyCheck& check) const;

  bool Keeps(const std::string& group) const;
  std::vector<std::string> kept() const;
  /// Groups that this instance watches as a successor.
  std::vector<std::string> watched() const;
  TimePoint next_deadline() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::core::membership
