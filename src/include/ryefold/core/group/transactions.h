#pragma once

// Open transactions and the connections reserved for them.

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

struct Transaction {
  std::string id;
  std::string workspace;
  std::string database;
  /// Term under which it began; it does not survive a change of term.
  uint64_t term = 0;
  ConnectionId connection = 0;
  /// A statement of it is in flight.
  bool running = false;
  /// When it counts as abandoned unless its caller sends a statement before.
  TimePoint idle_deadline;
};

/// Open transactions by id. Each reserves its connection from begin until the
/// database confirms its end, so that two transactions never share a
/// connection.
class TransactionTable {
 public:
  TransactionTable(std::string instance, uint64_t seed)
      : instance_(std::move(instance)), random_(seed) {}

  /// Registers a transaction on `connection`. The id contains the instance
  /// name, by which every entry finds this instance, and a random part that
  /// makes it unguessable.
  Transaction& Begin(TimePoint now, const std::string& workspace,
                     const std::string& database, uint64_t term,
                     ConnectionId connection);

  /// Returns the transaction, or null if it is unknown or belongs to another
  /// workspace.
  Transaction* Find(const std::string& id, const std::string& workspace);
  /// Returns the id of the transaction that reserves the connection, or an
  /// empty string if there is none.
  std::string FindOwner(ConnectionId connection) const;
  void Erase(const std::string& id) { open_.erase(id); }

  /// Records that a statement of the transaction starts or was answered, and
  /// restarts its idle timeout.
  void SetRunning(TimePoint now, Transaction* transaction, bool running) const;

  /// Returns the transactions that exceeded the idle timeout with no statement
  /// in flight.
  std::vector<Transaction> FindAbandoned(TimePoint now) const;
  /// Returns the transactions on `database`, or all of them if `database` is
  /// empty.
  std::vector<Transaction> FindOn(const std::string& database) const;

  bool empty() const { return open_.empty(); }
  TimePoint next_deadline() const;

 private:
  std::string instance_;
  std::mt19937_64 random_;
  uint64_t next_number_ = 1;
  std::map<std::string, Transaction> open_;
};

}  // namespace ryefold::core::group
