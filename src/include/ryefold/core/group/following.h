#pragma once

// Has every database that is not the primary follow it.

#include <map>
#include <string>
#include <vector>

#include "ryefold/core/messages.h"

namespace ryefold::core::group {

/// Sends the follow call to each replica once per term, and again when the
/// replica is behind and does not move. A proposer that dies after promoting
/// tells nobody whom to follow; a database that was down comes back under an
/// old term. Either would otherwise never confirm anything again.
class FollowScheduler {
 public:
  /// Whether `replica` has to be told now to follow the primary; counts as
  /// told when true.
  bool MarkSentIfDue(TimePoint now, const DatabaseStatus& primary,
                     const DatabaseStatus& replica);
  /// The call failed.
  void OnCallFailed(const std::string& replica) { sent_calls_.erase(replica); }
  /// When a replica that stands still may be told again.
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
