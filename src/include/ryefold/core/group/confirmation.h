#pragma once

// What a majority of the group is known to hold, and until when it is known to
// have held to a term.

#include <map>
#include <string>
#include <vector>

#include "ryefold/core/messages.h"

namespace ryefold::core::group {

/// What the known positions tell about one entry.
enum class LogEntryState : uint8_t {
  kPending,    ///< Not known yet.
  kConfirmed,  ///< Held by a majority: no promotion can lose it.
  kDiscarded,  ///< A promotion discarded it and a majority holds the newer
               ///< term's first entry: it can never come back.
};

/// Collects the databases' positions. Nothing here is ever taken back: what a
/// database held under a term, it held before it adopted a later one, so every
/// later majority contains a database that has it.
class ConfirmationTracker {
 public:
  void SetDatabases(const std::vector<std::string>& names);

  /// `database` answered a call that was sent at `sent`.
  void RecordStatus(const std::string& database, const DatabaseStatus& status,
                    TimePoint sent);

  /// The primary of `position.term` has written `position`.
  void RecordWrite(const std::string& database, const LogPosition& position);

  /// Highest entry of the newest term that a majority is known to hold; its
  /// term is that term. Entries of older terms are never counted by
  /// themselves: a majority can hold one and a later promotion still drop it,
  /// unless an entry of the newer term stands on top (as in Raft).
  const LogPosition& confirmed() const { return confirmed_; }

  LogEntryState ClassifyEntry(const LogPosition& position) const;

  /// Latest time at which a majority is known to have had `term` as their
  /// adopted one, so that no later term had a primary; the epoch if never.
  TimePoint TermConfirmedAt(uint64_t term) const;

  /// When the call was sent that last heard from `database` under `term`.
  TimePoint LastContactAt(const std::string& database, uint64_t term) const;

 private:
  struct DatabaseRecord {
    LogPosition last;
    uint64_t adopted_term = 0;
    TimePoint last_contact;
  };
  void AdvanceConfirmed();

  std::map<std::string, DatabaseRecord> databases_;
  /// Term starts of the newest term seen in a log, with that term's own start
  /// as the last one.
  std::vector<TermStart> newest_starts_;
  LogPosition newest_last_;
  /// Term starts of the log that `confirmed_` belongs to.
  std::vector<TermStart> confirmed_starts_;
  LogPosition confirmed_;
};

}  // namespace ryefold::core::group
