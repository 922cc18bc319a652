#pragma once

// Typed messages between callers, instances and databases. Field shapes on
// the wire are in docs/PROTOCOLS.md; codecs live in ryefold/wire.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core {

enum class StatementKind : uint8_t { kRead, kWrite };

/// What a request asks for: one statement, or one end of a transaction.
enum class Step : uint8_t { kStatement, kBegin, kCommit, kRollback };

/// One request of a caller, as the entry instance passes it to the keeper.
struct StatementRequest {
  /// Chosen by the caller (or by the entry when absent); unique within the
  /// workspace. A repeat carries the same id.
  std::string request_id;
  std::string group;
  std::string workspace;
  Step step = Step::kStatement;
  StatementKind kind = StatementKind::kRead;
  /// Whether the proxy may send it to a database more than once.
  bool repeatable = false;
  std::string sql;
  /// JSON array of parameters, passed on untouched.
  std::string params_json = "[]";
  /// Id of the open transaction, empty outside of one.
  std::string transaction;
  /// Data age the statement accepts; absent means the workspace's own.
  std::optional<std::chrono::milliseconds> max_age;
  /// What the caller's session has seen in this group.
  LogPosition seen;
  TimePoint deadline;
};

/// Asks what became of a request whose answer was lost. The keeper answers
/// done (with the recorded result), not run (the id is fenced from now on),
/// or unknown.
struct SettleRequest {
  std::string request_id;
  std::string group;
  std::string workspace;
  TimePoint deadline;
};

// ---- calls on a database's statement connection ----

/// One call on an open connection. A database refuses it without running it
/// when `term` is below the term that it has adopted.
struct ExecuteCall {
  uint64_t term = 0;
  Step step = Step::kStatement;
  StatementKind kind = StatementKind::kRead;
  std::string request_id;
  std::string workspace;
  /// Keep a record of the request id in the write's own transaction, so that
  /// a repeat is answered from it instead of being run again.
  bool record = false;
  std::string sql;
  std::string params_json = "[]";
};

enum class ExecuteStatus : uint8_t {
  kOk,
  kSqlError,    ///< Rejected by the SQL engine; nothing changed.
  kStaleTerm,   ///< Not run: the call's term is below the adopted one.
  kNotPrimary,  ///< Not run: a write reached a database that is no primary.
  kFenced,      ///< Not run: the request id was fenced.
  kBadCall,     ///< Not run: malformed, or a step that does not fit.
};

struct ExecuteAnswer {
  ExecuteStatus status = ExecuteStatus::kBadCall;
  std::string error;
  /// `{"columns":[...],"rows":[[...]],"changes":n}`
  std::string result_json;
  /// For a write: its own log entry. For a read: the last entry it saw.
  LogPosition position;
  /// Answered from the record of an earlier run of the same request id.
  bool from_record = false;
  /// The term the database has adopted.
  uint64_t adopted_term = 0;
};

// ---- control calls on a database ----

enum class DatabaseRole : uint8_t { kReplica, kPrimary };

/// What a database says about itself.
struct DatabaseStatus {
  std::string database;
  DatabaseRole role = DatabaseRole::kReplica;
  uint64_t adopted_term = 0;
  /// Who proposed the adopted term.
  std::string proposer;
  /// Last entry of its log.
  LogPosition last;
  /// Every term present in its log, oldest first.
  std::vector<TermStart> term_starts;
};

/// Answers once the database's (adopted term, last entry, role) differs from
/// what is given here, at the latest after `wait`.
struct StatusCall {
  uint64_t known_term = 0;
  LogPosition known_last;
  std::chrono::milliseconds wait{0};
};

/// Asks a database to accept only `term` and later from now on.
struct AdoptCall {
  uint64_t term = 0;
  std::string proposer;
};
struct AdoptAnswer {
  bool accepted = false;
  DatabaseStatus status;
};

/// Makes a database the primary of a term that it has adopted from the same
/// proposer; it begins the term with an entry of its own.
struct PromoteCall {
  uint64_t term = 0;
  std::string proposer;
};

/// Makes a database a replica of `primary` under `term`.
struct FollowCall {
  uint64_t term = 0;
  std::string proposer;
  std::string primary;
};

/// Answer to promote and follow.
struct RoleAnswer {
  bool accepted = false;
  DatabaseStatus status;
};

/// Asks the primary of `term` what became of a request id, and fences the id
/// when there is no record of it: a log entry is written that makes a later
/// arrival of that id be refused.
struct SettleCall {
  uint64_t term = 0;
  std::string request_id;
  std::string workspace;
};

enum class SettleStatus : uint8_t {
  kDone,        ///< A record was found; result and position are its own.
  kFenced,      ///< No record; fenced by the entry at `position`.
  kStaleTerm,   ///< Refused, as for execute.
  kNotPrimary,  ///< Refused, as for execute.
  kInProgress,  ///< It is running now, or its transaction is still open.
};

struct SettleAnswer {
  SettleStatus status = SettleStatus::kNotPrimary;
  std::string result_json;
  LogPosition position;
};

using ControlCall =
    std::variant<StatusCall, AdoptCall, PromoteCall, FollowCall, SettleCall>;
/// `std::monostate` stands for "no answer": refused, reset or timed out.
using ControlAnswer = std::variant<std::monostate, DatabaseStatus, AdoptAnswer,
                                   RoleAnswer, SettleAnswer>;

}  // namespace ryefold::core
