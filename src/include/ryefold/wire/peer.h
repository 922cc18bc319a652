#pragma once

// Streams between instances: HTTP/2 by nghttp2 over libevent, one connection
// for each pair of instances and direction, one stream for each call. Bodies
// are msgpack maps (see peer_codec.h).

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "ryefold/core/types.h"
#include "ryefold/wire/http.h"

namespace ryefold::wire {

class PeerServerLink;
class PeerClientLink;

/// One call from a peer being answered. Copyable handle; the first `Reply`
/// counts, later ones and ones to a lost peer do nothing.
class PeerCall {
 public:
  struct State;
  explicit PeerCall(std::shared_ptr<State> state) : state_(std::move(state)) {}

  const std::string& path() const;
  const std::string& body() const;
  void Reply(const std::string& body) const;
  /// Refuses the stream before anything was done with it; the caller sees
  /// `kNotSent`.
  void Refuse() const;
  /// Called, at most once, when the peer resets the stream or is lost.
  void OnGone(std::function<void()> gone) const;

 private:
  std::shared_ptr<State> state_;
};

class PeerServer {
 public:
  using Handler = std::function<void(PeerCall)>;

  PeerServer(event_base* base, Handler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// "ip:port", port 0 picks a free one. An error text, empty on success.
  std::string Listen(const std::string& address);
  uint16_t port() const;
  /// Accepts nothing new and sends GOAWAY; streams in progress go on.
  void StopAccepting();
  /// Calls not yet answered, and connections with answers not yet written.
  size_t in_progress() const;
  size_t connections() const;

  class Impl;

 private:
  std::unique_ptr<Impl> impl_;
};

struct PeerResult {
  /// `kNotSent` only if the peer cannot have acted on the call: never written,
  /// refused, or numbered beyond a GOAWAY.
  CallStatus status = CallStatus::kLost;
  std::string body;
};

/// How long a call is waited for, and what silence of the peer does to it.
struct CallTerms {
  /// The stream is reset then and reported as lost (or not sent).
  core::TimePoint deadline;
  /// If set, the call is held back until the peer has shown that it lives, and
  /// given up as not sent at this time. A peer that has lost power or is
  /// partitioned then costs its callers this long and leaves nothing in doubt.
  core::TimePoint alive_by;
  /// Given up as lost soon after the peer has fallen silent.
  bool lost_in_silence = false;
};

/// Client side of one pair. Connects on the first call, reconnects on the next
/// call after a loss. Calls waiting for the connection count as not sent.
class PeerClient {
 public:
  using Done = std::function<void(const PeerResult&)>;

  PeerClient(event_base* base, const std::string& address);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Returns an id for `Cancel`.
  uint64_t Call(const std::string& path, std::string body,
                const CallTerms& terms, Done done);
  uint64_t Call(const std::string& path, std::string body,
                core::TimePoint deadline, Done done);
  /// Resets the stream; `done` is not called any more.
  void Cancel(uint64_t call);

  /// Bytes written and read so far, framing included.
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

  class Impl;

 private:
  /// Shared with callbacks, in which the client may be destroyed.
  std::shared_ptr<Impl> impl_;
};

}  // namespace ryefold::wire
