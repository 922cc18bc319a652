#pragma once

// HTTP/1.1 towards callers, operators, databases and the platform, through
// libevent's evhttp. One loop, one thread.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "ryefold/core/answer_limits.h"
#include "ryefold/core/types.h"

struct event_base;

namespace ryefold::wire {

/// Bounds on what one client may make the server hold.
struct HttpLimits {
  size_t max_body = 1 << 20;
  size_t max_headers = 16 << 10;
  /// A request that has not arrived whole this long after its first byte is
  /// dropped, so that slow senders do not pile up.
  std::chrono::milliseconds receive_timeout{10000};
  /// A connection without a request for this long is closed.
  std::chrono::milliseconds idle_timeout{600000};
  size_t max_connections = 16384;
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Further headers, such as Retry-After.
  std::map<std::string, std::string> headers;
};

/// One request being answered. Copyable handle; the first `Reply` counts. When
/// the client goes away first, `Reply` does nothing.
class HttpExchange {
 public:
  struct State;
  explicit HttpExchange(std::shared_ptr<State> state)
      : state_(std::move(state)) {}

  /// "GET", "POST", ...; "" for a method we do not know.
  const std::string& method() const;
  /// Path without the query.
  const std::string& path() const;
  /// Decoded query parameter, empty when absent.
  std::string query(const std::string& name) const;
  const std::string& body() const;
  /// Request header, empty when absent; the name's case does not matter.
  std::string header(const std::string& name) const;

  void Reply(const HttpReply& reply) const;
  /// Called, at most once, when the client closes before the reply.
  void OnGone(std::function<void()> gone) const;

 private:
  std::shared_ptr<State> state_;
};

/// Listens on one address.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange)>;

  HttpServer(event_base* base, HttpLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// "ip:port", port 0 picks a free one. An error text, empty on success.
  std::string Listen(const std::string& address);
  uint16_t port() const;

  /// Accepts no new connection; those open are asked to close after their
  /// present answer (`Connection: close`). Requests in progress go on.
  void StopAccepting();
  /// Requests received and not yet answered.
  size_t in_progress() const;
  size_t connections() const;

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

enum class CallStatus : uint8_t {
  kOk,       ///< An answer arrived whole.
  kNotSent,  ///< No byte of the request can have reached the other side.
  kLost,     ///< Sent, or partly so, and no whole answer arrived.
};

struct HttpResult {
  CallStatus status = CallStatus::kLost;
  int code = 0;
  std::string body;
};

/// One keep-alive connection with at most one request on it at a time. Closes
/// for good when an answer fails to arrive whole or its deadline passes: a
/// late answer must never be taken for the next request's.
class HttpConnection {
 public:
  using Done = std::function<void(const HttpResult&)>;

  /// `lost` is called, at most once, when an idle or busy connection breaks;
  /// a request under way is answered (`kLost`) before that.
  HttpConnection(event_base* base, const std::string& address,
                 std::function<void()> lost);
  /// Closes at once; no callback comes any more.
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Must not be called while `busy()`.
  void Send(const std::string& method, const std::string& path,
            const std::string& body, const core::AnswerLimits& limits,
            Done done, const std::map<std::string, std::string>& headers = {});
  void Send(const std::string& method, const std::string& path,
            const std::string& body, core::TimePoint deadline, Done done,
            const std::map<std::string, std::string>& headers = {});
  bool busy() const;
  /// Whether another request can be sent; false once it has broken.
  bool open() const;
  /// Closes at once; no callback comes any more.
  void Close();

 private:
  class Impl;
  /// Shared with callbacks, in which the connection may be destroyed.
  std::shared_ptr<Impl> impl_;
};

/// Makes one call on a connection of its own or a kept idle one; used for
/// control calls, where order does not matter. Thread-bound to `base`.
class HttpClient {
 public:
  explicit HttpClient(event_base* base);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Call(const std::string& address, const std::string& method,
            const std::string& path, const std::string& body,
            const core::AnswerLimits& limits, HttpConnection::Done done,
            const std::map<std::string, std::string>& headers = {});
  void Call(const std::string& address, const std::string& method,
            const std::string& path, const std::string& body,
            core::TimePoint deadline, HttpConnection::Done done,
            const std::map<std::string, std::string>& headers = {});

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::wire
