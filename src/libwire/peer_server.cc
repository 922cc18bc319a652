#include <event2/event.h>
#include <event2/listener.h>

#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http2_link.h"
#include "ryefold/wire/net.h"
#include "ryefold/wire/peer.h"

namespace ryefold::wire {
namespace {

constexpr size_t kMaxCallBody = size_t{4} << 20;

}  // namespace

struct PeerCall::State {
  PeerServerLink* link = nullptr;
  int32_t stream = 0;
  std::string path;
  std::string body;
  OutgoingBody answer;
  std::function<void()> gone;
  /// A reply or a refusal was given; only the first counts.
  bool answered = false;
};

/// One peer's connection.
class PeerServerLink : public Http2Link {
 public:
  PeerServerLink(event_base* base, PeerServer::Impl* server)
      : Http2Link(base, Side::kServer), server_(server) {}
  ~PeerServerLink() override;

  void Reply(PeerCall::State* call, const std::string& body);
  void Refuse(PeerCall::State* call);
  void Goaway();
  size_t in_progress() const { return calls_.size() + (unsent() > 0 ? 1 : 0); }

 private:
  void OnDown() override;
  void OnBegin(int32_t stream) override;
  void OnHeader(int32_t stream, std::string_view name,
                std::string_view value) override;
  void OnData(int32_t stream, std::string_view data) override;
  void OnEnd(int32_t stream) override;
  void OnClosed(int32_t stream, uint32_t error) override;

  PeerCall::State* Find(int32_t stream);
  void Gone(PeerCall::State* call);

  PeerServer::Impl* server_;
  std::unordered_map<int32_t, std::shared_ptr<PeerCall::State>> calls_;
};

class PeerServer::Impl {
 public:
  Impl(event_base* base, Handler handler)
      : base_(base), handler_(std::move(handler)) {
    deliver_ = event_new(base, -1, 0, OnDeliver, this);
  }

  ~Impl() {
    pause_.reset();
    if (listener_ != nullptr) evconnlistener_free(listener_);
    links_.clear();
    ended_.clear();
    event_free(deliver_);
  }

  std::string Listen(const std::string& address) {
    std::string error;
    listener_ = Bind(base_, address, &error);
    if (listener_ == nullptr) return error;
    evconnlistener_set_cb(listener_, OnAccept, this);
    pause_ = std::make_unique<AcceptPause>(base_, listener_);
    port_ = PortOf(evconnlistener_get_fd(listener_));
    return {};
  }

  void StopAccepting() {
    pause_.reset();
    if (listener_ != nullptr) evconnlistener_free(listener_);
    listener_ = nullptr;
    for (auto& [raw, link] : links_) link->Goaway();
  }

  uint16_t port() const { return port_; }
  size_t connections() const { return links_.size(); }

  size_t in_progress() const {
    size_t count = 0;
    for (const auto& [raw, link] : links_) count += link->in_progress();
    return count;
  }

  void Handle(std::shared_ptr<PeerCall::State> call) {
    arrived_.push_back(std::move(call));
    event_active(deliver_, 0, 0);
  }

  void Tell(std::function<void()> gone) {
    gone_.push_back(std::move(gone));
    event_active(deliver_, 0, 0);
  }

  void End(PeerServerLink* link) {
    auto node = links_.extract(link);
    ended_.push_back(std::move(node.mapped()));
    event_active(deliver_, 0, 0);
  }

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg) {
    auto* self = static_cast<Impl*>(arg);
    auto link = std::make_unique<PeerServerLink>(self->base_, self);
    link->Accept(fd);
    PeerServerLink* raw = link.get();
    self->links_[raw] = std::move(link);
  }

  static void OnDeliver(evutil_socket_t, int16_t, void* arg) {
    static_cast<Impl*>(arg)->Deliver();
  }

  void Deliver() {
    ended_.clear();
    std::vector<std::function<void()>> gone;
    gone.swap(gone_);
    for (const auto& tell : gone) tell();
    std::vector<std::shared_ptr<PeerCall::State>> arrived;
    arrived.swap(arrived_);
    for (auto& call : arrived) {
      if (call->link == nullptr) continue;  // reset before it was looked at
      handler_(PeerCall(std::move(call)));
    }
  }

  event_base* base_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
  std::unique_ptr<AcceptPause> pause_;
  event* deliver_ = nullptr;
  uint16_t port_ = 0;
  std::unordered_map<PeerServerLink*, std::unique_ptr<PeerServerLink>> links_;
  std::vector<std::unique_ptr<PeerServerLink>> ended_;
  std::vector<std::shared_ptr<PeerCall::State>> arrived_;
  std::vector<std::function<void()>> gone_;
};

PeerServerLink::~PeerServerLink() {
  for (auto& [stream, call] : calls_) call->link = nullptr;
}

void PeerServerLink::Reply(PeerCall::State* call, const std::string& body) {
  static const std::string_view name = ":status";
  static const std::string_view value = "200";
  call->answered = true;
  call->gone = nullptr;
  call->answer.text = body;
  const nghttp2_nv status = StaticHeader(name, value);
  const nghttp2_data_provider provider = call->answer.provider();
  nghttp2_submit_response(session(), call->stream, &status, 1, &provider);
  FlushSoon();
}

void PeerServerLink::Refuse(PeerCall::State* call) {
  call->answered = true;
  call->gone = nullptr;
  nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, call->stream,
                            NGHTTP2_REFUSED_STREAM);
  FlushSoon();
}

/// Leaves closing to the client: a close from here could overtake the GOAWAY
/// that tells the client which of its calls were never looked at.
void PeerServerLink::Goaway() {
  nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session()),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  FlushSoon();
}

void PeerServerLink::OnDown() {
  for (auto& [stream, call] : calls_) Gone(call.get());
  calls_.clear();
  server_->End(this);
}

void PeerServerLink::OnBegin(int32_t stream) {
  auto call = std::make_shared<PeerCall::State>();
  call->link = this;
  call->stream = stream;
  calls_[stream] = std::move(call);
}

void PeerServerLink::OnHeader(int32_t stream, std::string_view name,
                              std::string_view value) {
  if (name != ":path") return;
  if (PeerCall::State* call = Find(stream)) call->path = value;
}

void PeerServerLink::OnData(int32_t stream, std::string_view data) {
  PeerCall::State* call = Find(stream);
  if (call == nullptr || call->answered) return;
  if (call->body.size() + data.size() > kMaxCallBody) return Refuse(call);
  call->body += data;
}

void PeerServerLink::OnEnd(int32_t stream) {
  const auto found = calls_.find(stream);
  if (found == calls_.end() || found->second->answered) return;
  server_->Handle(found->second);
}

void PeerServerLink::OnClosed(int32_t stream, uint32_t /*error*/) {
  const auto found = calls_.find(stream);
  if (found == calls_.end()) return;
  Gone(found->second.get());
  calls_.erase(found);
}

PeerCall::State* PeerServerLink::Find(int32_t stream) {
  const auto found = calls_.find(stream);
  return found == calls_.end() ? nullptr : found->second.get();
}

void PeerServerLink::Gone(PeerCall::State* call) {
  call->link = nullptr;
  auto gone = std::exchange(call->gone, nullptr);
  if (gone && !call->answered) server_->Tell(std::move(gone));
}

const std::string& PeerCall::path() const { return state_->path; }
const std::string& PeerCall::body() const { return state_->body; }

void PeerCall::Reply(const std::string& body) const {
  if (state_->link == nullptr || state_->answered) return;
  state_->link->Reply(state_.get(), body);
}

void PeerCall::Refuse() const {
  if (state_->link == nullptr || state_->answered) return;
  state_->link->Refuse(state_.get());
}

void PeerCall::OnGone(std::function<void()> gone) const {
  if (state_->link != nullptr && !state_->answered) {
    state_->gone = std::move(gone);
  }
}

PeerServer::PeerServer(event_base* base, Handler handler)
    : impl_(std::make_unique<Impl>(base, std::move(handler))) {}
PeerServer::~PeerServer() = default;
std::string PeerServer::Listen(const std::string& address) {
  return impl_->Listen(address);
}
uint16_t PeerServer::port() const { return impl_->port(); }
void PeerServer::StopAccepting() { impl_->StopAccepting(); }
size_t PeerServer::in_progress() const { return impl_->in_progress(); }
size_t PeerServer::connections() const { return impl_->connections(); }

}  // namespace ryefold::wire
