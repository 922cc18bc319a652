#pragma once

// Resolved configuration of groups and workspaces.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ryefold::core {

/// Scheduling and limits of one workspace, as a keeper uses them.
struct WorkspacePolicy {
  std::string workspace;
  /// Priority class; 0 is served first.
  uint32_t priority = 0;
  /// Share of the group's capacity within the class, relative to other
  /// workspaces.
  uint32_t weight = 1;
  /// Number of connections that the workspace may hold while other workspaces
  /// wait for one.
  uint32_t connection_share = 1;
  /// Maximum data age for reads that do not specify one.
  std::chrono::milliseconds max_age{0};
};

/// One database of a group.
struct DatabaseSpec {
  std::string database;
  /// "ip:port".
  std::string address;
  std::string failure_domain;
  /// The platform lists the database as leaving: it gets no new statements.
  bool leaving = false;

  bool operator==(const DatabaseSpec&) const = default;
};

/// A database group and the limits that apply to each of its databases.
struct GroupSpec {
  std::string group;
  std::vector<DatabaseSpec> databases;
  /// Statements that a database runs concurrently; further ones queue inside
  /// it.
  uint32_t slots = 3;
  /// Connections that a database accepts in total.
  uint32_t connection_limit = 20;
  /// Connections kept free for a successor keeper and for open transactions.
  uint32_t connection_reserve = 6;
  /// Expected time to open a connection; used for planning only.
  std::chrono::milliseconds connect_time{10};
  /// Maximum length of the keeper's queue, in requests.
  uint32_t queue_limit = 2000;
};

/// A workspace with the credentials of its callers.
struct WorkspaceSpec {
  WorkspacePolicy policy;
  std::string group;
  /// Hex of SHA-256(salt + key); the key itself is not stored.
  std::string key_hash;
  std::string key_salt;
};

/// The configuration in force at one revision.
struct Catalog {
  uint64_t revision = 0;
  std::map<std::string, GroupSpec> groups;
  std::map<std::string, WorkspaceSpec> workspaces;
};

}  // namespace ryefold::core
