#include "ryefold/core/limits/shards.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace ryefold::core::limits {

size_t ShardOf(std::string_view workspace, size_t part) {
  return XXH64(workspace.data(), workspace.size(), part) % kShardCount;
}

ShardTable MakeFirstTable(const std::vector<ShardOwner>& instances) {
  ShardTable table;
  if (instances.empty()) return table;
  table.number = 1;
  for (size_t i = 0; i < kShardCount; ++i) {
    table.shards.push_back(
        {instances[i % instances.size()], table.number, /*settled=*/true});
  }
  return table;
}

std::optional<ShardTable> ReassignShards(
    const ShardTable& table, const std::set<ShardOwner>& lost,
    const std::vector<ShardOwner>& instances) {
  std::map<ShardOwner, size_t> owned;
  for (const ShardOwner& each : instances) {
    if (lost.count(each) == 0) owned[each] = 0;
  }
  if (owned.empty()) return std::nullopt;
  for (const Shard& shard : table.shards) {
    const auto found = owned.find(shard.owner);
    if (found != owned.end()) ++found->second;
  }
  ShardTable next = table;
  ++next.number;
  for (Shard& shard : next.shards) {
    if (lost.count(shard.owner) == 0) continue;
    const auto least = std::min_element(
        owned.begin(), owned.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    shard = {least->first, next.number, /*settled=*/false};
    ++least->second;
  }
  return next;
}

}  // namespace ryefold::core::limits
