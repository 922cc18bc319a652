#pragma once

// What callers ask inside a session, what databases answer, and what the proxy
// itself asks of a database. No wire form: codecs translate.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

enum class StatementKind : uint8_t {
  kBegin,      ///< A transaction that may write.
  kBeginRead,  ///< A transaction that only reads.
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,  ///< Gives a session variable a value.
  kPrepare,
  kExecute,
  kDeallocate,  ///< Forgets a prepared statement.
  kMalformed,
};

/// One statement of a caller.
struct Statement {
  StatementKind kind = StatementKind::kMalformed;
  /// As the caller wrote it; reads, writes and commits go on unchanged.
  std::string text;
  /// Variable (kSet) or prepared statement (kPrepare, kExecute, kDeallocate).
  std::string name;
  /// Value (kSet), shape (kPrepare), or arguments (kExecute).
  std::string argument;
  /// kPrepare: whether the prepared statement writes.
  bool writes = false;
};

/// Why a statement, a connection or a session was turned down.
enum class ErrorCode : uint8_t {
  kNone,
  kBusy,                ///< Not run: no capacity in time.
  kAborted,             ///< Not kept: the transaction was rolled back.
  kLagging,             ///< Not run: the log lacks the position asked for.
  kReadOnly,            ///< Not run: the database is not the primary.
  kWrongDatabase,       ///< Not run: another database has this address.
  kTooManyConnections,  ///< Not run: the database takes no more connections.
  kInDoubt,             ///< Nothing is known about the outcome.
  kTimeout,             ///< Ran or not; the time allowed is over.
  kFailed,              ///< Ran and failed.
  kNoStatement,         ///< Not run: no prepared statement of this name.
  kMalformed,           ///< Not run: does not fit here, or unreadable.
  kNoRoute,             ///< No such database name is configured.
  kUnknownKey,          ///< Not run: the caller's key is not configured.
  kOverLimit,           ///< Not run: the workspace is over its rate limit.
  kNotReady,            ///< Not run: an instance that has only just started.
                        ///< Goes between instances, never to a caller.
  kUnknownCode,         ///< A code this version does not know.
};

/// Whether the code states that the statement did not run at the database.
bool MeansNotRun(ErrorCode code);

/// Short name for logs and metrics.
std::string_view ErrorName(ErrorCode code);

enum class TransactionState : uint8_t { kIdle, kOpen, kFailed };

/// A database's own account of itself.
struct StatusReport {
  bool primary = false;
  uint64_t term = 0;
  /// Last position that it has received, applied or not.
  LogPosition received;
  /// Statements it is running or has queued.
  uint32_t busy = 0;
  /// Connections that all callers together hold.
  uint32_t connections = 0;
};

/// The answer to one statement, from a database or to a caller.
struct Reply {
  std::vector<std::string> rows;
  /// What the database hands out as proof of the run; empty when the proxy
  /// answers by itself.
  std::string digest;
  ErrorCode error = ErrorCode::kNone;
  std::string error_text;
  TransactionState state = TransactionState::kIdle;
  /// Position of the answering database's log, if it told one.
  std::optional<LogPosition> position;
  /// What a kStatus call was answered with.
  std::optional<StatusReport> status;

  bool ok() const { return error == ErrorCode::kNone; }
};

enum class CallKind : uint8_t {
  kBegin,
  kBeginRead,
  kRollback,
  kSet,
  kPrepare,
  kDiscard,  ///< Forgets all variables and prepared statements.
  kStatus,
  kVerbatim,  ///< A caller's statement, text unchanged.
  kExecute,   ///< A caller's kExecute under the name used on this connection.
};

/// One statement on a database connection.
struct BackendCall {
  CallKind kind = CallKind::kStatus;
  /// The caller's statement id; empty for what the proxy asks by itself.
  std::string id;
  /// Refuse with kLagging unless the log holds this position.
  std::optional<LogPosition> since;
  std::string name;
  /// Text (kVerbatim), value, shape or arguments.
  std::string text;
  bool writes = false;
};

}  // namespace ryefold::core::session
