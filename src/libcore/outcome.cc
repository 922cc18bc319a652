#include "ryefold/core/outcome.h"

#include <array>
#include <utility>

#include "ryefold/core/messages.h"

namespace ryefold::core {
namespace {

struct NamedReason {
  Reason reason;
  std::string_view name;
};

constexpr std::array<NamedReason, 15> kReasons = {{
    {Reason::kNone, "none"},
    {Reason::kOverloaded, "overloaded"},
    {Reason::kNoPrimary, "no_primary"},
    {Reason::kConfirmationSlow, "confirmation_slow"},
    {Reason::kDeadline, "deadline"},
    {Reason::kDatabaseLost, "database_lost"},
    {Reason::kInstanceLost, "instance_lost"},
    {Reason::kDiscarded, "discarded"},
    {Reason::kFenced, "fenced"},
    {Reason::kSqlError, "sql_error"},
    {Reason::kTransactionLost, "transaction_lost"},
    {Reason::kUnknownTransaction, "unknown_transaction"},
    {Reason::kUnknownGroup, "unknown_group"},
    {Reason::kShuttingDown, "shutting_down"},
    {Reason::kNotReady, "not_ready"},
}};

}  // namespace

std::string_view ReasonName(Reason reason) {
  for (const NamedReason& entry : kReasons) {
    if (entry.reason == reason) return entry.name;
  }
  return "none";
}

Reason ReasonFromName(std::string_view name) {
  for (const NamedReason& entry : kReasons) {
    if (entry.name == name) return entry.reason;
  }
  return Reason::kNone;
}

std::optional<NotRunProof> NotRunProof::RefusedBy(const ExecuteAnswer& answer) {
  if (answer.status == ExecuteStatus::kOk) return std::nullopt;
  return NotRunProof();
}

std::optional<NotRunProof> NotRunProof::FencedBy(const SettleAnswer& answer,
                                                 bool confirmed) {
  if (answer.status != SettleStatus::kFenced || !confirmed) return std::nullopt;
  return NotRunProof();
}

std::optional<NotRunProof> NotRunProof::DiscardedBy(const LogPosition& position,
                                                    const TermStart& start,
                                                    bool confirmed) {
  const bool discarded =
      position.term < start.term && position.index >= start.index;
  if (!discarded || !confirmed) return std::nullopt;
  return NotRunProof();
}

StatementAnswer StatementAnswer::Done(std::string result_json,
                                      LogPosition seen) {
  StatementAnswer answer;
  answer.kind_ = OutcomeKind::kDone;
  answer.result_json_ = std::move(result_json);
  answer.seen_ = seen;
  return answer;
}

StatementAnswer StatementAnswer::NotRun(const NotRunProof& /*proof*/,
                                        Reason reason,
                                        std::chrono::milliseconds retry_after,
                                        std::string detail) {
  StatementAnswer answer;
  answer.kind_ = OutcomeKind::kNotRun;
  answer.reason_ = reason;
  answer.retry_after_ = retry_after;
  answer.detail_ = std::move(detail);
  return answer;
}

StatementAnswer StatementAnswer::Unknown(Reason reason, std::string detail) {
  StatementAnswer answer;
  answer.kind_ = OutcomeKind::kUnknown;
  answer.reason_ = reason;
  answer.detail_ = std::move(detail);
  return answer;
}

StatementAnswer& StatementAnswer::WithTransaction(std::string transaction) {
  transaction_ = std::move(transaction);
  return *this;
}

StatementAnswer& StatementAnswer::WithServer(std::string database,
                                             bool replica) {
  database_ = std::move(database);
  from_replica_ = replica;
  return *this;
}

StatementAnswer& StatementAnswer::WithSeen(LogPosition seen) {
  seen_ = seen;
  return *this;
}

}  // namespace ryefold::core
