#pragma once

// Makes every replica follow the primary.

#include <map>
#include <string>
#include <vector>

#include "ryefold/core/messages.h"

namespace ryefold::core::group {

/// Decides when to send follow calls: to each replica once per term, and again
/// if the replica lags and makes no progress. A proposer can crash after the
/// promote call and before the follow calls, and a restarted database comes
/// back under an old term; without a repeated call, neither replica would ever
/// confirm a write again.
class FollowScheduler {
 public:
  /// Returns whether a follow call to `replica` is due, and if so records it as
  /// sent.
  bool MarkSentIfDue(TimePoint now, const DatabaseStatus& primary,
                     const DatabaseStatus& replica);
  /// Makes a follow call due again after the last one failed.
  void OnCallFailed(const std::string& replica) { sent_calls_.erase(replica); }
  /// Returns when a replica without progress is due for another call.
  TimePoint next_deadline(TimePoint now) const;

 private:
  struct SentCall {
    uint64_t term = 0;
    LogPosition last;
    TimePoint retry_at;
  };
  std::map<std::string, SentCall> sent_calls_;
};

}  // namespace ryefold::core::group
