#pragma once

// Signs that a group may need a new primary, as one instance sees them.

#include <chrono>

#include "ryefold/core/session/proxy.h"
#include "ryefold/core/types.h"

namespace ryefold::core::failover {

/// Returns the presumed primary; nullptr if it is unknown or not listed.
const session::DatabaseView* FindPrimary(const session::GroupView& group);

/// Returns whether the primary may have failed or is about to stop.
/// `responsive` allows a database with a high latency more time than others, so
/// that `max_silence` without an answer counts as well.
bool SeemsToFail(TimePoint now, const session::DatabaseView* primary,
                 std::chrono::milliseconds max_silence);

/// Follows whether the replicas of a group receive what its primary writes. A
/// primary that is partitioned from all of them still answers and its log still
/// grows, so only the positions of the replicas reveal the partition.
class ReplicationProgress {
 public:
  /// The status of every database has to be newer than `max_status_age`, or the
  /// one replica that still receives could be missed.
  void Update(TimePoint now, const session::GroupView& group,
              std::chrono::milliseconds max_status_age);

  /// Returns the time since which no replica has received anything although the
  /// primary's log is ahead; epoch while replication makes progress.
  TimePoint stalled_since() const { return stalled_since_; }

 private:
  /// Newest position received by any replica.
  LogPosition newest_received_;
  TimePoint stalled_since_;
};

}  // namespace ryefold::core::failover
