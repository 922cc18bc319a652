#pragma once

// Which database is the primary, and whether the group needs a new one.

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
  kNoPrimary,           ///< Nobody is the primary of the newest term.
  kPrimaryLost,         ///< The primary is silent or refuses connections.
  kPrimaryPartitioned,  ///< No replica confirms, though replicas answer.
  kTermWithoutPrimary,  ///< A database adopted a term that has no primary.
  kPrimaryLeaving,      ///< The primary is leaving and its successor is level.
};

/// Reads the primary off the statuses and decides when it has to be replaced.
class Leadership {
 public:
  Leadership(KeeperTiming timing, uint64_t seed)
      : timing_(timing), random_(seed) {}

  void SetGroup(TimePoint now, const GroupSpec& group);

  /// Looks at the statuses again.
  void Update(TimePoint now, const HealthMonitor& health,
              const ConfirmationTracker& confirmation);

  /// The primary of the newest term that has one; empty when there is none or
  /// when a majority has adopted a later term.
  const std::string& primary() const { return primary_; }
  uint64_t term() const { return term_; }
  /// Highest term that any database has adopted.
  uint64_t highest_term() const { return highest_term_; }

  /// Whether a new term is needed now. `quiet` tells that nothing runs on the
  /// primary any more, which a planned change waits for.
  PromotionCause FindPromotionCause(TimePoint now, const HealthMonitor& health,
                                    bool primary_idle) const;

  /// The databases as a proposal for `cause` sees them.
  std::vector<ProposalPeer> MakeProposalPeers(TimePoint now,
                                              const HealthMonitor& health,
                                              PromotionCause cause) const;

  /// A proposal for `cause` has begun.
  void OnProposalStarted(PromotionCause cause);

  /// Whether the replicas have to be asked at once whether they still stand
  /// where they did, since the primary is suspected of being cut off. A status
  /// on a slow network may be a second old: only one that was asked for after
  /// the suspicion can confirm it. True once for each suspicion.
  bool TakeReplicaProbeDue(TimePoint now);

  bool IsPrimaryLeaving() const;
  /// Whether a majority answers, so that a new primary is possible at all.
  bool IsMajorityReachable(TimePoint now, const HealthMonitor& health) const;
  TimePoint next_deadline(TimePoint now) const;

 private:
  bool IsLeaving(const std::string& database) const;
  bool HasCaughtUpSuccessor(const HealthMonitor& health) const;
  /// Whether a majority besides the primary answers: somebody to take over.
  bool IsReplicaMajorityReachable(TimePoint now,
                                  const HealthMonitor& health) const;
  /// Whether a majority besides the primary has answered calls that were sent
  /// at `since` or later, while none of it had moved.
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
  /// When the absence of a primary, or a stray term, has lasted long enough.
  std::optional<TimePoint> missing_primary_deadline_;
  /// When the primary is suspected of being cut off, unless a replica moves.
  std::optional<TimePoint> progress_deadline_;
  bool replica_probe_pending_ = false;
  bool primary_partitioned_ = false;
  LogPosition confirmed_;
  LogPosition best_replica_position_;
  /// Doublings of `unconfirmed_after`: replicas that lag that far look just
  /// like a cut, and another primary would not help.
  int timeout_doublings_ = 0;
  /// A leaving primary hands over when this comes, ready or not.
  std::optional<TimePoint> handover_deadline_;
};

}  // namespace ryefold::core::group
