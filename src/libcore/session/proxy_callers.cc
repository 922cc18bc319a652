// What callers ask: letting them in, what the proxy answers by itself, the
// state of their transactions, and ending their sessions.

#include <algorithm>
#include <utility>
#include <vector>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Part of a transaction's idle bound after which it is ended, so that the
/// bound itself is never undercut by a late timer.
constexpr milliseconds kIdleSlack{100};

bool IsTransactionEnd(StatementKind kind) {
  return kind == StatementKind::kCommit || kind == StatementKind::kRollback;
}

bool IsBegin(StatementKind kind) {
  return kind == StatementKind::kBegin || kind == StatementKind::kBeginRead;
}

}  // namespace

void Proxy::Impl::CallerStarted(TimePoint now, CallerId id,
                                const std::string& route,
                                const workspace::KeyDigest& key) {
  // Others are further, as a rule: turned away here, a caller is served sooner
  // elsewhere than kept waiting, after a loss of all power too.
  if (!Informed()) {
    port_->CloseCaller(id, ErrorCode::kBusy, "no configuration yet");
    return;
  }
  const std::shared_ptr<const Route> found = RouteOf(route);
  if (found == nullptr) {
    Event(events_, EventPriority::kRequest, "caller_refused")
        .Add("caller", id)
        .Add("database", route)
        .Add("reason", "no_route")
        .Add("config_version", table_.version)
        .Add("config_age", now - routes_confirmed_at_);
    port_->CloseCaller(id, ErrorCode::kNoRoute, route);
    return;
  }
  Caller caller;
  caller.id = id;
  caller.route = route;
  caller.key = key;
  if (!Admit(now, *found, &caller)) return;
  callers_.emplace(id, std::move(caller));
  port_->AcceptCaller(id);
}

std::shared_ptr<const Route> Proxy::Impl::RouteOf(
    const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? nullptr : found->second;
}

Reply Proxy::Impl::LocalReply(const Caller& caller) const {
  Reply reply;
  reply.state = caller.state;
  reply.position = caller.position;
  return reply;
}

std::shared_ptr<const Route> Proxy::Impl::RouteOf(const Caller& caller) const {
  return caller.fixed_route != nullptr ? caller.fixed_route
                                       : RouteOf(caller.route);
}

void Proxy::Impl::Tell(const Caller& caller, const Reply& reply) {
  if (caller.adopted) {
    forwarder_->AnswerForwarded(caller.id, reply);
  } else {
    port_->ReplyToCaller(caller.id, reply);
  }
}

void Proxy::Impl::AnswerLocally(Caller* caller, ErrorCode error,
                                const std::string& text) {
  Reply reply = LocalReply(*caller);
  reply.error = error;
  reply.error_text = text;
  Tell(*caller, reply);
}

PreparedRef Proxy::Impl::Intern(bool writes, const std::string& shape) {
  std::weak_ptr<const Prepared>& known = prepared_[{writes, shape}];
  PreparedRef prepared = known.lock();
  if (prepared == nullptr) {
    prepared = std::make_shared<const Prepared>(
        Prepared{++last_prepared_, writes, shape});
    known = prepared;
  }
  return prepared;
}

/// Answers what needs no database. Variables and prepared statements are kept
/// with the session and brought to a connection before the next statement
/// that goes there.
bool Proxy::Impl::AnswerWithoutDatabase(TimePoint now, Caller* caller,
                                        const Statement& statement) {
  const TransactionState state = caller->state;
  if (state == TransactionState::kFailed) {
    if (!IsTransactionEnd(statement.kind)) {
      AnswerLocally(caller, ErrorCode::kMalformed, "transaction has failed");
      return true;
    }
    EndTransaction(now, caller, /*roll_back=*/true);
    const bool commit = statement.kind == StatementKind::kCommit;
    AnswerLocally(caller, commit ? ErrorCode::kAborted : ErrorCode::kNone,
                  commit ? "rolled back" : "");
    return true;
  }
  switch (statement.kind) {
    case StatementKind::kSet:
      caller->variables[statement.name] = statement.argument;
      AnswerLocally(caller, ErrorCode::kNone, "");
      return true;
    case StatementKind::kPrepare:
      caller->prepared[statement.name] =
          Intern(statement.writes, statement.argument);
      AnswerLocally(caller, ErrorCode::kNone, "");
      return true;
    case StatementKind::kDeallocate:
      caller->prepared.erase(statement.name);
      AnswerLocally(caller, ErrorCode::kNone, "");
      return true;
    case StatementKind::kRollback:
      EndTransaction(now, caller, /*roll_back=*/true);
      AnswerLocally(caller, ErrorCode::kNone, "");
      return true;
    case StatementKind::kMalformed:
      AnswerLocally(caller, ErrorCode::kMalformed, "cannot be read");
      return true;
    default:
      break;
  }
  const bool open = state == TransactionState::kOpen;
  if (open ? IsBegin(statement.kind)
           : statement.kind == StatementKind::kCommit) {
    AnswerLocally(caller, ErrorCode::kMalformed,
                  open ? "transaction is open" : "no transaction is open");
    return true;
  }
  return false;
}

void Proxy::Impl::CallerStatement(TimePoint now, CallerId id,
                                  const std::string& statement_id,
                                  Statement statement) {
  Caller* caller = FindCaller(id);
  if (caller == nullptr) return;
  if (caller->revoked) {
    AnswerRevoked(now, caller);
    return;
  }
  if (AnswerWithoutDatabase(now, caller, statement)) return;

  Request request;
  request.caller = id;
  request.statement_id = statement_id;
  request.statement = std::move(statement);
  request.arrived = now;
  request.writes = request.statement.kind == StatementKind::kWrite;
  if (request.statement.kind == StatementKind::kExecute) {
    const auto found = caller->prepared.find(request.statement.name);
    if (found == caller->prepared.end()) {
      if (caller->state == TransactionState::kOpen) {
        FailTransaction(now, caller);
      }
      AnswerLocally(caller, ErrorCode::kNoStatement, request.statement.name);
      return;
    }
    request.prepared = found->second;
    request.writes = found->second->writes;
  }
  if (caller->state == TransactionState::kOpen) {
    InTransaction(now, caller, std::move(request));
  } else {
    OutsideTransaction(now, caller, std::move(request));
  }
}

Request* Proxy::Impl::Keep(Request request) {
  request.id = ++last_request_;
  request.goal_at = request.arrived + request.route->goal;
  request.line = request.route->name;
  const std::string& workspace = callers_.at(request.caller).workspace;
  if (!workspace.empty()) request.line.append("/").append(workspace);
  request.timeout_at = request.arrived + request.route->statement_timeout;
  const RequestId id = request.id;
  Request* kept = &requests_.emplace(id, std::move(request)).first->second;
  callers_.at(kept->caller).request = id;
  SetTimer(kept, kept->timeout_at);
  return kept;
}

void Proxy::Impl::InTransaction(TimePoint now, Caller* caller,
                                Request request) {
  Connection* connection = FindConnection(caller->transaction.connection);
  request.need = Need::kTransaction;
  request.route = caller->transaction.route;
  caller->transaction.wrote |= request.writes;
  Request* kept = Keep(std::move(request));
  if (!caller->transaction.keeper.empty()) {
    Forward(now, kept, caller->transaction.keeper);
    return;
  }
  const bool commits = kept->statement.kind == StatementKind::kCommit &&
                       caller->transaction.wrote;
  if (commits && WritesHeld(*kept)) {
    EndTransaction(now, caller, /*roll_back=*/true);
    RefuseHeld(now, kept, ErrorCode::kAborted);
    return;
  }
  Send(now, connection, kept, std::nullopt);
}

void Proxy::Impl::OutsideTransaction(TimePoint now, Caller* caller,
                                     Request request) {
  request.route = RouteOf(*caller);
  if (request.route == nullptr) {
    AnswerLocally(caller, ErrorCode::kNoRoute, caller->route);
    return;
  }
  if (!caller->adopted && !Admit(now, *request.route, caller)) return;
  if (caller->group != request.route->group) {
    caller->group = request.route->group;
    caller->committed = LogPosition();
  }
  const StatementKind kind = request.statement.kind;
  const bool reads =
      kind == StatementKind::kBeginRead || (!IsBegin(kind) && !request.writes);
  if (!reads) {
    request.need = Need::kPrimary;
  } else if (request.route->freshness == Freshness::kPrimary) {
    request.need = Need::kProvedRead;
  } else {
    request.need = Need::kCoveredRead;
  }
  StartOperation(now, *caller, Keep(std::move(request)));
}

void Proxy::Impl::SetTimer(Request* request, TimePoint when) {
  if (request->timer != TimePoint()) {
    timers_.erase({request->timer, request->id});
  }
  request->timer = when;
  timers_.emplace(when, request->id);
}

void Proxy::Impl::Forget(Request* request) {
  if (request->timer != TimePoint()) {
    timers_.erase({request->timer, request->id});
  }
  if (!request->forwarded_to.empty()) {
    forwarder_->Cancel(request->id);
    InstanceState& keeper = others_[request->forwarded_to];
    if (keeper.under_way > 0) --keeper.under_way;
  }
  if (request->awaits_limit && limiter_ != nullptr) {
    limiter_->Cancel(callers_.at(request->caller).workspace, request->id);
  }
  Group* group = GroupOf(*request);
  if (request->queued && group != nullptr) {
    QueueOf(group, *request)->Remove(request->id);
  }
  if (request->unconfirmed.has_value() && group != nullptr) {
    std::erase(group->unconfirmed, request->id);
  }
  if (request->unproved.has_value() && group != nullptr) {
    std::erase(group->unproved, request->id);
  }
  Caller* caller = FindCaller(request->caller);
  if (caller != nullptr && caller->request == request->id) caller->request = 0;
  requests_.erase(request->id);
}

void Proxy::Impl::Finish(TimePoint now, Request* request, Reply reply) {
  Caller* caller = FindCaller(request->caller);
  if (caller != nullptr) {
    reply.state = caller->state;
    if (reply.position.has_value()) {
      caller->position = reply.position;
    } else {
      reply.position = caller->position;
    }
    if (caller->state == TransactionState::kOpen) {
      caller->transaction.idle_until =
          now + table_.transaction_idle_timeout + kIdleSlack;
    }
  }
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
      now - request->arrived);
  ++(reply.ok() ? counters_.answered : counters_.failed);
  if (observer_ != nullptr) {
    observer_->OnAnswer(*request->route, reply.error, took);
  }
  Event(events_, EventPriority::kRequest, "answered")
      .Add("request", request->statement_id)
      .Add("caller", request->caller)
      .Add("route", request->route->name)
      .Add("outcome", ErrorName(reply.error))
      .Add("database", request->database)
      .Add("attempts", request->attempts)
      .Add("waited", request->sent == TimePoint()
                         ? now - request->arrived
                         : request->sent - request->arrived)
      .Add("confirming", request->unconfirmed.has_value()
                             ? now - request->committed_at
                             : now - now)
      .Add("proving", request->unproved.has_value() ? now - request->kept_since
                                                    : now - now)
      .Add("took", now - request->arrived)
      .Add("config_version", table_.version);
  Forget(request);
  if (caller != nullptr) Tell(*caller, reply);
}

void Proxy::Impl::Refuse(TimePoint now, Request* request, ErrorCode error,
                         milliseconds retry_after, const std::string& why) {
  ++counters_.refused;
  const Group* group = GroupOf(*request);
  const DatabaseState* primary =
      group == nullptr ? nullptr : FindDatabase(group->primary);
  Event(events_, EventPriority::kRequest, "refused")
      .Add("request", request->statement_id)
      .Add("primary", primary == nullptr ? "unknown" : primary->info.id)
      .Add("connections", primary == nullptr ? 0 : primary->pool.size())
      .Add("in_flight", primary == nullptr ? 0 : primary->in_flight)
      .Add("waiting", group == nullptr ? 0
                                       : group->primary_queue.size() +
                                             group->read_queue.size())
      .Add("route", request->route->name)
      .Add("reason", why)
      .Add("attempts", request->attempts)
      .Add("last_error", ErrorName(request->last_error))
      .Add("waited", now - request->arrived)
      .Add("retry_after", retry_after);
  Reply reply;
  reply.error = error;
  reply.error_text =
      why + " retry-after-ms=" + std::to_string(retry_after.count());
  Finish(now, request, std::move(reply));
}

void Proxy::Impl::OpenTransaction(Caller* caller, const Request& begin) {
  caller->state = TransactionState::kOpen;
  caller->transaction.route = begin.route;
}

/// The transaction cannot go on. The connection is given back at once; the
/// caller learns of it with its next statement, or with the one under way.
void Proxy::Impl::FailTransaction(TimePoint now, Caller* caller) {
  EndTransaction(now, caller, /*roll_back=*/true);
  caller->state = TransactionState::kFailed;
}

void Proxy::Impl::EndTransaction(TimePoint now, Caller* caller,
                                 bool roll_back) {
  caller->state = TransactionState::kIdle;
  const ConnectionId id = std::exchange(caller->transaction.connection, 0);
  const std::string keeper = caller->transaction.keeper;
  if (!keeper.empty() && roll_back) {
    forwarder_->Release(keeper, SessionName(*caller));
  }
  caller->transaction = Transaction();
  Connection* connection = FindConnection(id);
  if (connection == nullptr) return;
  connection->pinned = 0;
  if (!roll_back) return;
  if (!connection->expected.empty()) {
    // Something still runs in the transaction. Closing ends it at once, and
    // the database rolls back.
    CloseConnection(now, connection);
    return;
  }
  BackendCall rollback;
  rollback.kind = CallKind::kRollback;
  SendOwn(now, connection, {rollback}, {ExpectedKind::kEnd});
}

void Proxy::Impl::CallerGone(TimePoint now, CallerId id) {
  Caller* caller = FindCaller(id);
  if (caller == nullptr) return;
  Request* request = FindRequest(caller->request);
  if (request != nullptr) {
    Event(events_, EventPriority::kRequest, "caller_left")
        .Add("request", request->statement_id)
        .Add("caller", id)
        .Add("database", request->database);
    Forget(request);
  }
  if (caller->state == TransactionState::kOpen) {
    EndTransaction(now, caller, /*roll_back=*/true);
  }
  callers_.erase(id);
  revoked_.erase(id);
}

void Proxy::Impl::EndIdleTransactions(TimePoint now) {
  for (auto& [id, caller] : callers_) {
    if (caller.state != TransactionState::kOpen || caller.request != 0) {
      continue;
    }
    if (now < caller.transaction.idle_until) continue;
    Event(events_, EventPriority::kRequest, "transaction_ended")
        .Add("caller", id)
        .Add("reason", "idle");
    FailTransaction(now, &caller);
  }
}

void Proxy::Impl::Drain(TimePoint now, TimePoint transactions_until,
                        TimePoint end) {
  draining_ = true;
  transactions_until_ = transactions_until;
  drain_end_ = end;
  DrainCallers(now);
}

/// Ends what has nothing under way, so that callers come back elsewhere.
void Proxy::Impl::DrainCallers(TimePoint now) {
  std::vector<CallerId> ended;
  for (auto& [id, caller] : callers_) {
    const bool idle =
        caller.request == 0 && caller.state == TransactionState::kIdle;
    const bool late = now >= transactions_until_ && caller.request == 0;
    if (idle || late || now >= drain_end_) ended.push_back(id);
  }
  for (const CallerId id : ended) {
    const bool open = callers_.at(id).state == TransactionState::kOpen;
    const bool adopted = callers_.at(id).adopted;
    CallerGone(now, id);
    if (adopted) continue;  // told with its next statement
    port_->CloseCaller(id, open ? ErrorCode::kAborted : ErrorCode::kNone,
                       "instance is leaving");
  }
}

}  // namespace ryefold::core::session
