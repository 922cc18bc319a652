// Answers of databases, lost answers, and the outcomes derived from them.

#include <algorithm>
#include <utility>

#include "keeper_impl.h"
#include "ryefold/core/group/log.h"
#include "ryefold/core/session/token.h"

namespace ryefold::core::group {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterFence{20};

}  // namespace

PendingRequest* Keeper::Impl::FindRequest(RequestTag tag) {
  const auto it = pending_.find(tag);
  return it == pending_.end() ? nullptr : &it->second;
}

void Keeper::Impl::OnAnswer(PendingRequest* pending, ConnectionId connection,
                            const ExecuteAnswer& answer) {
  if (pending->is_begin()) {
    OnBeginAnswer(pending, connection, answer);
    return;
  }
  if (pending->in_transaction()) {
    OnTransactionAnswer(pending, connection, answer);
    return;
  }
  shares(pending->database).Release(pending->request.workspace);
  if (pending->request.kind == StatementKind::kRead) {
    OnReadAnswer(pending, answer);
  } else {
    OnWriteAnswer(pending, answer);
  }
}

void Keeper::Impl::OnReadAnswer(PendingRequest* pending,
                                const ExecuteAnswer& answer) {
  const auto refused = NotRunProof::RefusedBy(answer);
  if (refused && (answer.status == ExecuteStatus::kSqlError ||
                  answer.status == ExecuteStatus::kBadCall)) {
    FinishNotRun(pending, *refused, Reason::kSqlError, milliseconds(0),
                 answer.error);
    return;
  }
  if (refused) {
    health_.MarkSuspected(now_, pending->database);
    PushToQueue(pending);
    return;
  }
  LogPosition needed = pending->read.seen;
  if (const auto* primary = health_.status(leadership_.primary())) {
    needed = session::LimitToExisting(needed, primary->term_starts);
  }
  // Between its status and the read, the database may have lost entries to a
  // newer primary. The answer's own position shows what the read has seen.
  if (answer.position < needed) {
    health_.MarkSuspected(now_, pending->database);
    PushToQueue(pending);
    return;
  }
  const bool replica = pending->database != leadership_.primary();
  ++(replica ? reads_replica_ : reads_primary_);
  Finish(pending, StatementAnswer::Done(answer.result_json, answer.position)
                      .WithServer(pending->database, replica));
}

void Keeper::Impl::OnWriteAnswer(PendingRequest* pending,
                                 const ExecuteAnswer& answer) {
  switch (answer.status) {
    case ExecuteStatus::kOk:
      pending->result_json = answer.result_json;
      if (!answer.from_record) {
        confirmation_.RecordWrite(pending->database, answer.position);
        last_written_ = std::max(last_written_, answer.position);
      }
      AwaitConfirmation(pending, RequestState::kConfirming, answer.position);
      return;
    case ExecuteStatus::kStaleTerm:
    case ExecuteStatus::kNotPrimary:
      OnTermRefusal(pending, answer);
      return;
    case ExecuteStatus::kFenced:
      // A fence held only by this primary can be lost with it, and then a copy
      // still in flight could run. The caller gets "not run" only once a
      // majority holds the fence; the settle call returns the fence's position.
      MarkInDoubt(pending);
      return;
    case ExecuteStatus::kSqlError:
    case ExecuteStatus::kBadCall:
      break;
  }
  if (pending->may_have_run) {
    MarkInDoubt(pending);
    return;
  }
  FinishNotRun(pending, *NotRunProof::RefusedBy(answer), Reason::kSqlError,
               milliseconds(0), answer.error);
}

void Keeper::Impl::OnTermRefusal(PendingRequest* pending,
                                 const ExecuteAnswer& answer) {
  // The primary of that term would refuse the request again.
  pending->min_term = std::max(answer.adopted_term, pending->sent_term + 1);
  health_.MarkSuspected(now_, pending->database);
  PushToQueue(pending);
}

void Keeper::Impl::OnBeginAnswer(PendingRequest* pending,
                                 ConnectionId connection,
                                 const ExecuteAnswer& answer) {
  const std::string& workspace = pending->request.workspace;
  if (answer.status == ExecuteStatus::kOk) {
    // The workspace's connection share stays taken until the transaction ends.
    pool_.SetOwned(connection, true);
    const Transaction& open = transactions_.Begin(
        now_, workspace, pending->database, leadership_.term(), connection);
    Finish(pending,
           StatementAnswer::Done(answer.result_json, pending->request.seen)
               .WithTransaction(open.id)
               .WithServer(pending->database, false));
    return;
  }
  shares(pending->database).Release(workspace);
  const bool term_refused = answer.status == ExecuteStatus::kStaleTerm ||
                            answer.status == ExecuteStatus::kNotPrimary;
  if (term_refused) {
    OnTermRefusal(pending, answer);
  } else if (pending->may_have_run) {
    Finish(pending, StatementAnswer::Unknown(Reason::kDatabaseLost));
  } else {
    FinishNotRun(pending, *NotRunProof::RefusedBy(answer), Reason::kSqlError,
                 milliseconds(0), answer.error);
  }
}

void Keeper::Impl::OnTransactionAnswer(PendingRequest* pending,
                                       ConnectionId connection,
                                       const ExecuteAnswer& answer) {
  const StatementRequest& request = pending->request;
  Transaction* open =
      transactions_.Find(request.transaction, request.workspace);
  if (open != nullptr) transactions_.SetRunning(now_, open, false);
  const bool ends_transaction = request.step != Step::kStatement;
  if (answer.status != ExecuteStatus::kOk) {
    const bool sql_error =
        answer.status == ExecuteStatus::kSqlError && !ends_transaction;
    // Closing the connection makes the database roll back, whatever state the
    // transaction is in.
    const std::string id = request.transaction;
    if (answer.status == ExecuteStatus::kFenced) {
      MarkInDoubt(pending);
    } else {
      FinishNotRun(pending, *NotRunProof::RefusedBy(answer),
                   sql_error ? Reason::kSqlError : Reason::kTransactionLost,
                   milliseconds(0), answer.error);
    }
    if (!sql_error) CloseTransaction(id);
    return;
  }
  if (!ends_transaction) {
    // A write of an open transaction has no log position yet.
    const bool write = request.kind == StatementKind::kWrite;
    const LogPosition seen = write ? request.seen : answer.position;
    Finish(pending, StatementAnswer::Done(answer.result_json, seen)
                        .WithTransaction(request.transaction)
                        .WithServer(pending->database, false));
    return;
  }
  transactions_.Erase(request.transaction);
  pool_.SetOwned(connection, false);
  shares(pending->database).Release(request.workspace);
  if (request.step == Step::kRollback) {
    Finish(pending, StatementAnswer::Done(answer.result_json, request.seen)
                        .WithServer(pending->database, false));
    return;
  }
  OnWriteAnswer(pending, answer);
}

void Keeper::Impl::OnConnectionClosed(const PooledConnection& connection,
                                      ConnectionId id) {
  const std::string transaction = transactions_.FindOwner(id);
  if (!transaction.empty()) {
    for (const Transaction& open : transactions_.FindOn(connection.database)) {
      if (open.id == transaction) {
        shares(open.database).Release(open.workspace);
      }
    }
    transactions_.Erase(transaction);
  }
  if (connection.state != ConnectionState::kRunning) return;
  if (!connection.owned) {
    shares(connection.database).Release(connection.workspace);
  }
  PendingRequest* pending = FindRequest(connection.tag);
  const bool is_waiting =
      pending != nullptr && pending->state == RequestState::kRunning;
  if (is_waiting) OnAnswerLost(pending);
}

void Keeper::Impl::OnAnswerLost(PendingRequest* pending) {
  const StatementRequest& request = pending->request;
  if (pending->in_transaction() && request.step != Step::kCommit) {
    Finish(pending, StatementAnswer::Unknown(Reason::kTransactionLost));
    return;
  }
  const bool read = !pending->needs_confirmation() && !pending->is_begin();
  const bool can_retry = read || pending->is_begin() ||
                         (request.repeatable && !pending->in_transaction());
  if (!read) pending->may_have_run = true;
  if (can_retry && retry_budget_.TakeRetry()) {
    PushToQueue(pending);
  } else if (pending->needs_confirmation()) {
    MarkInDoubt(pending);
  } else {
    Finish(pending, StatementAnswer::Unknown(Reason::kDatabaseLost));
  }
}

void Keeper::Impl::MarkInDoubt(PendingRequest* pending) {
  pending->queued = false;
  pending->may_have_run = true;
  pending->state = RequestState::kInDoubt;
  // Without a request id there is no record to find and nothing to fence.
  const bool is_begin = pending->is_begin();
  if (is_begin || pending->request.request_id.empty()) {
    Finish(pending, StatementAnswer::Unknown(Reason::kDatabaseLost));
    return;
  }
  resolution_.Add(now_, pending->tag);
}

void Keeper::Impl::OnSettleAnswer(const PendingCall& call,
                                  const SettleAnswer& answer) {
  PendingRequest* pending = FindRequest(call.tag);
  if (pending == nullptr || pending->state != RequestState::kInDoubt) return;
  switch (answer.status) {
    case SettleStatus::kDone:
      pending->result_json = answer.result_json;
      resolution_.Remove(call.tag);
      AwaitConfirmation(pending, RequestState::kConfirming, answer.position);
      return;
    case SettleStatus::kFenced:
      pending->fence = answer;
      resolution_.Remove(call.tag);
      AwaitConfirmation(pending, RequestState::kFencing, answer.position);
      return;
    case SettleStatus::kStaleTerm:
    case SettleStatus::kNotPrimary:
      health_.MarkSuspected(now_, call.database);
      resolution_.ScheduleRetry(now_, call.tag);
      return;
    case SettleStatus::kInProgress:
      resolution_.ScheduleRetry(now_, call.tag);
      return;
  }
}

void Keeper::Impl::AwaitConfirmation(PendingRequest* pending,
                                     RequestState state,
                                     const LogPosition& position) {
  pending->state = state;
  pending->position = position;
  unconfirmed_.emplace(position, pending->tag);
  pending->confirming_since = now_;
  unconfirmed_since_.emplace(now_, pending->tag);
}

void Keeper::Impl::CheckUnconfirmed() {
  while (!unconfirmed_.empty()) {
    const auto [position, tag] = *unconfirmed_.begin();
    const LogEntryState entry_state = confirmation_.ClassifyEntry(position);
    // Sorted by position: if this one is pending, so are all that follow.
    if (entry_state == LogEntryState::kPending) return;
    unconfirmed_.erase(unconfirmed_.begin());
    PendingRequest* pending = FindRequest(tag);
    if (pending != nullptr) FinishConfirmation(pending, entry_state);
  }
}

void Keeper::Impl::FinishConfirmation(PendingRequest* pending,
                                      LogEntryState entry_state) {
  unconfirmed_since_.erase({pending->confirming_since, pending->tag});
  if (entry_state == LogEntryState::kDiscarded) {
    OnDiscarded(pending);
    return;
  }
  if (pending->state == RequestState::kFencing) {
    FinishNotRun(pending, *NotRunProof::FencedBy(pending->fence, true),
                 pending->discarded ? Reason::kDiscarded : Reason::kFenced,
                 kRetryAfterFence);
    return;
  }
  Finish(pending, StatementAnswer::Done(pending->result_json, pending->position)
                      .WithServer(pending->database, false));
}

void Keeper::Impl::OnDiscarded(PendingRequest* pending) {
  const bool write = pending->state == RequestState::kConfirming;
  const bool can_retry = write && !pending->settle_only &&
                         pending->request.repeatable &&
                         !pending->in_transaction();
  if (write) pending->discarded = true;
  if (can_retry && retry_budget_.TakeRetry()) {
    PushToQueue(pending);
    return;
  }
  // This entry cannot reappear, but the caller may have repeated the request
  // through another keeper, which ran it under the newer term. It is "not run"
  // only if the new primary finds no record and fences the id.
  MarkInDoubt(pending);
}

void Keeper::Impl::ExpireDeadlines() {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
    const RequestTag tag = deadlines_.begin()->second;
    PendingRequest* pending = FindRequest(tag);
    if (pending == nullptr) {
      deadlines_.erase(deadlines_.begin());
      continue;
    }
    ExpireRequest(pending);
  }
}

void Keeper::Impl::ExpireRequest(PendingRequest* pending) {
  switch (pending->state) {
    case RequestState::kQueued:
      if (pending->may_have_run) {
        Finish(pending, StatementAnswer::Unknown(Reason::kDeadline));
      } else {
        FinishNotRun(pending, NotRunProof::NeverSent(), Reason::kDeadline,
                     milliseconds(0));
      }
      return;
    case RequestState::kRunning: {
      const ConnectionId connection = pending->connection;
      Finish(pending, StatementAnswer::Unknown(Reason::kDeadline));
      // A late answer would be matched to the next statement.
      const auto closed = pool_.Close(connection, actions_);
      if (closed.has_value()) OnConnectionClosed(*closed, connection);
      return;
    }
    case RequestState::kConfirming:
      Finish(pending, StatementAnswer::Unknown(Reason::kConfirmationSlow));
      return;
    case RequestState::kFencing:
    case RequestState::kInDoubt:
      Finish(pending, StatementAnswer::Unknown(Reason::kDatabaseLost));
      return;
  }
}

void Keeper::Impl::FinishNotRun(PendingRequest* pending,
                                const NotRunProof& proof, Reason reason,
                                milliseconds retry_after, std::string detail) {
  ++refused_;
  Finish(pending, StatementAnswer::NotRun(proof, reason, retry_after,
                                          std::move(detail)));
}

void Keeper::Impl::Finish(PendingRequest* pending, StatementAnswer answer) {
  actions_->push_back(Respond{pending->tag, std::move(answer)});
  RemoveRequest(pending);
}

void Keeper::Impl::RemoveRequest(PendingRequest* pending) {
  const RequestTag tag = pending->tag;
  if (pending->queued) queue_.Remove(tag);
  deadlines_.erase({pending->request.deadline, tag});
  unconfirmed_.erase({pending->position, tag});
  unconfirmed_since_.erase({pending->confirming_since, tag});
  resolution_.Remove(tag);
  pending_.erase(tag);
}

}  // namespace ryefold::core::group
