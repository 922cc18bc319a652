#pragma once

// Small helpers over libevent's sockets.

#include <event2/util.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdint>
#include <string>

struct event_base;
struct evconnlistener;

namespace ryefold::wire {

/// An "ip:port" split up; `ok` is false when the text is none.
struct Endpoint {
  bool ok = false;
  std::string ip;
  uint16_t port = 0;
};
Endpoint ParseEndpoint(const std::string& address);

/// An endpoint as the socket calls want it; `size` is 0 when it is none.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;

  sockaddr* any() { return reinterpret_cast<sockaddr*>(&storage); }
};
SocketAddress ToSocketAddress(const std::string& ip, uint16_t port);

/// Sends small segments at once. Without it, an answer written in two parts
/// waits for the other side's delayed acknowledgement, 40 ms as a rule.
void SetNoDelay(evutil_socket_t fd);

timeval ToTimeval(std::chrono::microseconds duration);

/// A bound and listening socket, or null with a reason in `error`. Accepted
/// sockets inherit TCP_NODELAY.
evconnlistener* Bind(event_base* base, const std::string& address,
                     std::string* error);

uint16_t PortOf(evutil_socket_t fd);

}  // namespace ryefold::wire
