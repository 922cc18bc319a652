#pragma once

// The three outcomes a caller can be told, and the evidence each one needs.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/types.h"

namespace ryefold::core {

struct ExecuteAnswer;
struct SettleAnswer;

enum class OutcomeKind : uint8_t { kDone, kNotRun, kUnknown };

/// Why a request was not run, or why its outcome is not known. The wire form
/// (see `ReasonName`) is part of the callers' interface.
enum class Reason : uint8_t {
  kNone,
  kOverloaded,        ///< Refused by admission: would not finish in time.
  kNoPrimary,         ///< The group has no primary at the moment.
  kConfirmationSlow,  ///< Replicas lag too far to confirm before the deadline.
  kDeadline,          ///< The deadline passed.
  kDatabaseLost,      ///< The connection broke with the statement in flight.
  kInstanceLost,      ///< The instance that held the statement went away.
  kDiscarded,         ///< A promotion discarded the write.
  kFenced,            ///< The request id was fenced before it ran.
  kSqlError,          ///< The database rejected the statement.
  kTransactionLost,   ///< The transaction's connection is gone.
  kUnknownTransaction,  ///< No such transaction here.
  kUnknownGroup,        ///< The group is not configured.
  kShuttingDown,        ///< The instance is leaving.
  kNotReady,            ///< The instance does not know what is in force.
};

/// Name of a reason as callers see it, such as "overloaded".
std::string_view ReasonName(Reason reason);

/// The reason with this name, `kNone` when there is no such name.
Reason ReasonFromName(std::string_view name);

/// Evidence that a request did not run and never will. "Not run" cannot be
/// said without one, so a path on which the statement may have reached a
/// database cannot claim it by mistake.
class NotRunProof {
 public:
  /// The statement was still queued here and has now been dropped. Only the
  /// owner of the queue may say so.
  static NotRunProof NeverSent() { return NotRunProof(); }

  /// The database itself refused the statement before running it.
  static std::optional<NotRunProof> RefusedBy(const ExecuteAnswer& answer);

  /// A database fenced the request id (so a late arrival is refused too) and
  /// `confirmed` says that a majority holds the fence.
  static std::optional<NotRunProof> FencedBy(const SettleAnswer& answer,
                                             bool confirmed);

  /// The write stood at `position`, a newer term starts at `start` and
  /// `confirmed` says that a majority holds the newer term's first entry.
  /// Without the majority a second failure could bring the write back.
  static std::optional<NotRunProof> DiscardedBy(const LogPosition& position,
                                                const TermStart& start,
                                                bool confirmed);

  /// Another instance, which had its own evidence, said so.
  static NotRunProof StatedByPeer() { return NotRunProof(); }

 private:
  NotRunProof() = default;
};

/// The answer to one request: exactly one of done, not run, unknown.
class StatementAnswer {
 public:
  /// Ran; `result_json` is the database's result object, passed on untouched.
  static StatementAnswer Done(std::string result_json, LogPosition seen);

  /// Did not run and never will. `retry_after` tells the caller when to come
  /// back; it is given at once, never held until the deadline.
  static StatementAnswer NotRun(const NotRunProof& proof, Reason reason,
                                std::chrono::milliseconds retry_after,
                                std::string detail = {});

  /// May or may not have run.
  static StatementAnswer Unknown(Reason reason, std::string detail = {});

  OutcomeKind kind() const { return kind_; }
  Reason reason() const { return reason_; }
  const std::string& detail() const { return detail_; }
  const std::string& result_json() const { return result_json_; }
  std::chrono::milliseconds retry_after() const { return retry_after_; }
  /// Position the caller's session has now seen in the group.
  const LogPosition& seen() const { return seen_; }
  /// Open transaction this answer belongs to, empty when there is none.
  const std::string& transaction() const { return transaction_; }
  /// Database that served the statement, empty when none did.
  const std::string& database() const { return database_; }
  /// Whether a replica served it.
  bool from_replica() const { return from_replica_; }

  StatementAnswer& WithTransaction(std::string transaction);
  StatementAnswer& WithServer(std::string database, bool replica);
  StatementAnswer& WithSeen(LogPosition seen);

 private:
  StatementAnswer() = default;

  OutcomeKind kind_ = OutcomeKind::kUnknown;
  Reason reason_ = Reason::kNone;
  std::chrono::milliseconds retry_after_{0};
  LogPosition seen_;
  std::string detail_;
  std::string result_json_;
  std::string transaction_;
  std::string database_;
  bool from_replica_ = false;
};

}  // namespace ryefold::core
