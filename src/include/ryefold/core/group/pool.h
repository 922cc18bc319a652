#pragma once

// Statement connections of one group and the slots they may keep busy.

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
  kRunning,  ///< A call is unanswered on it.
  kOwned,    ///< Belongs to a transaction, no call unanswered.
};

struct PooledConnection {
  std::string database;
  ConnectionState state = ConnectionState::kOpening;
  /// Belongs to a transaction from begin until the database confirmed its end.
  bool owned = false;
  /// Request whose call is unanswered on it, and who it counts against.
  RequestTag tag = 0;
  std::string workspace;
};

/// Keeps a few connections ready on each database, never more than the limit
/// less the reserve. A connection goes back only after its call was answered;
/// closing is the way out of everything else, since an answer that is still
/// under way would reach the next statement's caller.
class ConnectionPool {
 public:
  /// New limits or databases; connections to databases that are gone are
  /// appended to `actions` as closed and returned.
  std::vector<PooledConnection> SetGroup(const GroupSpec& group,
                                         std::vector<Action>* actions);

  /// Opens what is missing on a database that may be used.
  void Refill(TimePoint now, const std::string& database,
              std::vector<Action>* actions);

  void OnOpened(ConnectionId id);
  /// Removes the connection and tells what it was; nothing if unknown.
  std::optional<PooledConnection> OnLost(TimePoint now, ConnectionId id);
  /// Closes the connection and tells what it was.
  std::optional<PooledConnection> Close(ConnectionId id,
                                        std::vector<Action>* actions);
  /// Ids of all connections to `database`, or to any when it is empty.
  std::vector<ConnectionId> ConnectionsTo(const std::string& database) const;

  /// An idle connection to `database` that may run a statement now.
  std::optional<ConnectionId> FindIdle(const std::string& database) const;
  /// Whether one more transaction may own a connection to `database`.
  bool CanBeginTransaction(const std::string& database) const;
  bool HasFreeSlot(const std::string& database) const;

  /// A call for `tag` goes out on the connection.
  void MarkRunning(ConnectionId id, RequestTag tag,
                   const std::string& workspace);
  /// The call was answered; the connection is free or its owner's again.
  void MarkAnswered(ConnectionId id);
  /// The connection begins or ends to belong to a transaction.
  void SetOwned(ConnectionId id, bool owned);

  const PooledConnection* Find(ConnectionId id) const;
  uint32_t open_count(const std::string& database) const;
  uint32_t running_count(const std::string& database) const;
  uint32_t usable_limit() const;
  bool empty() const { return connections_.empty(); }
  /// When a database that refused a connection may be asked again.
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
