// Callers: session start, statements answered without a database, transaction
// state, and session end.

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Added to the configured idle timeout of a transaction, so that timer
/// inaccuracy never ends one early.
constexpr milliseconds kIdleTimeoutMargin{100};
/// What logs and callers are told while this instance drains.
constexpr const char* kLeavingReason = "leaving";
constexpr const char* kLeavingText = "instance is leaving";

bool IsTransactionEnd(StatementKind kind) {
  return kind == StatementKind::kCommit || kind == StatementKind::kRollback;
}

/// Returns whether the caller is connected here ("entry"), or to another
/// instance that forwards its statements ("keeper").
std::string_view SideOf(const Caller* caller) {
  return caller != nullptr && caller->adopted ? "keeper" : "entry";
}

bool IsBegin(StatementKind kind) {
  return kind == StatementKind::kBegin || kind == StatementKind::kBeginRead;
}

}  // namespace

void Proxy::Impl::CallerStarted(TimePoint now, CallerId id,
                                const std::string& route,
                                const workspace::KeyDigest& key) {
  // Other instances are usually further in their start-up, also after a power
  // loss: a refused caller is served elsewhere sooner than it would be here.
  if (!IsInitialized()) {
    port_->RefuseCaller(id, ErrorCode::kBusy, "no configuration yet");
    return;
  }
  if (draining_) {
    Event(events_, EventPriority::kRequest, "caller_refused")
        .Add("caller", id)
        .Add("database", route)
        .Add("reason", kLeavingReason);
    port_->RefuseCaller(id, ErrorCode::kBusy,
                        std::string(kLeavingText) + " retry-after-ms=0");
    return;
  }
  const std::shared_ptr<const Route> found = RouteOf(route);
  if (found == nullptr) {
    Event(events_, EventPriority::kRequest, "caller_refused")
        .Add("caller", id)
        .Add("database", route)
        .Add("reason", "no_route")
        .Add("config_version", route_table_.version)
        .Add("config_age", now - routes_confirmed_at_);
    port_->RefuseCaller(id, ErrorCode::kNoRoute, route);
    return;
  }
  Caller caller;
  caller.id = id;
  caller.route = route;
  caller.key = key;
  if (!AdmitCaller(now, *found, &caller)) {
    port_->RefuseCaller(id, ErrorCode::kUnknownKey, "key is not configured");
    return;
  }
  callers_.emplace(id, std::move(caller));
  port_->AcceptCaller(id);
}

std::shared_ptr<const Route> Proxy::Impl::RouteOf(
    const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? nullptr : found->second;
}

Reply Proxy::Impl::MakeLocalReply(const Caller& caller) const {
  Reply reply;
  reply.state = caller.state;
  reply.position = caller.position;
  return reply;
}

std::shared_ptr<const Route> Proxy::Impl::RouteOf(const Caller& caller) const {
  return caller.forwarded_route != nullptr ? caller.forwarded_route
                                           : RouteOf(caller.route);
}

void Proxy::Impl::SendReply(const Caller& caller, const Reply& reply) {
  if (caller.adopted) {
    forwarder_->AnswerForwarded(caller.id, reply);
  } else {
    port_->ReplyToCaller(caller.id, reply);
  }
}

void Proxy::Impl::AnswerLocally(Caller* caller, ErrorCode error,
                                const std::string& text) {
  Reply reply = MakeLocalReply(*caller);
  reply.error = error;
  reply.error_text = text;
  SendReply(*caller, reply);
}

PreparedRef Proxy::Impl::InternPrepared(bool writes, const std::string& shape) {
  std::weak_ptr<const Prepared>& entry = prepared_[{writes, shape}];
  PreparedRef prepared = entry.lock();
  if (prepared == nullptr) {
    prepared = std::make_shared<const Prepared>(
        Prepared{++last_prepared_, writes, shape});
    entry = prepared;
  }
  return prepared;
}

/// Answers statements that need no database. Variables and prepared statements
/// are stored with the session and sent to a connection before the next
/// statement that runs there.
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
          InternPrepared(statement.writes, statement.argument);
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
  if (draining_ && now >= transactions_until_ &&
      caller->state == TransactionState::kOpen) {
    EndTransaction(now, caller, /*roll_back=*/true);
    AnswerLocally(caller, ErrorCode::kAborted, kLeavingText);
    return;
  }

  Request request;
  request.caller = id;
  request.statement_id = statement_id;
  request.statement = std::move(statement);
  request.arrived_at = now;
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
    RunInTransaction(now, caller, std::move(request));
  } else {
    RunOutsideTransaction(now, caller, std::move(request));
  }
}

Request* Proxy::Impl::AddRequest(Request request) {
  request.id = ++last_request_;
  request.goal_deadline = request.arrived_at + request.route->goal;
  request.queue_key = request.route->name;
  const std::string& workspace = callers_.at(request.caller).workspace;
  if (!workspace.empty()) request.queue_key.append("/").append(workspace);
  request.timeout_at = request.arrived_at + request.route->statement_timeout;
  const RequestId id = request.id;
  Request* added = &requests_.emplace(id, std::move(request)).first->second;
  callers_.at(added->caller).request = id;
  SetTimer(added, added->timeout_at);
  return added;
}

void Proxy::Impl::RunInTransaction(TimePoint now, Caller* caller,
                                   Request request) {
  Connection* connection = FindConnection(caller->transaction.connection);
  request.requirement = Requirement::kTransaction;
  request.route = caller->transaction.route;
  caller->transaction.wrote |= request.writes;
  request.commits_writes = request.statement.kind == StatementKind::kCommit &&
                           caller->transaction.wrote;
  Request* added = AddRequest(std::move(request));
  if (!caller->transaction.keeper.empty()) {
    Forward(now, added, caller->transaction.keeper);
    return;
  }
  if (added->commits_writes && AreWritesHeld(*added)) {
    EndTransaction(now, caller, /*roll_back=*/true);
    RefuseHeldWrite(now, added, ErrorCode::kAborted);
    return;
  }
  SendStatement(now, connection, added, std::nullopt);
}

void Proxy::Impl::RunOutsideTransaction(TimePoint now, Caller* caller,
                                        Request request) {
  request.route = RouteOf(*caller);
  if (request.route == nullptr) {
    AnswerLocally(caller, ErrorCode::kNoRoute, caller->route);
    return;
  }
  if (!caller->adopted && !AdmitCaller(now, *request.route, caller)) {
    caller->revoked = true;
    revoked_callers_.insert(caller->id);
    AnswerRevoked(now, caller);
    return;
  }
  request.commits_writes = request.writes;
  const StatementKind kind = request.statement.kind;
  const bool is_read =
      kind == StatementKind::kBeginRead || (!IsBegin(kind) && !request.writes);
  if (!is_read) {
    request.requirement = Requirement::kPrimary;
  } else if (request.route->freshness == Freshness::kPrimary) {
    request.requirement = Requirement::kProvedRead;
  } else {
    request.requirement = Requirement::kReadAtPosition;
  }
  Request* added = AddRequest(std::move(request));
  if (draining_) {
    // Another instance that forwarded the statement tries a different keeper.
    RefuseRequest(now, added,
                  caller->adopted ? ErrorCode::kNotReady : ErrorCode::kBusy,
                  milliseconds(0), kLeavingReason);
    return;
  }
  StartOperation(now, *caller, added);
}

void Proxy::Impl::SetTimer(Request* request, TimePoint when) {
  if (request->timer != TimePoint()) {
    timers_.erase({request->timer, request->id});
  }
  request->timer = when;
  timers_.emplace(when, request->id);
}

void Proxy::Impl::RemoveRequest(Request* request) {
  if (request->timer != TimePoint()) {
    timers_.erase({request->timer, request->id});
  }
  if (!request->forwarded_to.empty()) {
    forwarder_->Cancel(request->id);
    InstanceState& keeper = peers_[request->forwarded_to];
    if (keeper.forwards_in_flight > 0) --keeper.forwards_in_flight;
  }
  if (request->awaits_limit && limiter_ != nullptr) {
    limiter_->Cancel(callers_.at(request->caller).workspace, request->id);
  }
  Group* group = GroupOf(*request);
  if (request->queued && group != nullptr) {
    QueueOf(group, *request)->Remove(request->id);
  }
  if (request->unconfirmed_reply.has_value() && group != nullptr) {
    std::erase(group->unconfirmed_commits, request->id);
  }
  if (request->unproved_reply.has_value() && group != nullptr) {
    std::erase(group->unproved_reads, request->id);
  }
  Caller* caller = FindCaller(request->caller);
  if (caller != nullptr && caller->request == request->id) caller->request = 0;
  requests_.erase(request->id);
}

/// Records a commit that is about to be acknowledged to its session. A commit
/// in doubt is not recorded: it must not replace an earlier acknowledged one,
/// or the session could miss its own data.
void Proxy::Impl::RecordOwnCommit(TimePoint now, const Request& request,
                                  const Reply& reply, Caller* caller) {
  if (!request.commits_writes || !reply.ok()) return;
  const std::string& group = request.route->group;
  const std::string forgotten =
      caller->commits.Record(now, group, reply.position);
  if (forgotten.empty()) return;
  ++counters_.own_commits_forgotten;
  Event(events_, EventPriority::kRequest, "own_commit_forgotten")
      .Add("request", request.statement_id)
      .Add("caller", request.caller)
      .Add("group", forgotten)
      .Add("committed_group", group)
      .Add("position", reply.position);
}

void Proxy::Impl::FinishRequest(TimePoint now, Request* request, Reply reply) {
  Caller* caller = FindCaller(request->caller);
  if (caller != nullptr) {
    RecordOwnCommit(now, *request, reply, caller);
    reply.state = caller->state;
    if (reply.position.has_value()) {
      caller->position = reply.position;
    } else if (!request->commits_writes) {
      // An instance that forwarded the commit would take an earlier position
      // for the commit's own.
      reply.position = caller->position;
    }
    if (caller->state == TransactionState::kOpen) {
      caller->transaction.idle_deadline =
          now + route_table_.transaction_idle_timeout + kIdleTimeoutMargin;
    }
  }
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
      now - request->arrived_at);
  ++(reply.ok() ? counters_.answered : counters_.failed);
  if (observer_ != nullptr) {
    observer_->OnAnswer(*request->route, reply.error, latency);
  }
  const LogPosition own_commit =
      caller == nullptr
          ? LogPosition()
          : caller->commits.RequirementIn(request->route->group).position;
  Event(events_, EventPriority::kRequest, "answered")
      .Add("request", request->statement_id)
      .Add("caller", request->caller)
      .Add("side", SideOf(caller))
      .Add("route", request->route->name)
      .Add("workspace", caller == nullptr ? "" : caller->workspace)
      .Add("group", request->route->group)
      .Add("outcome", ErrorName(reply.error))
      .Add("database", request->database)
      .Add("attempts", request->attempts)
      .Add("waited", request->sent_at == TimePoint()
                         ? now - request->arrived_at
                         : request->sent_at - request->arrived_at)
      .Add("confirming", request->unconfirmed_reply.has_value()
                             ? now - request->committed_at
                             : now - now)
      .Add("required", request->required_position)
      .Add("own_commit", own_commit)
      .Add("position", reply.position)
      .Add("session_waits", request->session_waits)
      .Add("proving", request->unproved_reply.has_value()
                          ? now - request->proof_pending_since
                          : now - now)
      .Add("took", now - request->arrived_at)
      .Add("goal", request->route->goal)
      .Add("config_version", route_table_.version);
  const std::string queue_key = request->queue_key;
  const std::string group = request->route->group;
  RemoveRequest(request);
  if (caller == nullptr) return;
  reply.queue_waits = ExpectedWaits(now, *caller, group, queue_key);
  SendReply(*caller, reply);
}

/// Returns a fixed retry delay if the caller can use it, or one within its
/// patience.
milliseconds Proxy::Impl::WithinPatience(TimePoint now, const Request& request,
                                         milliseconds retry_after) {
  if (!SharesByWork()) return retry_after;
  const admission::RetryDelay retry = retry_after_.Within(
      now, retry_after,
      admission::LatestRetry(now, request.arrived_at, request.timeout_at));
  if (retry.moved_up) ++counters_.retries_moved_up;
  return retry.delay;
}

void Proxy::Impl::RefuseRequest(TimePoint now, Request* request,
                                ErrorCode error, milliseconds retry_after,
                                const std::string& why) {
  ++counters_.refused;
  const Caller* caller = FindCaller(request->caller);
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
      .Add("side", SideOf(caller))
      .Add("route", request->route->name)
      .Add("workspace", caller == nullptr ? "" : caller->workspace)
      .Add("group", request->route->group)
      .Add("reason", why)
      .Add("attempts", request->attempts)
      .Add("last_error", ErrorName(request->last_error))
      .Add("waited", now - request->arrived_at)
      .Add("retry_after", retry_after);
  Reply reply;
  reply.error = error;
  reply.error_text =
      why + " retry-after-ms=" + std::to_string(retry_after.count());
  FinishRequest(now, request, std::move(reply));
}

void Proxy::Impl::OpenTransaction(Caller* caller, const Request& begin) {
  caller->state = TransactionState::kOpen;
  caller->transaction.route = begin.route;
}

/// Marks the transaction as failed and releases its connection at once. The
/// caller is notified by the reply to its pending or next statement.
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
  connection->pinned_caller = 0;
  if (!roll_back) return;
  if (!connection->pending_calls.empty()) {
    // A statement of the transaction is still running. Closing the connection
    // makes the database roll back at once.
    CloseConnection(now, connection);
    return;
  }
  BackendCall rollback;
  rollback.kind = CallKind::kRollback;
  SendInternalCalls(now, connection, {rollback},
                    {PendingCallKind::kProxyRollback});
}

void Proxy::Impl::CallerDisconnected(TimePoint now, CallerId id) {
  Caller* caller = FindCaller(id);
  if (caller == nullptr) return;
  Request* request = FindRequest(caller->request);
  if (request != nullptr) {
    Event(events_, EventPriority::kRequest, "caller_left")
        .Add("request", request->statement_id)
        .Add("caller", id)
        .Add("database", request->database)
        .Add("queued", request->queued ? "yes" : "no");
    ++counters_.abandoned;
    RemoveRequest(request);
  }
  if (caller->state == TransactionState::kOpen) {
    EndTransaction(now, caller, /*roll_back=*/true);
  }
  callers_.erase(id);
  revoked_callers_.erase(id);
}

void Proxy::Impl::EndIdleTransactions(TimePoint now) {
  for (auto& [id, caller] : callers_) {
    if (caller.state != TransactionState::kOpen || caller.request != 0) {
      continue;
    }
    if (now < caller.transaction.idle_deadline) continue;
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

/// Ends sessions between operations, so that their callers reconnect to another
/// instance.
void Proxy::Impl::DrainCallers(TimePoint now) {
  if (now >= drain_end_) {
    EndSessions(now);
    return;
  }
  std::vector<CallerId> ended;
  for (const auto& [id, caller] : callers_) {
    if (caller.request != 0) continue;
    const bool idle = caller.state == TransactionState::kIdle;
    if (idle || now >= transactions_until_) ended.push_back(id);
  }
  for (const CallerId id : ended) EndSession(now, id);
}

void Proxy::Impl::EndSessions(TimePoint now) {
  std::vector<RequestId> pending;
  for (const auto& [id, request] : requests_) pending.push_back(id);
  for (const RequestId id : pending) {
    Request* request = FindRequest(id);
    if (request == nullptr) continue;
    // The end of the drain is the end of its time: nothing is tried again.
    request->timeout_at = std::min(request->timeout_at, now);
    GiveUp(now, request, kLeavingReason, kLeavingText);
  }
  std::vector<CallerId> ended;
  for (const auto& [id, caller] : callers_) ended.push_back(id);
  for (const CallerId id : ended) EndSession(now, id);
}

/// Ends a session that has no pending request and rolls back its transaction.
void Proxy::Impl::EndSession(TimePoint now, CallerId id) {
  const Caller& caller = callers_.at(id);
  const bool idle = caller.state == TransactionState::kIdle;
  const bool adopted = caller.adopted;
  Event(events_, EventPriority::kRequest, "session_ended")
      .Add("caller", id)
      .Add("side", SideOf(&caller))
      .Add("reason", kLeavingReason)
      .Add("in_transaction", idle ? "no" : "yes");
  CallerDisconnected(now, id);
  if (adopted) return;  // The reply to its next statement reports the end.
  port_->EndSession(id, idle ? ErrorCode::kBusy : ErrorCode::kAborted,
                    std::string(kLeavingText) + " retry-after-ms=0");
}

void Proxy::Impl::ReportCutRequests(TimePoint now, std::string_view reason) {
  for (const auto& [id, request] : requests_) {
    ++counters_.cut;
    const size_t in_flight =
        request.running_on.size() + (request.forwarded_to.empty() ? 0 : 1);
    const bool answered = request.unconfirmed_reply.has_value() ||
                          request.unproved_reply.has_value();
    Event(events_, EventPriority::kState, "request_cut")
        .Add("request", request.statement_id)
        .Add("caller", request.caller)
        .Add("side", SideOf(FindCaller(request.caller)))
        .Add("reason", reason)
        .Add("group", request.route->group)
        .Add("database", request.database)
        .Add("queued", request.queued ? "yes" : "no")
        .Add("in_flight", in_flight)
        .Add("answered_by_database", answered ? "yes" : "no")
        .Add("age", now - request.arrived_at);
  }
}

}  // namespace ryefold::core::session
