#include "ryefold/core/group/pool.h"

#include <algorithm>

namespace ryefold::core::group {
namespace {

/// Pause after a refused connection. Another keeper may hold the rest of the
/// limit; asking at once again would only load the database.
constexpr std::chrono::milliseconds kOpenAgainAfter{100};

}  // namespace

std::vector<PooledConnection> Pool::SetGroup(const GroupSpec& group,
                                             std::vector<Action>* actions) {
  group_ = group;
  std::map<std::string, Counts> kept;
  for (const DatabaseSpec& database : group.databases) {
    kept[database.database] = counts_[database.database];
  }
  std::vector<ConnectionId> gone;
  for (const auto& [id, connection] : connections_) {
    if (!kept.contains(connection.database)) gone.push_back(id);
  }
  std::vector<PooledConnection> closed;
  closed.reserve(gone.size());
  for (const ConnectionId id : gone) closed.push_back(*Close(id, actions));
  counts_ = std::move(kept);
  return closed;
}

uint32_t Pool::usable() const {
  if (group_.connection_limit <= group_.connection_reserve) return 1;
  return group_.connection_limit - group_.connection_reserve;
}

void Pool::Refill(TimePoint now, const std::string& database,
                  std::vector<Action>* actions) {
  const auto it = counts_.find(database);
  if (it == counts_.end() || it->second.open_again > now) return;
  Counts& counts = it->second;
  while (counts.open < usable() && counts.open - counts.owned < group_.slots) {
    const ConnectionId id = next_id_++;
    connections_[id].database = database;
    ++counts.open;
    actions->push_back(OpenConnection{id, database});
  }
}

void Pool::Opened(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  if (it->second.state != ConnectionState::kOpening) return;
  it->second.state = ConnectionState::kIdle;
  idle_[it->second.database].push_back(id);
}

std::optional<PooledConnection> Pool::Lost(TimePoint now, ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return std::nullopt;
  PooledConnection lost = it->second;
  Remove(it);
  counts_[lost.database].open_again = now + kOpenAgainAfter;
  return lost;
}

std::optional<PooledConnection> Pool::Close(ConnectionId id,
                                            std::vector<Action>* actions) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return std::nullopt;
  PooledConnection closed = it->second;
  Remove(it);
  actions->push_back(CloseConnection{id});
  return closed;
}

void Pool::Remove(std::map<ConnectionId, PooledConnection>::iterator it) {
  Counts& counts = counts_[it->second.database];
  --counts.open;
  if (it->second.state == ConnectionState::kRunning) --counts.running;
  if (it->second.owned) --counts.owned;
  if (it->second.state == ConnectionState::kIdle) {
    std::erase(idle_[it->second.database], it->first);
  }
  connections_.erase(it);
}

std::vector<ConnectionId> Pool::ConnectionsTo(
    const std::string& database) const {
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : connections_) {
    if (database.empty() || connection.database == database) ids.push_back(id);
  }
  return ids;
}

std::optional<ConnectionId> Pool::IdleOn(const std::string& database) const {
  const auto it = idle_.find(database);
  if (it == idle_.end() || it->second.empty()) return std::nullopt;
  return it->second.back();
}

bool Pool::MayOwn(const std::string& database) const {
  const auto it = counts_.find(database);
  if (it == counts_.end()) return false;
  // Plain statements keep a connection for each slot, or one when there are
  // too few for that; open transactions could otherwise shut them out.
  const uint32_t plain = std::min(group_.slots, usable() - 1);
  return it->second.owned + plain < usable();
}

bool Pool::HasSlot(const std::string& database) const {
  return running(database) < group_.slots;
}

void Pool::Run(ConnectionId id, RequestTag tag, const std::string& workspace) {
  PooledConnection& connection = connections_.at(id);
  if (connection.state == ConnectionState::kIdle) {
    std::erase(idle_[connection.database], id);
  }
  connection.state = ConnectionState::kRunning;
  connection.tag = tag;
  connection.workspace = workspace;
  ++counts_[connection.database].running;
}

void Pool::Finish(ConnectionId id) {
  PooledConnection& connection = connections_.at(id);
  if (connection.state != ConnectionState::kRunning) return;
  --counts_[connection.database].running;
  connection.tag = 0;
  connection.state =
      connection.owned ? ConnectionState::kOwned : ConnectionState::kIdle;
  if (!connection.owned) idle_[connection.database].push_back(id);
}

void Pool::SetOwned(ConnectionId id, bool owned) {
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

const PooledConnection* Pool::Find(ConnectionId id) const {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

uint32_t Pool::open(const std::string& database) const {
  const auto it = counts_.find(database);
  return it == counts_.end() ? 0 : it->second.open;
}

uint32_t Pool::running(const std::string& database) const {
  const auto it = counts_.find(database);
  return it == counts_.end() ? 0 : it->second.running;
}

TimePoint Pool::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [database, counts] : counts_) {
    if (counts.open_again > now) next = std::min(next, counts.open_again);
  }
  return next;
}

}  // namespace ryefold::core::group
