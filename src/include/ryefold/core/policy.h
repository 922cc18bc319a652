#pragma once

// What operators have decided for groups and workspaces, in resolved form.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ryefold::core {

/// What a keeper needs to know of one workspace.
struct WorkspacePolicy {
  std::string workspace;
  /// Priority class, 0 is served first.
  uint32_t priority = 0;
  /// Share of the group's capacity within the class, relative to others.
  uint32_t weight = 1;
  /// Connections this workspace may hold while others want theirs.
  uint32_t connection_share = 1;
  /// Data age its reads accept unless the statement says otherwise.
  std::chrono::milliseconds max_age{0};
};

/// One database of a group.
struct DatabaseSpec {
  std::string database;
  /// "ip:port".
  std::string address;
  std::string failure_domain;
  /// Listed as leaving by the platform: gets no new statement.
  bool leaving = false;

  bool operator==(const DatabaseSpec&) const = default;
};

/// A database group and the limits that apply to each of its databases.
struct GroupSpec {
  std::string group;
  std::vector<DatabaseSpec> databases;
  /// Statements a database runs at once; the rest would wait inside it.
  uint32_t slots = 3;
  /// Connections a database accepts altogether.
  uint32_t connection_limit = 20;
  /// Connections kept free for a successor keeper and for open transactions.
  uint32_t connection_reserve = 6;
  /// Time a new connection takes, used for planning only.
  std::chrono::milliseconds connect_time{10};
  /// Requests that may wait in the keeper's queue.
  uint32_t queue_limit = 2000;
};

/// What a workspace's callers need to be let in.
struct WorkspaceSpec {
  WorkspacePolicy policy;
  std::string group;
  /// Hex of SHA-256(salt + key); the key itself is never kept.
  std::string key_hash;
  std::string key_salt;
};

/// Everything in force at one revision.
struct Catalog {
  uint64_t revision = 0;
  std::map<std::string, GroupSpec> groups;
  std::map<std::string, WorkspaceSpec> workspaces;
};

}  // namespace ryefold::core
