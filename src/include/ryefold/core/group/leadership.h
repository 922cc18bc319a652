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
  kNoPrimary,      ///< Nobody is the primary of the newest term.
  kPrimaryLost,    ///< The primary is silent or refuses connections.
  kPrimaryCutOff,  ///< No replica confirms, though replicas answer.
  kStrayTerm,      ///< A database adopted a term that has no primary.
  kLeaving,        ///< The primary is leaving and its successor is level.
};

/// Reads the primary off the statuses and decides when it has to be replaced.
class Leadership {
 public:
  Leadership(KeeperTiming timing, uint64_t seed)
      : timing_(timing), random_(seed) {}

  void SetGroup(TimePoint now, const GroupSpec& group);

  /// Looks at the statuses again.
  void Update(TimePoint now, const Health& health,
              const Confirmation& confirmation);

  /// The primary of the newest term that has one; empty when there is none or
  /// when a majority has adopted a later term.
  const std::string& primary() const { return primary_; }
  uint64_t term() const { return term_; }
  /// Highest term that any database has adopted.
  uint64_t highest_term() const { return highest_term_; }

  /// Whether a new term is needed now. `quiet` tells that nothing runs on the
  /// primary any more, which a planned change waits for.
  PromotionCause Needs(TimePoint now, const Health& health, bool quiet) const;

  /// The databases as a proposal for `cause` sees them.
  std::vector<ProposalPeer> Peers(TimePoint now, const Health& health,
                                  PromotionCause cause) const;

  /// A proposal for `cause` has begun.
  void Proposed(PromotionCause cause);

  /// Whether the replicas have to be asked at once whether they still stand
  /// where they did, since the primary is suspected of being cut off. A status
  /// on a slow network may be a second old: only one that was asked for after
  /// the suspicion can confirm it. True once for each suspicion.
  bool TakeProofWanted(TimePoint now);

  bool primary_leaving() const;
  /// Whether a majority answers, so that a new primary is possible at all.
  bool majority_reachable(TimePoint now, const Health& health) const;
  TimePoint next_deadline(TimePoint now) const;

 private:
  bool leaving(const std::string& database) const;
  bool SuccessorLevel(const Health& health) const;
  /// Whether a majority besides the primary answers: somebody to take over.
  bool OthersReachable(TimePoint now, const Health& health) const;
  /// Whether a majority besides the primary has answered calls that were sent
  /// at `since` or later, while none of it had moved.
  bool StillBehind(TimePoint since, const Confirmation& confirmation) const;
  void UpdatePrimary(const Health& health);
  void UpdateStray(TimePoint now, const Health& health);
  void UpdateProgress(TimePoint now, const Health& health,
                      const Confirmation& confirmation);

  KeeperTiming timing_;
  std::mt19937_64 random_;
  GroupSpec group_;
  std::string primary_;
  uint64_t term_ = 0;
  uint64_t highest_term_ = 0;
  /// When the absence of a primary, or a stray term, has lasted long enough.
  std::optional<TimePoint> stray_until_;
  /// When the primary is suspected of being cut off, unless a replica moves.
  std::optional<TimePoint> progress_until_;
  bool proof_wanted_ = false;
  bool cut_off_ = false;
  LogPosition confirmed_;
  LogPosition best_replica_;
  /// Doublings of `unconfirmed_after`: replicas that lag that far look just
  /// like a cut, and another primary would not help.
  int doublings_ = 0;
  /// A leaving primary hands over when this comes, ready or not.
  std::optional<TimePoint> handover_until_;
};

}  // namespace ryefold::core::group
