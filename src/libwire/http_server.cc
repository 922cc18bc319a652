#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <glog/logging.h>

#include <list>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ryefold/wire/http.h"
#include "ryefold/wire/net.h"

namespace ryefold::wire {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::string_view kTooSlow =
    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr std::string_view kTooMany =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    "Retry-After: 1\r\nContent-Length: 0\r\n\r\n";

const char* MethodName(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    default:
      return "";
  }
}

const char* Phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

/// Writes a short last word past evhttp, which offers no way to answer before
/// a request is whole. A failure to write only costs the client the reason.
void LastWord(evutil_socket_t fd, std::string_view text) {
  const ssize_t sent =
      send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  (void)sent;
}

std::string Take(evbuffer* buffer) {
  std::string text(evbuffer_get_length(buffer), '\0');
  if (!text.empty()) evbuffer_remove(buffer, text.data(), text.size());
  return text;
}

}  // namespace

/// One client's connection. evhttp owns the socket; this follows it.
struct HttpConn {
  HttpServer::Impl* server = nullptr;
  bufferevent* bev = nullptr;
  evhttp_connection* evcon = nullptr;
  /// Tells that the client closed while its request is being worked on; evhttp
  /// does not read then and would not notice.
  event* closed = nullptr;
  /// The request being answered, if any.
  std::shared_ptr<HttpExchange::State> current;
  /// Set while a request has begun to arrive and is not whole.
  bool receiving = false;
  Clock::time_point receive_by;
  std::list<HttpConn>::iterator self;
};

struct HttpExchange::State {
  HttpServer::Impl* server = nullptr;
  /// Null once answered, or once the client is gone.
  evhttp_request* request = nullptr;
  std::string method;
  std::string path;
  std::string body;
  std::function<void()> gone;
};

class HttpServer::Impl {
 public:
  Impl(event_base* base, HttpLimits limits, Handler handler)
      : base_(base), limits_(limits), handler_(std::move(handler)) {
    http_ = evhttp_new(base);
    evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(limits.max_body));
    evhttp_set_max_headers_size(http_,
                                static_cast<ev_ssize_t>(limits.max_headers));
    // Reads on for a moment after refusing a body, so that the client gets to
    // see the answer in place of a reset.
    evhttp_set_flags(http_, EVHTTP_SERVER_LINGERING_CLOSE);
    const timeval idle = ToTimeval(limits.idle_timeout);
    evhttp_set_timeout_tv(http_, &idle);
    evhttp_set_bevcb(http_, OnAccept, this);
    evhttp_set_gencb(http_, OnRequest, this);
    adopt_ = event_new(base, -1, 0, OnAdopt, this);
    sweep_ = evtimer_new(base, OnSweep, this);
  }

  ~Impl() {
    destroying_ = true;
    pause_.reset();
    evhttp_free(http_);
    event_free(adopt_);
    event_free(sweep_);
    conns_.clear();
  }

  std::string Listen(const std::string& address) {
    std::string error;
    evconnlistener* listener = Bind(base_, address, &error);
    if (listener == nullptr) return error;
    bound_ = evhttp_bind_listener(http_, listener);
    pause_ = std::make_unique<AcceptPause>(base_, listener);
    port_ = PortOf(evconnlistener_get_fd(listener));
    return {};
  }

  void StopAccepting() {
    pause_.reset();
    if (bound_ != nullptr) evhttp_del_accept_socket(http_, bound_);
    bound_ = nullptr;
    stopping_ = true;
  }

  uint16_t port() const { return port_; }
  size_t in_progress() const { return in_progress_; }
  size_t connections() const { return conns_.size() + receiving_.size(); }

  void Reply(HttpExchange::State* state, const HttpReply& reply) {
    evhttp_request* request = std::exchange(state->request, nullptr);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", reply.content_type.c_str());
    for (const auto& [name, value] : reply.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (stopping_) evhttp_add_header(headers, "Connection", "close");
    evbuffer* out = evhttp_request_get_output_buffer(request);
    evbuffer_add(out, reply.body.data(), reply.body.size());
    state->gone = nullptr;
    evhttp_send_reply(request, reply.status, Phrase(reply.status), nullptr);
  }

 private:
  // ---- connections ----

  static bufferevent* OnAccept(event_base* base, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    bufferevent* bev = bufferevent_socket_new(base, -1, 0);
    HttpConn& conn = self->conns_.emplace_back();
    conn.server = self;
    conn.bev = bev;
    conn.self = std::prev(self->conns_.end());
    evbuffer_add_cb(bufferevent_get_input(bev), OnInput, &conn);
    self->accepted_.push_back(&conn);
    event_active(self->adopt_, 0, 0);
    return bev;
  }

  static void OnAdopt(evutil_socket_t, int16_t, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    std::vector<HttpConn*> accepted;
    accepted.swap(self->accepted_);
    for (HttpConn* conn : accepted) self->Adopt(conn);
  }

  /// Runs in the same turn of the loop as the accept, thus before anything can
  /// have arrived. This libevent has no call that hands out the connection
  /// before its first request; it is the argument of its own callbacks.
  void Adopt(HttpConn* conn) {
    bufferevent_data_cb read_cb = nullptr;
    void* arg = nullptr;
    bufferevent_getcb(conn->bev, &read_cb, nullptr, nullptr, &arg);
    conn->evcon = static_cast<evhttp_connection*>(arg);
    CHECK(evhttp_connection_get_bufferevent(conn->evcon) == conn->bev);
    by_evcon_[conn->evcon] = conn;
    evhttp_connection_set_closecb(conn->evcon, OnClose, conn);
    const evutil_socket_t fd = bufferevent_getfd(conn->bev);
    if (connections() > limits_.max_connections) {
      LastWord(fd, kTooMany);
      evhttp_connection_free(conn->evcon);
      return;
    }
    conn->closed = event_new(base_, fd, EV_CLOSED | EV_PERSIST, OnGone, conn);
    event_add(conn->closed, nullptr);
  }

  /// The client closed. Between requests evhttp sees that by itself.
  static void OnGone(evutil_socket_t, int16_t, void* arg) {
    auto* conn = static_cast<HttpConn*>(arg);
    if (conn->current != nullptr) evhttp_connection_free(conn->evcon);
  }

  /// evhttp is about to free the connection, for whatever reason.
  static void OnClose(evhttp_connection*, void* arg) {
    auto* conn = static_cast<HttpConn*>(arg);
    conn->server->Forget(conn);
  }

  void Forget(HttpConn* conn) {
    std::shared_ptr<HttpExchange::State> state = std::move(conn->current);
    if (conn->closed != nullptr) event_free(conn->closed);
    evbuffer_remove_cb(bufferevent_get_input(conn->bev), OnInput, conn);
    StopReceiving(conn);
    by_evcon_.erase(conn->evcon);
    conns_.erase(conn->self);
    if (state == nullptr) return;
    --in_progress_;
    state->request = nullptr;
    auto gone = std::exchange(state->gone, nullptr);
    if (gone && !destroying_) gone();
  }

  // ---- slow senders ----

  static void OnInput(evbuffer*, const evbuffer_cb_info* info, void* arg) {
    auto* conn = static_cast<HttpConn*>(arg);
    if (info->n_added > 0) conn->server->StartReceiving(conn);
  }

  /// The time allowed counts from the first byte: a client that sends a byte
  /// now and then would renew any timeout between bytes for ever.
  void StartReceiving(HttpConn* conn) {
    if (conn->receiving || conn->current != nullptr) return;
    conn->receiving = true;
    conn->receive_by = Clock::now() + limits_.receive_timeout;
    receiving_.splice(receiving_.end(), conns_, conn->self);
    if (!std::exchange(sweeping_, true)) {
      const timeval wait = ToTimeval(limits_.receive_timeout);
      event_add(sweep_, &wait);
    }
  }

  void StopReceiving(HttpConn* conn) {
    if (!conn->receiving) return;
    conn->receiving = false;
    conns_.splice(conns_.end(), receiving_, conn->self);
  }

  static void OnSweep(evutil_socket_t, int16_t, void* arg) {
    static_cast<Impl*>(arg)->Sweep();
  }

  void Sweep() {
    const Clock::time_point now = Clock::now();
    while (!receiving_.empty() && receiving_.front().receive_by <= now) {
      HttpConn* conn = &receiving_.front();
      LastWord(bufferevent_getfd(conn->bev), kTooSlow);
      evhttp_connection_free(conn->evcon);
    }
    sweeping_ = !receiving_.empty();
    if (!sweeping_) return;
    const timeval wait = ToTimeval(std::chrono::ceil<std::chrono::milliseconds>(
        receiving_.front().receive_by - now));
    event_add(sweep_, &wait);
  }

  // ---- requests ----

  static void OnRequest(evhttp_request* request, void* arg) {
    static_cast<Impl*>(arg)->Request(request);
  }

  void Request(evhttp_request* request) {
    evhttp_connection* evcon = evhttp_request_get_connection(request);
    HttpConn* conn = by_evcon_.at(evcon);
    StopReceiving(conn);
    auto state = std::make_shared<HttpExchange::State>();
    state->server = this;
    state->request = request;
    state->method = MethodName(evhttp_request_get_command(request));
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    if (path != nullptr) state->path = path;
    state->body = Take(evhttp_request_get_input_buffer(request));
    conn->current = state;
    ++in_progress_;
    evhttp_request_set_on_complete_cb(request, OnComplete, conn);
    handler_(HttpExchange(std::move(state)));
  }

  static void OnComplete(evhttp_request*, void* arg) {
    auto* conn = static_cast<HttpConn*>(arg);
    conn->server->Complete(conn);
  }

  void Complete(HttpConn* conn) {
    conn->current.reset();
    --in_progress_;
    // The next request may have begun to arrive behind the last.
    const evbuffer* input = bufferevent_get_input(conn->bev);
    if (evbuffer_get_length(input) > 0) StartReceiving(conn);
  }

  event_base* base_;
  const HttpLimits limits_;
  Handler handler_;
  evhttp* http_ = nullptr;
  evhttp_bound_socket* bound_ = nullptr;
  std::unique_ptr<AcceptPause> pause_;
  event* adopt_ = nullptr;
  event* sweep_ = nullptr;
  uint16_t port_ = 0;
  bool stopping_ = false;
  bool sweeping_ = false;
  bool destroying_ = false;
  size_t in_progress_ = 0;
  std::list<HttpConn> conns_;
  std::list<HttpConn> receiving_;
  std::vector<HttpConn*> accepted_;
  std::unordered_map<evhttp_connection*, HttpConn*> by_evcon_;
};

const std::string& HttpExchange::method() const { return state_->method; }
const std::string& HttpExchange::path() const { return state_->path; }
const std::string& HttpExchange::body() const { return state_->body; }

std::string HttpExchange::query(const std::string& name) const {
  if (state_->request == nullptr) return {};
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(state_->request);
  const char* text = evhttp_uri_get_query(uri);
  if (text == nullptr) return {};
  evkeyvalq values;
  if (evhttp_parse_query_str(text, &values) != 0) return {};
  const char* value = evhttp_find_header(&values, name.c_str());
  std::string found = value == nullptr ? "" : value;
  evhttp_clear_headers(&values);
  return found;
}

std::string HttpExchange::header(const std::string& name) const {
  if (state_->request == nullptr) return {};
  const evkeyvalq* headers = evhttp_request_get_input_headers(state_->request);
  const char* value = evhttp_find_header(headers, name.c_str());
  return value == nullptr ? "" : value;
}

void HttpExchange::Reply(const HttpReply& reply) const {
  if (state_->request == nullptr) return;
  state_->server->Reply(state_.get(), reply);
}

void HttpExchange::OnGone(std::function<void()> gone) const {
  if (state_->request != nullptr) state_->gone = std::move(gone);
}

HttpServer::HttpServer(event_base* base, HttpLimits limits, Handler handler)
    : impl_(std::make_unique<Impl>(base, limits, std::move(handler))) {}
HttpServer::~HttpServer() = default;
std::string HttpServer::Listen(const std::string& address) {
  return impl_->Listen(address);
}
uint16_t HttpServer::port() const { return impl_->port(); }
void HttpServer::StopAccepting() { impl_->StopAccepting(); }
size_t HttpServer::in_progress() const { return impl_->in_progress(); }
size_t HttpServer::connections() const { return impl_->connections(); }

}  // namespace ryefold::wire
