#pragma once

// Chooses the database that serves a read.

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::routing {

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
/// expresses through `Candidate::age`.
Route ChooseForRead(TimePoint now, const ReadNeeds& needs,
                    const std::vector<Candidate>& candidates);

/// Keeps, for one database group, when the primary was first known past each
/// index, so that the age of a replica can be bounded from above.
class AgeTracker {
 public:
  /// The primary, confirmed under `term`, was seen at `last`.
  void PrimaryAt(TimePoint now, const LogPosition& last);

  /// Age of what a database at `last` serves: now minus when the primary was
  /// first known past it; zero when it was never known past it. `confirmed` is
  /// when a majority last confirmed the primary's term: a primary that was
  /// replaced without knowing it cannot vouch for anything later than that.
  std::chrono::milliseconds AgeAt(TimePoint now, const LogPosition& last,
                                  TimePoint confirmed) const;

 private:
  struct Mark {
    LogPosition position;
    TimePoint first_known;
  };
  std::vector<Mark> marks_;
};

}  // namespace ryefold::core::routing
