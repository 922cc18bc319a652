#include "ryefold/core/group/following.h"

#include <algorithm>

namespace ryefold::core::group {
namespace {

constexpr std::chrono::milliseconds kTellAgainAfter{500};

}  // namespace

bool Following::TakeDue(TimePoint now, const DatabaseStatus& primary,
                        const DatabaseStatus& replica) {
  if (replica.adopted_term > primary.adopted_term) return false;
  // It adopted this term from a proposer that lost the majority; it would
  // refuse. Only a newer term brings it back.
  const bool other_proposer = replica.adopted_term == primary.adopted_term &&
                              replica.proposer != primary.proposer;
  if (other_proposer) return false;
  Told& told = told_[replica.database];
  const bool level = replica.last >= primary.last;
  const bool moved = replica.last != told.last;
  if (told.term == primary.adopted_term) {
    if (level || moved) {
      told.last = replica.last;
      told.again_at = now + kTellAgainAfter;
      return false;
    }
    if (now < told.again_at) return false;
  }
  told.term = primary.adopted_term;
  told.last = replica.last;
  told.again_at = now + kTellAgainAfter;
  return true;
}

TimePoint Following::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [replica, told] : told_) {
    if (told.again_at > now) next = std::min(next, told.again_at);
  }
  return next;
}

}  // namespace ryefold::core::group
