#include "ryefold/core/group/leadership.h"

#include <algorithm>

#include "ryefold/core/group/log.h"

namespace ryefold::core::group {
namespace {

/// How long a group or a term may lack a primary before this keeper proposes a
/// new term. Another proposer may already be active.
constexpr std::chrono::milliseconds kMissingPrimaryGrace{300};
constexpr int kMissingPrimaryJitterMs = 200;
constexpr int kMaxTimeoutDoublings = 4;
/// Limit of a planned handover: time for open work on a leaving primary to
/// finish and for its successor to catch up.
constexpr std::chrono::milliseconds kHandoverTimeout{200};

}  // namespace

void Leadership::SetGroup(TimePoint now, const GroupSpec& group) {
  group_ = group;
  if (!IsPrimaryLeaving()) handover_deadline_.reset();
  if (IsPrimaryLeaving() && !handover_deadline_) {
    handover_deadline_ = now + kHandoverTimeout;
  }
}

bool Leadership::IsLeaving(const std::string& database) const {
  return std::any_of(group_.databases.begin(), group_.databases.end(),
                     [&database](const DatabaseSpec& spec) {
                       return spec.leaving && spec.database == database;
                     });
}

bool Leadership::IsPrimaryLeaving() const {
  return !primary_.empty() && IsLeaving(primary_);
}

void Leadership::Update(TimePoint now, const HealthMonitor& health,
                        const ConfirmationTracker& confirmation) {
  UpdatePrimary(health);
  UpdateMissingPrimary(now, health);
  UpdateProgress(now, health, confirmation);
  if (IsPrimaryLeaving() && !handover_deadline_) {
    handover_deadline_ = now + kHandoverTimeout;
  }
}

void Leadership::UpdatePrimary(const HealthMonitor& health) {
  const DatabaseStatus* best = nullptr;
  for (const DatabaseSpec& spec : group_.databases) {
    const DatabaseStatus* status = health.status(spec.database);
    if (status == nullptr) continue;
    highest_term_ = std::max(highest_term_, status->adopted_term);
    if (status->role != DatabaseRole::kPrimary) continue;
    if (best == nullptr || status->adopted_term > best->adopted_term) {
      best = status;
    }
  }
  if (best == nullptr || best->adopted_term < term_) {
    primary_.clear();
    return;
  }
  const auto later = std::count_if(
      group_.databases.begin(), group_.databases.end(),
      [&health, best](const DatabaseSpec& spec) {
        const DatabaseStatus* status = health.status(spec.database);
        return status != nullptr && status->adopted_term > best->adopted_term;
      });
  if (static_cast<size_t>(later) >= Majority(group_.databases.size())) {
    primary_.clear();
    return;
  }
  if (best->adopted_term > term_) handover_deadline_.reset();
  term_ = best->adopted_term;
  primary_ = best->database;
}

void Leadership::UpdateMissingPrimary(TimePoint now,
                                      const HealthMonitor& health) {
  bool missing = primary_.empty();
  const DatabaseStatus* primary = health.status(primary_);
  for (const DatabaseSpec& spec : group_.databases) {
    const DatabaseStatus* status = health.status(spec.database);
    if (status == nullptr || primary == nullptr) continue;
    if (!health.IsReachable(now, spec.database)) continue;
    missing = missing || status->adopted_term > term_ ||
              (status->adopted_term == term_ &&
               status->proposer != primary->proposer);
  }
  if (!missing) {
    missing_primary_deadline_.reset();
  } else if (!missing_primary_deadline_) {
    std::uniform_int_distribution<int> jitter(0, kMissingPrimaryJitterMs);
    missing_primary_deadline_ =
        now + kMissingPrimaryGrace + std::chrono::milliseconds(jitter(random_));
  }
}

void Leadership::UpdateProgress(TimePoint now, const HealthMonitor& health,
                                const ConfirmationTracker& confirmation) {
  const DatabaseStatus* primary = health.status(primary_);
  LogPosition best_replica_position;
  for (const DatabaseSpec& spec : group_.databases) {
    const DatabaseStatus* status = health.status(spec.database);
    if (status == nullptr || spec.database == primary_) continue;
    best_replica_position = std::max(best_replica_position, status->last);
  }
  const bool all_confirmed =
      primary == nullptr || primary->last <= confirmation.confirmed();
  const bool moved = best_replica_position > best_replica_position_;
  if (confirmation.confirmed() > confirmed_) timeout_doublings_ = 0;
  confirmed_ = confirmation.confirmed();
  best_replica_position_ = best_replica_position;
  // Replicas that become reachable again get the full time to confirm.
  // Otherwise they would replace a primary that they are about to follow.
  if (all_confirmed || !IsReplicaMajorityReachable(now, health)) {
    progress_deadline_.reset();
  } else if (!progress_deadline_ || moved) {
    progress_deadline_ =
        now + timing_.unconfirmed_after * (1 << timeout_doublings_);
    replica_probe_pending_ = true;
  }
  primary_partitioned_ = progress_deadline_ && now >= *progress_deadline_ &&
                         IsStallConfirmed(*progress_deadline_, confirmation);
}

bool Leadership::IsStallConfirmed(
    TimePoint since, const ConfirmationTracker& confirmation) const {
  const auto answered = std::count_if(
      group_.databases.begin(), group_.databases.end(),
      [this, since, &confirmation](const DatabaseSpec& spec) {
        return spec.database != primary_ &&
               confirmation.LastContactAt(spec.database, term_) >= since;
      });
  return static_cast<size_t>(answered) >= Majority(group_.databases.size());
}

bool Leadership::TakeReplicaProbeDue(TimePoint now) {
  if (!progress_deadline_ || now < *progress_deadline_ ||
      !replica_probe_pending_) {
    return false;
  }
  replica_probe_pending_ = false;
  return true;
}

bool Leadership::IsMajorityReachable(TimePoint now,
                                     const HealthMonitor& health) const {
  const auto reachable =
      std::count_if(group_.databases.begin(), group_.databases.end(),
                    [now, &health](const DatabaseSpec& spec) {
                      return health.IsReachable(now, spec.database);
                    });
  return static_cast<size_t>(reachable) >= Majority(group_.databases.size());
}

bool Leadership::IsReplicaMajorityReachable(TimePoint now,
                                            const HealthMonitor& health) const {
  const auto others =
      std::count_if(group_.databases.begin(), group_.databases.end(),
                    [this, now, &health](const DatabaseSpec& spec) {
                      return spec.database != primary_ &&
                             health.IsReachable(now, spec.database);
                    });
  return static_cast<size_t>(others) >= Majority(group_.databases.size());
}

bool Leadership::HasCaughtUpSuccessor(const HealthMonitor& health) const {
  const DatabaseStatus* primary = health.status(primary_);
  if (primary == nullptr) return true;
  return std::any_of(
      group_.databases.begin(), group_.databases.end(),
      [this, &health, primary](const DatabaseSpec& spec) {
        const DatabaseStatus* status = health.status(spec.database);
        return !spec.leaving && spec.database != primary_ &&
               status != nullptr && status->last >= primary->last;
      });
}

PromotionCause Leadership::FindPromotionCause(TimePoint now,
                                              const HealthMonitor& health,
                                              bool primary_idle) const {
  if (!IsMajorityReachable(now, health)) return PromotionCause::kNone;
  if (primary_.empty()) {
    if (!health.HasAssessedAll(now)) return PromotionCause::kNone;
    const bool due =
        missing_primary_deadline_ && now >= *missing_primary_deadline_;
    return due ? PromotionCause::kNoPrimary : PromotionCause::kNone;
  }
  if (health.IsLost(now, primary_)) return PromotionCause::kPrimaryLost;
  if (primary_partitioned_) return PromotionCause::kPrimaryPartitioned;
  if (IsPrimaryLeaving()) {
    const bool has_successor = std::any_of(
        group_.databases.begin(), group_.databases.end(),
        [now, &health](const DatabaseSpec& spec) {
          return !spec.leaving && health.IsReachable(now, spec.database);
        });
    const bool due = handover_deadline_ && now >= *handover_deadline_;
    if (has_successor &&
        (due || (primary_idle && HasCaughtUpSuccessor(health)))) {
      return PromotionCause::kPrimaryLeaving;
    }
  }
  if (missing_primary_deadline_ && now >= *missing_primary_deadline_) {
    return PromotionCause::kTermWithoutPrimary;
  }
  return PromotionCause::kNone;
}

std::vector<ProposalPeer> Leadership::MakeProposalPeers(
    TimePoint now, const HealthMonitor& health, PromotionCause cause) const {
  const bool exclude_primary = cause == PromotionCause::kPrimaryLost ||
                               cause == PromotionCause::kPrimaryPartitioned;
  std::vector<ProposalPeer> peers;
  for (const DatabaseSpec& spec : group_.databases) {
    ProposalPeer peer;
    peer.database = spec.database;
    const bool replaced = exclude_primary && spec.database == primary_;
    peer.expected = !replaced && health.IsReachable(now, spec.database);
    peer.ineligible = replaced || spec.leaving;
    peers.push_back(peer);
  }
  const bool all_ineligible =
      std::all_of(peers.begin(), peers.end(),
                  [](const ProposalPeer& peer) { return peer.ineligible; });
  for (ProposalPeer& peer : peers) {
    // A leaving primary is better than none.
    if (all_ineligible) {
      peer.ineligible = exclude_primary && peer.database == primary_;
    }
  }
  return peers;
}

void Leadership::OnProposalStarted(PromotionCause cause) {
  missing_primary_deadline_.reset();
  handover_deadline_.reset();
  progress_deadline_.reset();
  primary_partitioned_ = false;
  if (cause == PromotionCause::kPrimaryPartitioned) {
    timeout_doublings_ = std::min(timeout_doublings_ + 1, kMaxTimeoutDoublings);
  }
}

TimePoint Leadership::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& at :
       {missing_primary_deadline_, progress_deadline_, handover_deadline_}) {
    if (at && *at > now) next = std::min(next, *at);
  }
  return next;
}

}  // namespace ryefold::core::group
