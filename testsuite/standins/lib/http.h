#pragma once

// HTTP over libevent's evhttp, with the means to misbehave on purpose.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace ryefold::standins {

using ConnectionId = uint64_t;

class HttpServer;

/// One request that waits for its answer. Copyable; calls after the first
/// answer, or after the connection closed, do nothing.
class Exchange {
 public:
  struct State;
  explicit Exchange(std::shared_ptr<State> state) : state_(std::move(state)) {}

  ConnectionId connection() const;
  bool post() const;
  const std::string& path() const;
  const std::string& body() const;
  bool open() const;

  void Reply(int status, const std::string& body) const;
  /// Closes the connection without an answer.
  void Drop() const;
  /// Sends the head and half of the body, then closes.
  void Truncate(int status, const std::string& body) const;

 private:
  friend class HttpServer;
  std::shared_ptr<State> state_;
};

/// Listens on one address, on one thread.
class HttpServer {
 public:
  using Handler = std::function<void(const Exchange&)>;
  using Closed = std::function<void(ConnectionId)>;

  /// `closed` is told of every connection that ends after its first request.
  HttpServer(event_base* base, size_t max_body, Handler handler, Closed closed);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// "ip:port"; port 0 picks a free one. The bound "ip:port", or empty text.
  std::string Listen(const std::string& address);

  /// Closes every connection but one.
  void CloseAll(ConnectionId except);

 private:
  friend class Exchange;
  struct Connection;

  static void OnRequest(evhttp_request* request, void* self);
  static void OnClose(evhttp_connection* connection, void* entry);
  Connection* ConnectionOf(evhttp_connection* connection);
  static void WatchForClose(Connection* connection);
  static void Close(Connection* connection);

  event_base* base_;
  evhttp* http_;
  Handler handler_;
  Closed closed_;
  ConnectionId last_id_ = 0;
  std::unordered_map<evhttp_connection*, std::unique_ptr<Connection>>
      connections_;
};

/// One connection to another process, opened when first used, with one call
/// on it at a time.
class HttpClient {
 public:
  /// The body, empty unless an answer with status 200 arrived whole.
  using Done = std::function<void(const std::string& body)>;

  HttpClient(event_base* base, std::string address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Post(const std::string& path, const std::string& body,
            std::chrono::milliseconds timeout, Done done);
  /// Closes the connection; a call under way is forgotten.
  void Cancel();

 private:
  struct Call;
  struct Abandoned;
  static void OnAnswer(evhttp_request* request, void* context);

  event_base* base_;
  std::string address_;
  evhttp_connection* connection_ = nullptr;
  std::unique_ptr<Call> call_;
};

/// Splits "ip:port"; false when it is not of that form.
bool SplitAddress(std::string_view address, std::string* ip, uint16_t* port);

}  // namespace ryefold::standins
