#pragma once

// Assignment of the parts of the workspaces' limits to the instances that grant
// them. The table is kept in the platform's store; every instance has a copy.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::limits {

/// Number of shards over which the parts of all workspaces' limits are hashed.
inline constexpr size_t kShardCount = 256;
/// Number of parts of each workspace's limit. Usually each part is granted by a
/// different instance, so the loss of one instance leaves the other parts.
inline constexpr size_t kPartsPerLimit = 4;

/// Returns the shard that a part of the workspace's limit belongs to.
size_t ShardOf(std::string_view workspace, size_t part);

/// An instance that can own shards. Requests are addressed by name; the address
/// distinguishes two processes with the same name.
struct ShardOwner {
  std::string instance;
  std::string address;
  std::string failure_domain;

  auto operator<=>(const ShardOwner&) const = default;  // NOLINT
};

struct Shard {
  ShardOwner owner;
  /// Number of the table that assigned the shard to this owner.
  uint64_t assigned = 0;
  /// The previous owner has certainly stopped granting.
  bool settled = false;

  bool operator==(const Shard&) const = default;
};

struct ShardTable {
  /// Increases by one with each reassignment.
  uint64_t number = 0;
  std::vector<Shard> shards;

  bool operator==(const ShardTable&) const = default;
};

/// Returns the first table. Its shards are settled because no instance has
/// granted before.
ShardTable MakeFirstTable(const std::vector<ShardOwner>& instances);

/// Reassigns the shards of the `lost` owners to the instances that own the
/// fewest. Returns nullopt if no other instance is available.
std::optional<ShardTable> ReassignShards(
    const ShardTable& table, const std::set<ShardOwner>& lost,
    const std::vector<ShardOwner>& instances);

}  // namespace ryefold::core::limits
