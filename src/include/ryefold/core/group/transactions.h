#pragma once

// Open transactions and the connections they own.

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
  /// Term under which it was begun; it cannot outlive it.
  uint64_t term = 0;
  ConnectionId connection = 0;
  /// A statement of it is unanswered.
  bool running = false;
  /// Its caller has been silent for too long when this comes.
  TimePoint idle_deadline;
};

/// Transactions by id. One owns its connection from begin until the database
/// has confirmed its end, so that statements of two never share one.
class TransactionTable {
 public:
  TransactionTable(std::string instance, uint64_t seed)
      : instance_(std::move(instance)), random_(seed) {}

  /// Registers a transaction on `connection`. Its id names this instance, so
  /// that every entry can find its way back, and cannot be guessed.
  Transaction& Begin(TimePoint now, const std::string& workspace,
                     const std::string& database, uint64_t term,
                     ConnectionId connection);

  /// The transaction with this id, if it belongs to `workspace`.
  Transaction* Find(const std::string& id, const std::string& workspace);
  /// Id of the transaction that owns the connection, empty if none.
  std::string FindOwner(ConnectionId connection) const;
  void Erase(const std::string& id) { open_.erase(id); }

  /// A statement of it starts or was answered.
  void SetRunning(TimePoint now, Transaction* transaction, bool running) const;

  /// Transactions not running anything whose caller has gone silent.
  std::vector<Transaction> FindAbandoned(TimePoint now) const;
  /// All on `database`, or all when it is empty.
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
