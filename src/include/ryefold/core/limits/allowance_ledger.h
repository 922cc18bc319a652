#pragma once

// What this instance grants of the workspaces' limits.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/limits/shards.h"
#include "ryefold/core/limits/token_bucket.h"
#include "ryefold/core/types.h"
#include "ryefold/core/workspace/workspaces.h"

namespace ryefold::core::limits {

/// A question for operations that may start.
struct AllowanceRequest {
  std::string workspace;
  uint32_t part = 0;
  uint32_t wanted = 0;
  /// The limit as the asking instance knows it, and by which configuration.
  workspace::RateLimit limit;
  uint64_t config_version = 0;
};

/// Has the request go by this instance's configuration where that is the newer.
void UseNewerLimit(
    uint64_t config_version,
    const std::map<std::string, workspace::WorkspaceRef>& workspaces,
    AllowanceRequest* request);

struct AllowanceAnswer {
  /// The instance grants nothing of this part at present; another one may.
  bool not_owner = false;
  uint32_t granted = 0;
  /// When something was left ungranted: time until there is more.
  std::chrono::milliseconds wait{0};
};

/// How long a copy of the store may be old for its holder to go on granting by
/// it, and a new owner holds back so that the old one has stopped by then.
/// Longer than an outage of the store should stop anybody, for which a part of
/// a lost instance stays ungranted for as long.
inline constexpr std::chrono::milliseconds kOwnershipTerm{60000};

/// Token buckets of the parts that this instance owns. An instance owns a shard
/// while the newest table that it can know of says so: see
/// docs/design/shifted-work.md for why no two ever grant the same part.
class AllowanceLedger {
 public:
  AllowanceLedger(TimePoint start, Granter self)
      : self_(std::move(self)), start_(start) {}

  /// A copy of the table was learnt at `now`.
  void SetTable(TimePoint now, const ShardTable& table);
  /// The copy is known to be what the store held at `when`.
  void TableConfirmed(TimePoint when) { confirmed_at_ = when; }

  /// Forgets workspaces that are not configured any more.
  void Retain(const std::map<std::string, workspace::WorkspaceRef>& workspaces);

  AllowanceAnswer Grant(TimePoint now, const AllowanceRequest& request);
  /// Whether this instance grants the part at present.
  bool Owns(TimePoint now, const std::string& workspace, uint32_t part) const;

 private:
  struct Account {
    TokenBucket bucket;
    uint64_t config_version = 0;
  };
  using PartKey = std::pair<std::string, uint32_t>;

  void ForgetShard(size_t shard);

  const Granter self_;
  const TimePoint start_;
  TimePoint confirmed_at_;
  struct Ownership {
    uint64_t assigned = 0;
    /// It may grant from then on.
    TimePoint from;
  };
  /// By shard.
  std::map<size_t, Ownership> owned_;
  std::map<PartKey, Account> accounts_;
};

}  // namespace ryefold::core::limits
