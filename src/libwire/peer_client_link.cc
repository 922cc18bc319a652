#include "peer_client_link.h"

#include <array>
#include <chrono>
#include <utility>

namespace ryefold::wire {
namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t kMaxAnswer = size_t{64} << 20;

}  // namespace

void PeerClientLink::Submit(std::unique_ptr<OutgoingCall> call) {
  const std::array<nghttp2_nv, 4> headers = {
      StaticHeader(":method", "POST"), StaticHeader(":scheme", "http"),
      StaticHeader(":authority", "peer"), StaticHeader(":path", call->path)};
  const nghttp2_data_provider provider = call->body.provider();
  const int32_t stream = nghttp2_submit_request(
      session(), nullptr, headers.data(), headers.size(), &provider, nullptr);
  call->link = this;
  call->stream = stream;
  if (stream < 0) {  // out of stream numbers or memory
    owner_->Settle(call.get(), CallStatus::kNotSent);
    owner_->Drain(this);
    return;
  }
  calls_[stream] = std::move(call);
  FlushSoon();
}

void PeerClientLink::Probe(core::TimePoint now) {
  // One that does not stand yet shows by its settings that the peer lives.
  if (!stands_ || probed_at_ != core::TimePoint()) return;
  probed_at_ = now;
  Ping();
}

void PeerClientLink::OnHeard() {
  heard_at_ = Clock::now();
  probed_at_ = core::TimePoint();
  owner_->Heard(this);
}

void PeerClientLink::Reset(OutgoingCall* call) {
  nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, call->stream,
                            NGHTTP2_CANCEL);
  FlushSoon();
}

void PeerClientLink::OnDown() {
  for (auto& [stream, call] : calls_) {
    owner_->Settle(call.get(),
                   call->sent ? CallStatus::kLost : CallStatus::kNotSent);
  }
  owner_->Lost(this);
}

void PeerClientLink::OnSettings() { owner_->Alive(); }

void PeerClientLink::OnGoaway() { owner_->Drain(this); }

void PeerClientLink::OnData(int32_t stream, std::string_view data) {
  OutgoingCall* call = Find(stream);
  if (call == nullptr || call->settled) return;
  if (call->answer.size() + data.size() > kMaxAnswer) {
    owner_->Settle(call, CallStatus::kLost);
    return Reset(call);
  }
  call->answer += data;
}

void PeerClientLink::OnEnd(int32_t stream) {
  if (OutgoingCall* call = Find(stream)) call->ended = true;
}

void PeerClientLink::OnClosed(int32_t stream, uint32_t error) {
  OutgoingCall* call = Find(stream);
  if (call == nullptr) return;
  CallStatus status = CallStatus::kLost;
  if (call->ended && error == NGHTTP2_NO_ERROR) status = CallStatus::kOk;
  if (error == NGHTTP2_REFUSED_STREAM) status = CallStatus::kNotSent;
  owner_->Settle(call, status);
  Remove(stream);
}

void PeerClientLink::OnSentWhole(int32_t stream) {
  if (OutgoingCall* call = Find(stream)) call->sent = true;
}

void PeerClientLink::OnNotSent(int32_t stream) {
  OutgoingCall* call = Find(stream);
  if (call == nullptr) return;
  owner_->Settle(call, CallStatus::kNotSent);
  Remove(stream);
}

OutgoingCall* PeerClientLink::Find(int32_t stream) {
  const auto found = calls_.find(stream);
  return found == calls_.end() ? nullptr : found->second.get();
}

void PeerClientLink::Remove(int32_t stream) {
  calls_.erase(stream);
  owner_->Drained(this);
}

}  // namespace ryefold::wire
