// Connections to databases: opening, lending, ending them.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Time for a new connection to be let in, by an overloaded database too.
constexpr milliseconds kOpenTime{1000};
/// Connections opened to one database at a time: each takes one of its slots
/// for that while.
constexpr uint32_t kMaxOpening = 2;
/// Pauses before the next opening after one was refused, doubled each time.
constexpr milliseconds kLeastPause{50};
constexpr milliseconds kMostPause{800};
constexpr uint32_t kMaxDoublings = 4;
/// Pause after a database said that it holds all the connections it takes:
/// other instances close idle ones at about this pace.
constexpr milliseconds kAfterTooMany{250};
/// Part of a database's connections that one instance takes at most, and the
/// least it may take. After a loss of power a database counts the dead
/// connections for some seconds; with larger parts there is no room beside them
/// and the restarted instances are turned away.
constexpr uint32_t kConnectionPart = 14;
constexpr uint32_t kLeastConnections = 2;
/// Connections to a database of a group that others keep: one in use and one
/// for a transaction that rests. They are opened while no keeper is in reach,
/// by a part of the instances, and closed when idle for `kIdleTime`.
constexpr uint32_t kConnectionsAlone = 2;
/// For so long a database may go on counting the connections of the process
/// that was here before, if its machine lost power.
constexpr milliseconds kLingerTime{3500};
/// Idle connections beyond the first are closed after this long, for the use
/// of other instances and for the reason above. Not sooner: opening costs the
/// database a slot for a while.
constexpr milliseconds kIdleTime{500};
/// The same for one that belongs to a workspace, which comes back to it less
/// often than all callers together. One that another workspace needs goes
/// sooner.
constexpr milliseconds kWorkspaceIdleTime{3000};
/// A statement unanswered for this long will not be answered: the connection
/// has gone silent. Exceeds every route's statement timeout seen so far.
constexpr milliseconds kSilentTime{3000};
/// The same for a question of this instance's own, when nothing at all has been
/// heard of the database since: no caller loses anything by its end.
constexpr milliseconds kOwnSilentTime{1000};
/// A leaving primary takes work until its successor leads, but no longer than
/// this; it may end seven seconds after it said that it leaves.
constexpr milliseconds kDrainingPrimary{5000};
/// Silence after which a database is avoided: several times what it usually
/// takes, and at least this.
constexpr milliseconds kLeastSuspicion{250};
constexpr int kSuspicionFactor = 8;

}  // namespace

bool Proxy::Impl::Suspect(TimePoint now, const DatabaseState& database) const {
  if (database.refusals > 0 &&
      database.pool.size() == database.pool.opening()) {
    return true;
  }
  if (database.silent_since == TimePoint()) return false;
  const auto usual = std::chrono::duration_cast<milliseconds>(
      database.latency.mean() * kSuspicionFactor);
  return now - database.silent_since > std::max(kLeastSuspicion, usual);
}

/// Whether it is worth opening a connection for a statement that waits: not so
/// when the last attempt failed a moment ago or hangs.
bool Proxy::Impl::MayAnswer(TimePoint now,
                            const DatabaseState& database) const {
  const bool unreached =
      database.refusals > 0 && database.pool.size() == database.pool.opening();
  if (!unreached) return !Suspect(now, database);
  return database.pool.opening() == 0 && now >= database.open_not_before;
}

uint32_t Proxy::Impl::Window(const DatabaseState& database) const {
  const auto group = groups_.find(database.info.group);
  const size_t keepers =
      group == groups_.end() ? 0 : group->second->keepers.size();
  const size_t holders = keepers > 0 ? keepers : instances_.size();
  return InFlightLimit(database.info.slots, holders);
}

bool Proxy::Impl::TakesWork(TimePoint now,
                            const DatabaseState& database) const {
  if (now < database.busy_until) return false;
  if (database.in_flight >= Window(database)) return false;
  if (!database.info.draining) return true;
  const auto group = groups_.find(database.info.group);
  return group != groups_.end() && group->second->primary == database.info.id &&
         now < database.draining_since + kDrainingPrimary;
}

uint32_t Proxy::Impl::ConnectionCap(TimePoint now,
                                    const DatabaseState& database) const {
  const auto group = groups_.find(database.info.group);
  if (group == groups_.end()) return kLeastConnections;
  if (!group->second->kept) return kConnectionsAlone;
  const uint32_t limit = group->second->limits.connection_limit;
  const size_t keepers = group->second->keepers.size();
  const bool by_workspace = workspaces_.keys_required();
  if (keepers > 0) {
    const uint32_t share = ConnectionsPerKeeper(limit, keepers, by_workspace);
    const bool young = now - instances_since_ < kLingerTime;
    if (!by_workspace || !young) return share;
    return std::max(kLeastConnections, share / 2);
  }
  return std::max(kLeastConnections, limit / kConnectionPart);
}

bool Proxy::Impl::MayOpen(TimePoint now, const DatabaseState& database) const {
  return now >= database.open_not_before &&
         database.pool.opening() < kMaxOpening &&
         database.pool.size() < ConnectionCap(now, database);
}

/// The same for a workspace, for which an idle connection of another one may be
/// closed.
bool Proxy::Impl::MayOpenFor(TimePoint now, const DatabaseState& database,
                             const std::string& workspace) const {
  const DatabasePool& pool = database.pool;
  if (now < database.open_not_before) return false;
  if (pool.opening() >= kMaxOpening || pool.opening(workspace) > 0) {
    return false;
  }
  const uint32_t cap = ConnectionCap(now, database);
  if (pool.size() < cap) return true;
  return pool.size() == cap && pool.EvictableFor(now, workspace).has_value();
}

void Proxy::Impl::Open(TimePoint now, DatabaseState* database,
                       const std::string& workspace) {
  Connection connection;
  connection.id = ++last_connection_;
  connection.database = database->info.id;
  connection.workspace = workspace;
  connection.open_until = now + kOpenTime;
  const ConnectionId id = connection.id;
  connections_.emplace(id, std::move(connection));
  database->pool.AddOpening(now, id, workspace);
  ++database->unanswered;
  Sent(now, database);
  ++counters_.connections_opened;
  port_->OpenConnection(id, database->info, workspace);
}

Connection* Proxy::Impl::TakeIdle(TimePoint now, DatabaseState* database,
                                  const Caller& caller) {
  const std::vector<DatabasePool::Idle>& idle = database->pool.idle();
  Connection* chosen = nullptr;
  for (auto each = idle.rbegin(); each != idle.rend(); ++each) {
    if (each->workspace != caller.workspace) continue;
    Connection* connection = &connections_.at(each->connection);
    if (chosen == nullptr) chosen = connection;
    // One that already has the session's variables saves bringing them.
    if (connection->variables != caller.variables) continue;
    chosen = connection;
    break;
  }
  if (chosen == nullptr) return nullptr;
  database->pool.Take(chosen->id);
  chosen->taken_at = now;
  return chosen;
}

Connection* Proxy::Impl::Acquire(TimePoint now, DatabaseState* database,
                                 const Caller& caller) {
  Connection* connection = TakeIdle(now, database, caller);
  if (connection != nullptr) return connection;
  if (!MayOpenFor(now, *database, caller.workspace)) return nullptr;
  if (database->pool.size() >= ConnectionCap(now, *database)) {
    const auto evicted = database->pool.EvictableFor(now, caller.workspace);
    if (!evicted.has_value()) return nullptr;
    CloseConnection(now, FindConnection(*evicted));
    ++counters_.connections_evicted;
  }
  Open(now, database, caller.workspace);
  return nullptr;
}

void Proxy::Impl::Sent(TimePoint now, DatabaseState* database) {
  if (database->silent_since == TimePoint()) database->silent_since = now;
}

void Proxy::Impl::Heard(TimePoint now, DatabaseState* database) {
  database->last_heard = now;
  database->silent_since = database->unanswered > 0 ? now : TimePoint();
}

void Proxy::Impl::ConnectionOpened(TimePoint now, ConnectionId id) {
  Connection* connection = FindConnection(id);
  if (connection == nullptr) return;
  DatabaseState* database = FindDatabase(connection->database);
  connection->open = true;
  database->pool.MarkOpen(id);
  --database->unanswered;
  if (database->refusals > 0) {
    Event(events_, EventPriority::kState, "database_reachable")
        .Add("database", database->info.id)
        .Add("refusals", database->refusals);
  }
  database->refusals = 0;
  Heard(now, database);
  Released(now, connection);
}

void Proxy::Impl::ConnectionRefused(TimePoint now, ConnectionId id,
                                    ErrorCode error) {
  Connection* connection = FindConnection(id);
  if (connection == nullptr) return;
  DatabaseState* database = FindDatabase(connection->database);
  DropConnection(now, id);
  if (error == ErrorCode::kTooManyConnections) {
    Heard(now, database);
    database->open_not_before = now + kAfterTooMany;
    return;
  }
  ++database->refusals;
  if (database->refusals == 1) {
    Event(events_, EventPriority::kState, "database_refuses")
        .Add("database", database->info.id)
        .Add("error", ErrorName(error))
        .Add("last_heard", now - database->last_heard);
  }
  const uint32_t doublings = std::min(database->refusals - 1, kMaxDoublings);
  database->open_not_before =
      now + std::min(kLeastPause * (1 << doublings), kMostPause);
}

void Proxy::Impl::DropConnection(TimePoint now, ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Connection& connection = found->second;
  DatabaseState* database = FindDatabase(connection.database);
  uint32_t unanswered = static_cast<uint32_t>(connection.expected.size());
  for (const Expected& expected : connection.expected) {
    if (expected.kind == ExpectedKind::kStatement && database->in_flight > 0) {
      --database->in_flight;
    }
    if (expected.kind == ExpectedKind::kStatus) {
      database->status_pending = false;
    }
  }
  if (!connection.open) ++unanswered;
  database->unanswered -= std::min(unanswered, database->unanswered);
  if (database->unanswered == 0) database->silent_since = TimePoint();
  database->pool.Remove(id);
  connections_.erase(found);
  (void)now;
}

void Proxy::Impl::CloseConnection(TimePoint now, Connection* connection) {
  const ConnectionId id = connection->id;
  port_->CloseConnection(id);
  DropConnection(now, id);
}

void Proxy::Impl::SendOwn(TimePoint now, Connection* connection,
                          const std::vector<BackendCall>& calls,
                          const std::vector<ExpectedKind>& kinds) {
  DatabaseState* database = FindDatabase(connection->database);
  for (const ExpectedKind kind : kinds) {
    connection->expected.push_back({kind, 0, now, milliseconds(0)});
  }
  database->unanswered += static_cast<uint32_t>(calls.size());
  Sent(now, database);
  port_->SendCalls(connection->id, calls);
}

void Proxy::Impl::ProbeGroup(TimePoint now, Group* group) {
  for (const std::string& id : group->databases) {
    // One connection beyond the cap, so that a database of which all
    // connections are taken is not mistaken for a silent one.
    AskStatus(now, FindDatabase(id), /*beyond_cap=*/true);
  }
}

/// Connections can fall silent for good all at once, without a reset, while
/// new ones work. When nothing at all has been heard of a database since a
/// statement was sent there, its idle connections are not trusted either.
void Proxy::Impl::DropSilentIdle(TimePoint now, TimePoint since,
                                 const std::string& database) {
  DatabaseState* state = FindDatabase(database);
  if (state == nullptr || state->last_heard > since) return;
  const std::vector<DatabasePool::Idle> idle = state->pool.idle();
  for (const DatabasePool::Idle& each : idle) {
    CloseConnection(now, FindConnection(each.connection));
  }
}

void Proxy::Impl::TrimIdle(TimePoint now, DatabaseState* database) {
  const size_t wanted = EnsureGroup(database->info.group)->kept ? 1 : 0;
  if (database->pool.idle().size() <= wanted) return;
  const DatabasePool::Idle& oldest = database->pool.idle().front();
  const milliseconds idle_time =
      oldest.workspace.empty() ? kIdleTime : kWorkspaceIdleTime;
  if (now - oldest.since < idle_time) return;
  CloseConnection(now, FindConnection(oldest.connection));
}

bool Proxy::Impl::HasFallenSilent(TimePoint now,
                                  const Connection& connection) const {
  if (connection.expected.empty()) return false;
  const TimePoint sent = connection.expected.front().sent;
  if (now - sent > kSilentTime) return true;
  const bool for_callers =
      connection.pinned != 0 ||
      std::any_of(connection.expected.begin(), connection.expected.end(),
                  [](const Expected& each) {
                    return each.kind == ExpectedKind::kStatement ||
                           each.kind == ExpectedKind::kBegin;
                  });
  if (for_callers || now - sent <= kOwnSilentTime) return false;
  return databases_.at(connection.database).last_heard <= sent;
}

/// Ends connections on which an answer is overdue, and openings that hang: a
/// connection can go silent for good without a reset.
void Proxy::Impl::CloseSilent(TimePoint now) {
  std::vector<ConnectionId> silent;
  std::vector<ConnectionId> hanging;
  for (const auto& [id, connection] : connections_) {
    if (!connection.open) {
      if (now >= connection.open_until) hanging.push_back(id);
    } else if (HasFallenSilent(now, connection)) {
      silent.push_back(id);
    }
  }
  for (const ConnectionId id : hanging) {
    // An opening that was given up is no sign of life: the silence goes on, or
    // a database that nobody reaches would seem to have just fallen silent with
    // each new attempt, and its loss would be noticed a second later.
    DatabaseState* database = FindDatabase(FindConnection(id)->database);
    const TimePoint silent_since = database->silent_since;
    port_->CloseConnection(id);
    ConnectionRefused(now, id, ErrorCode::kTimeout);
    database->silent_since = silent_since;
  }
  for (const ConnectionId id : silent) {
    port_->CloseConnection(id);
    ConnectionLost(now, id);
  }
}

void Proxy::Impl::ForgetGone(TimePoint now) {
  for (auto it = databases_.begin(); it != databases_.end();) {
    DatabaseState& database = it->second;
    if (!database.unlisted || now < database.gone_at) {
      ++it;
      continue;
    }
    const std::string id = it->first;
    Event(events_, EventPriority::kState, "database_gone").Add("database", id);
    std::vector<ConnectionId> open;
    for (const auto& [connection, state] : connections_) {
      if (state.database == id) open.push_back(connection);
    }
    Group* group = EnsureGroup(database.info.group);
    if (group->primary == id) group->primary.clear();
    group->deposed.erase(id);
    std::erase(group->databases, id);
    for (const ConnectionId connection : open) {
      port_->CloseConnection(connection);
      ConnectionLost(now, connection);
    }
    it = databases_.erase(databases_.find(id));
  }
}

void Proxy::Impl::MaintainPools(TimePoint now) {
  CloseSilent(now);
  ForgetGone(now);
  for (auto& [id, database] : databases_) TrimIdle(now, &database);
  for (const auto& [name, group] : groups_) {
    if (group->kept) OpenFirst(now, *group);
  }
}

/// One connection stands ready to every database of a group that is kept: the
/// first statement after a change of primary should not wait for it.
void Proxy::Impl::OpenFirst(TimePoint now, const Group& group) {
  for (const std::string& id : group.databases) {
    DatabaseState* database = FindDatabase(id);
    if (database->pool.size() > 0 || !MayOpen(now, *database)) continue;
    Open(now, database, "");
  }
}

}  // namespace ryefold::core::session
