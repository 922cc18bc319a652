#include "ryefold/core/group/pool.h"

#include <algorithm>

namespace ryefold::core::group {
namespace {

/// Pause after a refused connection. Another keeper may hold the rest of the
/// limit, and an immediate retry would only add load.
constexpr std::chrono::milliseconds kReopenDelay{100};

}  // namespace

std::vector<PooledConnection> ConnectionPool::SetGroup(
    const GroupSpec& group, std::vector<Action>* actions) {
  group_ = group;
  std::map<std::string, Counts> retained;
  for (const DatabaseSpec& database : group.databases) {
    retained[database.database] = counts_[database.database];
  }
  std::vector<ConnectionId> removed;
  for (const auto& [id, connection] : connections_) {
    if (!retained.contains(connection.database)) removed.push_back(id);
  }
  std::vector<PooledConnection> closed;
  closed.reserve(removed.size());
  for (const ConnectionId id : removed) closed.push_back(*Close(id, actions));
  counts_ = std::move(retained);
  return closed;
}

uint32_t ConnectionPool::usable_limit() const {
  if (group_.connection_limit <= group_.connection_reserve) return 1;
  return group_.connection_limit - group_.connection_reserve;
}

void ConnectionPool::Refill(TimePoint now, const std::string& database,
                            std::vector<Action>* actions) {
  const auto it = counts_.find(database);
  if (it == counts_.end() || it->second.reopen_at > now) return;
  Counts& counts = it->second;
  while (counts.open < usable_limit() &&
         counts.open - counts.owned < group_.slots) {
    const ConnectionId id = next_id_++;
    connections_[id].database = database;
    ++counts.open;
    actions->push_back(OpenConnection{id, database});
  }
}

void ConnectionPool::OnOpened(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if (it->second.state != ConnectionState::kOpening) return;
  it->second.state = ConnectionState::kIdle;
  idle_[it->second.database].push_back(id);
}

std::optional<PooledConnection> ConnectionPool::OnLost(TimePoint now,
                                                       ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return std::nullopt;
  PooledConnection lost = it->second;
  Remove(it);
  counts_[lost.database].reopen_at = now + kReopenDelay;
  return lost;
}

std::optional<PooledConnection> ConnectionPool::Close(
    ConnectionId id, std::vector<Action>* actions) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return std::nullopt;
  PooledConnection closed = it->second;
  Remove(it);
  actions->push_back(CloseConnection{id});
  return closed;
}

void ConnectionPool::Remove(
    std::map<ConnectionId, PooledConnection>::iterator it) {
  Counts& counts = counts_[it->second.database];
  --counts.open;
  if (it->second.state == ConnectionState::kRunning) --counts.running;
  if (it->second.owned) --counts.owned;
  if (it->second.state == ConnectionState::kIdle) {
    std::erase(idle_[it->second.database], it->first);
  }
  connections_.erase(it);
}

std::vector<ConnectionId> ConnectionPool::ConnectionsTo(
    const std::string& database) const {
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : connections_) {
    if (database.empty() || connection.database == database) ids.push_back(id);
  }
  return ids;
}

std::optional<ConnectionId> ConnectionPool::FindIdle(
    const std::string& database) const {
  const auto it = idle_.find(database);
  if (it == idle_.end() || it->second.empty()) return std::nullopt;
  return it->second.back();
}

bool ConnectionPool::CanBeginTransaction(const std::string& database) const {
  const auto it = counts_.find(database);
  if (it == counts_.end()) return false;
  // Keeps one connection per slot for statements outside of transactions, or
  // all but one if there are fewer. Otherwise open transactions could block
  // them.
  const uint32_t for_statements = std::min(group_.slots, usable_limit() - 1);
  return it->second.owned + for_statements < usable_limit();
}

bool ConnectionPool::HasFreeSlot(const std::string& database) const {
  return running_count(database) < group_.slots;
}

void ConnectionPool::MarkRunning(ConnectionId id, RequestTag tag,
                                 const std::string& workspace) {
  PooledConnection& connection = connections_.at(id);
  if (connection.state == ConnectionState::kIdle) {
    std::erase(idle_[connection.database], id);
  }
  connection.state = ConnectionState::kRunning;
  connection.tag = tag;
  connection.workspace = workspace;
  ++counts_[connection.database].running;
}

void ConnectionPool::MarkAnswered(ConnectionId id) {
  PooledConnection& connection = connections_.at(id);
  if (connection.state != ConnectionState::kRunning) return;
  --counts_[connection.database].running;
  connection.tag = 0;
  connection.state =
      connection.owned ? ConnectionState::kOwned : ConnectionState::kIdle;
  if (!connection.owned) idle_[connection.database].push_back(id);
}

void ConnectionPool::SetOwned(ConnectionId id, bool owned) {
  PooledConnection& connection = connections_.at(id);
  if (connection.owned == owned) return;
  connection.owned = owned;
  Counts& counts = counts_[connection.database];
  owned ? ++counts.owned : --counts.owned;
  if (owned && connection.state == ConnectionState::kIdle) {
    std::erase(idle_[connection.database], id);
    connection.state = ConnectionState::kOwned;
  } else if (!owned && connection.state == ConnectionState::kOwned) {
    connection.state = ConnectionState::kIdle;
    idle_[connection.database].push_back(id);
  }
}

const PooledConnection* ConnectionPool::Find(ConnectionId id) const {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

uint32_t ConnectionPool::open_count(const std::string& database) const {
  const auto it = counts_.find(database);
  return it == counts_.end() ? 0 : it->second.open;
}

uint32_t ConnectionPool::running_count(const std::string& database) const {
  const auto it = counts_.find(database);
  return it == counts_.end() ? 0 : it->second.running;
}

TimePoint ConnectionPool::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [database, counts] : counts_) {
    if (counts.reopen_at > now) next = std::min(next, counts.reopen_at);
  }
  return next;
}

}  // namespace ryefold::core::group
