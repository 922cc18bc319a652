#include "ryefold/core/failover/group_health.h"

#include <algorithm>

namespace ryefold::core::failover {

using session::DatabaseView;
using session::GroupView;
using std::chrono::milliseconds;

const DatabaseView* FindPrimary(const GroupView& group) {
  for (const DatabaseView& database : group.databases) {
    if (database.id == group.primary) return &database;
  }
  return nullptr;
}

bool SeemsToFail(TimePoint now, const DatabaseView* primary,
                 milliseconds max_silence) {
  if (primary == nullptr || primary->draining || primary->refusals > 0) {
    return true;
  }
  const bool silent = primary->unanswered_since != TimePoint() &&
                      now - primary->unanswered_since >= max_silence;
  return silent || !primary->responsive;
}

void ReplicationProgress::Update(TimePoint now, const GroupView& group,
                                 milliseconds max_status_age) {
  const DatabaseView* primary = FindPrimary(group);
  LogPosition received;
  size_t replicas = 0;
  bool all_recent = primary != nullptr;
  for (const DatabaseView& database : group.databases) {
    if (database.draining) continue;
    all_recent =
        all_recent && now - database.status_requested_at <= max_status_age;
    if (database.id == group.primary) continue;
    ++replicas;
    received = std::max(received, database.status.received);
  }
  const bool ahead = all_recent && replicas > 0 &&
                     primary->status.received.term == received.term &&
                     primary->status.received > received;
  if (!ahead) {
    stalled_since_ = TimePoint();
  } else if (stalled_since_ == TimePoint() || received != newest_received_) {
    stalled_since_ = now;
  }
  newest_received_ = received;
}

}  // namespace ryefold::core::failover
