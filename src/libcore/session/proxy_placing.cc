// Placement of statements: queues, choice of a database, and the calls sent.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Retry hint while no database of a group is known: about the polling interval
/// of the platform's list.
constexpr milliseconds kNoDatabaseRetryAfter{500};
/// Retry hint while no primary is reachable: a promotion takes about one
/// second.
constexpr milliseconds kNoPrimaryRetryAfter{500};
/// Delay after which an unanswered read is also sent to another database, as a
/// multiple of the usual latency so that few reads run twice, within these
/// bounds. Without hedging, a lost reply shows only at the statement timeout.
constexpr int kHedgeLatencyFactor = 4;
constexpr milliseconds kMinHedgeDelay{80};
constexpr milliseconds kMaxHedgeDelay{400};
/// Bounds that keep the estimated service rate finite: no statement is faster,
/// and statements are still admitted to measure the rate when none is in
/// flight.
constexpr double kMinHoldSeconds = 0.002;
constexpr double kMinRatePerSecond = 2;
/// A replica with a higher lag can serve few reads: routes allow 1.5 to 2.5 s
/// of staleness.
constexpr milliseconds kMaxUsefulLag{1400};
/// Part of the primary's capacity that counts for reads which replicas can
/// serve.
constexpr double kPrimaryReadShare = 0.5;
/// Interval between attempts to place a hedged read: about the time to open a
/// connection.
constexpr milliseconds kHedgeRetryInterval{25};
/// Maximum number of hedged attempts of one read.
constexpr uint32_t kMaxHedges = 3;
/// Refused calls in a row after which a connection is not brought to a
/// session's state any more. Databases may fail almost half of their calls for
/// seconds.
constexpr uint32_t kMaxSessionRefusals = 4;
/// Workspace priorities within one route priority.
constexpr uint32_t kWorkspacePriorities = 16;

milliseconds HedgeDelay(const DatabaseState& database) {
  const auto usual_latency = std::chrono::duration_cast<milliseconds>(
      database.latency.mean() * kHedgeLatencyFactor);
  return std::clamp(usual_latency + kMinHedgeDelay / 2, kMinHedgeDelay,
                    kMaxHedgeDelay);
}

bool IsBegin(const Request& request) {
  return request.statement.kind == StatementKind::kBegin ||
         request.statement.kind == StatementKind::kBeginRead;
}

CallUse CallUseOf(const Request& request, ConnectionId connection) {
  if (request.requirement == Requirement::kTransaction) {
    return CallUse::kTransaction;
  }
  const bool elsewhere = std::any_of(
      request.running_on.begin(), request.running_on.end(),
      [connection](ConnectionId each) { return each != connection; });
  return elsewhere ? CallUse::kHedge : CallUse::kStatement;
}

}  // namespace

Group* Proxy::Impl::GroupOf(const Request& request) {
  return FindGroup(request.route->group);
}

admission::Queue* Proxy::Impl::QueueOf(Group* group, const Request& request) {
  const bool is_replica_read =
      request.requirement == Requirement::kReadAtPosition;
  return is_replica_read ? &group->read_queue : &group->primary_queue;
}

/// Records the demand of a new statement, and sets the priority of its queue
/// key before the statement is queued.
void Proxy::Impl::RecordDemand(TimePoint now, Group* group,
                               const Request& request) {
  if (request.attempts > 0) return;
  group->demand.RecordArrival(now, request.queue_key);
  const Caller& caller = callers_.at(request.caller);
  const workspace::WorkspaceRef workspace = workspaces_.Find(caller.workspace);
  const uint32_t workspace_priority =
      workspace == nullptr ? 0 : workspace->priority;
  const uint32_t priority =
      request.route->priority * kWorkspacePriorities +
      std::min(workspace_priority, kWorkspacePriorities - 1);
  const auto [registered, added] =
      group->queue_priorities.try_emplace(request.queue_key, priority);
  if (!added && registered->second == priority) return;
  registered->second = priority;
  group->next_weight_update = now;
}

void Proxy::Impl::Dispatch(TimePoint now, Request* request) {
  if (callers_.at(request->caller).revoked) {
    RefuseRequest(now, request, ErrorCode::kUnknownKey, milliseconds(0),
                  "key_dropped");
    return;
  }
  Group* group = GroupOf(*request);
  const bool may_forward = group != nullptr && !group->is_keeper &&
                           forwarder_ != nullptr &&
                           !callers_.at(request->caller).adopted;
  if (may_forward && ForwardToKeeper(now, request, group)) return;
  const bool adopted = callers_.at(request->caller).adopted;
  // The forwarding instance may retry a read-only error on another instance.
  const ErrorCode no_primary =
      adopted ? ErrorCode::kReadOnly : ErrorCode::kBusy;
  if (adopted && !IsInitialized()) {
    RefuseRequest(now, request, ErrorCode::kNotReady,
                  WithinPatience(now, *request, kNoDatabaseRetryAfter),
                  "not_ready");
    return;
  }
  if (group == nullptr || group->databases.empty()) {
    RefuseRequest(now, request, no_primary,
                  WithinPatience(now, *request, kNoDatabaseRetryAfter),
                  "no_database");
    return;
  }
  group->last_used_at = now;
  Activate(now, group);
  RecordDemand(now, group, *request);
  if (request->writes && AreWritesHeld(*request)) {
    if (TryDetour(now, request, group)) return;
    RefuseHeldWrite(now, request, no_primary);
    return;
  }
  const bool detoured = adopted && group->keepers.empty();
  const bool in_doubt =
      NeedsLeadership(*request, *group) && IsLeadershipInDoubt(now, *group);
  if (in_doubt && TryDetour(now, request, group)) return;
  if (in_doubt) {
    RefuseRequest(now, request, no_primary,
                  WithinPatience(now, *request, kNoPrimaryRetryAfter),
                  "lead_in_doubt");
    return;
  }
  if (detoured && request->requirement != Requirement::kReadAtPosition &&
      (group->primary.empty() || IsPrimaryUnreachable(now, *group))) {
    RefuseRequest(now, request, no_primary,
                  WithinPatience(now, *request, kNoPrimaryRetryAfter),
                  "no_primary");
    return;
  }
  admission::Queue* queue = QueueOf(group, *request);
  if (queue->size() == 0 && TryPlace(now, request)) return;

  admission::Ticket ticket;
  ticket.tag = request->id;
  ticket.workspace = request->queue_key;
  ticket.enqueued = request->arrived_at;
  ticket.deadline = now < request->goal_deadline ? request->goal_deadline
                                                 : request->timeout_at;
  if (SharesByWork()) ticket.patience = request->timeout_at;
  request->queued = true;
  if (now >= group->next_weight_update) UpdateQueueShares(now, group);
  UpdateRates(now, group);
  RefuseAll(now, queue->Push(now, std::move(ticket)));
  ServeQueues(now, group);
}

void Proxy::Impl::RefuseAll(TimePoint now,
                            const std::vector<admission::Refusal>& refused) {
  for (const admission::Refusal& refusal : refused) {
    Request* request = FindRequest(refusal.tag);
    if (request == nullptr) continue;
    request->queued = false;
    if (refusal.moved_up) ++counters_.retries_moved_up;
    const bool missed_deadline = refusal.reason == Reason::kDeadline;
    RefuseRequest(now, request, ErrorCode::kBusy, refusal.retry_after,
                  missed_deadline ? "not_in_time" : "overloaded");
  }
}

void Proxy::Impl::ServeActiveQueues(TimePoint now) {
  for (const auto& [name, group] : active_groups_) {
    ServeQueues(now, group);
    if (SharesByWork()) LogShortage(now, group);
  }
}

/// Logs the changes between shares by weight and the order by work: at most two
/// lines a second for each class, as a shortage lasts a second at least.
void Proxy::Impl::LogShortage(TimePoint now, Group* group) {
  const auto log = [this, group](const char* queue,
                                 const std::vector<uint32_t>& classes,
                                 std::vector<uint32_t>* logged) {
    if (classes == *logged) return;
    if (classes.size() > logged->size()) ++counters_.queue_shortages;
    std::string list;
    for (const uint32_t priority : classes) {
      if (!list.empty()) list.append(",");
      list.append(std::to_string(priority));
    }
    Event(events_, EventPriority::kState, "queue_shortage")
        .Add("group", group->name)
        .Add("queue", queue)
        .Add("classes", list.empty() ? "none" : list)
        .Add("mean_work",
             std::chrono::duration_cast<milliseconds>(group->work.mean()))
        .Add("measured_keys", group->work.size());
    *logged = classes;
  };
  log("primary", group->primary_queue.short_classes(now),
      &group->logged_primary_shortage);
  log("reads", group->read_queue.short_classes(now),
      &group->logged_read_shortage);
}

/// Returns the statements per second that this instance can run on the
/// database: by Little's law, its connections divided by the time that each
/// stays in use. With a learned limit at most that limit divided by the
/// response time of the statements of one use, which follow a change of the
/// database's speed at once.
double Proxy::Impl::ServiceRate(TimePoint now,
                                const DatabaseState& database) const {
  if (database.info.draining || IsDatabaseSuspected(now, database)) return 0;
  const uint32_t open = database.pool.size() - database.pool.opening();
  const double hold_seconds =
      std::chrono::duration<double>(database.hold_time.mean()).count();
  const double rate =
      std::max(open, 1U) / std::max(hold_seconds, kMinHoldSeconds);
  if (database.concurrency == nullptr) return rate;
  const double response_seconds =
      std::chrono::duration<double>(database.concurrency->response_time(now))
          .count();
  const double limit = database.concurrency->limit_under_demand(now);
  const double learned = limit / (std::max(response_seconds, kMinHoldSeconds) *
                                  std::max(database.statements_per_hold, 1.0));
  return std::min(rate, learned);
}

void Proxy::Impl::UpdateRates(TimePoint now, Group* group) {
  double primary = 0;
  double replicas = 0;
  for (const std::string& id : group->databases) {
    const DatabaseState& database = databases_.at(id);
    const bool is_primary = id == group->primary;
    const bool lags_too_far = database.lag.bound() > kMaxUsefulLag;
    if (!is_primary && lags_too_far) continue;
    (is_primary ? primary : replicas) += ServiceRate(now, database);
  }
  group->primary_queue.SetDrainRate(std::max(primary, kMinRatePerSecond));
  group->read_queue.SetDrainRate(
      std::max(replicas + primary * kPrimaryReadShare, kMinRatePerSecond));
}

void Proxy::Impl::ServeQueues(TimePoint now, Group* group) {
  if (group->primary_queue.size() + group->read_queue.size() == 0) return;
  if (now >= group->next_weight_update) UpdateQueueShares(now, group);
  UpdateRates(now, group);
  ServeQueue(now, &group->primary_queue);
  ServeQueue(now, &group->read_queue);
}

void Proxy::Impl::ServeQueue(TimePoint now, admission::Queue* queue) {
  if (queue->size() == 0) return;
  RefuseAll(now, queue->Expire(now));
  const auto place = [this, now](const admission::Ticket& ticket) {
    Request* request = FindRequest(ticket.tag);
    return request != nullptr && TryPlace(now, request);
  };
  while (queue->size() > 0) {
    const auto taken = queue->Pop(now, place);
    if (!taken.has_value()) return;
    Request* request = FindRequest(taken->tag);
    if (request != nullptr) request->queued = false;
  }
}

bool Proxy::Impl::TryPlace(TimePoint now, Request* request) {
  Group* group = GroupOf(*request);
  if (group == nullptr) return false;
  if (request->requirement == Requirement::kReadAtPosition) {
    return PlaceRead(now, request, group);
  }
  return PlaceOnPrimary(now, request, group);
}

bool Proxy::Impl::PlaceOnPrimary(TimePoint now, Request* request,
                                 Group* group) {
  if (TryDetour(now, request, group)) return true;
  DatabaseState* database = FindDatabase(group->primary);
  if (database == nullptr || !AcceptsWork(now, *database)) return false;
  Connection* connection =
      AcquireConnection(now, database, callers_.at(request->caller));
  if (connection == nullptr) return false;
  // If the route accepts stale data, the begin requires a position that bounds
  // the staleness, and the transaction's reads need no proof from other
  // databases.
  const bool is_begin = request->statement.kind == StatementKind::kBegin;
  const bool accepts_stale = request->route->freshness != Freshness::kPrimary;
  SendStatement(now, connection, request,
                is_begin && accepts_stale ? RequiredMark(*request, *group)
                                          : std::nullopt);
  return true;
}

/// Returns the position that the serving log must hold, or nullopt if every
/// mark is too old: then only a primary with proved leadership may serve the
/// read.
std::optional<Watermarks::Mark> Proxy::Impl::RequiredMark(
    const Request& request, const Group& group) const {
  const Route& route = *request.route;
  const TimePoint not_before = request.arrived_at - route.max_staleness;
  if (route.freshness != Freshness::kSession) {
    return group.watermarks.OldestSince(not_before);
  }
  const OwnCommitRequirement own =
      callers_.at(request.caller).commits.RequirementIn(route.group);
  std::optional<Watermarks::Mark> mark =
      group.watermarks.OldestSince(std::max(not_before, own.all_until));
  if (!mark.has_value()) return std::nullopt;
  const LogPosition position = group.watermarks.RequiredPosition(own.position);
  if (position > mark->position) {
    mark->position = position;
    mark->at = std::max(mark->at, own.acknowledged_at);
  }
  return mark;
}

std::vector<std::string> Proxy::Impl::ReadOrder(TimePoint now,
                                                const Request& request,
                                                const Group& group,
                                                const Watermarks::Mark& mark) {
  const auto age = std::chrono::duration_cast<milliseconds>(now - mark.at);
  const std::string& workspace = callers_.at(request.caller).workspace;
  std::vector<ReadCandidate> candidates;
  for (size_t i = 0; i < group.databases.size(); ++i) {
    const DatabaseState& database = databases_.at(group.databases[i]);
    const bool primary = group.primary == database.info.id;
    if (!AcceptsWork(now, database)) continue;
    if (!database.pool.HasIdle(workspace) &&
        !MayOpenFor(now, database, workspace)) {
      continue;
    }
    const auto& rejected = request.rejected_by;
    if (!primary &&
        std::count(rejected.begin(), rejected.end(), database.info.id) > 0) {
      continue;
    }
    const bool holds = primary || database.applied_position >= mark.position;
    if (!holds && database.lag.IsReportedBehind(now, age)) continue;
    ReadCandidate candidate;
    candidate.index = i;
    candidate.primary = primary;
    candidate.same_domain =
        database.info.failure_domain == settings_.failure_domain;
    candidate.expected_to_hold = holds || database.lag.ShouldTry(now, age);
    candidate.suspected = IsDatabaseSuspected(now, database);
    candidate.in_flight = database.in_flight;
    candidate.latency = database.latency.mean();
    if (!candidate.expected_to_hold && !group.primary.empty()) continue;
    candidates.push_back(candidate);
  }
  std::vector<std::string> order;
  for (const size_t index : OrderForRead(std::move(candidates))) {
    order.push_back(group.databases[index]);
  }
  return order;
}

bool Proxy::Impl::PlaceRead(TimePoint now, Request* request, Group* group) {
  const auto mark = RequiredMark(*request, *group);
  if (!mark.has_value()) return PlaceOnPrimary(now, request, group);
  const Caller& caller = callers_.at(request->caller);
  const std::vector<std::string> order =
      ReadOrder(now, *request, *group, *mark);
  for (const std::string& id : order) {
    DatabaseState* database = FindDatabase(id);
    Connection* connection = TakeIdleConnection(now, database, caller);
    if (connection == nullptr) continue;
    SendStatement(now, connection, request, mark);
    return true;
  }
  // No connection is idle: open one to the preferred database, unless one is
  // about to open.
  const bool opening_soon = std::any_of(
      group->databases.begin(), group->databases.end(),
      [this, now, &caller](const std::string& id) {
        return databases_.at(id).pool.OpensSoon(now, caller.workspace);
      });
  if (order.empty() || opening_soon) return false;
  AcquireConnection(now, FindDatabase(order.front()), caller);
  return false;
}

BackendCall Proxy::Impl::MakeStatementCall(const Request& request) const {
  BackendCall call;
  call.id = request.statement_id;
  if (request.prepared != nullptr) {
    call.kind = CallKind::kExecute;
    call.name = PreparedName(*request.prepared);
    call.text = request.statement.argument;
  } else {
    call.kind = CallKind::kVerbatim;
    call.text = request.statement.text;
  }
  return call;
}

/// Counts an attempt to run the request on the connection.
void Proxy::Impl::StartAttempt(TimePoint now, const Connection& connection,
                               Request* request) {
  const auto& running_on = request->running_on;
  const bool started =
      std::count(running_on.begin(), running_on.end(), connection.id) > 0;
  request->database = connection.database;
  request->sent_at = now;
  if (started) return;
  ++request->attempts;
  request->running_on.push_back(connection.id);
  if (!request->writes && request->requirement != Requirement::kTransaction &&
      request->hedges < kMaxHedges) {
    const DatabaseState& database = *FindDatabase(connection.database);
    SetTimer(request,
             std::min(request->timeout_at, now + HedgeDelay(database)));
  }
}

/// Sends the calls that set the session's variables; the statement follows once
/// the database has confirmed them.
void Proxy::Impl::AwaitSession(TimePoint now, Connection* connection,
                               Request* request,
                               const std::optional<Watermarks::Mark>& mark,
                               const std::vector<BackendCall>& calls) {
  ++counters_.session_waits;
  ++request->session_waits;
  connection->awaiting_session = request->id;
  connection->awaiting_mark = mark;
  ++FindDatabase(connection->database)->in_flight;
  StartAttempt(now, *connection, request);
  SendInternalCalls(
      now, connection, calls,
      std::vector<PendingCallKind>(calls.size(), PendingCallKind::kSession));
}

/// Ends the wait for a session's variables and returns the request that waited,
/// 0 if there was none.
RequestId Proxy::Impl::EndSessionWait(Connection* connection) {
  const RequestId request = std::exchange(connection->awaiting_session, 0);
  DatabaseState* database = FindDatabase(connection->database);
  if (request != 0 && database->in_flight > 0) --database->in_flight;
  return request;
}

/// Sends the statement that waited for its session's variables. If the database
/// refused one of them, that one is repeated first.
void Proxy::Impl::OnSessionConfirmed(TimePoint now, Connection* connection) {
  Request* request = FindRequest(EndSessionWait(connection));
  if (request == nullptr) return;
  if (request->unproved_reply.has_value()) {
    std::erase(request->running_on, connection->id);
    return;  // Another attempt was answered first.
  }
  const Caller& caller = callers_.at(request->caller);
  const bool refused = !connection->session.HasVariables(caller.variables) &&
                       connection->session.refusals() >= kMaxSessionRefusals;
  if (refused || connection->state == TransactionState::kFailed) {
    AbandonUnsent(now, connection, request, "session_refused");
    return;
  }
  SendStatement(now, connection, request, connection->awaiting_mark);
}

/// Gives up an attempt whose statement was not sent because the session's
/// variables were not confirmed. `reason` is that of the refusal if the
/// statement cannot run elsewhere.
void Proxy::Impl::AbandonUnsent(TimePoint now, Connection* connection,
                                Request* request, const std::string& reason) {
  std::erase(request->running_on, connection->id);
  if (request->requirement != Requirement::kTransaction) {
    connection->unusable = true;
    RetryRequest(now, request, AttemptEnd::kNotSent);
    return;
  }
  Caller* caller = FindCaller(request->caller);
  if (request->statement.kind == StatementKind::kCommit) {
    EndTransaction(now, caller, /*roll_back=*/true);
  } else {
    FailTransaction(now, caller);
  }
  RefuseRequest(now, request, ErrorCode::kAborted, milliseconds(0), reason);
}

/// Whether a database or another instance was given the request's statement and
/// has not answered it.
bool Proxy::Impl::IsSent(const Request& request) const {
  if (!request.forwarded_to.empty()) return true;
  return std::any_of(request.running_on.begin(), request.running_on.end(),
                     [this, &request](ConnectionId id) {
                       const auto found = connections_.find(id);
                       return found == connections_.end() ||
                              found->second.awaiting_session != request.id;
                     });
}

void Proxy::Impl::SendStatement(TimePoint now, Connection* connection,
                                Request* request,
                                const std::optional<Watermarks::Mark>& mark) {
  if (!CheckWorkspace(now, connection, request)) return;
  DatabaseState* database = FindDatabase(connection->database);
  const Caller& caller = callers_.at(request->caller);
  SessionCalls session = connection->session.IssueCalls(
      caller.variables, request->prepared.get(),
      /*in_transaction=*/connection->pinned_caller != 0);
  if (session.confirm_first && !IsBegin(*request)) {
    AwaitSession(now, connection, request, mark, session.calls);
    return;
  }
  std::vector<BackendCall> calls = std::move(session.calls);
  for (size_t i = 0; i < calls.size(); ++i) {
    connection->pending_calls.push_back(
        {PendingCallKind::kSession, 0, now, {}});
  }
  milliseconds position_age{0};
  std::optional<LogPosition> since;
  if (mark.has_value()) since = mark->position;
  request->required_position = since;
  if (mark.has_value()) {
    position_age = std::chrono::duration_cast<milliseconds>(now - mark->at);
  }
  const auto expect = [&](PendingCallKind kind) {
    connection->pending_calls.push_back(
        {kind, request->id, now, position_age,
         /*needs_proof=*/!since.has_value(),
         CallUseOf(*request, connection->id),
         database->in_flight < database->info.slots});
  };
  // A read must not be answered by a replaced primary, whose log misses newer
  // commits. The read is preceded by the begin of a writing transaction, which
  // a database refuses once it is no longer primary. In case it has not
  // noticed, the other databases are asked for their terms at the same time.
  const bool requires_proof =
      request->requirement != Requirement::kPrimary &&
      request->requirement != Requirement::kTransaction && !since.has_value();
  if (IsBegin(*request)) {
    BackendCall begin;
    const bool as_write =
        requires_proof || request->statement.kind == StatementKind::kBegin;
    begin.kind = as_write ? CallKind::kBegin : CallKind::kBeginRead;
    begin.since = since;
    calls.push_back(begin);
    expect(PendingCallKind::kBegin);
  } else {
    BackendCall guard;
    guard.kind = CallKind::kBegin;
    if (requires_proof) {
      calls.push_back(guard);
      expect(PendingCallKind::kProof);
    }
    BackendCall call = MakeStatementCall(*request);
    call.since = since;
    calls.push_back(std::move(call));
    expect(PendingCallKind::kStatement);
    connection->pending_calls.back().route = request->route;
    ++counters_.statements_sent;
    ++database->in_flight;
    ++connection->statements;
    if (database->concurrency != nullptr) database->concurrency->OnStart(now);
    if (requires_proof) {
      guard.kind = CallKind::kRollback;
      calls.push_back(guard);
      expect(PendingCallKind::kProxyRollback);
    }
  }
  if (requires_proof) RequestProof(now, GroupOf(*request), now);
  const bool transaction_read =
      request->requirement == Requirement::kTransaction &&
      request->statement.kind != StatementKind::kCommit && !request->writes;
  if (transaction_read && caller.transaction.unproved_since != TimePoint()) {
    RequestProof(now, GroupOf(*request), caller.transaction.unproved_since);
  }
  database->unanswered += static_cast<uint32_t>(calls.size());
  RecordCallSent(now, database);
  StartAttempt(now, *connection, request);
  port_->SendCalls(connection->id, calls);
}

/// Handles the request's timer: the current step takes longer than usual.
void Proxy::Impl::OnRequestTimer(TimePoint now, Request* request) {
  if (std::exchange(request->awaits_keeper, false)) {
    SetTimer(request, request->timeout_at);
    Dispatch(now, request);
    return;
  }
  if (request->unconfirmed_reply.has_value() ||
      request->unproved_reply.has_value()) {
    PollReplicasAgain(now, request);
    return;
  }
  SetTimer(request, request->timeout_at);
  if (request->requirement == Requirement::kTransaction) {
    Resend(now, request);
  } else {
    Hedge(now, request);
  }
}

/// Repeats a statement of a transaction that the database refused as busy.
void Proxy::Impl::Resend(TimePoint now, Request* request) {
  const Caller& caller = callers_.at(request->caller);
  Connection* connection = FindConnection(caller.transaction.connection);
  if (!request->running_on.empty() || connection == nullptr) return;
  SendStatement(now, connection, request, std::nullopt);
}

/// Sends an unanswered read to another database, or to the same one on another
/// connection. If a begin is answered twice, the later one is rolled back.
void Proxy::Impl::Hedge(TimePoint now, Request* request) {
  if (request->queued || request->running_on.empty()) return;
  if (!MayRunAgain(request->writes, AttemptEnd::kUnanswered)) return;
  ++request->hedges;
  request->rejected_by.push_back(request->database);
  const std::string first = request->database;
  CloseUnresponsiveIdle(now, request->sent_at, first);
  if (!TryPlace(now, request)) {
    // No connection is idle yet; one may be opening.
    --request->hedges;
    SetTimer(request, std::min(request->timeout_at, now + kHedgeRetryInterval));
    return;
  }
  Event(events_, EventPriority::kRequest, "read_hedged")
      .Add("request", request->statement_id)
      .Add("silent", first)
      .Add("also", request->database)
      .Add("after", now - request->arrived_at);
}

}  // namespace ryefold::core::session
