#include "ryefoldd/peer_pool.h"

#include <utility>

namespace ryefold::ryefoldd {

wire::PeerClient* PeerPool::At(const std::string& address) {
  Entry& entry = clients_[address];
  if (!entry.client) {
    entry.client = std::make_unique<wire::PeerClient>(loop_->base(), address);
  }
  entry.used = true;
  return entry.client.get();
}

void PeerPool::DropUnused() {
  for (auto entry = clients_.begin(); entry != clients_.end();) {
    if (entry->second.used) {
      entry->second.used = false;
      ++entry;
      continue;
    }
    dropped_sent_ += entry->second.client->bytes_sent();
    dropped_received_ += entry->second.client->bytes_received();
    // The client may be the one that is calling us; the loop deletes it.
    std::shared_ptr<wire::PeerClient> old = std::move(entry->second.client);
    loop_->Post([old] {});
    entry = clients_.erase(entry);
  }
}

uint64_t PeerPool::bytes_sent() const {
  uint64_t bytes = dropped_sent_;
  for (const auto& [address, entry] : clients_) {
    bytes += entry.client->bytes_sent();
  }
  return bytes;
}

uint64_t PeerPool::bytes_received() const {
  uint64_t bytes = dropped_received_;
  for (const auto& [address, entry] : clients_) {
    bytes += entry.client->bytes_received();
  }
  return bytes;
}

}  // namespace ryefold::ryefoldd
