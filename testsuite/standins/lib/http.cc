#include "testsuite/standins/lib/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <utility>
#include <vector>

namespace ryefold::standins {
namespace {

constexpr size_t kMaxHeaders = 16 << 10;
constexpr int kServerTimeoutSeconds = 3600;

std::string BodyOf(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  const size_t size = evbuffer_get_length(buffer);
  std::string body(size, '\0');
  evbuffer_copyout(buffer, body.data(), size);
  return body;
}

void SendWithoutDelay(evhttp_connection* connection) {
  const int socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

struct HttpServer::Connection {
  HttpServer* server = nullptr;
  evhttp_connection* connection = nullptr;
  ConnectionId id = 0;
  /// The request that waits for its answer, if any.
  std::shared_ptr<Exchange::State> waiting;
};

// evhttp stops reading while a request waits for its answer, so it would not
// notice that the client has gone. Events are let through again, without a
// callback for data, which stays in the buffer for the next request. evhttp
// puts its own callbacks back when it sends the answer.
void HttpServer::WatchForClose(Connection* connection) {
  bufferevent* stream =
      evhttp_connection_get_bufferevent(connection->connection);
  bufferevent_setcb(
      stream, nullptr, nullptr,
      [](bufferevent*, short, void* target) {  // NOLINT(google-runtime-int)
        auto* gone = static_cast<Connection*>(target);
        gone->server->Close(gone);
      },
      connection);
  bufferevent_enable(stream, EV_READ);
}

struct Exchange::State {
  HttpServer::Connection* connection = nullptr;
  evhttp_request* request = nullptr;
  ConnectionId id = 0;
  bool post = false;
  std::string path;
  std::string body;
};

ConnectionId Exchange::connection() const { return state_->id; }
bool Exchange::post() const { return state_->post; }
const std::string& Exchange::path() const { return state_->path; }
const std::string& Exchange::body() const { return state_->body; }
bool Exchange::open() const { return state_->request != nullptr; }

void Exchange::Reply(int status, const std::string& body) const {
  // Kept here, because the state may be let go while the answer is sent.
  const std::shared_ptr<State> state = state_;
  evhttp_request* request = std::exchange(state->request, nullptr);
  if (request == nullptr) return;
  state->connection->waiting.reset();
  evbuffer* out = evhttp_request_get_output_buffer(request);
  evbuffer_add(out, body.data(), body.size());
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", "application/json");
  evhttp_send_reply(request, status, status == 200 ? "OK" : "Error", nullptr);
}

void Exchange::Drop() const {
  if (!open()) return;
  HttpServer::Connection* connection = state_->connection;
  connection->server->Close(connection);
}

void Exchange::Truncate(int status, const std::string& body) const {
  if (!open()) return;
  const std::string text = "HTTP/1.1 " + std::to_string(status) +
                           " OK\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" +
                           body.substr(0, body.size() / 2);
  const int socket = bufferevent_getfd(
      evhttp_connection_get_bufferevent(state_->connection->connection));
  send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  Drop();
}

HttpServer::HttpServer(event_base* base, size_t max_body, Handler handler,
                       Closed closed)
    : base_(base),
      http_(evhttp_new(base)),
      handler_(std::move(handler)),
      closed_(std::move(closed)) {
  evhttp_set_gencb(http_, OnRequest, this);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(max_body));
  evhttp_set_max_headers_size(http_, kMaxHeaders);
  evhttp_set_timeout(http_, kServerTimeoutSeconds);
  evhttp_set_default_content_type(http_, nullptr);
}

HttpServer::~HttpServer() {
  CloseAll(0);
  evhttp_free(http_);
}

std::string HttpServer::Listen(const std::string& address) {
  std::string ip;
  uint16_t port = 0;
  if (!SplitAddress(address, &ip, &port)) return {};
  evhttp_bound_socket* bound =
      evhttp_bind_socket_with_handle(http_, ip.c_str(), port);
  if (bound == nullptr) return {};
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(evhttp_bound_socket_get_fd(bound),
              reinterpret_cast<sockaddr*>(&name), &size);
  return ip + ":" + std::to_string(ntohs(name.sin_port));
}

HttpServer::Connection* HttpServer::ConnectionOf(
    evhttp_connection* connection) {
  std::unique_ptr<Connection>& entry = connections_[connection];
  if (!entry) {
    entry = std::make_unique<Connection>();
    entry->server = this;
    entry->connection = connection;
    entry->id = ++last_id_;
    SendWithoutDelay(connection);
    evhttp_connection_set_closecb(connection, OnClose, entry.get());
  }
  return entry.get();
}

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  evhttp_connection* raw = evhttp_request_get_connection(request);
  Connection* connection = server->ConnectionOf(raw);
  auto state = std::make_shared<Exchange::State>();
  state->connection = connection;
  state->request = request;
  state->id = connection->id;
  state->post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
  state->path = evhttp_request_get_uri(request);
  state->path = state->path.substr(0, state->path.find('?'));
  state->body = BodyOf(request);
  connection->waiting = state;
  server->handler_(Exchange(state));
  if (state->request != nullptr) WatchForClose(connection);
}

void HttpServer::OnClose(evhttp_connection* raw, void* entry) {
  auto* connection = static_cast<Connection*>(entry);
  HttpServer* server = connection->server;
  const ConnectionId id = connection->id;
  if (connection->waiting) connection->waiting->request = nullptr;
  server->connections_.erase(raw);
  server->closed_(id);
}

void HttpServer::Close(Connection* connection) {
  // evhttp frees the waiting request together with its connection.
  if (connection->waiting) connection->waiting->request = nullptr;
  connection->waiting.reset();
  evhttp_connection_free(connection->connection);
}

void HttpServer::CloseAll(ConnectionId except) {
  std::vector<Connection*> open;
  for (const auto& [raw, connection] : connections_) {
    if (connection->id != except) open.push_back(connection.get());
  }
  for (Connection* connection : open) Close(connection);
}

struct HttpClient::Call {
  HttpClient* client = nullptr;
  Done done;
};

struct HttpClient::Abandoned {
  evhttp_connection* connection = nullptr;
  std::unique_ptr<Call> call;
};

HttpClient::HttpClient(event_base* base, std::string address)
    : base_(base), address_(std::move(address)) {}

HttpClient::~HttpClient() { Cancel(); }

void HttpClient::Post(const std::string& path, const std::string& body,
                      std::chrono::milliseconds timeout, Done done) {
  std::string ip;
  uint16_t port = 0;
  SplitAddress(address_, &ip, &port);
  if (connection_ == nullptr) {
    connection_ = evhttp_connection_base_new(base_, nullptr, ip.c_str(), port);
  }
  const timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
  evhttp_connection_set_timeout_tv(connection_, &limit);
  call_ = std::make_unique<Call>(Call{this, std::move(done)});
  evhttp_request* request = evhttp_request_new(OnAnswer, call_.get());
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", address_.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
               body.size());
  evhttp_make_request(connection_, request, EVHTTP_REQ_POST, path.c_str());
}

void HttpClient::OnAnswer(evhttp_request* request, void* context) {
  HttpClient* client = static_cast<Call*>(context)->client;
  // Nothing when the call was cancelled.
  if (client == nullptr) return;
  const std::unique_ptr<Call> call = std::move(client->call_);
  std::string body;
  if (request != nullptr && evhttp_request_get_response_code(request) == 200) {
    body = BodyOf(request);
  }
  call->done(body);
}

void HttpClient::Cancel() {
  if (call_) call_->client = nullptr;
  if (connection_ == nullptr) return;
  auto* abandoned =
      new Abandoned{std::exchange(connection_, nullptr), std::move(call_)};
  // Cancel may be called out of the connection's own callback, so the
  // connection is freed a turn of the loop later.
  const timeval at_once{0, 0};
  event_base_once(
      base_, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* target) {  // NOLINT(google-runtime-int)
        const std::unique_ptr<Abandoned> gone(static_cast<Abandoned*>(target));
        evhttp_connection_free(gone->connection);
      },
      abandoned, &at_once);
}

bool SplitAddress(std::string_view address, std::string* ip, uint16_t* port) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return false;
  *ip = address.substr(0, colon);
  const std::string_view digits = address.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  const auto read = std::from_chars(digits.data(), end, *port);
  return read.ec == std::errc() && read.ptr == end && !ip->empty();
}

}  // namespace ryefold::standins
