#include "ryefold/core/limits/allowance_ledger.h"

#include <algorithm>

namespace ryefold::core::limits {
namespace {

using std::chrono::milliseconds;

/// Kept back from the term by the owner, for clocks that run unevenly.
constexpr milliseconds kClockReserve{1000};
/// What the parts add up to beyond the configured rate and burst: operations
/// spread unevenly over the parts, and one of them may be lost. Below what may
/// be exceeded by enough for grants that are used a moment later.
constexpr double kRateFactor = 1.05;
constexpr double kExtraBurst = 15;

}  // namespace

void UseNewerLimit(
    uint64_t config_version,
    const std::map<std::string, workspace::WorkspaceRef>& workspaces,
    AllowanceRequest* request) {
  if (config_version <= request->config_version) return;
  const auto known = workspaces.find(request->workspace);
  if (known == workspaces.end() || !known->second->limit.has_value()) return;
  request->limit = *known->second->limit;
  request->config_version = config_version;
}

void AllowanceLedger::SetTable(TimePoint now, const ShardTable& table) {
  std::map<size_t, Ownership> owned;
  for (size_t i = 0; i < table.shards.size(); ++i) {
    const Shard& shard = table.shards[i];
    if (shard.owner != self_) continue;
    TimePoint from = shard.settled ? now : now + kOwnershipTerm;
    const auto known = owned_.find(i);
    // It may have been another's in a table that was never seen here.
    const bool held =
        known != owned_.end() && known->second.assigned == shard.assigned;
    if (held) from = std::min(known->second.from, from);
    if (!held) ForgetShard(i);
    owned[i] = {shard.assigned, from};
  }
  owned_ = std::move(owned);
  std::erase_if(accounts_, [this](const auto& entry) {
    return owned_.count(ShardOf(entry.first.first, entry.first.second)) == 0;
  });
}

/// What comes back starts with nothing saved.
void AllowanceLedger::ForgetShard(size_t shard) {
  std::erase_if(accounts_, [shard](const auto& entry) {
    return ShardOf(entry.first.first, entry.first.second) == shard;
  });
}

void AllowanceLedger::Retain(
    const std::map<std::string, workspace::WorkspaceRef>& workspaces) {
  std::erase_if(accounts_, [&workspaces](const auto& entry) {
    return workspaces.count(entry.first.first) == 0;
  });
}

bool AllowanceLedger::Owns(TimePoint now, const std::string& workspace,
                           uint32_t part) const {
  if (now - confirmed_at_ >= kOwnershipTerm - kClockReserve) return false;
  const auto shard = owned_.find(ShardOf(workspace, part));
  return shard != owned_.end() && now >= shard->second.from;
}

AllowanceAnswer AllowanceLedger::Grant(TimePoint now,
                                       const AllowanceRequest& request) {
  AllowanceAnswer answer;
  if (!Owns(now, request.workspace, request.part)) {
    answer.not_owner = true;
    return answer;
  }
  const TimePoint from =
      owned_.at(ShardOf(request.workspace, request.part)).from;
  const auto [found, added] =
      accounts_.try_emplace({request.workspace, request.part},
                            Account{TokenBucket(std::max(from, start_)), 0});
  Account& account = found->second;
  if (added || request.config_version > account.config_version) {
    account.config_version = request.config_version;
    account.bucket.SetRate(now, request.limit.rate * kRateFactor / kParts,
                           (request.limit.burst + kExtraBurst) / kParts);
  }
  answer.granted = account.bucket.Take(now, request.wanted);
  if (answer.granted < request.wanted) answer.wait = account.bucket.wait(now);
  return answer;
}

}  // namespace ryefold::core::limits
