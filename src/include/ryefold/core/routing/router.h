#pragma once

// Chooses the database that serves a read.

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::routing {

/// Age of data about which nothing is known.
inline constexpr std::chrono::milliseconds kUnknownAge =
    std::chrono::milliseconds::max();

/// Marks an `AgeTracker` keeps at most. Old ones are thinned out so that the
/// rest bound an age within an eighth; what is dropped rounds ages up.
inline constexpr size_t kMaxMarks = 512;

/// What the router knows of one database.
struct Candidate {
  std::string database;
  std::string failure_domain;
  bool primary = false;
  /// Answers, is not leaving, follows the present term.
  bool usable = false;
  bool has_free_slot = false;
  LogPosition last;
  std::vector<TermStart> term_starts;
  /// Upper bound of the age of what it serves now; rounded up.
  std::chrono::milliseconds age{0};
  /// When it is expected to reach the session's position, if it is behind.
  std::optional<TimePoint> catches_up_at;
  /// Statements running on it.
  uint32_t running = 0;
};

/// What a read needs.
struct ReadNeeds {
  LogPosition seen;
  std::chrono::milliseconds max_age{0};
  std::string near;
  TimePoint deadline;
};

enum class RouteKind : uint8_t {
  kServe,  ///< Send it to `database` now.
  kWait,   ///< A replica is about to catch up; look again at `look_again`.
  kBusy,   ///< Databases that could serve it have no free slot.
  kNone,   ///< No database can serve it at present.
};

struct Route {
  RouteKind kind = RouteKind::kNone;
  std::string database;
  TimePoint look_again;
};

/// Prefers replicas, then the near failure domain, then the least busy. A read
/// that accepts age 0 may go to a replica only if that replica is known level
/// with what a confirmed primary had when the read arrived, which the caller
/// expresses through `Candidate::age`. A primary with a free slot serves at
/// once what no replica can serve at once: waiting would not beat it.
///
/// After kWait or kBusy, a slot that becomes free or a database that moves on
/// is a reason to look again as well.
Route ChooseForRead(TimePoint now, const ReadNeeds& needs,
                    const std::vector<Candidate>& candidates);

/// Keeps, for one database group, until when the primary was known not to be
/// past each index, so that the age of a replica can be bounded from above.
///
/// Counting from the moment at which the primary was first known *past* an
/// index would not be a bound: the write may be older than the news of it, and
/// a keeper that has just started would take a replica that is an hour behind
/// for fresh. A caller would notice yesterday's data at a gate that accepts
/// seconds.
class AgeTracker {
 public:
  /// The primary, confirmed under `term`, was seen at `last`. To be called
  /// for every answer of the primary, also when nothing has changed.
  void PrimaryAt(TimePoint now, const LogPosition& last);

  /// Upper bound of the age of what a database at `last` serves. Counted from
  /// when the primary was last known not to be past `last`, at least 1 ms once
  /// it is past; `kUnknownAge` for what lies before all that is kept.
  /// `confirmed` is when a majority last confirmed the primary's term: a
  /// primary that was replaced without knowing it cannot vouch for anything
  /// later than that. With the arrival of a read as `now` the answer is the
  /// age as of its arrival.
  std::chrono::milliseconds AgeAt(TimePoint now, const LogPosition& last,
                                  TimePoint confirmed) const;

  /// Marks kept; bounded by `kMaxMarks`.
  size_t marks() const { return marks_.size(); }

 private:
  /// The primary stood at `position`, last known so at `last_known`.
  struct Mark {
    LogPosition position;
    TimePoint last_known;
  };
  void Thin(TimePoint now);

  std::vector<Mark> marks_;
};

}  // namespace ryefold::core::routing
