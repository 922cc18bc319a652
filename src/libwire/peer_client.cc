#include <event2/event.h>

#include <algorithm>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peer_client_link.h"
#include "ryefold/wire/net.h"
#include "ryefold/wire/peer.h"

namespace ryefold::wire {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A connection that does not stand after this long is given up.
constexpr milliseconds kConnectTimeout{2000};
/// Calls made this soon after a failed attempt fail at once: a dead peer is to
/// cost one attempt for many calls, not one for each.
constexpr milliseconds kFirstBackoff{20};
constexpr milliseconds kLongestBackoff{500};
/// A peer heard this recently lives: a call may go out at once. Longer than the
/// pauses between calls of a busy pair, so that these need no ping.
constexpr milliseconds kFresh{200};
/// A call unanswered for this long is followed by a ping if nothing at all has
/// come since. Most statements are answered sooner.
constexpr milliseconds kQuiet{150};
/// Time for the answer to a ping beside calls. A process under a processor
/// quota can stand still for a tenth of a second.
constexpr milliseconds kPingTime{150};

}  // namespace

class PeerClient::Impl : public PeerLinkOwner,
                         public std::enable_shared_from_this<Impl> {
 public:
  Impl(event_base* base, const std::string& address)
      : base_(base), endpoint_(ParseEndpoint(address)) {
    deliver_ = event_new(base, -1, 0, OnDeliver, this);
    timer_ = evtimer_new(base, OnTimer, this);
  }

  ~Impl() override { Close(); }

  /// No callback comes after this.
  void Close() {
    if (deliver_ == nullptr) return;
    event_free(std::exchange(deliver_, nullptr));
    event_free(std::exchange(timer_, nullptr));
    held_.clear();
    current_.reset();
    draining_.clear();
    ended_.clear();
    results_.clear();
  }

  uint64_t Call(const std::string& path, std::string body,
                const CallTerms& terms, Done done) {
    const uint64_t id = ++last_id_;
    dones_[id] = std::move(done);
    if (!EnsureLink()) {
      Finish(id, {CallStatus::kNotSent, {}});
      return id;
    }
    auto call = std::make_unique<OutgoingCall>();
    call->id = id;
    call->path = path;
    call->body.text = std::move(body);
    call->terms = terms;
    calls_[id] = call.get();
    const core::TimePoint now = Clock::now();
    const bool held = terms.alive_by != core::TimePoint() &&
                      now - current_->heard_at() > kFresh;
    if (held) {
      SetDeadline(call.get(), terms.alive_by);
      held_.push_back(std::move(call));
      current_->Probe(now);
    } else {
      Send(now, std::move(call));
    }
    return id;
  }

  void Cancel(uint64_t id) {
    dones_.erase(id);
    const auto found = calls_.find(id);
    if (found != calls_.end()) GiveUp(found->second);
  }

  uint64_t bytes_sent() const {
    return Sum(&Http2Link::bytes_sent) + ended_sent_;
  }
  uint64_t bytes_received() const {
    return Sum(&Http2Link::bytes_received) + ended_received_;
  }

  // ---- told by links, from within nghttp2 ----

  /// The call has its result.
  void Settle(OutgoingCall* call, CallStatus status) override {
    if (call->settled) return;
    Forget(call);
    PeerResult result{status, {}};
    if (status == CallStatus::kOk) result.body = std::move(call->answer);
    Finish(call->id, std::move(result));
  }

  void Alive() override { backoff_ = kFirstBackoff; }

  /// What was held back goes out.
  void Heard(PeerClientLink* link) override {
    if (current_.get() != link || held_.empty()) return;
    const core::TimePoint now = Clock::now();
    std::vector<std::unique_ptr<OutgoingCall>> held;
    held.swap(held_);
    for (auto& call : held) Send(now, std::move(call));
  }

  /// Takes no more calls; those open go on.
  void Drain(PeerClientLink* link) override {
    if (current_.get() != link) return;
    FailHeld();
    draining_.push_back(std::move(current_));
    if (link->idle()) Ended(link);
  }

  void Drained(PeerClientLink* link) override {
    if (current_.get() != link && link->idle()) Ended(link);
  }

  void Lost(PeerClientLink* link) override {
    if (!link->up()) BackOff();
    if (current_.get() == link) FailHeld();
    Ended(link);
  }

 private:
  static void OnDeliver(evutil_socket_t, int16_t, void* arg) {
    static_cast<Impl*>(arg)->Deliver();
  }
  static void OnTimer(evutil_socket_t, int16_t, void* arg) {
    static_cast<Impl*>(arg)->Expire();
  }

  bool EnsureLink() {
    if (current_ != nullptr) return true;
    if (!endpoint_.ok || Clock::now() < retry_at_) return false;
    current_ = std::make_unique<PeerClientLink>(base_, this);
    if (!current_->Connect(endpoint_.ip, endpoint_.port)) {
      // Unless the socket's own event has ended it already.
      if (current_ != nullptr) Lost(current_.get());
      return false;
    }
    connect_by_ = Clock::now() + kConnectTimeout;
    Arm(connect_by_);
    return true;
  }

  void Send(core::TimePoint now, std::unique_ptr<OutgoingCall> call) {
    if (current_ == nullptr) {  // ended by the call before this one
      Settle(call.get(), CallStatus::kNotSent);
      return;
    }
    SetDeadline(call.get(), call->terms.deadline);
    if (call->terms.lost_in_silence) Watch(call.get(), now + kQuiet);
    current_->Submit(std::move(call));
  }

  void FailHeld() {
    std::vector<std::unique_ptr<OutgoingCall>> held;
    held.swap(held_);
    for (const auto& call : held) Settle(call.get(), CallStatus::kNotSent);
  }

  void SetDeadline(OutgoingCall* call, core::TimePoint when) {
    deadlines_.erase({call->deadline, call->id});
    call->deadline = when;
    deadlines_.emplace(when, call->id);
    Arm(when);
  }

  void Watch(OutgoingCall* call, core::TimePoint when) {
    watches_.erase({call->watch_at, call->id});
    call->watch_at = when;
    watches_.emplace(when, call->id);
    Arm(when);
  }

  void BackOff() {
    retry_at_ = Clock::now() + backoff_;
    backoff_ = std::min(backoff_ * 2, kLongestBackoff);
  }

  /// Results reach callers from an event of their own, never from within
  /// `Call` or nghttp2.
  void Finish(uint64_t id, PeerResult result) {
    results_.emplace_back(id, std::move(result));
    event_active(deliver_, 0, 0);
  }

  void Deliver() {
    const auto self = shared_from_this();
    for (const auto& link : ended_) {
      ended_sent_ += link->bytes_sent();
      ended_received_ += link->bytes_received();
    }
    ended_.clear();
    std::vector<std::pair<uint64_t, PeerResult>> results;
    results.swap(results_);
    for (const auto& [id, result] : results) {
      auto done = dones_.extract(id);
      if (!done.empty()) done.mapped()(result);
      if (deliver_ == nullptr) return;  // closed by the callback
    }
  }

  void Forget(OutgoingCall* call) {
    call->settled = true;
    calls_.erase(call->id);
    deadlines_.erase({call->deadline, call->id});
    watches_.erase({call->watch_at, call->id});
  }

  void GiveUp(OutgoingCall* call) {
    Forget(call);
    if (call->stream != 0) {
      call->link->Reset(call);
      return;
    }
    std::erase_if(held_,
                  [call](const auto& held) { return held.get() == call; });
  }

  /// The peer of this link keeps silent. Calls that may have had an effect go
  /// on waiting there for an answer, the next ones try a new connection: one
  /// can go silent for good while new ones work.
  void Silent(PeerClientLink* link) {
    if (current_.get() != link) return;
    if (link->up()) {
      Drain(link);
    } else {
      link->Fail();
    }
  }

  /// The call waits for its answer and has to be told of silence.
  void LookAt(core::TimePoint now, OutgoingCall* call) {
    PeerClientLink* link = call->link;
    const core::TimePoint quiet_at = link->heard_at() + kQuiet;
    if (now < quiet_at) {
      Watch(call, quiet_at);
    } else if (link->probed_at() == core::TimePoint()) {
      link->Probe(now);
      Watch(call, now + kPingTime);
    } else if (now < link->probed_at() + kPingTime) {
      Watch(call, link->probed_at() + kPingTime);
    } else {
      Finish(call->id,
             {call->sent ? CallStatus::kLost : CallStatus::kNotSent, {}});
      GiveUp(call);
      Silent(link);
    }
  }

  void Ended(PeerClientLink* link) {
    if (current_.get() == link) {
      ended_.push_back(std::move(current_));
    } else {
      const auto found = std::find_if(
          draining_.begin(), draining_.end(),
          [link](const auto& draining) { return draining.get() == link; });
      if (found == draining_.end()) return;
      ended_.push_back(std::move(*found));
      draining_.erase(found);
    }
    event_active(deliver_, 0, 0);
  }

  /// Sets the timer for `when` unless it is due sooner. It is left alone when
  /// calls end, and looks at what is due when it fires.
  void Arm(core::TimePoint when) {
    if (armed_ && armed_for_ <= when) return;
    armed_ = true;
    armed_for_ = when;
    const timeval wait = ToTimeval(
        std::chrono::ceil<std::chrono::microseconds>(when - Clock::now()));
    event_add(timer_, &wait);
  }

  void Expire() {
    armed_ = false;
    const core::TimePoint now = Clock::now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      OutgoingCall* call = calls_.at(deadlines_.begin()->second);
      const bool held = call->stream == 0;
      const CallStatus status =
          call->sent ? CallStatus::kLost : CallStatus::kNotSent;
      Finish(call->id, {status, {}});
      GiveUp(call);
      if (held && current_ != nullptr) Silent(current_.get());
    }
    while (!watches_.empty() && watches_.begin()->first <= now) {
      LookAt(now, calls_.at(watches_.begin()->second));
    }
    const bool connecting = current_ != nullptr && !current_->up();
    if (connecting && connect_by_ <= now) current_->Fail();
    if (current_ != nullptr && !current_->up()) Arm(connect_by_);
    if (!deadlines_.empty()) Arm(deadlines_.begin()->first);
    if (!watches_.empty()) Arm(watches_.begin()->first);
  }

  uint64_t Sum(uint64_t (Http2Link::*count)() const) const {
    uint64_t sum = current_ == nullptr ? 0 : (current_.get()->*count)();
    for (const auto& link : draining_) sum += (link.get()->*count)();
    return sum;
  }

  event_base* base_;
  const Endpoint endpoint_;
  event* deliver_ = nullptr;
  event* timer_ = nullptr;
  bool armed_ = false;
  core::TimePoint armed_for_;
  core::TimePoint connect_by_;
  core::TimePoint retry_at_;
  milliseconds backoff_ = kFirstBackoff;
  uint64_t last_id_ = 0;
  uint64_t ended_sent_ = 0;
  uint64_t ended_received_ = 0;
  std::unordered_map<uint64_t, Done> dones_;
  std::unordered_map<uint64_t, OutgoingCall*> calls_;
  std::set<std::pair<core::TimePoint, uint64_t>> deadlines_;
  std::set<std::pair<core::TimePoint, uint64_t>> watches_;
  /// Calls that wait for a sign of life, in the order of the calls.
  std::vector<std::unique_ptr<OutgoingCall>> held_;
  std::vector<std::pair<uint64_t, PeerResult>> results_;
  std::unique_ptr<PeerClientLink> current_;
  std::vector<std::unique_ptr<PeerClientLink>> draining_;
  std::vector<std::unique_ptr<PeerClientLink>> ended_;
};

PeerClient::PeerClient(event_base* base, const std::string& address)
    : impl_(std::make_shared<Impl>(base, address)) {}
PeerClient::~PeerClient() { impl_->Close(); }

uint64_t PeerClient::Call(const std::string& path, std::string body,
                          const CallTerms& terms, Done done) {
  return impl_->Call(path, std::move(body), terms, std::move(done));
}
uint64_t PeerClient::Call(const std::string& path, std::string body,
                          core::TimePoint deadline, Done done) {
  return Call(path, std::move(body), CallTerms{deadline, {}, false},
              std::move(done));
}
void PeerClient::Cancel(uint64_t call) { impl_->Cancel(call); }
uint64_t PeerClient::bytes_sent() const { return impl_->bytes_sent(); }
uint64_t PeerClient::bytes_received() const { return impl_->bytes_received(); }

}  // namespace ryefold::wire
