#pragma once

// Proof that a database that claims to be the primary is still the leader.
//
// A replaced primary may be unaware of its replacement. While it is partitioned
// from its successor, and for some time after, it begins transactions, answers
// reads and accepts commits. A caller would read data that misses commits
// already acknowledged to others.
//
// The proof relies on intersecting quorums, not on clocks or on notification of
// a promotion. A commit is acknowledged only once a fixed number of the group's
// databases hold it in the term in which it was written (`Confirmation`). A
// database learns of a term with its first entry at the latest. So if the
// primary of term T and enough other databases (the witnesses), all asked at or
// after a moment, have seen no newer term, then no commit of a newer term was
// acknowledged before that moment. Faults and their effect:
//
//   lost or late answer of a witness  no proof; the witness is asked again
//   repeated or reordered answer      counts from when its request was sent
//   frozen or slow instance           the same: answers count from the request
//   primary cut off from the others   its reads wait, then are rejected
//   promotion not yet seen here       a witness reports the newer term
//   database restarted without state  reports a lower term, so is no witness
//
// The instance that acknowledges a commit and the one that reads may know
// different databases, as databases join and leave. `ExcludesOlderTerms` is the
// other half of the rule: a commit is acknowledged once no older primary is
// left, or once no database but that primary itself could be its witness.
// docs/design/leadership-proof.md has the argument.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ryefold/core/session/watermarks.h"
#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// Returns how many databases other than the primary must have seen no newer
/// term, if a commit is acknowledged once `copies` of `databases` hold it. At
/// least one if the group has two or more databases.
size_t WitnessesNeeded(size_t databases, size_t copies);

/// What is known of a database of the group when a commit of another one is to
/// be acknowledged.
struct MemberEvidence {
  /// Newest term that the database is known to have seen.
  uint64_t term = 0;
  /// It was a replica when asked, and leads no term before that of the commit:
  /// it was asked after that term had begun, or others led the terms between.
  bool replica = false;
};

/// Time for which a list of databases counts as current after it was last
/// confirmed, and for which a database that has left it may still confirm
/// commits at an instance with an older list.
inline constexpr std::chrono::milliseconds kListCurrentFor{10000};

/// Returns whether no read that starts from now on can be proved under a term
/// before `term`. `others` are all known databases but the primary of `term`,
/// also those that left the list recently. `list_current` tells whether the
/// list was confirmed within `kListCurrentFor`.
bool ExcludesOlderTerms(uint64_t term,
                        const std::vector<MemberEvidence>& others,
                        bool list_current);

/// Evidence about one group. All times are those at which requests were sent.
class LeadershipProof {
 public:
  /// Records that `leader` accepted a begin or commit sent at `sent`, or
  /// claimed to be the primary, with its log at `position`. `term` is the
  /// newest term that `leader` is known to have led; `position` reflects it
  /// only after the first commit of the term. Returns false if a newer term has
  /// been claimed before.
  bool RecordClaim(const std::string& leader, uint64_t term, TimePoint sent,
                   const LogPosition& position);
  /// Records that `database`, asked at `asked`, has seen no term above `term`.
  void RecordWitness(const std::string& database, TimePoint asked,
                     uint64_t term);

  /// Discards the evidence about a database that has lost its state.
  void DiscardEvidence(const std::string& database);

  /// Returns the time until which the leader is proved to have led, provided
  /// that it claimed to: `needed` of `others` were asked at or after that time
  /// and had seen no newer term.
  TimePoint ProvedUntil(const std::vector<std::string>& others,
                        size_t needed) const;
  /// Removes and returns the claims up to `until`, oldest first.
  std::vector<Watermarks::Mark> TakeClaims(TimePoint until);

  const std::string& leader() const { return leader_; }
  uint64_t term() const { return term_; }

 private:
  struct WitnessReport {
    TimePoint asked;
    uint64_t term = 0;
  };
  std::string leader_;
  uint64_t term_ = 0;
  std::vector<Watermarks::Mark> claims_;
  std::map<std::string, WitnessReport> reports_;
};

}  // namespace ryefold::core::session
