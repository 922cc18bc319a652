#pragma once

// What is configured (routes) and what exists (databases), as sessions need
// it. Sources of both push new versions; see `DirectoryListener`.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "ryefold/core/workspace/workspaces.h"

namespace ryefold::core::session {

/// How current a read has to be.
enum class Freshness : uint8_t {
  kPrimary,  ///< Holds every commit acknowledged before the read began.
  kBounded,  ///< May miss commits younger than `Route::max_staleness`.
  kSession,  ///< As kBounded, and holds the session's own commits.
};

/// One name that callers connect to.
struct Route {
  std::string name;
  std::string group;
  Freshness freshness = Freshness::kPrimary;
  /// Longest time a single statement may take.
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
  /// The databases acknowledge a commit only once a replica has received it.
  bool confirms_commits = false;
};

/// Everything configured, at one version.
struct RouteTable {
  uint64_t version = 0;
  std::map<std::string, Route> routes;
  std::map<std::string, GroupLimits> groups;
  workspace::WorkspaceTable workspaces;
  /// A transaction without a statement for this long may be ended.
  std::chrono::milliseconds transaction_idle{3000};
};

/// One database as the platform's list shows it. The list lags: it is a hint
/// about who exists and who leads, never a proof.
struct Database {
  std::string id;
  std::string group;
  /// "ip:port"
  std::string address;
  std::string failure_domain;
  /// Statements it runs at once.
  uint32_t slots = 3;
  /// Leaving: takes no new work, ends some seconds later.
  bool draining = false;
  /// Takes itself for the primary.
  bool claims_primary = false;
  /// When its process started, by its own clock; epoch when it does not say. A
  /// database that starts again under its id holds nothing of before, so what
  /// is known of it belongs to one such moment.
  std::chrono::sys_time<std::chrono::milliseconds> born;

  bool operator==(const Database&) const = default;
};

/// All databases by id.
using Roster = std::map<std::string, Database>;

}  // namespace ryefold::core::session
