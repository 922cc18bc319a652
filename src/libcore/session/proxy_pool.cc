// Database connections: opening, use and closing.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Timeout for opening a connection, also to an overloaded database.
constexpr milliseconds kOpenTimeout{1000};
/// Connections being opened to one database at a time: each takes one of the
/// database's slots meanwhile.
constexpr uint32_t kMaxConcurrentOpens = 2;
/// Bounds of the exponential backoff after a refused connection.
constexpr milliseconds kMinOpenBackoff{50};
constexpr milliseconds kMaxOpenBackoff{800};
constexpr uint32_t kMaxBackoffDoublings = 4;
/// Backoff after a database reports that its connection limit is reached: about
/// the time in which other instances close idle connections.
constexpr milliseconds kConnectionLimitBackoff{250};
/// Divisor of the database's connection limit for one instance's maximum, and
/// the lower bound of the result. After a power loss, databases count dead
/// connections for some seconds; with larger shares no room would be left and
/// restarted instances would be refused.
constexpr uint32_t kConnectionShareDivisor = 14;
constexpr uint32_t kMinConnections = 2;
/// Connections of an instance that is not a keeper: one in use and one for an
/// idle transaction. A part of the instances opens them while no keeper is
/// reachable and closes them when idle for `kIdleTimeout`.
constexpr uint32_t kNonKeeperConnections = 2;
/// Time for which a database may count connections of this instance's previous
/// process after its host lost power.
constexpr milliseconds kDeadConnectionPeriod{3500};
/// Idle time after which connections beyond the first are closed, to free them
/// for other instances and for the case of a power loss. Not shorter, since
/// opening a connection occupies a slot of the database.
constexpr milliseconds kIdleTimeout{500};
/// The same for a connection of a workspace, which is reused less often than
/// one shared by all callers. It is evicted earlier if another workspace needs
/// it.
constexpr milliseconds kWorkspaceIdleTimeout{3000};
/// Time without a reply after which a connection is considered lost. Exceeds
/// the statement timeout of every known route.
constexpr milliseconds kAnswerTimeout{3000};
/// The same for the proxy's own calls, if the database has sent nothing since.
/// Closing the connection affects no caller.
constexpr milliseconds kInternalCallTimeout{1000};
/// A draining primary is used until its successor leads, but no longer than
/// this: it may stop seven seconds after the start of draining.
constexpr milliseconds kDrainingPrimaryGrace{5000};
/// Time for which a database may run on after it was removed from the list. One
/// that is cut off from the platform's store is treated as gone then.
constexpr milliseconds kDepartedPeriod{60000};
/// Time without a response after which a database is suspected: a multiple of
/// its usual latency, with this lower bound.
constexpr milliseconds kMinSuspicionTime{250};
constexpr int kSuspicionLatencyFactor = 8;

}  // namespace

bool Proxy::Impl::IsDatabaseSuspected(TimePoint now,
                                      const DatabaseState& database) const {
  if (database.refusals > 0 &&
      database.pool.size() == database.pool.opening()) {
    return true;
  }
  if (database.unanswered_since == TimePoint()) return false;
  const auto usual_latency = std::chrono::duration_cast<milliseconds>(
      database.latency.mean() * kSuspicionLatencyFactor);
  return now - database.unanswered_since >
         std::max(kMinSuspicionTime, usual_latency);
}

/// Whether opening a connection for a waiting statement is likely to succeed.
/// False while an attempt is pending or in backoff after a failure.
bool Proxy::Impl::MayAcceptConnection(TimePoint now,
                                      const DatabaseState& database) const {
  const bool unreachable =
      database.refusals > 0 && database.pool.size() == database.pool.opening();
  if (!unreachable) return !IsDatabaseSuspected(now, database);
  return database.pool.opening() == 0 && now >= database.open_not_before;
}

/// Returns the number of instances that hold connections to the database.
size_t Proxy::Impl::HoldersOf(const DatabaseState& database) const {
  const auto group = groups_.find(database.info.group);
  const size_t keepers =
      group == groups_.end() ? 0 : group->second->keepers.size();
  return keepers > 0 ? keepers : instances_.size();
}

uint32_t Proxy::Impl::InFlightLimitOf(TimePoint now,
                                      const DatabaseState& database) const {
  if (database.concurrency != nullptr) return database.concurrency->limit(now);
  return InFlightLimit(database.info.slots, HoldersOf(database));
}

/// Whether the limit allows one more statement in flight. Otherwise the learned
/// limit is told that a statement waits, upon which it may grow.
bool Proxy::Impl::HasRoom(TimePoint now, const DatabaseState& database) const {
  if (database.in_flight < InFlightLimitOf(now, database)) return true;
  if (database.concurrency == nullptr) return false;
  database.concurrency->SetCapacity(database.info.slots, HoldersOf(database));
  database.concurrency->OnHeldBack(now);
  return database.in_flight < database.concurrency->limit(now);
}

bool Proxy::Impl::AcceptsWork(TimePoint now,
                              const DatabaseState& database) const {
  if (now < database.busy_until) return false;
  if (!database.info.draining) return HasRoom(now, database);
  const auto group = groups_.find(database.info.group);
  return group != groups_.end() && group->second->primary == database.info.id &&
         now < database.draining_since + kDrainingPrimaryGrace &&
         HasRoom(now, database);
}

uint32_t Proxy::Impl::ConnectionLimit(TimePoint now,
                                      const DatabaseState& database) const {
  const auto group = groups_.find(database.info.group);
  if (group == groups_.end()) return kMinConnections;
  if (!group->second->is_keeper) return kNonKeeperConnections;
  const uint32_t limit = group->second->limits.connection_limit;
  const size_t keepers = group->second->keepers.size();
  const bool by_workspace = workspaces_.keys_required();
  if (keepers > 0) {
    const uint32_t share = ConnectionsPerKeeper(limit, keepers, by_workspace);
    const bool recently_started =
        now - instances_since_ < kDeadConnectionPeriod;
    if (!by_workspace || !recently_started) return share;
    return std::max(kMinConnections, share / 2);
  }
  return std::max(kMinConnections, limit / kConnectionShareDivisor);
}

bool Proxy::Impl::MayOpen(TimePoint now, const DatabaseState& database) const {
  return now >= database.open_not_before &&
         database.pool.opening() < kMaxConcurrentOpens &&
         database.pool.size() < ConnectionLimit(now, database);
}

/// Like MayOpen, but for a workspace, for which an idle connection of another
/// workspace may be evicted.
bool Proxy::Impl::MayOpenFor(TimePoint now, const DatabaseState& database,
                             const std::string& workspace) const {
  const DatabasePool& pool = database.pool;
  if (now < database.open_not_before) return false;
  if (pool.opening() >= kMaxConcurrentOpens || pool.opening(workspace) > 0) {
    return false;
  }
  const uint32_t max_connections = ConnectionLimit(now, database);
  if (pool.size() < max_connections) return true;
  return pool.size() == max_connections &&
         pool.EvictableFor(now, workspace).has_value();
}

void Proxy::Impl::OpenDatabaseConnection(TimePoint now, DatabaseState* database,
                                         const std::string& workspace) {
  Connection connection;
  connection.id = ++last_connection_;
  connection.database = database->info.id;
  connection.workspace = workspace;
  connection.requested_at = now;
  connection.open_deadline = now + kOpenTimeout;
  const ConnectionId id = connection.id;
  connections_.emplace(id, std::move(connection));
  database->pool.AddOpening(now, id, workspace);
  ++database->unanswered;
  RecordCallSent(now, database);
  ++counters_.connections_opened;
  Activate(now, EnsureGroup(database->info.group));
  port_->OpenConnection(id, database->info, workspace);
}

Connection* Proxy::Impl::TakeIdleConnection(TimePoint now,
                                            DatabaseState* database,
                                            const Caller& caller) {
  const std::vector<DatabasePool::Idle>& idle = database->pool.idle();
  Connection* chosen = nullptr;
  for (auto each = idle.rbegin(); each != idle.rend(); ++each) {
    if (each->workspace != caller.workspace) continue;
    Connection* connection = &connections_.at(each->connection);
    if (chosen == nullptr) chosen = connection;
    // Prefer a connection that already has the session's variables.
    if (!connection->session.HasVariables(caller.variables)) continue;
    chosen = connection;
    break;
  }
  if (chosen == nullptr) return nullptr;
  database->pool.Take(chosen->id);
  chosen->taken_at = now;
  chosen->statements = 0;
  return chosen;
}

Connection* Proxy::Impl::AcquireConnection(TimePoint now,
                                           DatabaseState* database,
                                           const Caller& caller) {
  Connection* connection = TakeIdleConnection(now, database, caller);
  if (connection != nullptr) return connection;
  if (!MayOpenFor(now, *database, caller.workspace)) return nullptr;
  if (database->pool.size() >= ConnectionLimit(now, *database)) {
    const auto evicted = database->pool.EvictableFor(now, caller.workspace);
    if (!evicted.has_value()) return nullptr;
    CloseConnection(now, FindConnection(*evicted));
    ++counters_.connections_evicted;
  }
  OpenDatabaseConnection(now, database, caller.workspace);
  return nullptr;
}

void Proxy::Impl::RecordCallSent(TimePoint now, DatabaseState* database) {
  if (database->unanswered_since == TimePoint()) {
    database->unanswered_since = now;
  }
}

void Proxy::Impl::RecordContact(TimePoint now, DatabaseState* database) {
  database->last_contact = now;
  database->unanswered_since = database->unanswered > 0 ? now : TimePoint();
}

void Proxy::Impl::ConnectionOpened(TimePoint now, ConnectionId id) {
  Connection* connection = FindConnection(id);
  if (connection == nullptr) return;
  DatabaseState* database = FindDatabase(connection->database);
  connection->open = true;
  RecordUsage(database, CallUse::kOpen, now - connection->requested_at);
  database->pool.MarkOpen(id);
  --database->unanswered;
  if (database->refusals > 0) {
    Event(events_, EventPriority::kState, "database_reachable")
        .Add("database", database->info.id)
        .Add("refusals", database->refusals);
  }
  database->refusals = 0;
  RecordContact(now, database);
  ReleaseIfIdle(now, connection);
}

void Proxy::Impl::ConnectionRefused(TimePoint now, ConnectionId id,
                                    ErrorCode error) {
  Connection* connection = FindConnection(id);
  if (connection == nullptr) return;
  DatabaseState* database = FindDatabase(connection->database);
  DropConnection(now, id);
  if (error == ErrorCode::kTooManyConnections) {
    RecordContact(now, database);
    database->open_not_before = now + kConnectionLimitBackoff;
    return;
  }
  ++database->refusals;
  if (database->refusals == 1) {
    Event(events_, EventPriority::kState, "database_refuses")
        .Add("database", database->info.id)
        .Add("error", ErrorName(error))
        .Add("last_heard", now - database->last_contact);
  }
  const uint32_t doublings =
      std::min(database->refusals - 1, kMaxBackoffDoublings);
  database->open_not_before =
      now + std::min(kMinOpenBackoff * (1 << doublings), kMaxOpenBackoff);
}

void Proxy::Impl::DropConnection(TimePoint now, ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Connection& connection = found->second;
  DatabaseState* database = FindDatabase(connection.database);
  uint32_t unanswered = static_cast<uint32_t>(connection.pending_calls.size());
  for (const PendingCall& call : connection.pending_calls) {
    if (call.kind == PendingCallKind::kStatement && database->in_flight > 0) {
      --database->in_flight;
      RecordForLimit(now, database, call, ErrorCode::kTimeout);
    }
    if (call.kind == PendingCallKind::kStatus) {
      database->status_pending = false;
    }
  }
  if (connection.awaiting_session != 0 && database->in_flight > 0) {
    --database->in_flight;
  }
  if (!connection.open) ++unanswered;
  database->unanswered -= std::min(unanswered, database->unanswered);
  if (database->unanswered == 0) database->unanswered_since = TimePoint();
  database->pool.Remove(id);
  connections_.erase(found);
}

void Proxy::Impl::CloseConnection(TimePoint now, Connection* connection) {
  const ConnectionId id = connection->id;
  port_->CloseConnection(id);
  DropConnection(now, id);
}

void Proxy::Impl::SendInternalCalls(TimePoint now, Connection* connection,
                                    const std::vector<BackendCall>& calls,
                                    const std::vector<PendingCallKind>& kinds) {
  DatabaseState* database = FindDatabase(connection->database);
  for (const PendingCallKind kind : kinds) {
    connection->pending_calls.push_back({kind, 0, now, milliseconds(0)});
  }
  database->unanswered += static_cast<uint32_t>(calls.size());
  RecordCallSent(now, database);
  port_->SendCalls(connection->id, calls);
}

void Proxy::Impl::ProbeGroup(TimePoint now, Group* group) {
  for (const std::string& id : group->databases) {
    // One connection beyond the limit distinguishes a database whose
    // connections are all in use from an unresponsive one.
    RequestStatus(now, FindDatabase(id), /*beyond_limit=*/true);
  }
}

/// Closes idle connections of a database that has sent nothing since a
/// statement was sent at `since`. All connections can stop delivering data at
/// once, without a reset, while new ones work.
void Proxy::Impl::CloseUnresponsiveIdle(TimePoint now, TimePoint since,
                                        const std::string& database) {
  DatabaseState* state = FindDatabase(database);
  if (state == nullptr || state->last_contact > since) return;
  const std::vector<DatabasePool::Idle> idle = state->pool.idle();
  for (const DatabasePool::Idle& each : idle) {
    CloseConnection(now, FindConnection(each.connection));
  }
}

void Proxy::Impl::TrimIdle(TimePoint now, bool is_keeper,
                           DatabaseState* database) {
  const size_t min_idle = is_keeper ? 1 : 0;
  if (database->pool.idle().size() <= min_idle) return;
  const DatabasePool::Idle& oldest = database->pool.idle().front();
  const milliseconds idle_time =
      oldest.workspace.empty() ? kIdleTimeout : kWorkspaceIdleTimeout;
  if (now - oldest.since < idle_time) return;
  CloseConnection(now, FindConnection(oldest.connection));
}

bool Proxy::Impl::IsAnswerOverdue(TimePoint now,
                                  const Connection& connection) const {
  if (connection.pending_calls.empty()) return false;
  const TimePoint sent_at = connection.pending_calls.front().sent_at;
  if (now - sent_at > kAnswerTimeout) return true;
  const bool for_callers =
      connection.pinned_caller != 0 ||
      std::any_of(connection.pending_calls.begin(),
                  connection.pending_calls.end(), [](const PendingCall& each) {
                    return each.kind == PendingCallKind::kStatement ||
                           each.kind == PendingCallKind::kBegin;
                  });
  if (for_callers || now - sent_at <= kInternalCallTimeout) return false;
  return databases_.at(connection.database).last_contact <= sent_at;
}

/// Closes connections with an overdue reply and attempts that exceed the
/// timeout: a connection can stop delivering data without a reset.
void Proxy::Impl::CloseUnresponsive(TimePoint now) {
  std::vector<ConnectionId> unresponsive;
  std::vector<ConnectionId> stuck_opens;
  for (const auto& [id, connection] : connections_) {
    if (!connection.open) {
      if (now >= connection.open_deadline) stuck_opens.push_back(id);
    } else if (IsAnswerOverdue(now, connection)) {
      unresponsive.push_back(id);
    }
  }
  for (const ConnectionId id : stuck_opens) {
    // An attempt that timed out is not a response, so `unanswered_since` is
    // preserved. Otherwise each attempt to an unreachable database would
    // restart its suspicion, and its loss would be detected one second later.
    DatabaseState* database = FindDatabase(FindConnection(id)->database);
    const TimePoint unanswered_since = database->unanswered_since;
    port_->CloseConnection(id);
    ConnectionRefused(now, id, ErrorCode::kTimeout);
    database->unanswered_since = unanswered_since;
  }
  for (const ConnectionId id : unresponsive) {
    port_->CloseConnection(id);
    ConnectionLost(now, id);
  }
}

void Proxy::Impl::RemoveUnlistedDatabases(TimePoint now) {
  const std::set<std::string> unlisted = unlisted_databases_;
  for (const std::string& id : unlisted) {
    if (now >= databases_.at(id).removal_at) RemoveDatabase(now, id);
  }
  for (const auto& [name, group] : active_groups_) {
    std::erase_if(group->departed, [now](const auto& each) {
      return now - each.second.removed_at >= kDepartedPeriod;
    });
  }
}

void Proxy::Impl::RemoveDatabase(TimePoint now, const std::string& id) {
  Event(events_, EventPriority::kState, "database_gone").Add("database", id);
  std::vector<ConnectionId> open;
  for (const auto& [connection, state] : connections_) {
    if (state.database == id) open.push_back(connection);
  }
  const DatabaseState& database = databases_.at(id);
  Group* group = EnsureGroup(database.info.group);
  group->departed[id] = {
      TermsOf(database),
      database.info.draining ? database.draining_since : database.unlisted_at,
      now};
  if (group->primary == id) group->primary.clear();
  group->deposed.erase(id);
  std::erase(group->databases, id);
  for (const ConnectionId connection : open) {
    port_->CloseConnection(connection);
    ConnectionLost(now, connection);
  }
  databases_.erase(id);
  unlisted_databases_.erase(id);
  const bool configured = route_table_.groups.count(group->name) > 0;
  if (!configured && group->databases.empty()) ForgetLog(now, group);
}

/// Forgets what is known of the log of a group that is not configured any more
/// and has lost its last database. Databases that are added under its name
/// later begin a log of their own, whose terms and positions start again.
void Proxy::Impl::ForgetLog(TimePoint now, Group* group) {
  const size_t undecided =
      group->unconfirmed_commits.size() + group->unproved_reads.size();
  // Replies that wait are judged by the terms of the log that they come from.
  const bool forget = undecided == 0;
  Event(events_, EventPriority::kState,
        forget ? "log_forgotten" : "log_not_forgotten")
      .Add("group", group->name)
      .Add("term", group->term)
      .Add("undecided", undecided);
  if (!forget) return;
  group->term = 0;
  group->term_since = now;
  group->leaders.clear();
  group->departed.clear();
  group->deposed.clear();
  group->listed_primary.clear();
  group->expected_primary.clear();
  group->writes_held_position = LogPosition();
  group->writes_held_primary.clear();
  group->watermarks = Watermarks();
  group->proof = LeadershipProof();
  for (auto& [id, caller] : callers_) {
    caller.commits.ForgetPosition(group->name);
  }
}

void Proxy::Impl::MaintainPools(TimePoint now) {
  CloseUnresponsive(now);
  RemoveUnlistedDatabases(now);
  for (const auto& [name, group] : active_groups_) {
    for (const std::string& id : group->databases) {
      TrimIdle(now, group->is_keeper, FindDatabase(id));
    }
  }
  for (const auto& [name, group] : active_groups_) {
    if (group->is_keeper) OpenStandbyConnections(now, *group);
  }
}

/// Keeps at least one connection open to each database of a group, so that the
/// first statement after a failover does not wait for one.
void Proxy::Impl::OpenStandbyConnections(TimePoint now, const Group& group) {
  for (const std::string& id : group.databases) {
    DatabaseState* database = FindDatabase(id);
    if (database->pool.size() > 0 || !MayOpen(now, *database)) continue;
    OpenDatabaseConnection(now, database, "");
  }
}

}  // namespace ryefold::core::session
