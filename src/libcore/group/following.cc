#include "ryefold/core/group/following.h"

#include <algorithm>

namespace ryefold::core::group {
namespace {

constexpr std::chrono::milliseconds kFollowRetryInterval{500};

}  // namespace

bool FollowScheduler::MarkSentIfDue(TimePoint now,
                                    const DatabaseStatus& primary,
                                    const DatabaseStatus& replica) {
  if (replica.adopted_term > primary.adopted_term) return false;
  // The replica adopted this term from a proposer that did not reach a majority
  // and would refuse the call. Only a newer term resolves that.
  const bool adopted_from_other =
      replica.adopted_term == primary.adopted_term &&
      replica.proposer != primary.proposer;
  if (adopted_from_other) return false;
  SentCall& sent = sent_calls_[replica.database];
  const bool caught_up = replica.last >= primary.last;
  const bool moved = replica.last != sent.last;
  if (sent.term == primary.adopted_term) {
    if (caught_up || moved) {
      sent.last = replica.last;
      sent.retry_at = now + kFollowRetryInterval;
      return false;
    }
    if (now < sent.retry_at) return false;
  }
  sent.term = primary.adopted_term;
  sent.last = replica.last;
  sent.retry_at = now + kFollowRetryInterval;
  return true;
}

TimePoint FollowScheduler::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [replica, sent] : sent_calls_) {
    if (sent.retry_at > now) next = std::min(next, sent.retry_at);
  }
  return next;
}

}  // namespace ryefold::core::group
