#include "ryefold/wire/net.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>
#include <unordered_map>

namespace ryefold::wire {
namespace {

constexpr int kBacklog = 1024;
constexpr std::chrono::milliseconds kAcceptPause{100};
/// Unacknowledged bytes break a connection after this long. The platform's
/// databases drop an unreachable peer after three seconds as well.
constexpr std::chrono::milliseconds kUnacknowledged{3000};
/// Silence before the first keep-alive probe, between probes, and how many go
/// unanswered before an idle connection counts as broken.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

/// Timers of the listeners on this thread. A listener's error callback is
/// given the argument of its accept callback, which may be evhttp's.
std::unordered_map<evconnlistener*, event*>& Timers() {
  thread_local std::unordered_map<evconnlistener*, event*> timers;
  return timers;
}

}  // namespace

SocketAddress ToSocketAddress(const std::string& ip, uint16_t port) {
  SocketAddress address;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  if (inet_pton(AF_INET, ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(port);
    address.size = sizeof(*v4);
    return address;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (inet_pton(AF_INET6, ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    address.size = sizeof(*v6);
  }
  return address;
}

Endpoint ParseEndpoint(const std::string& address) {
  Endpoint endpoint;
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return endpoint;
  endpoint.ip = address.substr(0, colon);
  if (endpoint.ip.size() > 2 && endpoint.ip.front() == '[') {
    endpoint.ip = endpoint.ip.substr(1, endpoint.ip.size() - 2);
  }
  const char* end = address.data() + address.size();
  const auto [rest, error] =
      std::from_chars(address.data() + colon + 1, end, endpoint.port);
  endpoint.ok = error == std::errc() && rest == end &&
                ToSocketAddress(endpoint.ip, endpoint.port).size != 0;
  return endpoint;
}

void SetNoDelay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void DetectSilence(evutil_socket_t fd) {
  const auto set = [fd](int level, int name, int value) {
    setsockopt(fd, level, name, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kUnacknowledged.count()));
}

timeval ToTimeval(std::chrono::microseconds duration) {
  constexpr int64_t kMicros = 1000000;
  const int64_t count = duration.count() < 0 ? 0 : duration.count();
  return {static_cast<time_t>(count / kMicros),
          static_cast<suseconds_t>(count % kMicros)};
}

evconnlistener* Bind(event_base* base, const std::string& address,
                     std::string* error) {
  const Endpoint endpoint = ParseEndpoint(address);
  if (!endpoint.ok) {
    *error = "not an ip:port: " + address;
    return nullptr;
  }
  SocketAddress bound = ToSocketAddress(endpoint.ip, endpoint.port);
  const unsigned options =
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
  evconnlistener* listener =
      evconnlistener_new_bind(base, nullptr, nullptr, options, kBacklog,
                              bound.any(), static_cast<int>(bound.size));
  if (listener == nullptr) {
    *error = "cannot listen on " + address + ": " + strerror(errno);
    return nullptr;
  }
  SetNoDelay(evconnlistener_get_fd(listener));
  return listener;
}

AcceptPause::AcceptPause(event_base* base, evconnlistener* listener)
    : listener_(listener), timer_(evtimer_new(base, OnTimer, listener)) {
  Timers()[listener] = timer_;
  evconnlistener_set_error_cb(listener, OnError);
}

AcceptPause::~AcceptPause() {
  Timers().erase(listener_);
  event_free(timer_);
}

void AcceptPause::OnError(evconnlistener* listener, void* /*owner's*/) {
  const timeval pause = ToTimeval(kAcceptPause);
  evconnlistener_disable(listener);
  event_add(Timers().at(listener), &pause);
}

void AcceptPause::OnTimer(evutil_socket_t, int16_t, void* listener) {
  evconnlistener_enable(static_cast<evconnlistener*>(listener));
}

uint16_t PortOf(evutil_socket_t fd) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return 0;
  }
  if (storage.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
  }
  return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
}

}  // namespace ryefold::wire
