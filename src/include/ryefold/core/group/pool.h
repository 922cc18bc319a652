#pragma once

// Statement connections of a group and their use by requests and transactions.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

enum class ConnectionState : uint8_t {
  kOpening,
  kIdle,
  kRunning,  ///< A call is in flight on it.
  kOwned,    ///< Reserved by a transaction, no call in flight.
};

struct PooledConnection {
  std::string database;
  ConnectionState state = ConnectionState::kOpening;
  /// Reserved by a transaction, from begin until the database confirms its end.
  bool owned = false;
  /// Request whose call is in flight, and the workspace it is charged to.
  RequestTag tag = 0;
  std::string workspace;
};

/// Keeps a few connections open to each database, at most the connection limit
/// less the reserve. A connection is reused only after its call was answered;
/// in every other case it is closed, since a late answer would reach the next
/// statement's caller.
class ConnectionPool {
 public:
  /// Applies new limits or databases. Closes the connections to removed
  /// databases and returns them.
  std::vector<PooledConnection> SetGroup(const GroupSpec& group,
                                         std::vector<Action>* actions);

  /// Opens the missing connections to a usable database.
  void Refill(TimePoint now, const std::string& database,
              std::vector<Action>* actions);

  void OnOpened(ConnectionId id);
  /// Removes a connection that was refused, reset or closed by the database,
  /// and returns it. Returns nullopt if it is unknown.
  std::optional<PooledConnection> OnLost(TimePoint now, ConnectionId id);
  /// Closes the connection and returns it. Returns nullopt if it is unknown.
  std::optional<PooledConnection> Close(ConnectionId id,
                                        std::vector<Action>* actions);
  /// Returns the connections to `database`, or all of them if `database` is
  /// empty.
  std::vector<ConnectionId> ConnectionsTo(const std::string& database) const;

  /// Returns an idle connection to `database`, or nullopt if there is none.
  std::optional<ConnectionId> FindIdle(const std::string& database) const;
  /// Returns whether one more transaction may reserve a connection to
  /// `database`.
  bool CanBeginTransaction(const std::string& database) const;
  bool HasFreeSlot(const std::string& database) const;

  /// Records that a call for `tag` is sent on the connection.
  void MarkRunning(ConnectionId id, RequestTag tag,
                   const std::string& workspace);
  /// Records that the call was answered. The connection becomes idle, or stays
  /// reserved by its transaction.
  void MarkAnswered(ConnectionId id);
  /// Reserves the connection for a transaction, or releases it.
  void SetOwned(ConnectionId id, bool owned);

  const PooledConnection* Find(ConnectionId id) const;
  uint32_t open_count(const std::string& database) const;
  uint32_t running_count(const std::string& database) const;
  uint32_t usable_limit() const;
  bool empty() const { return connections_.empty(); }
  /// Returns when connections to a database that refused one may be opened
  /// again.
  TimePoint next_deadline(TimePoint now) const;

 private:
  struct Counts {
    uint32_t open = 0;
    uint32_t running = 0;
    uint32_t owned = 0;
    TimePoint reopen_at;
  };
  void Remove(std::map<ConnectionId, PooledConnection>::iterator it);

  GroupSpec group_;
  std::map<ConnectionId, PooledConnection> connections_;
  std::map<std::string, std::vector<ConnectionId>> idle_;
  std::map<std::string, Counts> counts_;
  ConnectionId next_id_ = 1;
};

}  // namespace ryefold::core::group
