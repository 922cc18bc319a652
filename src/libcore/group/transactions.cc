#include "ryefold/core/group/transactions.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace ryefold::core::group {
namespace {

/// A transaction whose caller sends no statement for this long is abandoned.
/// Its connection is closed, which makes the database roll back.
constexpr std::chrono::seconds kIdleTimeout{10};

}  // namespace

Transaction& TransactionTable::Begin(TimePoint now,
                                     const std::string& workspace,
                                     const std::string& database, uint64_t term,
                                     ConnectionId connection) {
  std::array<char, 17> nonce{};
  std::snprintf(nonce.data(), nonce.size(), "%016llx",
                static_cast<unsigned long long>(random_()));
  Transaction transaction;
  transaction.id =
      instance_ + "~" + std::to_string(next_number_++) + "~" + nonce.data();
  transaction.workspace = workspace;
  transaction.database = database;
  transaction.term = term;
  transaction.connection = connection;
  transaction.idle_deadline = now + kIdleTimeout;
  return open_[transaction.id] = transaction;
}

Transaction* TransactionTable::Find(const std::string& id,
                                    const std::string& workspace) {
  const auto it = open_.find(id);
  if (it == open_.end() || it->second.workspace != workspace) return nullptr;
  return &it->second;
}

std::string TransactionTable::FindOwner(ConnectionId connection) const {
  for (const auto& [id, transaction] : open_) {
    if (transaction.connection == connection) return id;
  }
  return {};
}

void TransactionTable::SetRunning(TimePoint now, Transaction* transaction,
                                  bool running) const {
  transaction->running = running;
  transaction->idle_deadline = now + kIdleTimeout;
}

std::vector<Transaction> TransactionTable::FindAbandoned(TimePoint now) const {
  std::vector<Transaction> idle;
  for (const auto& [id, transaction] : open_) {
    if (!transaction.running && transaction.idle_deadline <= now) {
      idle.push_back(transaction);
    }
  }
  return idle;
}

std::vector<Transaction> TransactionTable::FindOn(
    const std::string& database) const {
  std::vector<Transaction> found;
  for (const auto& [id, transaction] : open_) {
    if (database.empty() || transaction.database == database) {
      found.push_back(transaction);
    }
  }
  return found;
}

TimePoint TransactionTable::next_deadline() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, transaction] : open_) {
    if (!transaction.running) next = std::min(next, transaction.idle_deadline);
  }
  return next;
}

}  // namespace ryefold::core::group
