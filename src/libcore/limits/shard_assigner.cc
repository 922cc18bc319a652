#include "ryefold/core/limits/shard_assigner.h"

#include <algorithm>
#include <set>

#include "ryefold/core/limits/allowance_ledger.h"

namespace ryefold::core::limits {
namespace {

using std::chrono::milliseconds;

/// A fleet that starts registers within this time; a table written sooner would
/// name the first few only.
constexpr milliseconds kFleetSettles{2000};
/// An owner that is restarted is back by then.
constexpr milliseconds kAbsence{15000};
/// Beyond the term, until the former owners' stop is taken for certain.
constexpr milliseconds kSettleReserve{2000};

}  // namespace

void ShardAssigner::SetInstances(TimePoint now,
                                 const std::vector<Granter>& instances) {
  if (instances == instances_) return;
  instances_ = instances;
  instances_since_ = now;
  NoteAbsent(now);
}

void ShardAssigner::SetTable(TimePoint now,
                             const std::optional<ShardTable>& table) {
  if (table_known_ && table == table_) return;
  table_known_ = true;
  table_ = table;
  table_since_ = now;
  NoteAbsent(now);
}

void ShardAssigner::NoteAbsent(TimePoint now) {
  std::map<Granter, TimePoint> absent;
  if (table_.has_value()) {
    for (const Shard& shard : table_->shards) {
      const bool here = std::find(instances_.begin(), instances_.end(),
                                  shard.owner) != instances_.end();
      if (here) continue;
      const auto known = absent_since_.find(shard.owner);
      absent[shard.owner] = known == absent_since_.end() ? now : known->second;
    }
  }
  absent_since_ = std::move(absent);
}

std::optional<ShardTable> ShardAssigner::Due(TimePoint now) const {
  if (!table_known_ || instances_.empty()) return std::nullopt;
  if (!table_.has_value()) {
    if (now - instances_since_ < kFleetSettles) return std::nullopt;
    return FirstTable(instances_);
  }
  std::set<Granter> gone;
  for (const auto& [owner, since] : absent_since_) {
    if (now - since >= kAbsence) gone.insert(owner);
  }
  if (!gone.empty()) return Reassign(*table_, gone, instances_);
  const bool unsettled =
      std::any_of(table_->shards.begin(), table_->shards.end(),
                  [](const Shard& shard) { return !shard.settled; });
  if (!unsettled || now - table_since_ < kOwnershipTerm + kSettleReserve) {
    return std::nullopt;
  }
  ShardTable settled = *table_;
  for (Shard& shard : settled.shards) shard.settled = true;
  return settled;
}

}  // namespace ryefold::core::limits
