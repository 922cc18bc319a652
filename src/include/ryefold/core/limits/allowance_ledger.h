#pragma once

// Grants operations from the parts of the workspaces' limits that this instance
// owns.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/event.h"
#include "ryefold/core/limits/priority_reserve.h"
#include "ryefold/core/limits/retry_schedule.h"
#include "ryefold/core/limits/shards.h"
#include "ryefold/core/limits/token_bucket.h"
#include "ryefold/core/limits/urgency.h"
#include "ryefold/core/types.h"
#include "ryefold/core/workspace/workspaces.h"

namespace ryefold::core::limits {

/// The waiting operations of one priority.
struct PriorityDemand {
  uint32_t priority = 0;
  uint32_t wanted = 0;
  /// Longest time after which a refused caller is known to wait for a retry.
  std::chrono::milliseconds longest_retry{0};
};

/// A request to an owner for permission to start operations.
struct AllowanceRequest {
  std::string workspace;
  uint32_t part = 0;
  uint32_t wanted = 0;
  /// The limit in the requesting instance's configuration, and the version of
  /// that configuration.
  workspace::RateLimit limit;
  uint64_t config_version = 0;
  /// Splits `wanted` by priority, ascending. Empty if the instance asks in
  /// order of arrival.
  std::vector<PriorityDemand> demand;
  /// What this owner does not grant is refused, so that it plans the retries.
  bool last_owner = false;
};

/// Replaces the limit in `request` by this instance's if this instance has the
/// newer configuration.
void UseNewerLimit(
    uint64_t config_version,
    const std::map<std::string, workspace::WorkspaceRef>& workspaces,
    AllowanceRequest* request);

/// What an owner grants to the operations of one priority.
struct PriorityGrant {
  uint32_t priority = 0;
  uint32_t granted = 0;
  /// Retry delay of the first caller that is refused and the interval from each
  /// to the next. A delay of 0 means that the owner did not plan retries.
  std::chrono::milliseconds first_retry{0};
  std::chrono::microseconds retry_interval{0};
};

struct AllowanceAnswer {
  /// The instance does not own the part at present; another instance may.
  bool not_owner = false;
  uint32_t granted = 0;
  /// Set if less than `wanted` was granted: time until the next token for the
  /// first priority that did not get all it wanted.
  std::chrono::milliseconds wait{0};
  /// Splits `granted` by priority. Empty if the owner grants in order of
  /// arrival.
  std::vector<PriorityGrant> grants;
};

/// Counts of an owner since the process started.
struct LedgerCounters {
  /// Operations that were not granted because the tokens left are reserved for
  /// more important ones.
  uint64_t held_back = 0;
  /// Retries that were planned, and those of them that were spread evenly
  /// because the plan had no place left.
  uint64_t retries_planned = 0;
  uint64_t retries_spread = 0;
};

/// An owner stops granting when its copy of the table is older than this, and a
/// new owner waits this long before it grants, so that the two never overlap.
/// Long enough for grants to continue through a store outage, at the cost that
/// parts of a lost instance stay ungranted for as long.
inline constexpr std::chrono::milliseconds kOwnershipLease{60000};

struct LedgerSettings {
  /// After a restart parts start with an advance
  /// (docs/design/limit-restart.md).
  bool restart_allowance = false;
  LimitOrder order = LimitOrder::kArrival;
};

/// Holds the token buckets of the parts that this instance owns according to
/// its copy of the table. docs/design/shifted-work.md explains why no two
/// instances grant the same part at the same time.
class AllowanceLedger {
 public:
  /// Advances that this instance granted since the process started.
  struct AdvanceCounters {
    uint64_t parts = 0;
    uint64_t operations = 0;
  };

  AllowanceLedger(TimePoint start, ShardOwner self,
                  const LedgerSettings& settings = {},
                  EventSink* events = nullptr)
      : self_(std::move(self)),
        settings_(settings),
        events_(events),
        start_(start) {}

  /// Replaces the table by the copy received at `now`.
  void SetTable(TimePoint now, const ShardTable& table);
  /// Records that the copy matched the store at `when`.
  void TableConfirmed(TimePoint when) { confirmed_at_ = when; }

  /// Discards the buckets of workspaces that are not in `workspaces` once there
  /// are too many of them. Until then a workspace that is added again continues
  /// with its bucket.
  void Retain(TimePoint now,
              const std::map<std::string, workspace::WorkspaceRef>& workspaces);

  AllowanceAnswer Grant(TimePoint now, const AllowanceRequest& request);
  /// Returns whether this instance may grant the part at `now`.
  bool Owns(TimePoint now, const std::string& workspace, uint32_t part) const;
  const AdvanceCounters& advance_counters() const { return advance_counters_; }
  const LedgerCounters& counters() const { return counters_; }

 private:
  struct PartState {
    TokenBucket bucket;
    uint64_t config_version = 0;
    PriorityReserve reserve;
    TimePoint reserve_logged_at;
    /// Keyed by priority.
    std::map<uint32_t, RetrySchedule> retries;
    TimePoint spread_logged_at;
  };
  using PartKey = std::pair<std::string, uint32_t>;

  void DiscardShard(size_t shard);
  /// Adds the advance of a part that has just been created.
  void AddAdvance(TimePoint now, const AllowanceRequest& request,
                  TokenBucket* bucket);
  void GrantByPriority(TimePoint now, const AllowanceRequest& request,
                       PartState* state, AllowanceAnswer* answer);
  void PlanRetries(TimePoint now, const AllowanceRequest& request,
                   const PriorityDemand& refused, PartState* state,
                   PriorityGrant* grant);
  void LogReserve(TimePoint now, const AllowanceRequest& request,
                  uint32_t priority, double reserve, PartState* state);

  const ShardOwner self_;
  const LedgerSettings settings_;
  EventSink* const events_;
  /// No bucket starts before this time.
  TimePoint start_;
  LedgerCounters counters_;
  TimePoint confirmed_at_;
  bool table_received_ = false;
  AdvanceCounters advance_counters_;
  struct Ownership {
    uint64_t assigned = 0;
    /// Time from which the owner may grant.
    TimePoint start_at;
    /// Its parts start with an advance.
    bool advance = false;
  };
  /// Keyed by shard number.
  std::map<size_t, Ownership> owned_shards_;
  std::map<PartKey, PartState> states_;
};

}  // namespace ryefold::core::limits
