#pragma once

// Streams to other instances, one client for each, made on first use.

#include <memory>
#include <string>
#include <unordered_map>

#include "ryefold/task/loop.h"
#include "ryefold/wire/peer.h"

namespace ryefold::ryefoldd {

/// Owned by one task. Clients are named by address, so that an instance which
/// was replaced at another address gets a new one.
class PeerPool {
 public:
  explicit PeerPool(task::Loop* loop) : loop_(loop) {}

  wire::PeerClient* At(const std::string& address);

  /// Drops clients unused since the last call, so that the links of a large
  /// fleet do not pile up as peers come and go.
  void DropUnused();

  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  struct Entry {
    std::unique_ptr<wire::PeerClient> client;
    bool used = false;
  };

  task::Loop* loop_;
  std::unordered_map<std::string, Entry> clients_;
  uint64_t dropped_sent_ = 0;
  uint64_t dropped_received_ = 0;
};

}  // namespace ryefold::ryefoldd
