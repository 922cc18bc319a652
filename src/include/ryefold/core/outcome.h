#pragma once

// The three outcomes of a request (done, not run, unknown) and the evidence
// that each one requires.

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

/// Why a request was not run, or why its outcome is unknown. The wire names
/// (see `ReasonName`) are part of the callers' interface.
enum class Reason : uint8_t {
  kNone,
  kOverloaded,  ///< Rejected by admission control: would miss its deadline.
  kNoPrimary,   ///< The group currently has no primary.
  kConfirmationSlow,  ///< Replication lag too high to confirm before the
                      ///< deadline.
  kDeadline,          ///< The deadline expired.
  kDatabaseLost,      ///< The connection broke with the statement in flight.
  kInstanceLost,      ///< The instance that held the statement failed or left.
  kDiscarded,         ///< A promotion discarded the write.
  kFenced,            ///< The request id was fenced before it ran.
  kSqlError,          ///< The database rejected the statement.
  kTransactionLost,   ///< The transaction's connection was lost.
  kUnknownTransaction,  ///< The instance has no such transaction.
  kUnknownGroup,        ///< The group is not configured.
  kShuttingDown,        ///< The instance is shutting down.
  kNotReady,  ///< The instance has not loaded the current configuration.
};

/// Returns the name of a reason as callers see it, such as "overloaded".
std::string_view ReasonName(Reason reason);

/// Returns the reason with this name, or `kNone` if there is none.
Reason ReasonFromName(std::string_view name);

/// Evidence that a request did not run and never will. A "not run" answer
/// cannot be built without it, so code paths on which the statement may have
/// reached a database cannot report "not run" by mistake.
class NotRunProof {
 public:
  /// The statement was still queued and has been dropped. Only the owner of the
  /// queue may call this.
  static NotRunProof NeverSent() { return NotRunProof(); }

  /// The database rejected the statement before running it. Returns nullopt if
  /// `answer` is a success.
  static std::optional<NotRunProof> RefusedBy(const ExecuteAnswer& answer);

  /// A database fenced the request id, so that a late arrival is rejected too.
  /// `confirmed`: a majority of databases holds the fence. Returns nullopt if
  /// either condition is not met.
  static std::optional<NotRunProof> FencedBy(const SettleAnswer& answer,
                                             bool confirmed);

  /// The write was at `position` and a newer term starts at or before it, at
  /// `start`. `confirmed`: a majority of databases holds the first entry of the
  /// newer term; otherwise a second failure could bring the write back. Returns
  /// nullopt if the write is not proved to be discarded.
  static std::optional<NotRunProof> DiscardedBy(const LogPosition& position,
                                                const TermStart& start,
                                                bool confirmed);

  /// Another instance, which holds evidence of its own, reported "not run".
  static NotRunProof ReportedByPeer() { return NotRunProof(); }

 private:
  NotRunProof() = default;
};

/// The answer to one request: exactly one of done, not run, unknown.
class StatementAnswer {
 public:
  /// The request ran. `result_json` is the database's result object, passed
  /// through unchanged.
  static StatementAnswer Done(std::string result_json, LogPosition seen);

  /// The request did not run and never will. `retry_after` is the suggested
  /// delay before a retry. The answer is sent immediately, not held until the
  /// deadline.
  static StatementAnswer NotRun(const NotRunProof& proof, Reason reason,
                                std::chrono::milliseconds retry_after,
                                std::string detail = {});

  /// The request may or may not have run.
  static StatementAnswer Unknown(Reason reason, std::string detail = {});

  OutcomeKind kind() const { return kind_; }
  Reason reason() const { return reason_; }
  const std::string& detail() const { return detail_; }
  const std::string& result_json() const { return result_json_; }
  std::chrono::milliseconds retry_after() const { return retry_after_; }
  /// Position that the caller's session has now seen in the group.
  const LogPosition& seen() const { return seen_; }
  /// Open transaction that this answer belongs to; empty if there is none.
  const std::string& transaction() const { return transaction_; }
  /// Database that ran the statement; empty if none did.
  const std::string& database() const { return database_; }
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
