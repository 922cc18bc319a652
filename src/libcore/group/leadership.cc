#include "ryefold/core/group/leadership.h"

#include <algorithm>

#include "ryefold/core/group/log.h"

namespace ryefold::core::group {
namespace {

/// How long a group may be without a primary, or a stray term stand, before
/// this keeper proposes: another proposer may be at it.
constexpr std::chrono::milliseconds kStrayGrace{300};
constexpr int kStrayJitterMs = 200;
constexpr int kMaxDoublings = 4;
/// Bound of a planned change: what runs on a leaving primary may finish and
/// the successor catch up for this long.
constexpr std::chrono::milliseconds kHandoverBound{200};

}  // namespace

void Leadership::SetGroup(TimePoint now, const GroupSpec& group) {
  group_ = group;
  if (!primary_leaving()) handover_until_.reset();
  if (primary_leaving() && !handover_until_) {
    handover_until_ = now + kHandoverBound;
  }
}

bool Leadership::leaving(const std::string& database) const {
  return std::any_of(group_.databases.begin(), group_.databases.end(),
                     [&database](const DatabaseSpec& spec) {
                       return spec.leaving && spec.database == database;
                     });
}

bool Leadership::primary_leaving() const {
  return !primary_.empty() && leaving(primary_);
}

void Leadership::Update(TimePoint now, const Health& health,
                        const Confirmation& confirmation) {
  UpdatePrimary(health);
  UpdateStray(now, health);
  UpdateProgress(now, health, confirmation);
  if (primary_leaving() && !handover_until_) {
    handover_until_ = now + kHandoverBound;
  }
}

void Leadership::UpdatePrimary(const Health& health) {
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
  if (best->adopted_term > term_) handover_until_.reset();
  term_ = best->adopted_term;
  primary_ = best->database;
}

void Leadership::UpdateStray(TimePoint now, const Health& health) {
  bool stray = primary_.empty();
  const DatabaseStatus* primary = health.status(primary_);
  for (const DatabaseSpec& spec : group_.databases) {
    const DatabaseStatus* status = health.status(spec.database);
    if (status == nullptr || primary == nullptr) continue;
    if (!health.reachable(now, spec.database)) continue;
    stray = stray || status->adopted_term > term_ ||
            (status->adopted_term == term_ &&
             status->proposer != primary->proposer);
  }
  if (!stray) {
    stray_until_.reset();
  } else if (!stray_until_) {
    std::uniform_int_distribution<int> jitter(0, kStrayJitterMs);
    stray_until_ =
        now + kStrayGrace + std::chrono::milliseconds(jitter(random_));
  }
}

void Leadership::UpdateProgress(TimePoint now, const Health& health,
                                const Confirmation& confirmation) {
  const DatabaseStatus* primary = health.status(primary_);
  LogPosition best_replica;
  for (const DatabaseSpec& spec : group_.databases) {
    const DatabaseStatus* status = health.status(spec.database);
    if (status == nullptr || spec.database == primary_) continue;
    best_replica = std::max(best_replica, status->last);
  }
  const bool level =
      primary == nullptr || primary->last <= confirmation.confirmed();
  const bool moved = best_replica > best_replica_;
  if (confirmation.confirmed() > confirmed_) doublings_ = 0;
  confirmed_ = confirmation.confirmed();
  best_replica_ = best_replica;
  // Replicas that were away are given the whole time to confirm once they are
  // back; they would otherwise replace a primary that they are about to follow.
  if (level || !OthersReachable(now, health)) {
    progress_until_.reset();
  } else if (!progress_until_ || moved) {
    progress_until_ = now + timing_.unconfirmed_after * (1 << doublings_);
    proof_wanted_ = true;
  }
  cut_off_ = progress_until_ && now >= *progress_until_ &&
             StillBehind(*progress_until_, confirmation);
}

bool Leadership::StillBehind(TimePoint since,
                             const Confirmation& confirmation) const {
  const auto asked = std::count_if(
      group_.databases.begin(), group_.databases.end(),
      [this, since, &confirmation](const DatabaseSpec& spec) {
        return spec.database != primary_ &&
               confirmation.HeardAt(spec.database, term_) >= since;
      });
  return static_cast<size_t>(asked) >= Majority(group_.databases.size());
}

bool Leadership::TakeProofWanted(TimePoint now) {
  if (!progress_until_ || now < *progress_until_ || !proof_wanted_) {
    return false;
  }
  proof_wanted_ = false;
  return true;
}

bool Leadership::majority_reachable(TimePoint now, const Health& health) const {
  const auto reachable =
      std::count_if(group_.databases.begin(), group_.databases.end(),
                    [now, &health](const DatabaseSpec& spec) {
                      return health.reachable(now, spec.database);
                    });
  return static_cast<size_t>(reachable) >= Majority(group_.databases.size());
}

bool Leadership::OthersReachable(TimePoint now, const Health& health) const {
  const auto others =
      std::count_if(group_.databases.begin(), group_.databases.end(),
                    [this, now, &health](const DatabaseSpec& spec) {
                      return spec.database != primary_ &&
                             health.reachable(now, spec.database);
                    });
  return static_cast<size_t>(others) >= Majority(group_.databases.size());
}

bool Leadership::SuccessorLevel(const Health& health) const {
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

PromotionCause Leadership::Needs(TimePoint now, const Health& health,
                                 bool quiet) const {
  if (!majority_reachable(now, health)) return PromotionCause::kNone;
  if (primary_.empty()) {
    if (!health.settled(now)) return PromotionCause::kNone;
    const bool due = stray_until_ && now >= *stray_until_;
    return due ? PromotionCause::kNoPrimary : PromotionCause::kNone;
  }
  if (health.lost(now, primary_)) return PromotionCause::kPrimaryLost;
  if (cut_off_) return PromotionCause::kPrimaryCutOff;
  if (primary_leaving()) {
    const bool successor = std::any_of(
        group_.databases.begin(), group_.databases.end(),
        [now, &health](const DatabaseSpec& spec) {
          return !spec.leaving && health.reachable(now, spec.database);
        });
    const bool due = handover_until_ && now >= *handover_until_;
    if (successor && (due || (quiet && SuccessorLevel(health)))) {
      return PromotionCause::kLeaving;
    }
  }
  if (stray_until_ && now >= *stray_until_) return PromotionCause::kStrayTerm;
  return PromotionCause::kNone;
}

std::vector<ProposalPeer> Leadership::Peers(TimePoint now, const Health& health,
                                            PromotionCause cause) const {
  const bool bar_primary = cause == PromotionCause::kPrimaryLost ||
                           cause == PromotionCause::kPrimaryCutOff;
  std::vector<ProposalPeer> peers;
  for (const DatabaseSpec& spec : group_.databases) {
    ProposalPeer peer;
    peer.database = spec.database;
    const bool replaced = bar_primary && spec.database == primary_;
    peer.expected = !replaced && health.reachable(now, spec.database);
    peer.barred = replaced || spec.leaving;
    peers.push_back(peer);
  }
  const bool all_barred =
      std::all_of(peers.begin(), peers.end(),
                  [](const ProposalPeer& peer) { return peer.barred; });
  for (ProposalPeer& peer : peers) {
    // Better a leaving primary than none.
    if (all_barred) peer.barred = bar_primary && peer.database == primary_;
  }
  return peers;
}

void Leadership::Proposed(PromotionCause cause) {
  stray_until_.reset();
  handover_until_.reset();
  progress_until_.reset();
  cut_off_ = false;
  if (cause == PromotionCause::kPrimaryCutOff) {
    doublings_ = std::min(doublings_ + 1, kMaxDoublings);
  }
}

TimePoint Leadership::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& at : {stray_until_, progress_until_, handover_until_}) {
    if (at && *at > now) next = std::min(next, *at);
  }
  return next;
}

}  // namespace ryefold::core::group
