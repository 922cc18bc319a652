// Replies of databases, and replies to callers when a database does not answer.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Backoff for a database whose queue was full: about the duration of one
/// statement.
constexpr milliseconds kBusyBackoff{15};
/// Maximum number of attempts per statement. A retry follows only a reply that
/// the statement did not run, or the loss of a read.
constexpr uint32_t kMaxAttempts = 8;
/// Weight of one use of a connection in the mean number of statements.
constexpr double kStatementsWeight = 1.0 / 8;
/// Retry hint when all attempts are used.
constexpr milliseconds kRetryAfter{100};

}  // namespace

void Proxy::Impl::CallAnswered(TimePoint now, ConnectionId id, Reply reply) {
  Connection* connection = FindConnection(id);
  if (connection == nullptr) return;
  DatabaseState* database = FindDatabase(connection->database);
  if (connection->pending_calls.empty()) {
    Event(events_, EventPriority::kState, "unasked_answer")
        .Add("database", connection->database);
    ConnectionLost(now, id);
    port_->CloseConnection(id);
    return;
  }
  const PendingCall call = connection->pending_calls.front();
  connection->pending_calls.pop_front();
  if (database->unanswered > 0) --database->unanswered;
  RecordContact(now, database);
  connection->state = reply.state;
  if (reply.position.has_value()) {
    database->applied_position =
        std::max(database->applied_position, *reply.position);
    const auto behind = EnsureGroup(database->info.group)
                            ->watermarks.LagBound(now, *reply.position);
    if (behind.has_value()) database->lag.RecordLag(*behind);
    Group* group = EnsureGroup(database->info.group);
    ObserveTerm(now, group, database->info.id, reply.position->term);
    if (!group->unconfirmed_commits.empty()) SettleCommits(now, group);
  }
  switch (call.kind) {
    case PendingCallKind::kSession:
      OnSessionReply(now, connection, reply);
      break;
    case PendingCallKind::kProof:
      OnProofReply(now, connection, call, reply);
      break;
    case PendingCallKind::kBegin:
      OnBeginReply(now, connection, FindRequest(call.request), call, reply);
      break;
    case PendingCallKind::kStatement:
      OnStatementReply(now, connection, call, std::move(reply));
      break;
    case PendingCallKind::kProxyRollback:
      break;
    case PendingCallKind::kStatus:
      database->status_pending = false;
      RecordUsage(database, CallUse::kStatus, now - call.sent_at);
      if (reply.status.has_value()) {
        OnStatus(now, EnsureGroup(database->info.group), database, call.sent_at,
                 *reply.status);
      }
      break;
  }
  connection = FindConnection(id);
  if (connection == nullptr) return;
  // A step of a transaction counts towards the learned limit too: its end makes
  // room, although its connection stays in use.
  const bool makes_room =
      connection->pinned_caller != 0 &&
      call.kind == PendingCallKind::kStatement &&
      settings_.database_concurrency == DatabaseConcurrency::kAdaptive;
  if (makes_room) {
    ServeQueues(now,
                EnsureGroup(FindDatabase(connection->database)->info.group));
    connection = FindConnection(id);
  }
  if (connection != nullptr) ReleaseIfIdle(now, connection);
}

/// Tells the learned limit how a caller's statement ended.
void Proxy::Impl::RecordForLimit(TimePoint now, DatabaseState* database,
                                 const PendingCall& call, ErrorCode error) {
  if (database->concurrency == nullptr) return;
  const bool has_run = error == ErrorCode::kNone || error == ErrorCode::kFailed;
  if (error == ErrorCode::kBusy) {
    database->concurrency->OnRejection(now);
  } else if (has_run && call.route != nullptr) {
    database->concurrency->OnResponse(
        now,
        std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                              call.sent_at),
        call.route->name);
  } else {
    database->concurrency->OnDropped(now);
  }
}

/// Returns a connection without pending calls to the pool.
void Proxy::Impl::ReleaseIfIdle(TimePoint now, Connection* connection) {
  if (!connection->pending_calls.empty() || connection->pinned_caller != 0) {
    return;
  }
  DatabaseState* database = FindDatabase(connection->database);
  Group* group = EnsureGroup(database->info.group);
  // A rollback that the database refused leaves its transaction open.
  const bool in_transaction = connection->state != TransactionState::kIdle;
  if (connection->unusable || in_transaction) {
    CloseConnection(now, connection);
  } else {
    if (connection->taken_at != TimePoint()) {
      database->hold_time.Add(
          std::chrono::duration_cast<std::chrono::microseconds>(
              now - connection->taken_at));
      database->statements_per_hold +=
          (connection->statements - database->statements_per_hold) *
          kStatementsWeight;
    }
    connection->taken_at = TimePoint();
    database->pool.Return(now, connection->id);
  }
  SendReplicationCall(now, database);
  if (database->status_deferred) {
    RequestStatus(now, database, /*beyond_limit=*/false);
  }
  ServeQueues(now, group);
}

void Proxy::Impl::OnProofReply(TimePoint now, Connection* connection,
                               const PendingCall& call, const Reply& reply) {
  Group* group = EnsureGroup(FindDatabase(connection->database)->info.group);
  bool failed = !reply.ok();
  if (reply.ok() && reply.position.has_value()) {
    failed = !RecordClaim(now, group, connection->database, call.sent_at,
                          *reply.position);
  } else if (reply.error == ErrorCode::kReadOnly) {
    MarkDeposed(now, group, connection->database, "refused a call as replica");
  }
  if (call.request == 0 || connection->pending_calls.empty()) return;
  PendingCall& read = connection->pending_calls.front();
  if (read.kind == PendingCallKind::kStatement &&
      read.request == call.request) {
    read.proof_failed = failed;
  }
}

/// Records the database's answer to a call that sets the session's state.
void Proxy::Impl::OnSessionReply(TimePoint now, Connection* connection,
                                 const Reply& reply) {
  connection->session.OnAnswer(reply.ok());
  if (!reply.ok()) {
    Event(events_, EventPriority::kState, "session_refused")
        .Add("database", connection->database)
        .Add("error", ErrorName(reply.error))
        .Add("in_transaction", connection->pinned_caller)
        .Add("refusals", connection->session.refusals());
  }
  if (connection->session.unanswered() == 0) {
    OnSessionConfirmed(now, connection);
  }
}

void Proxy::Impl::OnBeginReply(TimePoint now, Connection* connection,
                               Request* request, const PendingCall& call,
                               const Reply& reply) {
  Group* group = EnsureGroup(FindDatabase(connection->database)->info.group);
  const auto roll_back = [this, now, connection] {
    BackendCall rollback;
    rollback.kind = CallKind::kRollback;
    SendInternalCalls(now, connection, {rollback},
                      {PendingCallKind::kProxyRollback});
  };
  if (request == nullptr) {
    if (reply.ok()) roll_back();
    return;
  }
  std::erase(request->running_on, connection->id);
  if (!reply.ok()) {
    RecordError(now, connection, call, reply.error);
    request->last_error = reply.error;
    RetryRequest(now, request, AttemptEnd::kRejected);
    return;
  }
  // The transaction's statements would run with other values than their caller
  // set.
  const Caller& owner = callers_.at(request->caller);
  if (!connection->session.HasVariables(owner.variables)) {
    roll_back();
    RetryRequest(now, request, AttemptEnd::kUnusable);
    return;
  }
  const bool must_lead =
      call.needs_proof || request->statement.kind == StatementKind::kBegin;
  if (must_lead && reply.position.has_value() &&
      !RecordClaim(now, group, connection->database, call.sent_at,
                   *reply.position)) {
    roll_back();
    RetryRequest(now, request, AttemptEnd::kUnusable);
    return;
  }
  Caller* caller = FindCaller(request->caller);
  OpenTransaction(caller, *request);
  caller->transaction.connection = connection->id;
  if (call.needs_proof) caller->transaction.unproved_since = call.sent_at;
  connection->pinned_caller = caller->id;
  Reply begin_reply;
  begin_reply.position = reply.position;
  FinishRequest(now, request, std::move(begin_reply));
}

/// Updates the state of the database that returned the error.
void Proxy::Impl::RecordError(TimePoint now, Connection* connection,
                              const PendingCall& call, ErrorCode error) {
  DatabaseState* database = FindDatabase(connection->database);
  Group* group = EnsureGroup(database->info.group);
  switch (error) {
    case ErrorCode::kBusy:
      database->busy_until = now + kBusyBackoff;
      break;
    case ErrorCode::kLagging:
      database->lag.RecordRejection(now, call.position_age);
      break;
    case ErrorCode::kReadOnly:
      MarkDeposed(now, group, database->info.id, "refused a call as replica");
      break;
    case ErrorCode::kNoStatement:
      // The database has lost its prepared statements, and so this connection's
      // record of them is wrong.
      connection->session.ForgetPrepared();
      break;
    default:
      break;
  }
}

/// Records the work of an answered statement for the shares of its queue key.
void Proxy::Impl::RecordWork(TimePoint now, const PendingCall& call) {
  const Request* request = FindRequest(call.request);
  Group* group = request == nullptr ? nullptr : GroupOf(*request);
  if (group == nullptr) return;
  if (call.found_free_slot) {
    group->work.RecordResponse(
        request->queue_key,
        std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                              call.sent_at));
  }
  group->work.RecordFinished(request->queue_key);
}

void Proxy::Impl::OnStatementReply(TimePoint now, Connection* connection,
                                   const PendingCall& call, Reply reply) {
  DatabaseState* database = FindDatabase(connection->database);
  if (database->in_flight > 0) --database->in_flight;
  RecordForLimit(now, database, call, reply.error);
  CallUse use = call.use;
  if (reply.error == ErrorCode::kBusy) use = CallUse::kBusy;
  if (reply.error == ErrorCode::kLagging) use = CallUse::kBehind;
  RecordUsage(database, use, now - call.sent_at);
  if (reply.ok()) RecordWork(now, call);
  if (reply.ok()) {
    database->latency.Add(std::chrono::duration_cast<std::chrono::microseconds>(
        now - call.sent_at));
    if (call.position_age > milliseconds(0)) {
      database->lag.RecordServed(call.position_age);
    }
  }
  Request* request = FindRequest(call.request);
  if (request == nullptr) return;
  std::erase(request->running_on, connection->id);
  request->last_error = reply.error;
  request->database = connection->database;
  if (request->requirement == Requirement::kTransaction) {
    OnTransactionReply(now, connection, request, std::move(reply));
  } else {
    OnSingleStatementReply(now, connection, request, call, std::move(reply));
  }
}

void Proxy::Impl::OnSingleStatementReply(TimePoint now, Connection* connection,
                                         Request* request,
                                         const PendingCall& call, Reply reply) {
  if (request->unproved_reply.has_value()) {
    return;  // Another attempt was answered first.
  }
  if (call.proof_failed) {
    RetryRequest(now, request, AttemptEnd::kUnusable);
    return;
  }
  if (MeansNotRun(reply.error)) {
    RecordError(now, connection, call, reply.error);
    request->rejected_by.push_back(connection->database);
    RetryRequest(now, request, AttemptEnd::kRejected);
    return;
  }
  if (reply.error == ErrorCode::kFailed && !request->writes &&
      !request->failed_once) {
    // A read that failed once may succeed on another database.
    request->failed_once = true;
    request->rejected_by.push_back(connection->database);
    RetryRequest(now, request, AttemptEnd::kUnusable);
    return;
  }
  Group* group = GroupOf(*request);
  const bool primary =
      group != nullptr && group->primary == connection->database;
  if (!request->writes) {
    ++(primary ? counters_.primary_reads : counters_.replica_reads);
  } else if (reply.ok() && reply.position.has_value()) {
    if (group != nullptr) {
      RecordClaim(now, group, connection->database, call.sent_at,
                  *reply.position);
    }
    ConfirmCommit(now, request, std::move(reply));
    return;
  }
  if (call.needs_proof && reply.ok()) {
    FinishOnceProved(now, request, call.sent_at, std::move(reply));
    return;
  }
  FinishRequest(now, request, std::move(reply));
}

void Proxy::Impl::OnTransactionReply(TimePoint now, Connection* connection,
                                     Request* request, Reply reply) {
  Caller* caller = FindCaller(request->caller);
  const bool commit = request->statement.kind == StatementKind::kCommit;
  const bool unknown_name =
      reply.error == ErrorCode::kNoStatement && request->prepared != nullptr;
  if (unknown_name) connection->session.ForgetPrepared();
  // The caller prepared the statement successfully, so it is not told of a name
  // that the database does not know.
  const bool unprepared =
      request->prepared != nullptr &&
      !connection->session.HasPrepared(*request->prepared) &&
      (unknown_name || reply.error == ErrorCode::kMalformed);
  if ((reply.error == ErrorCode::kBusy || unknown_name) &&
      reply.state == TransactionState::kOpen &&
      request->attempts < kMaxAttempts &&
      now + kBusyBackoff < request->timeout_at) {
    SetTimer(request, now + kBusyBackoff);
    return;
  }
  if (reply.error == ErrorCode::kReadOnly) {
    MarkDeposed(now,
                EnsureGroup(FindDatabase(connection->database)->info.group),
                connection->database, "refused a call as replica");
  }
  if (commit) {
    const bool wrote = caller->transaction.wrote;
    EndTransaction(now, caller,
                   /*roll_back=*/reply.state != TransactionState::kIdle);
    if (reply.ok() && wrote && reply.position.has_value()) {
      Group* group = GroupOf(*request);
      if (group != nullptr) {
        RecordClaim(now, group, connection->database, request->sent_at,
                    *reply.position);
      }
      ConfirmCommit(now, request, std::move(reply));
      return;
    }
  } else if (!reply.ok() && reply.state != TransactionState::kOpen) {
    FailTransaction(now, caller);
    if (unprepared) reply.error = ErrorCode::kAborted;
  } else if (reply.ok() && !request->writes &&
             caller->transaction.unproved_since != TimePoint()) {
    FinishOnceProved(now, request, caller->transaction.unproved_since,
                     std::move(reply));
    return;
  }
  FinishRequest(now, request, std::move(reply));
}

/// Queues a statement again that may run again after an attempt that ended so.
/// If another attempt is in flight or a reply waits for its proof, that one
/// finishes the request.
void Proxy::Impl::RetryRequest(TimePoint now, Request* request,
                               AttemptEnd end) {
  if (!MayRunAgain(request->writes, end)) {
    FinishInDoubt(now, request, std::string(AttemptEndName(end)));
    return;
  }
  if (!request->running_on.empty() || request->unproved_reply.has_value()) {
    return;
  }
  if (request->attempts >= kMaxAttempts || now >= request->timeout_at) {
    RefuseRequest(now, request, ErrorCode::kBusy,
                  WithinPatience(now, *request, kRetryAfter),
                  "attempts_used_up");
    return;
  }
  SetTimer(request, request->timeout_at);
  Dispatch(now, request);
}

void Proxy::Impl::ConnectionLost(TimePoint now, ConnectionId id) {
  Connection* connection = FindConnection(id);
  if (connection == nullptr) return;
  if (!connection->open) {
    ConnectionRefused(now, id, ErrorCode::kNone);
    return;
  }
  const std::deque<PendingCall> lost_calls = connection->pending_calls;
  const RequestId unsent = connection->awaiting_session;
  const CallerId pinned_caller = connection->pinned_caller;
  Event(events_, EventPriority::kState, "connection_lost")
      .Add("database", connection->database)
      .Add("unanswered", lost_calls.size())
      .Add("in_transaction", pinned_caller);
  DropConnection(now, id);
  Caller* caller = FindCaller(pinned_caller);
  if (caller != nullptr && caller->transaction.connection == id) {
    caller->transaction.connection = 0;
    caller->state = TransactionState::kFailed;
  }
  for (const PendingCall& lost : lost_calls) {
    if (lost.kind != PendingCallKind::kStatement &&
        lost.kind != PendingCallKind::kBegin) {
      continue;
    }
    Request* request = FindRequest(lost.request);
    if (request != nullptr) {
      OnAttemptLost(now, request, id, AttemptEnd::kUnanswered);
    }
  }
  Request* request = FindRequest(unsent);
  if (request != nullptr) {
    OnAttemptLost(now, request, id, AttemptEnd::kNotSent);
  }
}

/// Handles the loss of a connection with an unanswered statement. A commit or
/// single write that was sent may have taken effect; anything else has not,
/// will be rolled back by the database, or only reads.
void Proxy::Impl::OnAttemptLost(TimePoint now, Request* request,
                                ConnectionId connection, AttemptEnd end) {
  std::erase(request->running_on, connection);
  Caller* caller = FindCaller(request->caller);
  const bool commit = request->statement.kind == StatementKind::kCommit;
  Reply reply;
  if (request->requirement == Requirement::kTransaction) {
    const bool in_doubt =
        commit && !MayRunAgain(caller->transaction.wrote, end);
    if (commit) {
      caller->state = TransactionState::kIdle;
      caller->transaction = Transaction();
    }
    reply.error = in_doubt ? ErrorCode::kInDoubt : ErrorCode::kAborted;
    reply.error_text = "connection lost";
    FinishRequest(now, request, std::move(reply));
  } else if (!MayRunAgain(request->writes, end)) {
    reply.error = ErrorCode::kInDoubt;
    reply.error_text = "connection lost";
    FinishRequest(now, request, std::move(reply));
  } else {
    RetryRequest(now, request, end);
  }
}

/// Refuses a statement that no database and no keeper was given. A transaction
/// whose connection still waits for the session's variables is rolled back.
void Proxy::Impl::GiveUpUnsent(TimePoint now, Request* request,
                               const std::string& reason) {
  const bool awaits_session = !request->running_on.empty();
  if (request->requirement == Requirement::kTransaction && awaits_session) {
    Connection* connection = FindConnection(request->running_on.front());
    EndSessionWait(connection);
    AbandonUnsent(now, connection, request, reason);
    return;
  }
  RefuseRequest(now, request, ErrorCode::kBusy,
                WithinPatience(now, *request, kRetryAfter), reason);
}

/// Handles the end of the route's statement timeout.
void Proxy::Impl::TimeOut(TimePoint now, Request* request) {
  GiveUp(now, request, "not_in_time", "no answer in time");
}

/// Answers a request whose time is over by what is known of it. `reason` is
/// that of the refusal if no database and no keeper has the statement; `text`
/// explains any other answer.
void Proxy::Impl::GiveUp(TimePoint now, Request* request,
                         const std::string& reason, const std::string& text) {
  if (request->unconfirmed_reply.has_value()) {
    FinishInDoubt(now, request, "no replica has received it");
    return;
  }
  if (request->unproved_reply.has_value()) {
    OnProofFailed(now, request, "lead_in_doubt");
    return;
  }
  if (!IsSent(*request)) {
    GiveUpUnsent(now, request, reason);
    return;
  }
  Caller* caller = FindCaller(request->caller);
  const bool commit = request->statement.kind == StatementKind::kCommit;
  Reply reply;
  reply.error = ErrorCode::kTimeout;
  reply.error_text = text;
  if (request->requirement == Requirement::kTransaction) {
    // The connection is closed: a late reply must not be taken for the reply to
    // the next statement, and the database rolls back.
    if (commit) {
      if (caller->transaction.wrote) reply.error = ErrorCode::kInDoubt;
      EndTransaction(now, caller, /*roll_back=*/true);
    } else {
      FailTransaction(now, caller);
    }
  } else if (request->writes) {
    reply.error = ErrorCode::kInDoubt;
  }
  FinishRequest(now, request, std::move(reply));
}

}  // namespace ryefold::core::session
