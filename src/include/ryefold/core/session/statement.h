#pragma once

// Statements of callers, replies of databases, and calls of the proxy to a
// database. Independent of wire formats, which the codecs implement.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

enum class StatementKind : uint8_t {
  kBegin,      ///< Begins a transaction that may write.
  kBeginRead,  ///< Begins a read-only transaction.
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,  ///< Sets a session variable.
  kPrepare,
  kExecute,
  kDeallocate,  ///< Drops a prepared statement.
  kMalformed,
};

/// One statement of a caller.
struct Statement {
  StatementKind kind = StatementKind::kMalformed;
  /// Original text; reads, writes and commits are passed on unchanged.
  std::string text;
  /// Variable (kSet) or prepared statement (kPrepare, kExecute, kDeallocate).
  std::string name;
  /// Value (kSet), template (kPrepare), or arguments (kExecute).
  std::string argument;
  /// kPrepare: whether the prepared statement writes.
  bool writes = false;
};

/// Why a statement, a connection or a session was rejected.
enum class ErrorCode : uint8_t {
  kNone,
  kBusy,                ///< Not run: no capacity before the deadline.
  kAborted,             ///< Not committed: the transaction was rolled back.
  kLagging,             ///< Not run: the log lacks the requested position.
  kReadOnly,            ///< Not run: the database is not the primary.
  kWrongDatabase,       ///< Not run: the address belongs to another database.
  kTooManyConnections,  ///< Not run: the database's connection limit is
                        ///< reached.
  kInDoubt,             ///< The outcome is unknown.
  kTimeout,             ///< May have run; the time limit expired.
  kFailed,              ///< Ran and failed.
  kNoStatement,         ///< Not run: no prepared statement of this name.
  kMalformed,           ///< Not run: unreadable, or not valid in this state.
  kNoRoute,             ///< No such database name is configured.
  kUnknownKey,          ///< Not run: the caller's key is not configured.
  kOverLimit,           ///< Not run: the workspace is over its rate limit.
  kNotReady,     ///< Not run: the instance is still starting. Sent between
                 ///< instances, never to a caller.
  kUnknownCode,  ///< A code that this version does not support.
};

/// Returns whether the code guarantees that the database did not run the
/// statement.
bool MeansNotRun(ErrorCode code);

/// Returns a short name for logs and metrics.
std::string_view ErrorName(ErrorCode code);

enum class TransactionState : uint8_t { kIdle, kOpen, kFailed };

/// Status that a database reports about itself.
struct StatusReport {
  bool primary = false;
  uint64_t term = 0;
  /// Last position received, applied or not.
  LogPosition received;
  /// Term under which replication to this replica is paused; 0 if it is not.
  uint64_t paused_term = 0;
  /// Time by which its log is behind the primary's; nullopt if it does not say.
  std::optional<std::chrono::milliseconds> lag;
  /// Slots that are running a statement; nullopt if it does not say.
  std::optional<uint32_t> busy_slots;
  /// Connections held by all callers together.
  uint32_t connections = 0;
};

/// Expected waits of a new statement in a keeper's queues of one group.
struct QueueWaits {
  std::chrono::milliseconds primary{0};
  std::chrono::milliseconds reads{0};
};

/// The reply to one statement, from a database or to a caller.
struct Reply {
  std::vector<std::string> rows;
  /// Digest that the database returns for a statement that it ran; empty if the
  /// proxy itself replies.
  std::string digest;
  ErrorCode error = ErrorCode::kNone;
  std::string error_text;
  TransactionState state = TransactionState::kIdle;
  /// Log position of the database, if reported.
  std::optional<LogPosition> position;
  /// Result of a call for which `ReturnsStatus` holds.
  std::optional<StatusReport> status;
  /// Load report of the keeper that ran or refused a forwarded statement, for
  /// the statement's group and queue key.
  std::optional<QueueWaits> queue_waits;

  bool ok() const { return error == ErrorCode::kNone; }
};

enum class CallKind : uint8_t {
  kBegin,
  kBeginRead,
  kRollback,
  kSet,
  kPrepare,
  kDiscard,  ///< Drops all variables and prepared statements.
  kStatus,
  kPauseReplication,   ///< Stops a replica from receiving until a promotion.
  kResumeReplication,  ///< Ends a pause without a promotion.
  kStepDown,           ///< Makes a primary of a lower term a replica.
  kVerbatim,           ///< A caller's statement, text unchanged.
  kExecute,  ///< A caller's kExecute under the name used on this connection.
};

/// One statement on a database connection.
struct BackendCall {
  CallKind kind = CallKind::kStatus;
  /// The caller's statement id; empty for the proxy's own calls.
  std::string id;
  /// Reject with kLagging unless the log holds this position.
  std::optional<LogPosition> since;
  std::string name;
  /// Text (kVerbatim), value, template or arguments.
  std::string text;
  bool writes = false;
  /// Term of a pause, which has to be above every term that the replica knows,
  /// or of a step-down.
  uint64_t term = 0;
};

/// Returns whether the database replies to the call with its status.
bool ReturnsStatus(CallKind kind);

}  // namespace ryefold::core::session
