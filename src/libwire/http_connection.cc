#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <utility>

#include "ryefold/wire/http.h"
#include "ryefold/wire/net.h"

namespace ryefold::wire {
namespace {

constexpr size_t kMaxAnswer = size_t{64} << 20;
constexpr size_t kMaxAnswerHeaders = size_t{64} << 10;
/// Longer than any deadline: calls have deadlines of their own, so evhttp's
/// timeouts are to stay out of the way.
constexpr std::chrono::hours kNever{240};

struct Method {
  const char* name;
  evhttp_cmd_type type;
};
constexpr Method kMethods[] = {{"POST", EVHTTP_REQ_POST},
                               {"GET", EVHTTP_REQ_GET},
                               {"PUT", EVHTTP_REQ_PUT},
                               {"DELETE", EVHTTP_REQ_DELETE}};

evhttp_cmd_type MethodType(const std::string& name) {
  for (const Method& method : kMethods) {
    if (name == method.name) return method.type;
  }
  return EVHTTP_REQ_POST;
}

/// Whether the answer says where it ends and has got there. evhttp takes the
/// close of the connection for the end of an answer without a length, so that
/// one cut off in the middle would be passed on as if it were whole.
bool IsWhole(evhttp_request* request, size_t body) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  if (evhttp_find_header(headers, "Transfer-Encoding") != nullptr) return true;
  const char* length = evhttp_find_header(headers, "Content-Length");
  if (length == nullptr) return false;
  return std::strtoull(length, nullptr, 10) == body;
}

void FreeLater(evutil_socket_t, int16_t, void* evcon) {
  evhttp_connection_free(static_cast<evhttp_connection*>(evcon));
}

}  // namespace

class HttpConnection::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(event_base* base, const std::string& address, std::function<void()> lost)
      : base_(base), address_(address), lost_(std::move(lost)) {
    const Endpoint endpoint = ParseEndpoint(address);
    timer_ = evtimer_new(base, OnTimer, this);
    if (!endpoint.ok) return;
    bufferevent* bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    evbuffer_add_cb(bufferevent_get_output(bev), OnOutput, this);
    evbuffer_add_cb(bufferevent_get_input(bev), OnInput, this);
    evcon_ = evhttp_connection_base_bufferevent_new(
        base, nullptr, bev, endpoint.ip.c_str(), endpoint.port);
    const timeval never = ToTimeval(kNever);
    evhttp_connection_set_timeout_tv(evcon_, &never);
    evhttp_connection_set_max_body_size(evcon_, kMaxAnswer);
    evhttp_connection_set_max_headers_size(evcon_, kMaxAnswerHeaders);
    evhttp_connection_set_closecb(evcon_, OnClose, this);
  }

  ~Impl() {
    Drop();
    event_free(timer_);
  }

  bool busy() const { return done_ != nullptr; }
  bool open() const { return evcon_ != nullptr && !broken_; }

  void Send(const std::string& method, const std::string& path,
            const std::string& body, const core::AnswerLimits& limits,
            Done done, const std::map<std::string, std::string>& headers) {
    done_ = std::move(done);
    limits_ = limits;
    sent_ = false;
    if (evcon_ == nullptr) {
      broken_ = true;
      FinishSoon({CallStatus::kNotSent, 0, {}});
      return;
    }
    evhttp_request* request = evhttp_request_new(OnAnswer, this);
    evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Host", address_.c_str());
    if (!body.empty()) {
      evhttp_add_header(out, "Content-Type", "application/json");
    }
    for (const auto& [name, value] : headers) {
      evhttp_add_header(out, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
                 body.size());
    ArmTimer();
    ++depth_;
    sending_ = true;
    evhttp_make_request(evcon_, request, MethodType(method), path.c_str());
    sending_ = false;
    --depth_;
    if (evcon_ != nullptr && !no_delay_) SetNoDelayOnce();
  }

  /// No callback comes after this.
  void Close() {
    done_ = nullptr;
    lost_ = nullptr;
    pending_.reset();
    event_del(timer_);
    Drop();
  }

 private:
  static void OnAnswer(evhttp_request* request, void* arg) {
    const auto self = static_cast<Impl*>(arg)->shared_from_this();
    ++self->depth_;
    self->Answered(request);
    --self->depth_;
  }

  static void OnClose(evhttp_connection*, void* arg) {
    const auto self = static_cast<Impl*>(arg)->shared_from_this();
    self->broken_ = true;
    if (self->busy()) return;  // OnAnswer follows
    ++self->depth_;
    self->Lose();
    --self->depth_;
  }

  /// The only bytes ever put there are the request's, once connected.
  static void OnOutput(evbuffer*, const evbuffer_cb_info* info, void* arg) {
    if (info->n_deleted > 0) static_cast<Impl*>(arg)->sent_ = true;
  }

  static void OnInput(evbuffer*, const evbuffer_cb_info* info, void* arg) {
    auto* self = static_cast<Impl*>(arg);
    const bool waits = self->busy() && !self->pending_;
    if (info->n_added > 0 && waits) self->ArmTimer();
  }

  static void OnTimer(evutil_socket_t, int16_t, void* arg) {
    const auto self = static_cast<Impl*>(arg)->shared_from_this();
    if (self->pending_) {
      self->Finish(*std::exchange(self->pending_, std::nullopt));
      return;
    }
    // A late answer would be taken for the next request's: the connection
    // ends here, with its request.
    self->broken_ = true;
    self->Finish({self->Unanswered(), 0, {}});
  }

  CallStatus Unanswered() const {
    return sent_ ? CallStatus::kLost : CallStatus::kNotSent;
  }

  void Answered(evhttp_request* request) {
    HttpResult result;
    const int code =
        request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (code != 0) {
      evbuffer* input = evhttp_request_get_input_buffer(request);
      result.code = code;
      result.body.resize(evbuffer_get_length(input));
      evbuffer_remove(input, result.body.data(), result.body.size());
    }
    if (code != 0 && IsWhole(request, result.body.size())) {
      result.status = CallStatus::kOk;
      broken_ = broken_ || HasLeftover();
    } else {
      result = {Unanswered(), 0, {}};
      broken_ = true;
    }
    if (sending_) {
      FinishSoon(std::move(result));
    } else {
      Finish(result);
    }
  }

  /// Bytes behind the answer belong to no request. Read as the start of the
  /// next answer they would hand a caller somebody else's rows.
  bool HasLeftover() const {
    bufferevent* bev = evhttp_connection_get_bufferevent(evcon_);
    return evbuffer_get_length(bufferevent_get_input(bev)) > 0;
  }

  /// Finishes from the loop, never from within `Send`.
  void FinishSoon(HttpResult result) {
    pending_ = std::move(result);
    event_active(timer_, EV_TIMEOUT, 0);
  }

  void Finish(const HttpResult& result) {
    event_del(timer_);
    if (broken_) Drop();
    const Done done = std::exchange(done_, nullptr);
    if (done) done(result);
    // A request made by `done` on the broken connection is answered first.
    if (broken_ && !busy()) Lose();
  }

  void Lose() {
    Drop();
    const auto lost = std::exchange(lost_, nullptr);
    if (lost) lost();
  }

  void Drop() {
    evhttp_connection* evcon = std::exchange(evcon_, nullptr);
    if (evcon == nullptr) return;
    evhttp_connection_set_closecb(evcon, nullptr, nullptr);
    bufferevent* bev = evhttp_connection_get_bufferevent(evcon);
    evbuffer_remove_cb(bufferevent_get_output(bev), OnOutput, this);
    evbuffer_remove_cb(bufferevent_get_input(bev), OnInput, this);
    if (depth_ == 0) {
      evhttp_connection_free(evcon);
      return;
    }
    // Within one of evhttp's own callbacks, which goes on using it.
    const timeval now{0, 0};
    event_base_once(base_, -1, EV_TIMEOUT, FreeLater, evcon, &now);
  }

  /// Runs out at the deadline, or sooner when nothing comes from now on.
  void ArmTimer() {
    const core::TimePoint now = std::chrono::steady_clock::now();
    core::TimePoint end = limits_.deadline;
    const bool silence_counts = limits_.inactivity_timeout.count() > 0;
    if (silence_counts) end = std::min(end, now + limits_.inactivity_timeout);
    const timeval wait =
        ToTimeval(std::chrono::ceil<std::chrono::microseconds>(end - now));
    event_add(timer_, &wait);
  }

  void SetNoDelayOnce() {
    const evutil_socket_t fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(evcon_));
    if (fd < 0) return;
    SetNoDelay(fd);
    DetectSilence(fd);
    no_delay_ = true;
  }

  event_base* base_;
  const std::string address_;
  std::function<void()> lost_;
  evhttp_connection* evcon_ = nullptr;
  event* timer_ = nullptr;
  Done done_;
  core::AnswerLimits limits_;
  std::optional<HttpResult> pending_;
  bool sent_ = false;
  bool broken_ = false;
  bool no_delay_ = false;
  bool sending_ = false;
  int depth_ = 0;
};

HttpConnection::HttpConnection(event_base* base, const std::string& address,
                               std::function<void()> lost)
    : impl_(std::make_shared<Impl>(base, address, std::move(lost))) {}
HttpConnection::~HttpConnection() { impl_->Close(); }

void HttpConnection::Send(const std::string& method, const std::string& path,
                          const std::string& body,
                          const core::AnswerLimits& limits, Done done,
                          const std::map<std::string, std::string>& headers) {
  impl_->Send(method, path, body, limits, std::move(done), headers);
}
void HttpConnection::Send(const std::string& method, const std::string& path,
                          const std::string& body, core::TimePoint deadline,
                          Done done,
                          const std::map<std::string, std::string>& headers) {
  Send(method, path, body, core::AnswerLimits{deadline}, std::move(done),
       headers);
}
bool HttpConnection::busy() const { return impl_->busy(); }
bool HttpConnection::open() const { return impl_->open(); }
void HttpConnection::Close() { impl_->Close(); }

}  // namespace ryefold::wire
