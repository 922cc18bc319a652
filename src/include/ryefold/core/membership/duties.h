#pragma once

// Assignment of database groups to keepers. The keeper of a group is the
// instance that holds its database connections; the successor is the next
// instance in the group's rank order, which checks that the keeper is alive.
// Entries, the instances that receive callers' requests, forward them to the
// keeper.
//
// Two instances may keep one group at the same time. This only costs
// connections: the databases check terms, which decide what is valid.

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

/// The catalog in force has changed; `groups` are its groups.
struct GroupsChanged {
  std::vector<std::string> groups;
};
/// The members or suspicions of the roster have changed.
struct RosterChanged {};
struct CheckAnswered {
  CallId call = 0;
  configuration::DutyReply reply;
};
/// A check failed. `refused`: the address is reachable but the peer does not
/// listen there or closed its connections; a timeout may only be slowness.
struct CheckFailed {
  CallId call = 0;
  bool refused = false;
};
/// The instance is shutting down and releases all groups.
struct Retire {};
struct DutyTick {};

using DutyEvent = std::variant<GroupsChanged, RosterChanged, CheckAnswered,
                               CheckFailed, Retire, DutyTick>;

// ---- actions ----

/// Starts or continues to keep the group (`group::StepUp`).
struct KeepGroup {
  std::string group;
};
/// Finishes open requests and releases the connections (`group::StepDown`).
struct ReleaseGroup {
  std::string group;
};
/// Asks `instance` which of the groups in `request` it keeps.
struct CheckKeeper {
  CallId call = 0;
  std::string instance;
  std::string address;
  configuration::DutyCheck request;
  TimePoint deadline;
};
using DutyAction = std::variant<KeepGroup, ReleaseGroup, CheckKeeper>;

struct DutyTiming {
  std::chrono::milliseconds check_interval{1000};
  std::chrono::milliseconds check_timeout{800};
  /// Consecutive timeouts after which an instance is suspected; one refused
  /// connection is enough.
  uint32_t suspicion_threshold = 2;
  /// How long a group is kept after a request of an entry.
  std::chrono::milliseconds request_hold_time{10000};
  /// Number of top-ranked instances that keep a group as soon as an entry
  /// requests it. Later ones first check the instances before them.
  size_t immediate_ranks = 3;
  /// Number of top-ranked instances that may keep a group. In a region of two
  /// failure domains, one group in 2^max_ranks has all of them in one domain
  /// and loses them together.
  size_t max_ranks = 16;
};

/// State machine of one instance for all groups. Owned by the task that owns
/// the roster; not thread-safe.
class Duties {
 public:
  Duties(std::string self, Roster* roster, DutyTiming timing = {});
  ~Duties();
  Duties(const Duties&) = delete;
  Duties& operator=(const Duties&) = delete;

  void Handle(TimePoint now, const DutyEvent& event,
              std::vector<DutyAction>* actions);

  /// Handles a request of an entry for `group`. Returns whether this instance
  /// keeps the group. Starts to keep it for a limited time if necessary, so
  /// that an entry that cannot reach a live keeper is served. If false, no
  /// statement has run and the entry tries another instance.
  bool AcceptRequest(TimePoint now, const std::string& group,
                     std::vector<DutyAction>* actions);

  /// Returns the answer to a successor's check.
  configuration::DutyReply AnswerCheck(
      const configuration::DutyCheck& check) const;

  bool Keeps(const std::string& group) const;
  std::vector<std::string> kept_groups() const;
  /// Returns the groups that this instance checks as the first successor.
  std::vector<std::string> watched_groups() const;
  TimePoint next_deadline() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::core::membership
