#pragma once

// Typed messages between callers, instances and databases. The wire formats are
// described in docs/PROTOCOLS.md; the codecs are in ryefold/wire.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core {

enum class StatementKind : uint8_t { kRead, kWrite };

/// What a request asks for: a statement, or the begin or end of a transaction.
enum class Step : uint8_t { kStatement, kBegin, kCommit, kRollback };

/// One request of a caller, as the entry (the instance that the caller is
/// connected to) passes it to the keeper (the instance that runs statements of
/// the group).
struct StatementRequest {
  /// Chosen by the caller, or by the entry if the caller sent none; unique
  /// within the workspace. A retry carries the same id.
  std::string request_id;
  std::string group;
  std::string workspace;
  Step step = Step::kStatement;
  StatementKind kind = StatementKind::kRead;
  /// True if the proxy may send the statement to a database more than once.
  bool repeatable = false;
  std::string sql;
  /// JSON array of parameters, passed through unchanged.
  std::string params_json = "[]";
  /// Id of the open transaction; empty outside of a transaction.
  std::string transaction;
  /// Maximum age of the data that the statement accepts; if absent, the
  /// workspace's default applies.
  std::optional<std::chrono::milliseconds> max_age;
  /// Log position that the caller's session has seen in this group.
  LogPosition seen;
  TimePoint deadline;
};

/// Asks for the outcome of a request whose answer was lost. The keeper answers
/// done (with the recorded result), not run (the id is fenced from then on), or
/// unknown.
struct SettleRequest {
  std::string request_id;
  std::string group;
  std::string workspace;
  TimePoint deadline;
};

// ---- calls on a database's statement connection ----

/// One call on an open connection. A database rejects the call without running
/// it if `term` is below the database's adopted term.
struct ExecuteCall {
  uint64_t term = 0;
  Step step = Step::kStatement;
  StatementKind kind = StatementKind::kRead;
  std::string request_id;
  std::string workspace;
  /// Store a record of the request id in the write's own transaction, so that a
  /// retry is answered from the record instead of being run again.
  bool record = false;
  std::string sql;
  std::string params_json = "[]";
};

enum class ExecuteStatus : uint8_t {
  kOk,
  kSqlError,    ///< Rejected by the SQL engine; nothing changed.
  kStaleTerm,   ///< Not run: the call's term is below the adopted one.
  kNotPrimary,  ///< Not run: a write was sent to a replica.
  kFenced,      ///< Not run: the request id was fenced.
  kBadCall,  ///< Not run: malformed, or a step that is not valid in this state.
};

struct ExecuteAnswer {
  ExecuteStatus status = ExecuteStatus::kBadCall;
  std::string error;
  /// `{"columns":[...],"rows":[[...]],"changes":n}`
  std::string result_json;
  /// For a write, the position of its log entry; for a read, of the last entry
  /// visible to it.
  LogPosition position;
  /// True if answered from the record of an earlier run of the same request id.
  bool from_record = false;
  /// The database's adopted term.
  uint64_t adopted_term = 0;
};

// ---- control calls on a database ----

enum class DatabaseRole : uint8_t { kReplica, kPrimary };

/// Status that a database reports about itself.
struct DatabaseStatus {
  std::string database;
  DatabaseRole role = DatabaseRole::kReplica;
  uint64_t adopted_term = 0;
  /// The instance that proposed the adopted term.
  std::string proposer;
  /// Position of the last entry of the log.
  LogPosition last;
  /// Start of every term present in the log, oldest first.
  std::vector<TermStart> term_starts;
};

/// Long poll for a status change: answered once the database's adopted term,
/// last entry or role differs from the values given here, at the latest after
/// `wait`.
struct StatusCall {
  uint64_t known_term = 0;
  LogPosition known_last;
  std::chrono::milliseconds wait{0};
};

/// Asks a database to accept only calls of `term` or later from then on.
struct AdoptCall {
  uint64_t term = 0;
  std::string proposer;
};
struct AdoptAnswer {
  bool accepted = false;
  DatabaseStatus status;
};

/// Makes a database the primary of a term that it has adopted from the same
/// proposer. The database starts the term with a log entry of its own.
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

/// Asks the primary of `term` for the outcome of a request id. If there is no
/// record of the id, the database fences it: a log entry makes it reject the id
/// if the request arrives later.
struct SettleCall {
  uint64_t term = 0;
  std::string request_id;
  std::string workspace;
};

enum class SettleStatus : uint8_t {
  kDone,        ///< A record was found; result and position are taken from it.
  kFenced,      ///< No record; fenced by the entry at `position`.
  kStaleTerm,   ///< Rejected, as for execute.
  kNotPrimary,  ///< Rejected, as for execute.
  kInProgress,  ///< Still running, or its transaction is still open.
};

struct SettleAnswer {
  SettleStatus status = SettleStatus::kNotPrimary;
  std::string result_json;
  LogPosition position;
};

using ControlCall =
    std::variant<StatusCall, AdoptCall, PromoteCall, FollowCall, SettleCall>;
/// `std::monostate` stands for no answer: connection refused, reset or timeout.
using ControlAnswer = std::variant<std::monostate, DatabaseStatus, AdoptAnswer,
                                   RoleAnswer, SettleAnswer>;

}  // namespace ryefold::core
