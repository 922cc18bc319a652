#pragma once

// Tracks which database is the primary and decides when the group needs a new
// one.

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "ryefold/core/group/confirmation.h"
#include "ryefold/core/group/health.h"
#include "ryefold/core/group/promotion.h"

namespace ryefold::core::group {

/// Why a new term is needed.
enum class PromotionCause : uint8_t {
  kNone,
  kNoPrimary,           ///< No database is the primary of the newest term.
  kPrimaryLost,         ///< The primary does not answer or refuses connections.
  kPrimaryPartitioned,  ///< Replicas answer, but none confirms writes.
  kTermWithoutPrimary,  ///< A database adopted a term that has no primary.
  kPrimaryLeaving,      ///< The primary is leaving and is due to be replaced.
};

/// Derives the primary from the databases' statuses and decides when it has to
/// be replaced.
class Leadership {
 public:
  Leadership(KeeperTiming timing, uint64_t seed)
      : timing_(timing), random_(seed) {}

  void SetGroup(TimePoint now, const GroupSpec& group);

  /// Re-evaluates the statuses.
  void Update(TimePoint now, const HealthMonitor& health,
              const ConfirmationTracker& confirmation);

  /// Returns the primary of the newest term that has one. Empty if there is
  /// none or a majority has adopted a later term.
  const std::string& primary() const { return primary_; }
  uint64_t term() const { return term_; }
  /// Returns the highest term that any database has adopted.
  uint64_t highest_term() const { return highest_term_; }

  /// Returns why a new term is needed now, or kNone. `primary_idle`: no
  /// statement or transaction is open on the primary, which a planned handover
  /// waits for.
  PromotionCause FindPromotionCause(TimePoint now, const HealthMonitor& health,
                                    bool primary_idle) const;

  /// Returns the databases with their parts in a proposal for `cause`.
  std::vector<ProposalPeer> MakeProposalPeers(TimePoint now,
                                              const HealthMonitor& health,
                                              PromotionCause cause) const;

  /// Resets the deadlines when a proposal for `cause` starts.
  void OnProposalStarted(PromotionCause cause);

  /// Returns true, once per suspicion, when the primary is suspected of being
  /// partitioned and its replicas have to be probed. On a slow network a status
  /// can be a second old, so only one requested after the suspicion can confirm
  /// it.
  bool TakeReplicaProbeDue(TimePoint now);

  bool IsPrimaryLeaving() const;
  /// Returns whether a majority is reachable, without which no promotion is
  /// possible.
  bool IsMajorityReachable(TimePoint now, const HealthMonitor& health) const;
  TimePoint next_deadline(TimePoint now) const;

 private:
  bool IsLeaving(const std::string& database) const;
  bool HasCaughtUpSuccessor(const HealthMonitor& health) const;
  /// Returns whether a majority other than the primary is reachable, so that
  /// another database can be promoted.
  bool IsReplicaMajorityReachable(TimePoint now,
                                  const HealthMonitor& health) const;
  /// Returns whether a majority other than the primary has answered calls sent
  /// at `since` or later. Progress of a replica would have moved the deadline
  /// passed as `since`.
  bool IsStallConfirmed(TimePoint since,
                        const ConfirmationTracker& confirmation) const;
  void UpdatePrimary(const HealthMonitor& health);
  void UpdateMissingPrimary(TimePoint now, const HealthMonitor& health);
  void UpdateProgress(TimePoint now, const HealthMonitor& health,
                      const ConfirmationTracker& confirmation);

  KeeperTiming timing_;
  std::mt19937_64 random_;
  GroupSpec group_;
  std::string primary_;
  uint64_t term_ = 0;
  uint64_t highest_term_ = 0;
  /// When this keeper proposes a new term unless the missing primary appears
  /// before.
  std::optional<TimePoint> missing_primary_deadline_;
  /// When the primary is suspected of being partitioned unless a replica makes
  /// progress before.
  std::optional<TimePoint> progress_deadline_;
  bool replica_probe_pending_ = false;
  bool primary_partitioned_ = false;
  LogPosition confirmed_;
  LogPosition best_replica_position_;
  /// Doublings of `unconfirmed_after`. Replicas that lag longer than that look
  /// the same as a partition, and a new primary would not help.
  int timeout_doublings_ = 0;
  /// When a leaving primary is replaced even if its successor has not caught
  /// up.
  std::optional<TimePoint> handover_deadline_;
};

}  // namespace ryefold::core::group
