#include "ryefold/core/session/database_pool.h"

#include <algorithm>

namespace ryefold::core::session {
namespace {

/// Time for which a new connection is reserved for the statement that it was
/// opened for, which normally uses it within this time.
constexpr std::chrono::milliseconds kReservationTime{100};

/// Longest time to open a connection to a healthy database.
constexpr std::chrono::milliseconds kMaxOpenTime{60};

}  // namespace

void DatabasePool::AddOpening(TimePoint now, ConnectionId connection,
                              const std::string& workspace) {
  Member& member = members_[connection];
  member.workspace = workspace;
  member.opening_since = now;
  ++opening_;
}

void DatabasePool::MarkOpen(ConnectionId connection) {
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
        const bool reserved =
            each.never_used && now - each.since < kReservationTime;
        return each.workspace != workspace && !reserved;
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
                              now - member.opening_since < kMaxOpenTime;
                     });
}

uint32_t DatabasePool::held(const std::string& workspace) const {
  return static_cast<uint32_t>(std::count_if(
      members_.begin(), members_.end(), [&workspace](const auto& entry) {
        return entry.second.workspace == workspace;
      }));
}

}  // namespace ryefold::core::session
