#include "http2_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "ryefold/wire/net.h"

namespace ryefold::wire {
namespace {

/// Calls that one peer may have open at once.
constexpr uint32_t kMaxStreams = 20000;
/// Receive windows. The default of 64 KB for a whole connection would let one
/// large result hold up every other call behind it.
constexpr int32_t kStreamWindow = 1 << 20;
constexpr int32_t kConnectionWindow = 64 << 20;
/// Requests carry three fixed headers; a larger table would only cost memory.
constexpr size_t kHeaderTable = 512;
/// Resets come in bursts when a peer freezes and every call to it runs into
/// its deadline. nghttp2 takes more than 1,000 for an attack and asks for a
/// new connection, just when the peer is coming back.
constexpr uint64_t kResetBurst = 1000000;
constexpr size_t kMaxRead = 256 << 10;

/// Data unacknowledged for this long ends the connection. It needs no message
/// of its own, and fires for a host or network that is gone, not for a process
/// that is only slow.
constexpr std::chrono::milliseconds kUserTimeout{3000};
/// Probes an idle connection so rarely that 1,100 of them cost 0.3 KB/s.
constexpr std::chrono::seconds kKeepaliveIdle{600};

void SetSocketOptions(evutil_socket_t fd) {
  SetNoDelay(fd);
  const int on = 1;
  const auto unacknowledged = static_cast<int>(kUserTimeout.count());
  const auto idle = static_cast<int>(kKeepaliveIdle.count());
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
             sizeof(unacknowledged));
}

nghttp2_option* Options() {
  static nghttp2_option* const options = [] {
    nghttp2_option* made = nullptr;
    nghttp2_option_new(&made);
    nghttp2_option_set_no_closed_streams(made, 1);
    nghttp2_option_set_peer_max_concurrent_streams(made, kMaxStreams);
    nghttp2_option_set_max_deflate_dynamic_table_size(made, kHeaderTable);
    nghttp2_option_set_stream_reset_rate_limit(made, kResetBurst, kResetBurst);
    return made;
  }();
  return options;
}

ssize_t ReadBody(nghttp2_session*, int32_t, uint8_t* out, size_t room,
                 uint32_t* flags, nghttp2_data_source* source, void*) {
  auto* body = static_cast<OutgoingBody*>(source->ptr);
  const size_t count = std::min(room, body->text.size() - body->sent);
  std::copy_n(body->text.data() + body->sent, count, out);
  body->sent += count;
  if (body->sent == body->text.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

std::string_view View(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace

nghttp2_data_provider OutgoingBody::provider() {
  nghttp2_data_provider made{};
  made.source.ptr = this;
  made.read_callback = ReadBody;
  return made;
}

nghttp2_nv StaticHeader(std::string_view name, std::string_view value) {
  // nghttp2 asks for writable text, which it does not write to.
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  constexpr uint8_t kNoCopy =
      NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE;
  return {bytes(name), bytes(value), name.size(), value.size(), kNoCopy};
}

/// nghttp2's and libevent's callbacks, passed on to the hooks.
struct Http2Link::Callbacks {
  static Http2Link* Link(void* arg) { return static_cast<Http2Link*>(arg); }

  static int BeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                          void* arg) {
    Link(arg)->OnBegin(frame->hd.stream_id);
    return 0;
  }

  static int Header(nghttp2_session*, const nghttp2_frame* frame,
                    const uint8_t* name, size_t name_size, const uint8_t* value,
                    size_t value_size, uint8_t, void* arg) {
    Link(arg)->OnHeader(frame->hd.stream_id, View(name, name_size),
                        View(value, value_size));
    return 0;
  }

  static int Data(nghttp2_session*, uint8_t, int32_t stream,
                  const uint8_t* data, size_t size, void* arg) {
    Link(arg)->OnData(stream, View(data, size));
    return 0;
  }

  static int FrameReceived(nghttp2_session*, const nghttp2_frame* frame,
                           void* arg) {
    const uint8_t type = frame->hd.type;
    if (type == NGHTTP2_GOAWAY) Link(arg)->OnGoaway();
    if (type == NGHTTP2_SETTINGS) Link(arg)->OnSettings();
    if (type != NGHTTP2_DATA && type != NGHTTP2_HEADERS) return 0;
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      Link(arg)->OnEnd(frame->hd.stream_id);
    }
    return 0;
  }

  static int FrameSent(nghttp2_session*, const nghttp2_frame* frame,
                       void* arg) {
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) return 0;
    if (frame->hd.type != NGHTTP2_DATA && frame->hd.type != NGHTTP2_HEADERS) {
      return 0;
    }
    Link(arg)->OnSentWhole(frame->hd.stream_id);
    return 0;
  }

  static int FrameNotSent(nghttp2_session*, const nghttp2_frame* frame, int,
                          void* arg) {
    if (frame->hd.type == NGHTTP2_HEADERS) {
      Link(arg)->OnNotSent(frame->hd.stream_id);
    }
    return 0;
  }

  static int StreamClosed(nghttp2_session*, int32_t stream, uint32_t error,
                          void* arg) {
    Link(arg)->OnClosed(stream, error);
    return 0;
  }

  static void Readable(bufferevent*, void* arg) { Link(arg)->Read(); }

  static void Written(bufferevent*, void* arg) { Link(arg)->Drained(); }

  static void Event(bufferevent*, int16_t what, void* arg) {
    Http2Link* link = Link(arg);
    if ((what & BEV_EVENT_CONNECTED) == 0) return link->Fail();
    link->up_ = true;
    link->OnUp();
    link->FlushSoon();
  }

  static void FlushDue(evutil_socket_t, int16_t, void* arg) {
    Link(arg)->Flush();
  }

  static nghttp2_session_callbacks* Table() {
    static nghttp2_session_callbacks* const table = [] {
      nghttp2_session_callbacks* made = nullptr;
      nghttp2_session_callbacks_new(&made);
      nghttp2_session_callbacks_set_on_begin_headers_callback(made,
                                                              BeginHeaders);
      nghttp2_session_callbacks_set_on_header_callback(made, Header);
      nghttp2_session_callbacks_set_on_data_chunk_recv_callback(made, Data);
      nghttp2_session_callbacks_set_on_frame_recv_callback(made, FrameReceived);
      nghttp2_session_callbacks_set_on_frame_send_callback(made, FrameSent);
      nghttp2_session_callbacks_set_on_frame_not_send_callback(made,
                                                               FrameNotSent);
      nghttp2_session_callbacks_set_on_stream_close_callback(made,
                                                             StreamClosed);
      return made;
    }();
    return table;
  }
};

Http2Link::Http2Link(event_base* base, Side side) : base_(base) {
  const auto make = side == Side::kServer ? nghttp2_session_server_new2
                                          : nghttp2_session_client_new2;
  make(&session_, Callbacks::Table(), this, Options());
  flush_ = event_new(base, -1, 0, Callbacks::FlushDue, this);
  SubmitSettings();
}

Http2Link::~Http2Link() {
  event_free(flush_);
  if (bev_ != nullptr) bufferevent_free(bev_);
  nghttp2_session_del(session_);
}

void Http2Link::SubmitSettings() {
  const std::array<nghttp2_settings_entry, 4> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow},
      {NGHTTP2_SETTINGS_HEADER_TABLE_SIZE, kHeaderTable},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindow);
}

void Http2Link::Own(bufferevent* bev) {
  bev_ = bev;
  bufferevent_setcb(bev, Callbacks::Readable, Callbacks::Written,
                    Callbacks::Event, this);
  bufferevent_set_max_single_read(bev, kMaxRead);
  bufferevent_set_max_single_write(bev, kMaxRead);
  bufferevent_enable(bev, EV_READ);
  bufferevent_disable(bev, EV_WRITE);
}

void Http2Link::Accept(evutil_socket_t fd) {
  SetSocketOptions(fd);
  Own(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  up_ = true;
  FlushSoon();
}

bool Http2Link::Connect(const std::string& ip, uint16_t port) {
  Own(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  SocketAddress address = ToSocketAddress(ip, port);
  if (bufferevent_socket_connect(bev_, address.any(),
                                 static_cast<int>(address.size)) != 0) {
    return false;
  }
  SetSocketOptions(bufferevent_getfd(bev_));
  return true;
}

size_t Http2Link::unsent() const {
  return bev_ == nullptr ? 0
                         : evbuffer_get_length(bufferevent_get_output(bev_));
}

void Http2Link::Read() {
  evbuffer* input = bufferevent_get_input(bev_);
  OnHeard();
  while (size_t size = evbuffer_get_contiguous_space(input)) {
    const uint8_t* data = evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
    bytes_received_ += size;
    if (nghttp2_session_mem_recv(session_, data, size) < 0) return Fail();
    evbuffer_drain(input, size);
  }
  FlushSoon();
}

void Http2Link::Ping() {
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  FlushSoon();
}

void Http2Link::FlushSoon() {
  if (!up_ || down_ || flushing_) return;
  flushing_ = true;
  event_active(flush_, 0, 0);
}

void Http2Link::Flush() {
  flushing_ = false;
  if (down_) return;
  evbuffer* output = bufferevent_get_output(bev_);
  while (true) {
    const uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &data);
    if (size < 0) return Fail();
    if (size == 0) break;
    bytes_sent_ += static_cast<uint64_t>(size);
    evbuffer_add(output, data, static_cast<size_t>(size));
  }
  WriteNow(output);
}

/// Writes without waiting to be told that the socket takes more, which it
/// nearly always does. Asking first costs three system calls and a turn of the
/// loop for every batch; only what the socket refuses waits for that.
void Http2Link::WriteNow(evbuffer* output) {
  if (evbuffer_get_length(output) == 0) return;
  if ((bufferevent_get_enabled(bev_) & EV_WRITE) == 0) {
    evbuffer_unfreeze(output, /*at_front=*/1);
    evbuffer_write(output, bufferevent_getfd(bev_));
    evbuffer_freeze(output, /*at_front=*/1);
  }
  const bool rest = evbuffer_get_length(output) > 0;
  if (rest) bufferevent_enable(bev_, EV_WRITE);
}

/// The socket took the rest.
void Http2Link::Drained() { bufferevent_disable(bev_, EV_WRITE); }

void Http2Link::Fail() {
  if (std::exchange(down_, true)) return;
  bufferevent_disable(bev_, EV_READ | EV_WRITE);
  OnDown();
}

}  // namespace ryefold::wire
