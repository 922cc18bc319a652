#pragma once

// Small helpers over libevent's sockets.

#include <event2/util.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdint>
#include <string>

struct event;
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

/// Makes the kernel notice that the other side has fallen silent without a
/// reset: by unacknowledged bytes after three seconds, on an idle connection
/// by two probes unanswered, after about as long. A connection whose path is
/// gone otherwise looks like one on which nothing happens.
void DetectSilence(evutil_socket_t fd);

timeval ToTimeval(std::chrono::microseconds duration);

/// A bound and listening socket, or null with a reason in `error`. Accepted
/// sockets inherit TCP_NODELAY.
evconnlistener* Bind(event_base* base, const std::string& address,
                     std::string* error);

/// Stops accepting for a moment when that fails, as it does when the process
/// has no descriptor left. The waiting connection would otherwise wake the
/// loop again at once, and a core would be spent on failing until some other
/// connection ends. Must go before its listener.
class AcceptPause {
 public:
  AcceptPause(event_base* base, evconnlistener* listener);
  ~AcceptPause();
  AcceptPause(const AcceptPause&) = delete;
  AcceptPause& operator=(const AcceptPause&) = delete;

 private:
  static void OnError(evconnlistener* listener, void* arg);
  static void OnTimer(evutil_socket_t fd, int16_t what, void* arg);

  evconnlistener* listener_;
  event* timer_;
};

uint16_t PortOf(evutil_socket_t fd);

}  // namespace ryefold::wire
