#pragma once

// State of one database of a fake cluster: its log, its role, and the faults
// that tests inject.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/session/port.h"
#include "ryefold/core/types.h"
#include "testsuite/support/session/virtual_clock.h"

namespace ryefold::testsuite {

using core::LogPosition;

/// A committed write in the replication log.
struct LogEntry {
  LogPosition position;
  std::string statement_id;
  /// Ids of all writes of the commit.
  std::vector<std::string> writes;
};

/// Record of one statement that a database executed.
struct ExecutedStatement {
  std::string statement_id;
  std::string digest;
  std::string database;
  /// Applied log positions at the time of execution.
  std::vector<LogPosition> log;
  std::map<std::string, std::string> variables;
  /// Statement text; for a prepared statement, its template and arguments.
  std::string text;
  /// Transaction number assigned by the database; 0 outside a transaction.
  uint64_t transaction = 0;
  bool committed = false;
};

struct FakeDatabase {
  std::string id;
  std::string failure_domain;
  /// Whether the database acts as a primary, also after its replacement.
  bool primary = false;
  /// Highest term that the database has received.
  uint64_t term = 1;
  /// Time since which a replaced primary can reach its successor; epoch while
  /// it cannot.
  TimePoint reaches_successor_since;
  TimePoint started_at;
  /// Ids of databases on the other side of a network partition.
  std::set<std::string> partitioned_from;
  bool up = true;
  /// Whether replication from the primary is stopped.
  bool detached = false;
  /// Primaries of terms below this one do not replicate to the database; 0 if
  /// it is not paused.
  uint64_t paused_term = 0;
  milliseconds lag{20};
  /// Added to the execution time of every statement.
  milliseconds extra_latency{0};
  /// Loses about one in this many replies; 0 loses none.
  uint32_t lose_one_in = 0;
  /// Loses about one in this many replies to commits; 0 loses none.
  uint32_t lose_commits_one_in = 0;
  /// Answers commits without their position.
  bool omit_commit_positions = false;
  /// Fails about one in this many calls of any kind; 0 fails none. A failed
  /// change of the session's state takes effect in half of the cases.
  uint32_t fail_one_in = 0;
  /// Fails all calls of these kinds.
  std::set<core::session::CallKind> fail_kinds;
  uint32_t max_connections = 21;
  /// Statements that run at once; those beyond wait in the database.
  uint32_t slots = 3;
  /// Bounds of the execution time of a statement.
  milliseconds min_work{2};
  milliseconds max_work{40};
  std::vector<LogEntry> log;
  std::vector<TimePoint> received_at;
  uint32_t running = 0;
  std::deque<std::function<void()>> queue;
};

/// One connection to a fake database.
struct FakeSession {
  using ReplyCallback = std::function<void(core::session::Reply)>;

  std::string database;
  bool closed = false;
  /// Time until which a closed connection still counts as open.
  TimePoint counted_until;
  /// Whether data is dropped in both directions while the connection is open.
  bool stalled = false;
  std::map<std::string, std::string> variables;
  std::map<std::string, std::string> prepared;
  core::session::TransactionState state =
      core::session::TransactionState::kIdle;
  bool read_write = false;
  uint64_t transaction = 0;
  std::vector<std::string> writes;
  std::deque<std::pair<core::session::BackendCall, ReplyCallback>> calls;
  bool busy = false;
};

}  // namespace ryefold::testsuite
