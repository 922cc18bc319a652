#pragma once

// One HTTP/2 connection between two instances, either side: nghttp2 for the
// protocol, a bufferevent for the socket.

#include <event2/util.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <string>
#include <string_view>

struct bufferevent;
struct evbuffer;
struct event;
struct event_base;

namespace ryefold::wire {

/// A body on its way out; must stay where it is until its stream is closed.
struct OutgoingBody {
  std::string text;
  size_t sent = 0;

  nghttp2_data_provider provider();
};

/// A header whose texts outlive the frame that carries it.
nghttp2_nv StaticHeader(std::string_view name, std::string_view value);

/// Hooks run inside nghttp2, which must not be re-entered or deleted there:
/// they take notes, and the owner acts on them from an event of its own.
class Http2Link {
 public:
  enum class Side : uint8_t { kClient, kServer };

  Http2Link(event_base* base, Side side);
  virtual ~Http2Link();
  Http2Link(const Http2Link&) = delete;
  Http2Link& operator=(const Http2Link&) = delete;

  /// Takes over an accepted socket.
  void Accept(evutil_socket_t fd);
  /// Starts to connect; false when that fails at once.
  bool Connect(const std::string& ip, uint16_t port);

  /// Ends the connection, as if it had broken.
  void Fail();

  /// Writes what the session has to send, once in this turn of the loop.
  void FlushSoon();

  /// Asks the other side for a sign of life: its process answers without
  /// looking at any call (`OnHeard`). 17 bytes each way.
  void Ping();

  nghttp2_session* session() const { return session_; }
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t bytes_received() const { return bytes_received_; }
  /// Bytes not yet handed to the kernel.
  size_t unsent() const;

 protected:
  /// The connection stands (client side).
  virtual void OnUp() {}
  /// The connection is gone or speaks no sense. No hook comes after this.
  virtual void OnDown() = 0;
  /// Bytes arrived, so the process on the other side is running. Called outside
  /// of nghttp2.
  virtual void OnHeard() {}
  /// The other side's settings arrived.
  virtual void OnSettings() {}
  virtual void OnGoaway() {}
  virtual void OnBegin(int32_t /*stream*/) {}
  virtual void OnHeader(int32_t /*stream*/, std::string_view /*name*/,
                        std::string_view /*value*/) {}
  virtual void OnData(int32_t stream, std::string_view data) = 0;
  /// The other side has sent all of the stream.
  virtual void OnEnd(int32_t stream) = 0;
  virtual void OnClosed(int32_t stream, uint32_t error) = 0;
  /// The last frame of our side of the stream went to the socket.
  virtual void OnSentWhole(int32_t /*stream*/) {}
  /// The request was never written and never will be.
  virtual void OnNotSent(int32_t /*stream*/) {}

 private:
  struct Callbacks;

  void Own(bufferevent* bev);
  void Read();
  void Flush();
  void WriteNow(evbuffer* output);
  void Drained();
  void SubmitSettings();

  event_base* base_;
  nghttp2_session* session_ = nullptr;
  bufferevent* bev_ = nullptr;
  event* flush_ = nullptr;
  bool up_ = false;
  bool down_ = false;
  bool flushing_ = false;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
};

}  // namespace ryefold::wire
