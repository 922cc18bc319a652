#pragma once

// Failure detector for the databases of a group, based on long-polling status
// calls.

#include <map>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

/// A status call that is due.
struct DueStatusCall {
  std::string database;
  StatusCall call;
  TimePoint deadline;
};

/// Monitors each database with one long-polling status call at a time. Only a
/// missing answer to these calls makes a database lost. A stalled statement
/// does not: a promotion would not make the same statement faster.
class HealthMonitor {
 public:
  explicit HealthMonitor(KeeperTiming timing) : timing_(timing) {}

  /// Replaces the set of monitored databases; a new one is polled at once.
  void SetDatabases(TimePoint now, const std::vector<std::string>& names);

  /// Returns the status calls that are due and marks them as in flight.
  std::vector<DueStatusCall> TakeDueCalls(TimePoint now);

  /// Returns the suspected databases to probe immediately. Their long poll is
  /// in flight and would not return before its wait is over, even if they are
  /// healthy.
  std::vector<std::string> TakeProbes();

  /// Records a status received from the long poll (`long_poll`) or from any
  /// other call.
  void RecordStatus(TimePoint now, const std::string& database,
                    const DatabaseStatus& status, bool long_poll);

  /// Records that the long poll failed: `refused` if the connection was refused
  /// or reset, otherwise the call timed out.
  void RecordFailure(TimePoint now, const std::string& database, bool refused);

  /// Marks a database as suspected, after a statement connection broke or the
  /// database refused a call because of its term. Its last status may be stale,
  /// and it stays suspected until it answers again.
  void MarkSuspected(TimePoint now, const std::string& database);

  /// Returns whether the database has not answered for `lost_after` or keeps
  /// refusing connections.
  bool IsLost(TimePoint now, const std::string& database) const;
  /// Returns whether the database has answered and is not lost.
  bool IsReachable(TimePoint now, const std::string& database) const;
  bool IsSuspected(const std::string& database) const;
  /// Returns the last status received, or null if there is none.
  const DatabaseStatus* status(const std::string& database) const;
  /// Returns whether every database has either answered or become lost.
  bool HasAssessedAll(TimePoint now) const;

  /// Returns when the next call is due or the next database may become lost.
  TimePoint next_deadline(TimePoint now) const;

 private:
  struct MonitoredDatabase {
    DatabaseStatus status;
    bool has_status = false;
    bool in_flight = false;
    bool suspected = false;
    int consecutive_refusals = 0;
    TimePoint next_poll;
    /// When the database becomes lost unless it answers before.
    TimePoint lost_at;
  };
  const MonitoredDatabase* Find(const std::string& database) const;

  KeeperTiming timing_;
  std::map<std::string, MonitoredDatabase> databases_;
  std::vector<std::string> probes_;
};

}  // namespace ryefold::core::group
