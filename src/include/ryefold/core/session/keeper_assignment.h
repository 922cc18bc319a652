#pragma once

// The keepers of all groups, updated by the difference between two lists of
// instances. Ranking every instance for every group at each change would cost
// an instance time in proportion to the square of the fleet.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/session/forwarding.h"

namespace ryefold::core::session {

/// Returns the same keepers as `ChooseKeepers`. A joining instance costs one
/// hash for each group, a leaving one a ranking of the groups that it kept.
class KeeperAssignment {
 public:
  /// Replaces the candidates. Returns the groups whose keepers changed.
  std::vector<std::string> SetCandidates(
      const std::vector<KeeperCandidate>& candidates);
  /// Sets the number of keepers of a group; 0 if all instances keep it. Returns
  /// whether its keepers changed.
  bool SetCount(const std::string& group, size_t count);

  /// Returns the number of keepers; 0 for an unknown group too.
  size_t count(const std::string& group) const;
  /// Returns the keepers in rendezvous order; empty if the number is 0 or the
  /// group is unknown.
  std::vector<KeeperCandidate> keepers(const std::string& group) const;

  /// Returns the hashes computed so far: the work done for all changes.
  uint64_t hash_count() const { return hash_count_; }

 private:
  using CandidateId = uint32_t;
  using Rank = std::pair<uint64_t, CandidateId>;

  struct Candidate {
    CandidateId id = 0;
    /// Seed of the candidate's hash for each group.
    uint64_t seed = 0;
  };
  struct Ranking {
    size_t count = 0;
    /// The first `count` candidates, in order.
    std::vector<Rank> first;
  };

  void RankAll(const std::string& group, Ranking* ranking);
  bool Insert(const std::string& group, const Candidate& candidate,
              Ranking* ranking);

  /// By ascending id. Apart from the names, so that a ranking of all candidates
  /// reads little memory.
  std::vector<Candidate> candidates_;
  std::map<CandidateId, KeeperCandidate> names_;
  std::map<std::string, CandidateId> ids_;
  CandidateId last_id_ = 0;
  std::map<std::string, Ranking> rankings_;
  uint64_t hash_count_ = 0;
};

}  // namespace ryefold::core::session
