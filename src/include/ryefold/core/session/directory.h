#pragma once

// Configuration (routes) and discovery (databases) as sessions need them. The
// sources of both push new versions through `DirectoryListener`.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ryefold/core/workspace/workspaces.h"

namespace ryefold::core::session {

/// Consistency of a read.
enum class Freshness : uint8_t {
  kPrimary,  ///< Sees every commit acknowledged before the read began.
  kBounded,  ///< May miss commits younger than `Route::max_staleness`.
  kSession,  ///< As kBounded, and sees the session's own commits.
};

/// A database name that callers connect to, with its settings.
struct Route {
  std::string name;
  std::string group;
  Freshness freshness = Freshness::kPrimary;
  /// Timeout of a single statement.
  std::chrono::milliseconds statement_timeout{1000};
  /// Response-time objective of a whole operation.
  std::chrono::milliseconds goal{500};
  std::chrono::milliseconds max_staleness{0};
  /// 0 is served first.
  uint32_t priority = 0;
  /// Callers need no key and belong to no workspace.
  bool open_to_all = false;
};

/// Limits of one database group.
struct GroupLimits {
  /// Connections that one database accepts from all callers together.
  uint32_t connection_limit = 20;
  /// The databases replicate synchronously: they acknowledge a commit only
  /// after a replica has received it.
  bool confirms_commits = false;
};

/// The complete configuration at one version.
struct RouteTable {
  uint64_t version = 0;
  std::map<std::string, Route> routes;
  std::map<std::string, GroupLimits> groups;
  workspace::WorkspaceTable workspaces;
  /// Idle time after which an open transaction may be rolled back.
  std::chrono::milliseconds transaction_idle_timeout{3000};
};

/// One database as listed by the platform. The list may be out of date: it is a
/// hint about existing databases and the primary, never a proof.
struct Database {
  std::string id;
  std::string group;
  /// "ip:port"
  std::string address;
  std::string failure_domain;
  /// Statements that the database runs concurrently.
  uint32_t slots = 3;
  /// Draining: accepts no new work and shuts down a few seconds later.
  bool draining = false;
  /// The database claims to be the primary.
  bool claims_primary = false;
  /// Start time of the database process by its own clock; the epoch if not
  /// reported. A database restarted under the same id has lost its state, so
  /// knowledge about it is valid only for one start time.
  std::chrono::sys_time<std::chrono::milliseconds> started_at;

  bool operator==(const Database&) const = default;
};

/// All databases by id.
using Roster = std::map<std::string, Database>;

/// What changed in the list of databases.
struct RosterChange {
  /// Databases that were added or whose entry changed.
  Roster listed;
  /// Ids that are no longer listed.
  std::vector<std::string> unlisted;
};

}  // namespace ryefold::core::session
