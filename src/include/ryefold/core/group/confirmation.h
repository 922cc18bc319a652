#pragma once

// Tracks which log entries a majority of the group holds, and when a majority
// last confirmed a term.

#include <map>
#include <string>
#include <vector>

#include "ryefold/core/messages.h"

namespace ryefold::core::group {

/// Whether a log entry is durable, as far as the known positions show.
enum class LogEntryState : uint8_t {
  kPending,    ///< Not decided yet.
  kConfirmed,  ///< Held by a majority: no promotion can discard it.
  kDiscarded,  ///< Discarded by a promotion, and a majority holds the first
               ///< entry of the newer term: it cannot reappear.
};

/// Collects log positions from the databases and derives the confirmed position
/// (the commit index in Raft's terms). The state only moves forward: what a
/// database held under a term, it held before it adopted a later one, so every
/// later majority contains a database that holds it.
class ConfirmationTracker {
 public:
  void SetDatabases(const std::vector<std::string>& names);

  /// Records the status with which `database` answered a call sent at `sent`.
  void RecordStatus(const std::string& database, const DatabaseStatus& status,
                    TimePoint sent);

  /// Records that `database`, the primary of `position.term`, has written
  /// `position`.
  void RecordWrite(const std::string& database, const LogPosition& position);

  /// Returns the highest entry of the newest term that a majority holds.
  /// Entries of older terms are not counted by themselves: even if a majority
  /// holds one, a later promotion can discard it unless an entry of the newer
  /// term follows it (as in Raft).
  const LogPosition& confirmed() const { return confirmed_; }

  LogEntryState ClassifyEntry(const LogPosition& position) const;

  /// Returns the latest time at which a majority had `term` as its adopted
  /// term, so that no later term had a primary. Returns the epoch if there was
  /// none.
  TimePoint TermConfirmedAt(uint64_t term) const;

  /// Returns when the latest call was sent that `database` answered under
  /// `term`. Returns the epoch if there was none.
  TimePoint LastContactAt(const std::string& database, uint64_t term) const;

 private:
  struct DatabaseRecord {
    LogPosition last;
    uint64_t adopted_term = 0;
    TimePoint last_contact;
  };
  void AdvanceConfirmed();

  std::map<std::string, DatabaseRecord> databases_;
  /// Term starts of the newest term seen in any log; the last one is the start
  /// of that term itself.
  std::vector<TermStart> newest_starts_;
  LogPosition newest_last_;
  /// Term starts of the log that contains `confirmed_`.
  std::vector<TermStart> confirmed_starts_;
  LogPosition confirmed_;
};

}  // namespace ryefold::core::group
