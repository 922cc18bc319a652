#pragma once

// Which log position covers everything acknowledged before a given moment.

#include <chrono>
#include <deque>
#include <optional>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// History of (moment, position) marks of one database group. A mark says: the
/// database that held `position` was proved to be the primary by an answer to
/// a call sent at `at`, so its log held every commit that anybody had been
/// told of before `at`. Any database whose log holds the position may serve a
/// read that has to see the commits from before that moment.
class Watermarks {
 public:
  struct Mark {
    TimePoint at;
    LogPosition position;
  };

  /// Another primary leads, under `term`. Drops all marks: their positions may
  /// name entries that the promotion discarded, for which a read would wait in
  /// vain until the first commit under the new term.
  void NewTerm(uint64_t term);

  /// Adds a mark. A position of a newer term drops all older marks, for the
  /// same reason. One of an older term is ignored.
  void Record(TimePoint sent, const LogPosition& position);

  /// The oldest mark not older than `not_before`: replicas are the likeliest
  /// to hold that one. Nothing when every mark is older.
  std::optional<Mark> Covering(TimePoint not_before) const;

  /// Upper bound of how far a log that ends at `position` is behind: the time
  /// since the newest mark that it holds. Nothing when it holds no mark.
  std::optional<std::chrono::milliseconds> Behind(
      TimePoint now, const LogPosition& position) const;

  /// What a session that saw `seen` has to ask for. A position of an older
  /// term is replaced by the first one known of the newest term, which holds
  /// all that the promotion kept.
  LogPosition Current(const LogPosition& seen) const;

  /// Newest mark, if any.
  std::optional<Mark> newest() const;

 private:
  std::deque<Mark> marks_;
  /// Newest term that was told of; entries of older ones may end its log.
  uint64_t term_ = 0;
  LogPosition first_of_term_;
};

}  // namespace ryefold::core::session
