// What the keeper makes of answers, and of answers that never come.

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

PendingRequest* Keeper::Impl::Find(RequestTag tag) {
  const auto it = pending_.find(tag);
  return it == pending_.end() ? nullptr : &it->second;
}

void Keeper::Impl::Answered(PendingRequest* pending, ConnectionId connection,
                            const ExecuteAnswer& answer) {
  if (pending->is_begin()) {
    BeginAnswered(pending, connection, answer);
    return;
  }
  if (pending->in_transaction()) {
    InTransactionAnswered(pending, connection, answer);
    return;
  }
  shares(pending->database).Release(pending->request.workspace);
  if (pending->request.kind == StatementKind::kRead) {
    ReadAnswered(pending, answer);
  } else {
    WriteAnswered(pending, answer);
  }
}

void Keeper::Impl::ReadAnswered(PendingRequest* pending,
                                const ExecuteAnswer& answer) {
  const auto refused = NotRunProof::RefusedBy(answer);
  if (refused && (answer.status == ExecuteStatus::kSqlError ||
                  answer.status == ExecuteStatus::kBadCall)) {
    NotRun(pending, *refused, Reason::kSqlError, milliseconds(0), answer.error);
    return;
  }
  if (refused) {
    health_.Doubt(now_, pending->database);
    Retry(pending);
    return;
  }
  LogPosition needed = pending->read.seen;
  if (const auto* primary = health_.status(leadership_.primary())) {
    needed = session::LimitToExisting(needed, primary->term_starts);
  }
  // The database may have lost entries, to a newer primary, between its status
  // and the read. The answer itself tells what the read has seen.
  if (answer.position < needed) {
    health_.Doubt(now_, pending->database);
    Retry(pending);
    return;
  }
  const bool replica = pending->database != leadership_.primary();
  ++(replica ? reads_replica_ : reads_primary_);
  Finish(pending, StatementAnswer::Done(answer.result_json, answer.position)
                      .WithServer(pending->database, replica));
}

void Keeper::Impl::WriteAnswered(PendingRequest* pending,
                                 const ExecuteAnswer& answer) {
  switch (answer.status) {
    case ExecuteStatus::kOk:
      pending->result_json = answer.result_json;
      if (!answer.from_record) {
        confirmation_.Wrote(pending->database, answer.position);
        last_written_ = std::max(last_written_, answer.position);
      }
      Confirm(pending, RequestState::kConfirming, answer.position);
      return;
    case ExecuteStatus::kStaleTerm:
    case ExecuteStatus::kNotPrimary:
      RefusedForTerm(pending, answer);
      return;
    case ExecuteStatus::kFenced:
      // A fence that only this primary holds can be lost with it, and then a
      // copy still under way could run: the caller hears "not run" only once
      // a majority holds the fence, whose position the settle call tells.
      PutInDoubt(pending);
      return;
    case ExecuteStatus::kSqlError:
    case ExecuteStatus::kBadCall:
      break;
  }
  if (pending->doubtful) {
    PutInDoubt(pending);
    return;
  }
  NotRun(pending, *NotRunProof::RefusedBy(answer), Reason::kSqlError,
         milliseconds(0), answer.error);
}

void Keeper::Impl::RefusedForTerm(PendingRequest* pending,
                                  const ExecuteAnswer& answer) {
  // The primary of that term would only refuse again.
  pending->min_term = std::max(answer.adopted_term, pending->sent_term + 1);
  health_.Doubt(now_, pending->database);
  Retry(pending);
}

void Keeper::Impl::BeginAnswered(PendingRequest* pending,
                                 ConnectionId connection,
                                 const ExecuteAnswer& answer) {
  const std::string& workspace = pending->request.workspace;
  if (answer.status == ExecuteStatus::kOk) {
    // Its share of the connections stays taken until the transaction ends.
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
  const bool term = answer.status == ExecuteStatus::kStaleTerm ||
                    answer.status == ExecuteStatus::kNotPrimary;
  if (term) {
    RefusedForTerm(pending, answer);
  } else if (pending->doubtful) {
    Finish(pending, StatementAnswer::Unknown(Reason::kDatabaseLost));
  } else {
    NotRun(pending, *NotRunProof::RefusedBy(answer), Reason::kSqlError,
           milliseconds(0), answer.error);
  }
}

void Keeper::Impl::InTransactionAnswered(PendingRequest* pending,
                                         ConnectionId connection,
                                         const ExecuteAnswer& answer) {
  const StatementRequest& request = pending->request;
  Transaction* open =
      transactions_.Find(request.transaction, request.workspace);
  if (open != nullptr) transactions_.SetRunning(now_, open, false);
  const bool ends = request.step != Step::kStatement;
  if (answer.status != ExecuteStatus::kOk) {
    const bool sql = answer.status == ExecuteStatus::kSqlError && !ends;
    // Whatever state the database holds the transaction in now, closing the
    // connection makes it roll back.
    const std::string id = request.transaction;
    if (answer.status == ExecuteStatus::kFenced) {
      PutInDoubt(pending);
    } else {
      NotRun(pending, *NotRunProof::RefusedBy(answer),
             sql ? Reason::kSqlError : Reason::kTransactionLost,
             milliseconds(0), answer.error);
    }
    if (!sql) CloseTransaction(id);
    return;
  }
  if (!ends) {
    // A write of an open transaction has no place in the log yet.
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
  WriteAnswered(pending, answer);
}

void Keeper::Impl::ConnectionGone(const PooledConnection& connection,
                                  ConnectionId id) {
  const std::string transaction = transactions_.OwnerOf(id);
  if (!transaction.empty()) {
    for (const Transaction& open : transactions_.On(connection.database)) {
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
  PendingRequest* pending = Find(connection.tag);
  const bool waits =
      pending != nullptr && pending->state == RequestState::kRunning;
  if (waits) AnswerLost(pending);
}

void Keeper::Impl::AnswerLost(PendingRequest* pending) {
  const StatementRequest& request = pending->request;
  if (pending->in_transaction() && request.step != Step::kCommit) {
    Finish(pending, StatementAnswer::Unknown(Reason::kTransactionLost));
    return;
  }
  const bool read = !pending->changes() && !pending->is_begin();
  const bool again = read || pending->is_begin() ||
                     (request.repeatable && !pending->in_transaction());
  if (!read) pending->doubtful = true;
  if (again && retries_.TakeRetry()) {
    Retry(pending);
  } else if (pending->changes()) {
    PutInDoubt(pending);
  } else {
    Finish(pending, StatementAnswer::Unknown(Reason::kDatabaseLost));
  }
}

void Keeper::Impl::PutInDoubt(PendingRequest* pending) {
  pending->queued = false;
  pending->doubtful = true;
  pending->state = RequestState::kInDoubt;
  // Without an id there is no record and nothing to fence.
  const bool begin = pending->is_begin();
  if (begin || pending->request.request_id.empty()) {
    Finish(pending, StatementAnswer::Unknown(Reason::kDatabaseLost));
    return;
  }
  resolution_.Add(now_, pending->tag);
}

void Keeper::Impl::SettleAnswered(const PendingCall& call,
                                  const SettleAnswer& answer) {
  PendingRequest* pending = Find(call.tag);
  if (pending == nullptr || pending->state != RequestState::kInDoubt) return;
  switch (answer.status) {
    case SettleStatus::kDone:
      pending->result_json = answer.result_json;
      resolution_.Remove(call.tag);
      Confirm(pending, RequestState::kConfirming, answer.position);
      return;
    case SettleStatus::kFenced:
      pending->fence = answer;
      resolution_.Remove(call.tag);
      Confirm(pending, RequestState::kFencing, answer.position);
      return;
    case SettleStatus::kStaleTerm:
    case SettleStatus::kNotPrimary:
      health_.Doubt(now_, call.database);
      resolution_.AskAgain(now_, call.tag);
      return;
    case SettleStatus::kInProgress:
      resolution_.AskAgain(now_, call.tag);
      return;
  }
}

void Keeper::Impl::Confirm(PendingRequest* pending, RequestState state,
                           const LogPosition& position) {
  pending->state = state;
  pending->position = position;
  unconfirmed_.emplace(position, pending->tag);
  pending->confirming_since = now_;
  unconfirmed_since_.emplace(now_, pending->tag);
}

void Keeper::Impl::JudgeUnconfirmed() {
  while (!unconfirmed_.empty()) {
    const auto [position, tag] = *unconfirmed_.begin();
    const Verdict verdict = confirmation_.Judge(position);
    // In order of position: what is not known of this one is not known of
    // any that follows.
    if (verdict == Verdict::kPending) return;
    unconfirmed_.erase(unconfirmed_.begin());
    PendingRequest* pending = Find(tag);
    if (pending != nullptr) Conclude(pending, verdict);
  }
}

void Keeper::Impl::Conclude(PendingRequest* pending, Verdict verdict) {
  unconfirmed_since_.erase({pending->confirming_since, pending->tag});
  if (verdict == Verdict::kDiscarded) {
    Discarded(pending);
    return;
  }
  if (pending->state == RequestState::kFencing) {
    NotRun(pending, *NotRunProof::FencedBy(pending->fence, true),
           pending->discarded ? Reason::kDiscarded : Reason::kFenced,
           kRetryAfterFence);
    return;
  }
  Finish(pending, StatementAnswer::Done(pending->result_json, pending->position)
                      .WithServer(pending->database, false));
}

void Keeper::Impl::Discarded(PendingRequest* pending) {
  const bool write = pending->state == RequestState::kConfirming;
  const bool again = write && !pending->settle_only &&
                     pending->request.repeatable && !pending->in_transaction();
  if (write) pending->discarded = true;
  if (again && retries_.TakeRetry()) {
    Retry(pending);
    return;
  }
  // This entry is gone for good, but its caller may have repeated the request
  // through another keeper, which ran it under the newer term. The new primary
  // finds that run, or fences the id: only then is it "not run".
  PutInDoubt(pending);
}

void Keeper::Impl::ExpireDeadlines() {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
    const RequestTag tag = deadlines_.begin()->second;
    PendingRequest* pending = Find(tag);
    if (pending == nullptr) {
      deadlines_.erase(deadlines_.begin());
      continue;
    }
    Expire(pending);
  }
}

void Keeper::Impl::Expire(PendingRequest* pending) {
  switch (pending->state) {
    case RequestState::kQueued:
      if (pending->doubtful) {
        Finish(pending, StatementAnswer::Unknown(Reason::kDeadline));
      } else {
        NotRun(pending, NotRunProof::NeverSent(), Reason::kDeadline,
               milliseconds(0));
      }
      return;
    case RequestState::kRunning: {
      const ConnectionId connection = pending->connection;
      Finish(pending, StatementAnswer::Unknown(Reason::kDeadline));
      // Whatever the database still answers on it would be taken for the
      // answer to the next statement.
      const auto closed = pool_.Close(connection, actions_);
      if (closed.has_value()) ConnectionGone(*closed, connection);
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

void Keeper::Impl::NotRun(PendingRequest* pending, const NotRunProof& proof,
                          Reason reason, milliseconds retry_after,
                          std::string detail) {
  ++refused_;
  Finish(pending, StatementAnswer::NotRun(proof, reason, retry_after,
                                          std::move(detail)));
}

void Keeper::Impl::Finish(PendingRequest* pending, StatementAnswer answer) {
  actions_->push_back(Respond{pending->tag, std::move(answer)});
  Forget(pending);
}

void Keeper::Impl::Forget(PendingRequest* pending) {
  const RequestTag tag = pending->tag;
  if (pending->queued) queue_.Remove(tag);
  deadlines_.erase({pending->request.deadline, tag});
  unconfirmed_.erase({pending->position, tag});
  unconfirmed_since_.erase({pending->confirming_since, tag});
  resolution_.Remove(tag);
  pending_.erase(tag);
}

}  // namespace ryefold::core::group
