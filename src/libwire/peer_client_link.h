#pragma once

// The client side of one connection between two instances.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "http2_link.h"
#include "ryefold/wire/peer.h"

namespace ryefold::wire {

/// One call. Its body is read by nghttp2 until the stream is closed, so it is
/// kept until then, also when its caller has been answered.
struct OutgoingCall {
  uint64_t id = 0;
  std::string path;
  OutgoingBody body;
  CallTerms terms;
  /// When it is given up: first while it is held back, then while it waits for
  /// its answer. The key in the set of deadlines.
  core::TimePoint deadline;
  /// When its peer's silence is looked at next; the key in the set of watches.
  core::TimePoint watch_at;
  PeerClientLink* link = nullptr;
  /// 0 while it is held back.
  int32_t stream = 0;
  /// Written whole. The peer acts on nothing less.
  bool sent = false;
  /// The answer has arrived whole.
  bool ended = false;
  /// Taken by the caller, or no longer wanted.
  bool settled = false;
  std::string answer;
};

/// Told what becomes of calls and links, partly from within nghttp2: takes
/// notes and acts on them from an event of its own.
class PeerLinkOwner {
 public:
  virtual ~PeerLinkOwner() = default;
  /// The call has its result.
  virtual void Settle(OutgoingCall* call, CallStatus status) = 0;
  /// Bytes arrived.
  virtual void Heard(PeerClientLink* link) = 0;
  /// The peer's process is running.
  virtual void Alive() = 0;
  /// The link takes no more calls; those open go on.
  virtual void Drain(PeerClientLink* link) = 0;
  /// A call has ended.
  virtual void Drained(PeerClientLink* link) = 0;
  /// The link is gone, with all its calls.
  virtual void Lost(PeerClientLink* link) = 0;
};

/// One connection to a peer and the calls on it.
class PeerClientLink : public Http2Link {
 public:
  PeerClientLink(event_base* base, PeerLinkOwner* owner)
      : Http2Link(base, Side::kClient), owner_(owner) {}

  void Submit(std::unique_ptr<OutgoingCall> call);
  void Reset(OutgoingCall* call);
  /// Asks for a sign of life unless that is under way already.
  void Probe(core::TimePoint now);
  bool up() const { return stands_; }
  bool idle() const { return calls_.empty(); }
  /// When bytes last arrived; epoch if never.
  core::TimePoint heard_at() const { return heard_at_; }
  /// Since when a ping is unanswered; epoch when none is.
  core::TimePoint probed_at() const { return probed_at_; }

 private:
  void OnDown() override;
  void OnUp() override { stands_ = true; }
  void OnHeard() override;
  void OnSettings() override;
  void OnGoaway() override;
  void OnData(int32_t stream, std::string_view data) override;
  void OnEnd(int32_t stream) override;
  void OnClosed(int32_t stream, uint32_t error) override;
  void OnSentWhole(int32_t stream) override;
  void OnNotSent(int32_t stream) override;

  OutgoingCall* Find(int32_t stream);
  void Remove(int32_t stream);

  PeerLinkOwner* owner_;
  bool stands_ = false;
  core::TimePoint heard_at_;
  core::TimePoint probed_at_;
  std::unordered_map<int32_t, std::unique_ptr<OutgoingCall>> calls_;
};

}  // namespace ryefold::wire
