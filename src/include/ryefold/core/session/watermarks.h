#pragma once

// Maps a point in time to the log position that includes every commit
// acknowledged before it.

#include <chrono>
#include <deque>
#include <optional>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// History of (time, position) marks of one database group. A mark means: the
/// database that held `position` was proved to be the primary by an answer to a
/// call sent at `at`, so its log held every commit acknowledged before `at`.
/// Any database whose log holds the position may serve a read that must see the
/// commits before that time.
class Watermarks {
 public:
  struct Mark {
    TimePoint at;
    LogPosition position;
  };

  /// Starts a new term after a promotion. Drops all marks: they may refer to
  /// entries that the promotion discarded, and reads would wait for them until
  /// the first commit of the new term.
  void StartTerm(uint64_t term);

  /// Adds a mark. A position of a newer term drops all older marks, for the
  /// same reason. A position of an older term is ignored.
  void Record(TimePoint sent, const LogPosition& position);

  /// Returns the oldest mark at or after `not_before`, which replicas are most
  /// likely to hold. Returns nullopt if every mark is older.
  std::optional<Mark> OldestSince(TimePoint not_before) const;

  /// Returns an upper bound of the lag of a log that ends at `position`: the
  /// time since the newest mark that the log holds. Returns nullopt if it holds
  /// no mark.
  std::optional<std::chrono::milliseconds> LagBound(
      TimePoint now, const LogPosition& position) const;

  /// Returns the position that a session that saw `seen` must require. A
  /// position of an older term is replaced by the first known position of the
  /// newest term, which includes everything that the promotion kept.
  LogPosition RequiredPosition(const LogPosition& seen) const;

  /// Returns the newest mark, or nullopt if there is none.
  std::optional<Mark> newest() const;

 private:
  std::deque<Mark> marks_;
  /// Newest known term; the log may still end with entries of older terms.
  uint64_t term_ = 0;
  LogPosition first_of_term_;
};

}  // namespace ryefold::core::session
