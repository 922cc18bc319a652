#include "ryefold/core/limits/shard_assigner.h"

#include <algorithm>
#include <set>

#include "ryefold/core/limits/allowance_ledger.h"

namespace ryefold::core::limits {
namespace {

using std::chrono::milliseconds;

/// The instances of a starting fleet register within this time. A table written
/// earlier would include only the first of them.
constexpr milliseconds kRegistrationWindow{2000};
/// A restarted owner registers again within this time.
constexpr milliseconds kMaxOwnerAbsence{15000};
/// Added to `kOwnershipLease` before the former owners count as stopped.
constexpr milliseconds kSettleMargin{2000};

}  // namespace

void ShardAssigner::SetInstances(TimePoint now,
                                 const std::vector<ShardOwner>& instances) {
  if (instances == instances_) return;
  instances_ = instances;
  instances_since_ = now;
  UpdateAbsentOwners(now);
}

void ShardAssigner::SetTable(TimePoint now,
                             const std::optional<ShardTable>& table) {
  if (table_known_ && table == table_) return;
  table_known_ = true;
  table_ = table;
  table_since_ = now;
  UpdateAbsentOwners(now);
}

void ShardAssigner::UpdateAbsentOwners(TimePoint now) {
  std::map<ShardOwner, TimePoint> absent;
  if (table_.has_value()) {
    for (const Shard& shard : table_->shards) {
      const bool registered = std::find(instances_.begin(), instances_.end(),
                                        shard.owner) != instances_.end();
      if (registered) continue;
      const auto known = absent_since_.find(shard.owner);
      absent[shard.owner] = known == absent_since_.end() ? now : known->second;
    }
  }
  absent_since_ = std::move(absent);
}

std::optional<ShardTable> ShardAssigner::NextTable(TimePoint now) const {
  if (!table_known_ || instances_.empty()) return std::nullopt;
  if (!table_.has_value()) {
    if (now - instances_since_ < kRegistrationWindow) return std::nullopt;
    return MakeFirstTable(instances_);
  }
  std::set<ShardOwner> lost;
  for (const auto& [owner, since] : absent_since_) {
    if (now - since >= kMaxOwnerAbsence) lost.insert(owner);
  }
  if (!lost.empty()) return ReassignShards(*table_, lost, instances_);
  const bool unsettled =
      std::any_of(table_->shards.begin(), table_->shards.end(),
                  [](const Shard& shard) { return !shard.settled; });
  if (!unsettled || now - table_since_ < kOwnershipLease + kSettleMargin) {
    return std::nullopt;
  }
  ShardTable settled = *table_;
  for (Shard& shard : settled.shards) shard.settled = true;
  return settled;
}

}  // namespace ryefold::core::limits
