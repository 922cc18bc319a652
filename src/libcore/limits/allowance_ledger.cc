#include "ryefold/core/limits/allowance_ledger.h"

#include <algorithm>

#include "ryefold/core/limits/restart_allowance.h"

namespace ryefold::core::limits {
namespace {

using std::chrono::milliseconds;

/// An owner stops this long before `kOwnershipLease` ends, to allow for clock
/// drift.
constexpr milliseconds kClockMargin{1000};
/// The parts add up to more than the configured rate and burst, because
/// operations spread unevenly over the parts and one part may be lost. The
/// excess stays below the tolerated one to leave room for grants that are used
/// later.
constexpr double kRateFactor = 1.05;
constexpr double kExtraBurst = 15;
/// Maximum number of buckets of removed workspaces that are kept, about 1 MB.
constexpr size_t kMaxRemovedParts = 4096;
/// Maximum number of log lines about advances.
constexpr uint64_t kMaxAdvanceLines = 64;

double PartRate(const workspace::RateLimit& limit) {
  return limit.rate * kRateFactor / kPartsPerLimit;
}
/// Interval between log lines about the reserve of a part.
constexpr milliseconds kLogInterval{1000};

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
  // Shards gained later may have been granted by another instance shortly
  // before.
  const bool first_table = !table_received_ && !table.shards.empty();
  table_received_ = table_received_ || first_table;
  for (size_t i = 0; i < table.shards.size(); ++i) {
    const Shard& shard = table.shards[i];
    if (shard.owner != self_) continue;
    TimePoint start_at = shard.settled ? now : now + kOwnershipLease;
    const auto known = owned_shards_.find(i);
    // Another instance may have owned it in a table that this instance did not
    // receive.
    const bool still_owned = known != owned_shards_.end() &&
                             known->second.assigned == shard.assigned;
    if (still_owned) start_at = std::min(known->second.start_at, start_at);
    if (!still_owned) DiscardShard(i);
    const bool advance = still_owned ? known->second.advance
                                     : settings_.restart_allowance &&
                                           first_table && shard.settled;
    owned[i] = {shard.assigned, start_at, advance};
  }
  owned_shards_ = std::move(owned);
  std::erase_if(states_, [this](const auto& entry) {
    return owned_shards_.count(
               ShardOf(entry.first.first, entry.first.second)) == 0;
  });
}

/// A shard that is assigned here again starts with empty buckets.
void AllowanceLedger::DiscardShard(size_t shard) {
  std::erase_if(states_, [shard](const auto& entry) {
    return ShardOf(entry.first.first, entry.first.second) == shard;
  });
}

void AllowanceLedger::Retain(
    TimePoint now,
    const std::map<std::string, workspace::WorkspaceRef>& workspaces) {
  const auto is_removed = [&workspaces](const auto& entry) {
    return workspaces.count(entry.first.first) == 0;
  };
  const auto removed =
      std::count_if(states_.begin(), states_.end(), is_removed);
  if (static_cast<size_t>(removed) <= kMaxRemovedParts) return;
  std::erase_if(states_, is_removed);
  // What the discarded buckets granted is no longer known: new buckets start
  // empty now, and without an advance.
  start_ = now;
  for (auto& [shard, ownership] : owned_shards_) ownership.advance = false;
}

bool AllowanceLedger::Owns(TimePoint now, const std::string& workspace,
                           uint32_t part) const {
  if (now - confirmed_at_ >= kOwnershipLease - kClockMargin) return false;
  const auto shard = owned_shards_.find(ShardOf(workspace, part));
  return shard != owned_shards_.end() && now >= shard->second.start_at;
}

AllowanceAnswer AllowanceLedger::Grant(TimePoint now,
                                       const AllowanceRequest& request) {
  AllowanceAnswer answer;
  if (!Owns(now, request.workspace, request.part)) {
    answer.not_owner = true;
    return answer;
  }
  const TimePoint start_at =
      owned_shards_.at(ShardOf(request.workspace, request.part)).start_at;
  const auto [found, added] = states_.try_emplace(
      {request.workspace, request.part},
      PartState{TokenBucket(std::max(start_at, start_)), 0, {}, {}, {}, {}});
  PartState& state = found->second;
  if (added || request.config_version > state.config_version) {
    state.config_version = request.config_version;
    state.bucket.SetRate(now, PartRate(request.limit),
                         (request.limit.burst + kExtraBurst) / kPartsPerLimit);
  }
  if (added) AddAdvance(now, request, &state.bucket);
  if (settings_.order == LimitOrder::kPriority && !request.demand.empty()) {
    GrantByPriority(now, request, &state, &answer);
    return answer;
  }
  answer.granted = state.bucket.Take(now, request.wanted);
  if (answer.granted < request.wanted) answer.wait = state.bucket.WaitTime(now);
  return answer;
}

void AllowanceLedger::AddAdvance(TimePoint now, const AllowanceRequest& request,
                                 TokenBucket* bucket) {
  const Ownership& shard =
      owned_shards_.at(ShardOf(request.workspace, request.part));
  if (!shard.advance) return;
  // An advance that refill would already have paid back changes nothing.
  if (now - std::max(shard.start_at, start_) >= kMaxRepayment) return;
  const uint32_t advance = bucket->Advance(
      PartAdvance(request.limit, request.part, PartRate(request.limit)));
  if (advance == 0) return;
  ++advance_counters_.parts;
  advance_counters_.operations += advance;
  if (advance_counters_.parts > kMaxAdvanceLines) return;
  Event(events_, EventPriority::kState, "limit_advance_given")
      .Add("workspace", request.workspace)
      .Add("part", request.part)
      .Add("operations", advance)
      .Add("config_version", request.config_version);
}

void AllowanceLedger::GrantByPriority(TimePoint now,
                                      const AllowanceRequest& request,
                                      PartState* state,
                                      AllowanceAnswer* answer) {
  TokenBucket& bucket = state->bucket;
  // An operation counts once: at the owner that grants it or, if none does, at
  // the last one. Counted at each, usual demand would look like four times as
  // much while the buckets are empty after a restart.
  if (request.last_owner) {
    for (const PriorityDemand& each : request.demand) {
      state->reserve.RecordArrivals(now, each.priority, each.wanted);
    }
  }
  for (const PriorityDemand& each : request.demand) {
    const double reserve = state->reserve.Reserve(
        now, each.priority, bucket.rate(), bucket.capacity());
    const uint32_t granted = bucket.Take(now, each.wanted, reserve);
    const uint32_t missing = each.wanted - granted;
    if (!request.last_owner) {
      state->reserve.RecordArrivals(now, each.priority, granted);
    }
    PriorityGrant& grant = answer->grants.emplace_back();
    grant.priority = each.priority;
    grant.granted = granted;
    answer->granted += granted;
    if (missing > 0 && request.last_owner) {
      PlanRetries(now, request, {each.priority, missing, each.longest_retry},
                  state, &grant);
    }
    if (missing == 0) continue;
    if (answer->wait == milliseconds(0)) {
      answer->wait = bucket.WaitTime(now, reserve);
    }
    if (bucket.WaitTime(now) > milliseconds(0)) continue;
    counters_.held_back += missing;
    LogReserve(now, request, each.priority, reserve, state);
  }
}

void AllowanceLedger::PlanRetries(TimePoint now,
                                  const AllowanceRequest& request,
                                  const PriorityDemand& refused,
                                  PartState* state, PriorityGrant* grant) {
  const double rate_left =
      state->bucket.rate() - state->reserve.RateBefore(now, refused.priority);
  const RetryTimes times = state->retries[refused.priority].Plan(
      now, refused.wanted, rate_left, refused.longest_retry);
  grant->first_retry = times.first;
  grant->retry_interval = times.interval;
  counters_.retries_planned += refused.wanted;
  if (!times.is_spread) return;
  counters_.retries_spread += refused.wanted;
  if (now - state->spread_logged_at < kLogInterval) return;
  state->spread_logged_at = now;
  Event(events_, EventPriority::kState, "limit_retries_spread")
      .Add("workspace", request.workspace)
      .Add("part", request.part)
      .Add("priority", refused.priority)
      .Add("rate_left", static_cast<uint64_t>(std::max(rate_left, 0.0)))
      .Add("longest_retry", refused.longest_retry)
      .Add("planned", counters_.retries_planned)
      .Add("spread", counters_.retries_spread);
}

void AllowanceLedger::LogReserve(TimePoint now, const AllowanceRequest& request,
                                 uint32_t priority, double reserve,
                                 PartState* state) {
  if (now - state->reserve_logged_at < kLogInterval) return;
  state->reserve_logged_at = now;
  Event(events_, EventPriority::kState, "limit_reserve_kept")
      .Add("workspace", request.workspace)
      .Add("part", request.part)
      .Add("refused_priority", priority)
      .Add("reserve", static_cast<uint64_t>(reserve))
      .Add("rate", static_cast<uint64_t>(state->bucket.rate()))
      .Add("demand", static_cast<uint64_t>(state->reserve.TotalRate(now)))
      .Add("held_back", counters_.held_back);
}

}  // namespace ryefold::core::limits
