#include "testsuite/soak/tcp_proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <array>
#include <deque>
#include <string>
#include <utility>

#include "ryefold/wire/net.h"

namespace ryefold::soak {

using std::chrono::milliseconds;

/// A client connection, its target connection, and the delayed data between
/// them.
class TcpProxy::Connection {
 public:
  Connection(TcpProxy* owner, int fd) : owner_(owner) {
    client_ = bufferevent_socket_new(owner->base_, fd, BEV_OPT_CLOSE_ON_FREE);
    server_ = bufferevent_socket_new(owner->base_, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(client_, OnClientData, nullptr, OnEvent, this);
    bufferevent_setcb(server_, OnTargetData, nullptr, OnEvent, this);
    wire::SocketAddress target =
        wire::ToSocketAddress("127.0.0.1", owner->target_);
    bufferevent_socket_connect(server_, target.any(),
                               static_cast<int>(target.size));
    bufferevent_enable(client_, EV_READ | EV_WRITE);
    bufferevent_enable(server_, EV_READ | EV_WRITE);
  }
  ~Connection() { Close(); }

  void Close() {
    if (client_ == nullptr) return;
    // The kernel sends a reset if bytes are unread.
    bufferevent_free(std::exchange(client_, nullptr));
    bufferevent_free(std::exchange(server_, nullptr));
  }
  bool closed() const { return client_ == nullptr; }
  /// Drops replies from now on, also after the fault ends, because earlier
  /// bytes of the stream are lost.
  void DropReplies() { drops_replies_ = true; }

 private:
  static void OnClientData(bufferevent* from, void* self) {
    auto* connection = static_cast<Connection*>(self);
    connection->Forward(from, connection->server_, /*replies=*/false);
  }
  static void OnTargetData(bufferevent* from, void* self) {
    auto* connection = static_cast<Connection*>(self);
    connection->Forward(from, connection->client_, /*replies=*/true);
  }
  static void OnEvent(bufferevent*, int16_t events, void* self) {
    constexpr int kClosedEvents = BEV_EVENT_EOF | BEV_EVENT_ERROR;
    if ((events & kClosedEvents) != 0) static_cast<Connection*>(self)->Close();
  }

  void Forward(bufferevent* from, bufferevent* to, bool replies) {
    const LinkFault fault = owner_->fault_;
    const bool dropped = fault == LinkFault::kDropAll ||
                         (fault == LinkFault::kDropReplies && replies);
    if (dropped) DropReplies();
    evbuffer* input = bufferevent_get_input(from);
    if (drops_replies_ && (dropped || replies)) {
      evbuffer_drain(input, evbuffer_get_length(input));
    } else if (fault == LinkFault::kDelay || !delayed_[replies].empty()) {
      // Later bytes must not overtake delayed ones.
      Delay(input, replies);
    } else {
      bufferevent_write_buffer(to, input);
    }
  }

  void Delay(evbuffer* input, bool replies) {
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    delayed_[replies].push_back(std::move(bytes));
    const timeval wait = wire::ToTimeval(owner_->delay_);
    event_base_once(owner_->base_, -1, EV_TIMEOUT, OnDelayElapsed,
                    new DelayedDelivery{owner_, this, replies}, &wait);
  }

  struct DelayedDelivery {
    TcpProxy* owner;
    Connection* connection;
    bool replies;
  };
  static void OnDelayElapsed(evutil_socket_t, int16_t, void* argument) {
    const std::unique_ptr<DelayedDelivery> delayed(
        static_cast<DelayedDelivery*>(argument));
    for (const auto& connection : delayed->owner->connections_) {
      if (connection.get() == delayed->connection) {
        delayed->connection->DeliverDelayed(delayed->replies);
      }
    }
  }
  void DeliverDelayed(bool replies) {
    std::deque<std::string>& delayed = delayed_[replies];
    if (closed() || delayed.empty()) return;
    const std::string bytes = std::move(delayed.front());
    delayed.pop_front();
    bufferevent_write(replies ? client_ : server_, bytes.data(), bytes.size());
  }

  TcpProxy* owner_;
  bufferevent* client_;
  bufferevent* server_;
  bool drops_replies_ = false;
  /// Delayed bytes: requests at index 0, replies at index 1.
  std::array<std::deque<std::string>, 2> delayed_;
};

TcpProxy::TcpProxy(event_base* base) : base_(base) {}

TcpProxy::~TcpProxy() {
  connections_.clear();
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

std::string TcpProxy::Listen(uint16_t target) {
  target_ = target;
  std::string error;
  listener_ = wire::Bind(base_, "127.0.0.1:0", &error);
  if (listener_ == nullptr) return error;
  evconnlistener_set_cb(
      listener_,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<TcpProxy*>(self)->Accept(fd);
      },
      this);
  return "";
}

uint16_t TcpProxy::port() const {
  return wire::PortOf(evconnlistener_get_fd(listener_));
}

void TcpProxy::Accept(int fd) {
  RemoveClosed();
  if (fault_ == LinkFault::kRefuse) {
    evutil_closesocket(fd);
    return;
  }
  connections_.push_back(std::make_unique<Connection>(this, fd));
}

void TcpProxy::RemoveClosed() {
  std::erase_if(connections_,
                [](const std::unique_ptr<Connection>& connection) {
                  return connection->closed();
                });
}

void TcpProxy::SetFault(LinkFault fault, milliseconds delay) {
  fault_ = fault;
  delay_ = delay;
}

void TcpProxy::ResetAll() {
  for (const auto& connection : connections_) connection->Close();
}

}  // namespace ryefold::soak
