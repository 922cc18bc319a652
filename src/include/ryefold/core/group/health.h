#pragma once

// Whether the databases of a group answer, learnt from status calls that wait
// inside them.

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

/// Watches each database by one status call at a time. Only silence of these
/// calls makes a database lost: a statement that stalls says nothing, since a
/// promotion would not make the same statement faster.
class HealthMonitor {
 public:
  explicit HealthMonitor(KeeperTiming timing) : timing_(timing) {}

  /// Databases to watch from now on; those new are polled at once.
  void SetDatabases(TimePoint now, const std::vector<std::string>& names);

  /// Status calls to make now; they count as made.
  std::vector<DueStatusCall> TakeDueCalls(TimePoint now);

  /// Databases that came into doubt and have to be asked at once, beside the
  /// waiting call, which would hide for its whole wait that they are well.
  std::vector<std::string> TakeProbes();

  /// A status arrived, by the waiting call (`waited`) or by another.
  void RecordStatus(TimePoint now, const std::string& database,
                    const DatabaseStatus& status, bool long_poll);

  /// The waiting call failed: `refused` when the connection was refused or
  /// reset, otherwise no answer came in time.
  void RecordFailure(TimePoint now, const std::string& database, bool refused);

  /// A statement connection broke or a call was refused for its term: what is
  /// known of the database is doubted until it has answered again.
  void MarkSuspected(TimePoint now, const std::string& database);

  /// Silent for too long, or refusing connections.
  bool IsLost(TimePoint now, const std::string& database) const;
  /// Has answered and is not lost.
  bool IsReachable(TimePoint now, const std::string& database) const;
  bool IsSuspected(const std::string& database) const;
  /// Last status heard, null when there was none yet.
  const DatabaseStatus* status(const std::string& database) const;
  /// Whether every database has either answered or turned out lost.
  bool HasAssessedAll(TimePoint now) const;

  /// When a call is due or a database may turn lost.
  TimePoint next_deadline(TimePoint now) const;

 private:
  struct MonitoredDatabase {
    DatabaseStatus status;
    bool has_status = false;
    bool in_flight = false;
    bool suspected = false;
    int consecutive_refusals = 0;
    TimePoint next_poll;
    /// Silence until then makes it lost.
    TimePoint lost_at;
  };
  const MonitoredDatabase* Find(const std::string& database) const;

  KeeperTiming timing_;
  std::map<std::string, MonitoredDatabase> databases_;
  std::vector<std::string> probes_;
};

}  // namespace ryefold::core::group
