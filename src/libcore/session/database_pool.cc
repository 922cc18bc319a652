#include "ryefold/core/session/database_pool.h"

#include <algorithm>

namespace ryefold::core::session {
namespace {

/// Time in which what a connection was opened for takes it up, as a rule.
constexpr std::chrono::milliseconds kFreshTime{100};

/// Time that opening a connection to a database in good order takes at most.
constexpr std::chrono::milliseconds kOpensSoon{60};

}  // namespace

void DatabasePool::Opening(TimePoint now, ConnectionId connection,
                           const std::string& workspace) {
  Member& member = members_[connection];
  member.workspace = workspace;
  member.opening_since = now;
  ++opening_;
}

void DatabasePool::Opened(ConnectionId connection) {
  Member& member = members_.at(connection);
  if (member.open) return;
  member.open = true;
  --opening_;
}

void DatabasePool::Remove(ConnectionId connection) {
  const auto found = members_.find(connection);
  if (found == members_.end()) return;
  if (!found->second.open) --opening_;
  members_.erase(found);
  Take(connection);
}

void DatabasePool::Return(TimePoint now, ConnectionId connection) {
  const Member& member = members_.at(connection);
  idle_.push_back({connection, member.workspace, now, !member.used});
}

void DatabasePool::Take(ConnectionId connection) {
  const auto member = members_.find(connection);
  if (member != members_.end()) member->second.used = true;
  std::erase_if(idle_, [connection](const Idle& each) {
    return each.connection == connection;
  });
}

bool DatabasePool::HasIdle(const std::string& workspace) const {
  return std::any_of(
      idle_.begin(), idle_.end(),
      [&workspace](const Idle& each) { return each.workspace == workspace; });
}

std::optional<ConnectionId> DatabasePool::newest_idle() const {
  if (idle_.empty()) return std::nullopt;
  return idle_.back().connection;
}

std::optional<ConnectionId> DatabasePool::EvictableFor(
    TimePoint now, const std::string& workspace) const {
  const auto found = std::find_if(
      idle_.begin(), idle_.end(), [now, &workspace](const Idle& each) {
        const bool awaited = each.fresh && now - each.since < kFreshTime;
        return each.workspace != workspace && !awaited;
      });
  if (found == idle_.end()) return std::nullopt;
  return found->connection;
}

uint32_t DatabasePool::opening(const std::string& workspace) const {
  return static_cast<uint32_t>(std::count_if(
      members_.begin(), members_.end(), [&workspace](const auto& entry) {
        return !entry.second.open && entry.second.workspace == workspace;
      }));
}

bool DatabasePool::OpensSoon(TimePoint now,
                             const std::string& workspace) const {
  return std::any_of(members_.begin(), members_.end(),
                     [now, &workspace](const auto& entry) {
                       const Member& member = entry.second;
                       return !member.open && member.workspace == workspace &&
                              now - member.opening_since < kOpensSoon;
                     });
}

uint32_t DatabasePool::held(const std::string& workspace) const {
  return static_cast<uint32_t>(std::count_if(
      members_.begin(), members_.end(), [&workspace](const auto& entry) {
        return entry.second.workspace == workspace;
      }));
}

}  // namespace ryefold::core::session
