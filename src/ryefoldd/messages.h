#pragma once

// What the daemon's tasks say to each other. Each task owns its sockets and
// its state; nothing else is shared but the mailboxes and the metrics.

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "ryefold/core/group/keeper.h"
#include "ryefold/core/membership/roster.h"
#include "ryefold/core/messages.h"
#include "ryefold/core/outcome.h"
#include "ryefold/core/policy.h"
#include "ryefold/settings/instance.h"
#include "ryefold/task/mailbox.h"
#include "ryefoldd/metrics.h"

namespace ryefold::ryefoldd {

using CatalogPtr = std::shared_ptr<const core::Catalog>;
using RosterPtr = std::shared_ptr<const core::membership::Roster>;

/// Configuration that has come into force on this instance.
struct CatalogInForce {
  CatalogPtr catalog;
};
/// Shutting down: take nothing new, finish what is in progress.
struct BeginDrain {};

// ---- to the entry ----

/// A keeper of this same instance answered.
struct LocalAnswered {
  uint64_t call = 0;
  core::StatementAnswer answer =
      core::StatementAnswer::Unknown(core::Reason::kNone);
};
/// The keeper task of this instance runs.
struct LocalAlive {};
/// The keeper task failed; calls it had taken may or may not have run.
struct KeeperTaskFailed {};
struct RosterChanged {
  RosterPtr roster;
};
/// Whether this instance knows what is in force.
struct ReadinessChanged {
  bool ready = false;
};
/// Control answered an operator's call.
struct AdminAnswered {
  uint64_t tag = 0;
  int status = 500;
  std::string body;
};
using EntryMessage = std::variant<CatalogInForce, BeginDrain, LocalAnswered,
                                  LocalAlive, KeeperTaskFailed, RosterChanged,
                                  ReadinessChanged, AdminAnswered>;

// ---- to the keeper ----

struct LocalStatement {
  uint64_t call = 0;
  core::StatementRequest request;
};
/// Answered by LocalAlive.
struct LocalProbe {};
struct LocalSettle {
  uint64_t call = 0;
  core::SettleRequest request;
};
/// Groups that this instance is to keep; others are stepped down from.
struct DutiesChanged {
  std::vector<std::string> keep;
};
/// Control's answer to a peer that asked through the peer port.
struct ControlReplied {
  uint64_t tag = 0;
  std::string body;
};
/// Control wants the state of all keepers, for operators.
struct StatusAsked {
  uint64_t tag = 0;
};
using KeeperMessage =
    std::variant<CatalogInForce, BeginDrain, LocalStatement, LocalSettle,
                 LocalProbe, DutiesChanged, ControlReplied, StatusAsked>;

// ---- to control ----

/// A peer's control message that arrived at the peer port.
struct PeerAsked {
  uint64_t tag = 0;
  std::string path;
  std::string body;
};
/// An operator's call, already authenticated.
struct AdminAsked {
  uint64_t tag = 0;
  std::string method;
  std::string path;
  std::string query_prefix;
  std::string query_key;
  std::string query_revision;
  std::string body;
};
/// The entry saw an instance fail to answer, or answer.
struct InstanceSuspected {
  std::string instance;
};
struct InstanceTrusted {
  std::string instance;
};
/// An entry sent a request for a group that is not among the duties.
struct GroupAsked {
  std::string group;
};
struct KeepersReported {
  uint64_t tag = 0;
  std::vector<core::group::KeeperView> keepers;
};
/// A task has (re)started and knows nothing yet.
struct TaskStarted {};
using ControlMessage =
    std::variant<BeginDrain, TaskStarted, PeerAsked, AdminAsked,
                 InstanceSuspected, InstanceTrusted, GroupAsked,
                 KeepersReported>;

/// Mailboxes, settings and counters that the tasks are built with. Outlives
/// every run of every task.
struct Wiring {
  explicit Wiring(settings::InstanceSettings instance_settings)
      : settings(std::move(instance_settings)) {}

  const settings::InstanceSettings settings;
  Metrics metrics;
  task::Mailbox<EntryMessage> entry;
  task::Mailbox<KeeperMessage> keeper;
  task::Mailbox<ControlMessage> control;

  /// Set first of all when the instance is to leave: /readyz says so.
  std::atomic<bool> leaving{false};
  // Read by main while draining and for the start line.
  std::atomic<bool> entry_listening{false};
  std::atomic<bool> peers_listening{false};
  std::atomic<uint64_t> entry_in_progress{0};
  std::atomic<uint64_t> keeper_in_progress{0};
  std::atomic<uint64_t> keepers_open{0};
};

}  // namespace ryefold::ryefoldd
