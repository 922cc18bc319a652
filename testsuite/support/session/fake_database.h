#pragma once

// One database of a fake cluster: its log, its place among the others, and the
// faults that tests order.

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

/// A write in the log.
struct LogEntry {
  LogPosition position;
  std::string statement_id;
};

/// One statement that a database ran, as the checks see it.
struct Run {
  std::string statement_id;
  std::string digest;
  std::string database;
  /// Positions that the log held when it ran.
  std::vector<LogPosition> log;
  std::map<std::string, std::string> variables;
  /// Statement text, or shape and arguments of a prepared one.
  std::string text;
  /// Number of the transaction on the database; 0 outside of one.
  uint64_t transaction = 0;
  bool committed = false;
};

struct FakeDatabase {
  std::string id;
  std::string failure_domain;
  /// Takes itself for the primary.
  bool primary = false;
  /// Newest term that it knows of.
  uint64_t term = 1;
  /// Since when an old primary that goes on reaches the one that replaced it;
  /// epoch when it does not.
  TimePoint reaches_successor_since;
  TimePoint born;
  /// Databases that it is partitioned from.
  std::set<std::string> cut_from;
  bool up = true;
  /// Receives nothing from the primary.
  bool deaf = false;
  milliseconds lag{20};
  /// Every answer takes this long more.
  milliseconds slow{0};
  /// One answer in this many is lost; 0: none.
  uint32_t lose_one_in = 0;
  uint32_t max_connections = 21;
  std::vector<LogEntry> log;
  std::vector<TimePoint> received_at;
  uint32_t running = 0;
  std::deque<std::function<void()>> waiting;
};

/// One connection to a fake database.
struct FakeSession {
  using Answer = std::function<void(core::session::Reply)>;

  std::string database;
  bool dead = false;
  /// A dead one counts as open until then.
  TimePoint counts_until;
  /// Cut: nothing arrives in either direction.
  bool silent = false;
  std::map<std::string, std::string> variables;
  std::map<std::string, std::string> prepared;
  core::session::TransactionState state =
      core::session::TransactionState::kIdle;
  bool plain = false;
  uint64_t transaction = 0;
  std::vector<std::string> writes;
  std::deque<std::pair<core::session::BackendCall, Answer>> calls;
  bool busy = false;
};

}  // namespace ryefold::testsuite
