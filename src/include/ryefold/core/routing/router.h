#pragma once

// Routing of reads to databases, and bounds for the age of replica data.

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::routing {

/// Value for an age that cannot be bounded.
inline constexpr std::chrono::milliseconds kUnknownAge =
    std::chrono::milliseconds::max();

/// Maximum number of samples in an `AgeTracker`. Old samples are dropped such
/// that the rest bound an age within one eighth; dropping rounds ages up.
inline constexpr size_t kMaxSamples = 512;

/// State of one database, as input to routing.
struct Candidate {
  std::string database;
  std::string failure_domain;
  bool primary = false;
  /// Whether it answers, is not leaving and has adopted the current term.
  bool usable = false;
  bool has_free_slot = false;
  /// Last position in its log.
  LogPosition last;
  std::vector<TermStart> term_starts;
  /// Upper bound of the age of the data that it serves now; rounded up.
  std::chrono::milliseconds age{0};
  /// When it is expected to reach the session's position; nullopt if it has
  /// reached it or no estimate exists.
  std::optional<TimePoint> catches_up_at;
  /// Number of statements in flight.
  uint32_t running = 0;
};

/// Requirements of a read.
struct ReadRequirements {
  /// Newest position that the session has read or written.
  LogPosition seen;
  std::chrono::milliseconds max_age{0};
  /// Preferred failure domain.
  std::string near_domain;
  TimePoint deadline;
};

enum class RouteKind : uint8_t {
  kServe,  ///< Send the read to `database` now.
  kWait,   ///< A replica will catch up soon; route again at `retry_at`.
  kBusy,   ///< The databases that could serve the read have no free slot.
  kNone,   ///< No database can serve the read at present.
};

struct Route {
  RouteKind kind = RouteKind::kNone;
  std::string database;
  TimePoint retry_at;
};

/// Chooses the database for a read. Prefers replicas, then databases in the
/// preferred failure domain, then those with the fewest statements in flight.
/// A read with max_age 0 may use a replica only if the replica has everything
/// that a confirmed primary had when the read arrived; the caller expresses
/// this through `Candidate::age`. If no replica can serve the read now, a
/// primary with a free slot does, since waiting for a replica is not faster.
///
/// After kWait or kBusy, route again also when a slot becomes free or the
/// position of a database advances.
Route ChooseReadRoute(TimePoint now, const ReadRequirements& needs,
                      const std::vector<Candidate>& candidates);

/// Bounds the age of replica data from above. Records, for one database group,
/// the last time at which the primary was known not to be past each position.
///
/// The time at which the primary was first seen *past* a position gives no
/// upper bound: the write may be older than its observation, and a newly
/// started keeper would consider a replica fresh that is an hour behind.
class AgeTracker {
 public:
  /// Records that the confirmed primary was at position `last`. To be called
  /// for every answer of the primary, even if its position has not changed.
  void RecordPrimary(TimePoint now, const LogPosition& last);

  /// Returns an upper bound of the age of the data at position `last`: the time
  /// since the primary was last known not to be past `last`. The bound is at
  /// least 1 ms once the primary is past `last`, and `kUnknownAge` for
  /// positions before the oldest sample. `confirmed` is when a majority last
  /// confirmed the primary's term; later samples do not count, because they may
  /// come from a primary that has been replaced unnoticed. With the arrival
  /// time of a read as `now`, the result is the age at its arrival.
  std::chrono::milliseconds AgeBound(TimePoint now, const LogPosition& last,
                                     TimePoint confirmed) const;

  /// Returns the number of samples, at most `kMaxSamples`.
  size_t sample_count() const { return samples_.size(); }

 private:
  /// The primary was at `position`, most recently at `last_seen`.
  struct Sample {
    LogPosition position;
    TimePoint last_seen;
  };
  void ThinSamples(TimePoint now);

  std::vector<Sample> samples_;
};

}  // namespace ryefold::core::routing
