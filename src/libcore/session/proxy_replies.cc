// What databases answer, and what is told to callers when they do not.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Pause before a database whose own queue was full gets more: about one
/// statement's time.
constexpr milliseconds kAfterBusy{15};
/// Sendings of one statement at most. Each but the first follows an answer
/// that it did not run, or the loss of a mere read.
constexpr uint32_t kMaxAttempts = 8;
/// Retry hint when the attempts are used up.
constexpr milliseconds kRetryAfter{100};

}  // namespace

void Proxy::Impl::CallAnswered(TimePoint now, ConnectionId id, Reply reply) {
  Connection* connection = FindConnection(id);
  if (connection == nullptr) return;
  DatabaseState* database = FindDatabase(connection->database);
  if (connection->expected.empty()) {
    Event(events_, EventPriority::kState, "unasked_answer")
        .Add("database", connection->database);
    ConnectionLost(now, id);
    port_->CloseConnection(id);
    return;
  }
  const Expected expected = connection->expected.front();
  connection->expected.pop_front();
  if (database->unanswered > 0) --database->unanswered;
  Heard(now, database);
  if (reply.position.has_value()) {
    database->known = std::max(database->known, *reply.position);
    const auto behind = EnsureGroup(database->info.group)
                            ->watermarks.LagBound(now, *reply.position);
    if (behind.has_value()) database->lag.RecordLag(*behind);
    Group* group = EnsureGroup(database->info.group);
    NoteTerm(now, group, database->info.id, reply.position->term);
    if (!group->unconfirmed.empty()) SettleCommits(now, group);
  }
  switch (expected.kind) {
    case ExpectedKind::kSync:
      // The statement behind it would run under other values than its caller
      // was told; none is known to be refused, so the connection goes.
      if (!reply.ok()) connection->spoilt = true;
      break;
    case ExpectedKind::kProof:
      ProofAnswered(now, connection, expected, reply);
      break;
    case ExpectedKind::kBegin:
      BeginAnswered(now, connection, FindRequest(expected.request), expected,
                    reply);
      break;
    case ExpectedKind::kStatement:
      StatementAnswered(now, connection, expected, std::move(reply));
      break;
    case ExpectedKind::kEnd:
      break;
    case ExpectedKind::kStatus:
      database->status_pending = false;
      if (reply.status.has_value()) {
        StatusArrived(now, EnsureGroup(database->info.group), database,
                      expected.sent, *reply.status);
      }
      break;
  }
  connection = FindConnection(id);
  if (connection != nullptr) Released(now, connection);
}

/// Gives a connection with nothing under way back to the pool.
void Proxy::Impl::Released(TimePoint now, Connection* connection) {
  if (!connection->expected.empty() || connection->pinned != 0) return;
  DatabaseState* database = FindDatabase(connection->database);
  connection->proof_failed = false;
  Group* group = EnsureGroup(database->info.group);
  if (connection->spoilt) {
    CloseConnection(now, connection);
  } else {
    if (connection->taken_at != TimePoint()) {
      database->hold.Add(std::chrono::duration_cast<std::chrono::microseconds>(
          now - connection->taken_at));
    }
    connection->taken_at = TimePoint();
    database->pool.Return(now, connection->id);
  }
  if (database->status_wanted) AskStatus(now, database, /*beyond_cap=*/false);
  Pump(now, group);
}

void Proxy::Impl::ProofAnswered(TimePoint now, Connection* connection,
                                const Expected& expected, const Reply& reply) {
  Group* group = EnsureGroup(FindDatabase(connection->database)->info.group);
  connection->proof_failed = !reply.ok();
  if (reply.ok() && reply.position.has_value()) {
    connection->proof_failed = !Claimed(now, group, connection->database,
                                        expected.sent, *reply.position);
  } else if (reply.error == ErrorCode::kReadOnly) {
    Deposed(now, group, connection->database, "refuses to lead");
  }
}

void Proxy::Impl::BeginAnswered(TimePoint now, Connection* connection,
                                Request* request, const Expected& expected,
                                const Reply& reply) {
  Group* group = EnsureGroup(FindDatabase(connection->database)->info.group);
  const auto roll_back = [this, now, connection] {
    BackendCall rollback;
    rollback.kind = CallKind::kRollback;
    SendOwn(now, connection, {rollback}, {ExpectedKind::kEnd});
  };
  if (request == nullptr) {
    if (reply.ok()) roll_back();
    return;
  }
  std::erase(request->running, connection->id);
  if (!reply.ok()) {
    NoteError(now, connection, expected, reply.error);
    request->last_error = reply.error;
    Retry(now, request);
    return;
  }
  const bool plain =
      expected.needs_lead || request->statement.kind == StatementKind::kBegin;
  if (plain && reply.position.has_value() &&
      !Claimed(now, group, connection->database, expected.sent,
               *reply.position)) {
    roll_back();
    Retry(now, request);
    return;
  }
  Caller* caller = FindCaller(request->caller);
  OpenTransaction(caller, *request);
  caller->transaction.connection = connection->id;
  if (expected.needs_lead) caller->transaction.unproved_since = expected.sent;
  connection->pinned = caller->id;
  Reply told;
  told.position = reply.position;
  Finish(now, request, std::move(told));
}

/// Draws from an error what it says about the database that gave it.
void Proxy::Impl::NoteError(TimePoint now, Connection* connection,
                            const Expected& expected, ErrorCode error) {
  DatabaseState* database = FindDatabase(connection->database);
  Group* group = EnsureGroup(database->info.group);
  switch (error) {
    case ErrorCode::kBusy:
      database->busy_until = now + kAfterBusy;
      break;
    case ErrorCode::kLagging:
      database->lag.RecordRejection(now, expected.since_age);
      break;
    case ErrorCode::kReadOnly:
      Deposed(now, group, database->info.id, "refuses to lead");
      break;
    case ErrorCode::kNoStatement:
      // It has forgotten what it had prepared; so has this connection.
      connection->spoilt = true;
      break;
    default:
      break;
  }
}

void Proxy::Impl::StatementAnswered(TimePoint now, Connection* connection,
                                    const Expected& expected, Reply reply) {
  DatabaseState* database = FindDatabase(connection->database);
  if (database->in_flight > 0) --database->in_flight;
  if (reply.ok()) {
    database->latency.Add(std::chrono::duration_cast<std::chrono::microseconds>(
        now - expected.sent));
    if (expected.since_age > milliseconds(0)) {
      database->lag.RecordServed(expected.since_age);
    }
  }
  Request* request = FindRequest(expected.request);
  if (request == nullptr) return;
  std::erase(request->running, connection->id);
  request->last_error = reply.error;
  request->database = connection->database;
  if (request->need == Need::kTransaction) {
    TransactionAnswered(now, connection, request, std::move(reply));
  } else {
    SingleAnswered(now, connection, request, expected, std::move(reply));
  }
}

void Proxy::Impl::SingleAnswered(TimePoint now, Connection* connection,
                                 Request* request, const Expected& expected,
                                 Reply reply) {
  if (request->unproved.has_value()) return;  // the other attempt was faster
  if (connection->spoilt) {
    reply.error = ErrorCode::kNoStatement;
    if (!request->writes) {
      Retry(now, request);
      return;
    }
  }
  if (connection->proof_failed) {
    Retry(now, request);
    return;
  }
  if (MeansNotRun(reply.error)) {
    NoteError(now, connection, expected, reply.error);
    request->turned_down.push_back(connection->database);
    Retry(now, request);
    return;
  }
  if (reply.error == ErrorCode::kFailed && !request->writes &&
      !request->failed_once) {
    // A read that failed once may well succeed elsewhere.
    request->failed_once = true;
    request->turned_down.push_back(connection->database);
    Retry(now, request);
    return;
  }
  Group* group = GroupOf(*request);
  const bool primary =
      group != nullptr && group->primary == connection->database;
  if (!request->writes) {
    ++(primary ? counters_.primary_reads : counters_.replica_reads);
  } else if (reply.ok() && reply.position.has_value()) {
    if (group != nullptr) {
      Claimed(now, group, connection->database, expected.sent, *reply.position);
    }
    Confirm(now, request, std::move(reply));
    return;
  }
  if (expected.needs_lead && reply.ok()) {
    TellOnceProved(now, request, expected.sent, std::move(reply));
    return;
  }
  Finish(now, request, std::move(reply));
}

void Proxy::Impl::TransactionAnswered(TimePoint now, Connection* connection,
                                      Request* request, Reply reply) {
  Caller* caller = FindCaller(request->caller);
  const bool commit = request->statement.kind == StatementKind::kCommit;
  if (reply.error == ErrorCode::kBusy &&
      reply.state == TransactionState::kOpen &&
      request->attempts < kMaxAttempts &&
      now + kAfterBusy < request->timeout_at) {
    SetTimer(request, now + kAfterBusy);
    return;
  }
  if (reply.error == ErrorCode::kReadOnly) {
    Deposed(now, EnsureGroup(FindDatabase(connection->database)->info.group),
            connection->database, "refuses to lead");
  }
  if (commit) {
    const bool wrote = caller->transaction.wrote;
    EndTransaction(now, caller,
                   /*roll_back=*/reply.state != TransactionState::kIdle);
    if (reply.ok() && wrote && reply.position.has_value()) {
      Group* group = GroupOf(*request);
      if (group != nullptr) {
        Claimed(now, group, connection->database, request->sent,
                *reply.position);
      }
      Confirm(now, request, std::move(reply));
      return;
    }
  } else if (!reply.ok() && reply.state != TransactionState::kOpen) {
    FailTransaction(now, caller);
  } else if (reply.ok() && !request->writes &&
             caller->transaction.unproved_since != TimePoint()) {
    TellOnceProved(now, request, caller->transaction.unproved_since,
                   std::move(reply));
    return;
  }
  Finish(now, request, std::move(reply));
}

/// Puts a statement that did not run, or a read whose answer is lost, back
/// into the queue. Other attempts that still run, or an answer that waits for
/// its proof, are left to finish it.
void Proxy::Impl::Retry(TimePoint now, Request* request) {
  if (!request->running.empty() || request->unproved.has_value()) return;
  if (request->attempts >= kMaxAttempts || now >= request->timeout_at) {
    Refuse(now, request, ErrorCode::kBusy, kRetryAfter, "attempts_used_up");
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
  const std::deque<Expected> expected = connection->expected;
  const CallerId pinned = connection->pinned;
  Event(events_, EventPriority::kState, "connection_lost")
      .Add("database", connection->database)
      .Add("unanswered", expected.size())
      .Add("in_transaction", pinned);
  DropConnection(now, id);
  Caller* caller = FindCaller(pinned);
  if (caller != nullptr && caller->transaction.connection == id) {
    caller->transaction.connection = 0;
    caller->state = TransactionState::kFailed;
  }
  for (const Expected& entry : expected) {
    if (entry.kind != ExpectedKind::kStatement &&
        entry.kind != ExpectedKind::kBegin) {
      continue;
    }
    Request* request = FindRequest(entry.request);
    if (request != nullptr) AttemptLost(now, request, id);
  }
}

/// The connection that a statement ran on is gone without an answer. A commit
/// or a single write may have happened; everything else has not, or will be
/// rolled back by the database, or only read.
void Proxy::Impl::AttemptLost(TimePoint now, Request* request,
                              ConnectionId connection) {
  std::erase(request->running, connection);
  Caller* caller = FindCaller(request->caller);
  const bool commit = request->statement.kind == StatementKind::kCommit;
  Reply reply;
  if (request->need == Need::kTransaction) {
    const bool doubt = commit && caller->transaction.wrote;
    if (commit) {
      caller->state = TransactionState::kIdle;
      caller->transaction = Transaction();
    }
    reply.error = doubt ? ErrorCode::kInDoubt : ErrorCode::kAborted;
    reply.error_text = "connection lost";
    Finish(now, request, std::move(reply));
  } else if (request->writes) {
    reply.error = ErrorCode::kInDoubt;
    reply.error_text = "connection lost";
    Finish(now, request, std::move(reply));
  } else {
    Retry(now, request);
  }
}

/// The time that the route allows a statement is over.
void Proxy::Impl::TimeOut(TimePoint now, Request* request) {
  if (request->unconfirmed.has_value()) {
    CommitInDoubt(now, request, "no replica has received it");
    return;
  }
  if (request->unproved.has_value()) {
    ProofFailed(now, request, "lead_in_doubt");
    return;
  }
  if (request->running.empty() && request->forwarded_to.empty()) {
    Refuse(now, request, ErrorCode::kBusy, kRetryAfter, "not_in_time");
    return;
  }
  Caller* caller = FindCaller(request->caller);
  const bool commit = request->statement.kind == StatementKind::kCommit;
  Reply reply;
  reply.error = ErrorCode::kTimeout;
  reply.error_text = "no answer in time";
  if (request->need == Need::kTransaction) {
    // The connection goes: what comes back late must not be taken for the
    // answer to the next statement, and the database rolls back.
    if (commit) {
      if (caller->transaction.wrote) reply.error = ErrorCode::kInDoubt;
      EndTransaction(now, caller, /*roll_back=*/true);
    } else {
      FailTransaction(now, caller);
    }
  } else if (request->writes) {
    reply.error = ErrorCode::kInDoubt;
  }
  Finish(now, request, std::move(reply));
}

}  // namespace ryefold::core::session
