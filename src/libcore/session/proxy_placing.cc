// Where statements go: the queues, the choice of a database, what is sent.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Retry hint while no database of a group is known: about the pace at which
/// the platform's list is read.
constexpr milliseconds kNoDatabaseRetry{500};
/// Retry hint while no primary is in reach: promoting takes about a second.
constexpr milliseconds kNoPrimaryRetry{500};
/// Silence after which a read is also sent elsewhere: several times what the
/// database usually takes, so that few reads run twice, within these bounds.
/// A lost answer otherwise shows only when the statement times out.
constexpr int kHedgeFactor = 4;
constexpr milliseconds kLeastHedge{80};
constexpr milliseconds kMostHedge{400};
/// Bounds that keep the estimate of the service rate finite: no statement is
/// faster, and with nothing in service one is still let in to find out.
constexpr double kLeastHold = 0.002;
constexpr double kLeastRate = 2;
/// A replica further behind than this serves few of the reads there are;
/// routes allow one and a half to two and a half seconds.
constexpr milliseconds kMostUsefulLag{1400};
/// Part of the primary that reads which replicas can serve may count on.
constexpr double kReadPartOfPrimary = 0.5;
/// Pause before a read that could not be sent elsewhere is tried again: about
/// what a new connection takes.
constexpr milliseconds kHedgeRetry{25};
/// Times that a read is sent once more since no answer came.
constexpr uint32_t kMaxHedges = 3;
/// Names that one connection keeps prepared before it is cleared. Databases
/// hold them in memory for each connection.
constexpr size_t kMaxPrepared = 100;
/// Classes of workspaces within one class of routes.
constexpr uint32_t kWorkspaceClasses = 16;
/// Prefix of prepared names on connections.
constexpr const char* kPreparedPrefix = "p";

milliseconds HedgeDelay(const DatabaseState& database) {
  const auto usual = std::chrono::duration_cast<milliseconds>(
      database.latency.mean() * kHedgeFactor);
  return std::clamp(usual + kLeastHedge / 2, kLeastHedge, kMostHedge);
}

std::string PreparedName(const Prepared& prepared) {
  std::string name = kPreparedPrefix;
  name.append(std::to_string(prepared.number));
  return name;
}

bool IsBegin(const Request& request) {
  return request.statement.kind == StatementKind::kBegin ||
         request.statement.kind == StatementKind::kBeginRead;
}

}  // namespace

Group* Proxy::Impl::GroupOf(const Request& request) {
  return FindGroup(request.route->group);
}

admission::Queue* Proxy::Impl::QueueOf(Group* group, const Request& request) {
  const bool any = request.need == Need::kCoveredRead;
  return any ? &group->read_queue : &group->primary_queue;
}

/// Counts a statement that asks to be served for the first time. A line that is
/// new gets its class before anything of it is queued.
void Proxy::Impl::NoteDemand(TimePoint now, Group* group,
                             const Request& request) {
  if (request.attempts > 0) return;
  group->demand.Arrived(now, request.line);
  const Caller& caller = callers_.at(request.caller);
  const workspace::WorkspaceRef workspace = workspaces_.Find(caller.workspace);
  const uint32_t within = workspace == nullptr ? 0 : workspace->priority;
  const uint32_t priority = request.route->priority * kWorkspaceClasses +
                            std::min(within, kWorkspaceClasses - 1);
  const auto [line, added] = group->lines.try_emplace(request.line, priority);
  if (!added && line->second == priority) return;
  line->second = priority;
  group->weigh_at = now;
}

void Proxy::Impl::Dispatch(TimePoint now, Request* request) {
  if (callers_.at(request->caller).revoked) {
    Refuse(now, request, ErrorCode::kUnknownKey, milliseconds(0),
           "key_dropped");
    return;
  }
  Group* group = GroupOf(*request);
  const bool elsewhere = group != nullptr && !group->kept &&
                         forwarder_ != nullptr &&
                         !callers_.at(request->caller).adopted;
  if (elsewhere && ForwardToAny(now, request, *group)) return;
  const bool adopted = callers_.at(request->caller).adopted;
  // Whoever has forwarded it may know of another instance that gets further.
  const ErrorCode no_primary =
      adopted ? ErrorCode::kReadOnly : ErrorCode::kBusy;
  if (adopted && !Informed()) {
    Refuse(now, request, ErrorCode::kNotReady, kNoDatabaseRetry, "not_ready");
    return;
  }
  if (group == nullptr || group->databases.empty()) {
    Refuse(now, request, no_primary, kNoDatabaseRetry, "no_database");
    return;
  }
  group->used_at = now;
  NoteDemand(now, group, *request);
  if (request->writes && WritesHeld(*request)) {
    if (TryDetour(now, request, group)) return;
    RefuseHeld(now, request, no_primary);
    return;
  }
  const bool detoured = adopted && group->keepers.empty();
  const bool doubtful = NeedsLead(*request, *group) && LeadInDoubt(now, *group);
  if (doubtful && TryDetour(now, request, group)) return;
  if (doubtful) {
    Refuse(now, request, no_primary, kNoPrimaryRetry, "lead_in_doubt");
    return;
  }
  if (detoured && request->need != Need::kCoveredRead &&
      (group->primary.empty() || PrimaryOutOfReach(now, *group))) {
    Refuse(now, request, no_primary, kNoPrimaryRetry, "no_primary");
    return;
  }
  admission::Queue* queue = QueueOf(group, *request);
  if (queue->size() == 0 && TryPlace(now, request)) return;

  admission::Ticket ticket;
  ticket.tag = request->id;
  ticket.workspace = request->line;
  ticket.enqueued = request->arrived;
  ticket.deadline =
      now < request->goal_at ? request->goal_at : request->timeout_at;
  request->queued = true;
  if (now >= group->weigh_at) SetPolicies(now, group);
  UpdateRates(now, group);
  RefuseAll(now, queue->Push(now, std::move(ticket)));
  Pump(now, group);
}

void Proxy::Impl::RefuseAll(TimePoint now,
                            const std::vector<admission::Refusal>& refused) {
  for (const admission::Refusal& refusal : refused) {
    Request* request = FindRequest(refusal.tag);
    if (request == nullptr) continue;
    request->queued = false;
    const bool late = refusal.reason == Reason::kDeadline;
    Refuse(now, request, ErrorCode::kBusy, refusal.retry_after,
           late ? "not_in_time" : "overloaded");
  }
}

void Proxy::Impl::PumpAll(TimePoint now) {
  for (auto& [name, group] : groups_) Pump(now, group.get());
}

/// Statements a second that this instance can run on the database: by Little's
/// law, the connections it has there over the time that each stays taken.
double Proxy::Impl::ServiceRate(TimePoint now,
                                const DatabaseState& database) const {
  if (database.info.draining || Suspect(now, database)) return 0;
  const uint32_t open = database.pool.size() - database.pool.opening();
  const double hold =
      std::chrono::duration<double>(database.hold.mean()).count();
  return std::max(open, 1U) / std::max(hold, kLeastHold);
}

void Proxy::Impl::UpdateRates(TimePoint now, Group* group) {
  double primary = 0;
  double replicas = 0;
  for (const std::string& id : group->databases) {
    const DatabaseState& database = databases_.at(id);
    const bool leads = id == group->primary;
    const bool far_behind = database.lag.bound() > kMostUsefulLag;
    if (!leads && far_behind) continue;
    (leads ? primary : replicas) += ServiceRate(now, database);
  }
  group->primary_queue.SetRate(std::max(primary, kLeastRate));
  group->read_queue.SetRate(
      std::max(replicas + primary * kReadPartOfPrimary, kLeastRate));
}

void Proxy::Impl::Pump(TimePoint now, Group* group) {
  if (group->primary_queue.size() + group->read_queue.size() == 0) return;
  if (now >= group->weigh_at) SetPolicies(now, group);
  UpdateRates(now, group);
  PumpQueue(now, &group->primary_queue);
  PumpQueue(now, &group->read_queue);
}

void Proxy::Impl::PumpQueue(TimePoint now, admission::Queue* queue) {
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
  if (request->need == Need::kCoveredRead) {
    return PlaceOnAny(now, request, group);
  }
  return PlaceOnPrimary(now, request, group);
}

bool Proxy::Impl::PlaceOnPrimary(TimePoint now, Request* request,
                                 Group* group) {
  if (TryDetour(now, request, group)) return true;
  DatabaseState* database = FindDatabase(group->primary);
  if (database == nullptr || !TakesWork(now, *database)) return false;
  Connection* connection = Acquire(now, database, callers_.at(request->caller));
  if (connection == nullptr) return false;
  // Where older data will do, the begin asks for a position that covers it, and
  // the transaction's reads need no question to another database.
  const bool begins = request->statement.kind == StatementKind::kBegin;
  const bool old_will_do = request->route->freshness != Freshness::kPrimary;
  Send(now, connection, request,
       begins && old_will_do ? NeededMark(*request, *group) : std::nullopt);
  return true;
}

/// The position that the serving log has to hold, or nothing when no mark is
/// young enough: then only a primary that proves its lead will do.
std::optional<Watermarks::Mark> Proxy::Impl::NeededMark(
    const Request& request, const Group& group) const {
  const Route& route = *request.route;
  std::optional<Watermarks::Mark> mark =
      group.watermarks.OldestSince(request.arrived - route.max_staleness);
  if (!mark.has_value()) return std::nullopt;
  if (route.freshness != Freshness::kSession) return mark;
  const Caller& caller = callers_.at(request.caller);
  const LogPosition own = group.watermarks.RequiredPosition(caller.committed);
  if (own > mark->position) {
    mark->position = own;
    mark->at = std::max(mark->at, caller.committed_at);
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
    if (!TakesWork(now, database)) continue;
    if (!database.pool.HasIdle(workspace) &&
        !MayOpenFor(now, database, workspace)) {
      continue;
    }
    const auto& refused = request.turned_down;
    if (!primary &&
        std::count(refused.begin(), refused.end(), database.info.id) > 0) {
      continue;
    }
    ReadCandidate candidate;
    candidate.index = i;
    candidate.primary = primary;
    candidate.same_domain =
        database.info.failure_domain == settings_.failure_domain;
    candidate.expected_to_hold = primary || database.known >= mark.position ||
                                 database.lag.ShouldTry(now, age);
    candidate.suspected = Suspect(now, database);
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

bool Proxy::Impl::PlaceOnAny(TimePoint now, Request* request, Group* group) {
  const auto mark = NeededMark(*request, *group);
  if (!mark.has_value()) return PlaceOnPrimary(now, request, group);
  const Caller& caller = callers_.at(request->caller);
  const std::vector<std::string> order =
      ReadOrder(now, *request, *group, *mark);
  for (const std::string& id : order) {
    DatabaseState* database = FindDatabase(id);
    Connection* connection = TakeIdle(now, database, caller);
    if (connection == nullptr) continue;
    Send(now, connection, request, mark);
    return true;
  }
  // No connection is free anywhere: open one where it is wanted most, unless
  // one is about to open already.
  const bool soon = std::any_of(
      group->databases.begin(), group->databases.end(),
      [this, now, &caller](const std::string& id) {
        return databases_.at(id).pool.OpensSoon(now, caller.workspace);
      });
  if (order.empty() || soon) return false;
  Acquire(now, FindDatabase(order.front()), caller);
  return false;
}

/// Brings to the connection what the session has set and prepared, before the
/// statement that relies on it. What another session left behind is cleared.
void Proxy::Impl::Synchronize(TimePoint now, Connection* connection,
                              const Caller& caller, const Request& request,
                              std::vector<BackendCall>* calls) {
  const auto add = [&](CallKind kind, const std::string& name,
                       const std::string& text, bool writes) {
    BackendCall call;
    call.kind = kind;
    call.name = name;
    call.text = text;
    call.writes = writes;
    calls->push_back(std::move(call));
    connection->expected.push_back({ExpectedKind::kSync, 0, now, {}});
  };
  const bool foreign =
      std::any_of(connection->variables.begin(), connection->variables.end(),
                  [&caller](const auto& entry) {
                    return caller.variables.count(entry.first) == 0;
                  });
  const bool full = connection->prepared.size() > kMaxPrepared;
  if (foreign || (full && connection->pinned == 0)) {
    add(CallKind::kDiscard, "", "", false);
    connection->variables.clear();
    connection->prepared.clear();
  }
  for (const auto& [name, value] : caller.variables) {
    const auto found = connection->variables.find(name);
    if (found != connection->variables.end() && found->second == value) {
      continue;
    }
    add(CallKind::kSet, name, value, false);
    connection->variables[name] = value;
  }
  if (request.prepared == nullptr) return;
  if (!connection->prepared.insert(request.prepared->number).second) return;
  add(CallKind::kPrepare, PreparedName(*request.prepared),
      request.prepared->shape, request.prepared->writes);
}

BackendCall Proxy::Impl::StatementCall(const Request& request) const {
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

void Proxy::Impl::Send(TimePoint now, Connection* connection, Request* request,
                       const std::optional<Watermarks::Mark>& mark) {
  if (!BelongsTo(now, connection, request)) return;
  DatabaseState* database = FindDatabase(connection->database);
  const Caller& caller = callers_.at(request->caller);
  std::vector<BackendCall> calls;
  Synchronize(now, connection, caller, *request, &calls);
  milliseconds since_age{0};
  std::optional<LogPosition> since;
  if (mark.has_value()) {
    since = mark->position;
    since_age = std::chrono::duration_cast<milliseconds>(now - mark->at);
  }
  const auto expect = [&](ExpectedKind kind) {
    connection->expected.push_back(
        {kind, request->id, now, since_age, /*needs_lead=*/!since.has_value()});
  };
  // A read must not follow a replaced primary, which would go on answering
  // from a log that misses newer commits. A begin of a writing transaction in
  // front of the read is refused by a database that knows it has lost the lead;
  // what it may not know, another database tells, asked at the same time.
  const bool proved = request->need != Need::kPrimary &&
                      request->need != Need::kTransaction && !since.has_value();
  if (IsBegin(*request)) {
    BackendCall begin;
    const bool plain =
        proved || request->statement.kind == StatementKind::kBegin;
    begin.kind = plain ? CallKind::kBegin : CallKind::kBeginRead;
    begin.since = since;
    calls.push_back(begin);
    expect(ExpectedKind::kBegin);
  } else {
    BackendCall bracket;
    bracket.kind = CallKind::kBegin;
    if (proved) {
      calls.push_back(bracket);
      expect(ExpectedKind::kProof);
    }
    BackendCall call = StatementCall(*request);
    call.since = since;
    calls.push_back(std::move(call));
    expect(ExpectedKind::kStatement);
    ++database->in_flight;
    if (proved) {
      bracket.kind = CallKind::kRollback;
      calls.push_back(bracket);
      expect(ExpectedKind::kEnd);
    }
  }
  if (proved) WantProof(now, GroupOf(*request), now);
  const bool reads_on = request->need == Need::kTransaction &&
                        request->statement.kind != StatementKind::kCommit &&
                        !request->writes;
  if (reads_on && caller.transaction.unproved_since != TimePoint()) {
    WantProof(now, GroupOf(*request), caller.transaction.unproved_since);
  }
  database->unanswered += static_cast<uint32_t>(calls.size());
  Sent(now, database);
  ++request->attempts;
  request->database = connection->database;
  request->sent = now;
  request->running.push_back(connection->id);
  if (!request->writes && request->need != Need::kTransaction &&
      request->hedges < kMaxHedges) {
    SetTimer(request,
             std::min(request->timeout_at, now + HedgeDelay(*database)));
  }
  port_->SendCalls(connection->id, calls);
}

/// The request's timer is due: whatever it waits for has taken longer than
/// usual.
void Proxy::Impl::LookAfter(TimePoint now, Request* request) {
  if (std::exchange(request->awaits_keeper, false)) {
    SetTimer(request, request->timeout_at);
    Dispatch(now, request);
    return;
  }
  if (request->unconfirmed.has_value() || request->unproved.has_value()) {
    AskAgain(now, request);
    return;
  }
  SetTimer(request, request->timeout_at);
  if (request->need == Need::kTransaction) {
    Resend(now, request);
  } else {
    Hedge(now, request);
  }
}

/// A step of a transaction that the database had no room for is sent once more.
void Proxy::Impl::Resend(TimePoint now, Request* request) {
  const Caller& caller = callers_.at(request->caller);
  Connection* connection = FindConnection(caller.transaction.connection);
  if (!request->running.empty() || connection == nullptr) return;
  Send(now, connection, request, std::nullopt);
}

/// The database that has the read keeps silent: asks another, or the same one
/// on another connection. A beginning that is answered twice is rolled back on
/// the connection that answers last.
void Proxy::Impl::Hedge(TimePoint now, Request* request) {
  if (request->queued || request->running.empty()) return;
  ++request->hedges;
  request->turned_down.push_back(request->database);
  const std::string first = request->database;
  DropSilentIdle(now, request->sent, first);
  if (!TryPlace(now, request)) {
    // No connection is free yet; one may be opening.
    --request->hedges;
    SetTimer(request, std::min(request->timeout_at, now + kHedgeRetry));
    return;
  }
  Event(events_, EventPriority::kRequest, "read_hedged")
      .Add("request", request->statement_id)
      .Add("silent", first)
      .Add("also", request->database)
      .Add("after", now - request->arrived);
}

}  // namespace ryefold::core::session
