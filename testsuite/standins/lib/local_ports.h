#pragma once

// Loopback addresses for the instances of one test run.

#include <cstdint>
#include <random>
#include <set>
#include <string>

struct event_base;

namespace ryefold::standins {

/// Hands out free ports of a loopback address that belongs to this process
/// alone. An instance's port is free while the instance restarts; on a shared
/// address, an instance of another run could take it and answer this run's
/// callers.
class LocalPorts {
 public:
  LocalPorts(event_base* base, uint64_t seed);

  const std::string& host() const { return host_; }
  std::string Address(uint16_t port) const {
    return host_ + ":" + std::to_string(port);
  }
  /// Returns a free port outside the kernel's ephemeral range, where an
  /// outgoing connection could take the port while an instance restarts.
  uint16_t NextFree();

 private:
  event_base* base_;
  std::mt19937_64 numbers_;
  const std::string host_;
  std::set<uint16_t> used_;
};

}  // namespace ryefold::standins
