#pragma once

// Whether a database that takes itself for the primary still leads.
//
// A primary that has been replaced may not know: it goes on letting
// transactions begin, answering reads and taking commits, for as long as it is
// partitioned from its successor and some time after. A caller would read data
// that misses what others have been told is saved.
//
// The proof is that of intersecting quorums and rests on no clock and no
// message that tells of a promotion. A commit is acknowledged only once it is
// on a certain number of the group's databases under the term it was written
// in (`Confirmation`). Databases learn of a term with its first entry at the
// latest. So when the primary of term T and enough of the others, all asked at
// or after a moment, know of no newer term, nothing was acknowledged under a
// newer term before that moment. What may go wrong with each message:
//
//   lost or late answer of a witness  nothing is proved; it is asked again
//   repeated or reordered answer      counts from when its question was sent
//   frozen or slow instance           the same: answers count from the question
//   primary cut off from the others   its reads wait, then are refused
//   promotion nobody has heard of     a witness tells the newer term
//   database started anew             knows a lower term, so is no witness

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ryefold/core/session/watermarks.h"
#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// How many databases other than the primary have to know of no newer term,
/// when a commit counts as acknowledged once `copies` of `databases` have it.
/// At least one, as long as there is one.
size_t WitnessesNeeded(size_t databases, size_t copies);

/// Evidence about one group. Times are those at which calls were sent.
class LeadershipProof {
 public:
  /// `leader` accepted a begin or a commit that was sent at `sent`, or said
  /// that it leads; its log was at `position`. `term` is the newest that it is
  /// known to have led, which its position shows only after its first commit.
  /// False when a newer term has been claimed before.
  bool Claimed(const std::string& leader, uint64_t term, TimePoint sent,
               const LogPosition& position);
  /// `database`, asked at `asked`, knew of no term beyond `term`.
  void Told(const std::string& database, TimePoint asked, uint64_t term);

  /// The database holds nothing of what it knew.
  void Forget(const std::string& database);

  /// Up to which moment the leader is proved to have led, if it claimed to:
  /// `needed` of `others` were asked then or later and knew no newer term.
  TimePoint ProvedUntil(const std::vector<std::string>& others,
                        size_t needed) const;
  /// Claims up to `until`, the oldest first; they are handed out once.
  std::vector<Watermarks::Mark> TakeClaims(TimePoint until);

  const std::string& leader() const { return leader_; }
  uint64_t term() const { return term_; }

 private:
  struct Knowledge {
    TimePoint asked;
    uint64_t term = 0;
  };
  std::string leader_;
  uint64_t term_ = 0;
  std::vector<Watermarks::Mark> claims_;
  std::map<std::string, Knowledge> told_;
};

}  // namespace ryefold::core::session
