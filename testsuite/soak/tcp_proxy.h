#pragma once

// A loopback TCP proxy that injects faults: delayed data, dropped data, refused
// and reset connections.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

struct event_base;
struct evconnlistener;

namespace ryefold::soak {

enum class LinkFault : uint8_t {
  kNone,
  kDelay,        ///< Delays all data.
  kDropAll,      ///< Drops data in both directions; connections stay open.
  kDropReplies,  ///< Forwards requests, drops replies.
  kRefuse,       ///< Closes new connections at once.
};

class TcpProxy {
 public:
  explicit TcpProxy(event_base* base);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  /// Listens on a free loopback port and forwards to loopback port `target`.
  /// Returns an error text, empty on success.
  std::string Listen(uint16_t target);
  uint16_t port() const;
  void SetTarget(uint16_t target) { target_ = target; }

  /// Applies the fault to all connections from now on. Connections on which
  /// kDropAll or kDropReplies has dropped data stay unusable after the fault
  /// ends.
  void SetFault(LinkFault fault, std::chrono::milliseconds delay);
  /// Closes every open connection.
  void ResetAll();

 private:
  class Connection;
  void Accept(int fd);
  void RemoveClosed();

  event_base* base_;
  evconnlistener* listener_ = nullptr;
  uint16_t target_ = 0;
  LinkFault fault_ = LinkFault::kNone;
  std::chrono::milliseconds delay_{0};
  std::vector<std::unique_ptr<Connection>> connections_;
};

}  // namespace ryefold::soak
