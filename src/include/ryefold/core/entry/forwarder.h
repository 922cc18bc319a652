#pragma once

// What an entry does with a caller's request: which instance keeps the group,
// what to do when that instance refuses, vanishes or stays silent.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "ryefold/core/messages.h"
#include "ryefold/core/outcome.h"
#include "ryefold/core/types.h"

namespace ryefold::core::entry {

using RequestTag = uint64_t;
using CallId = uint64_t;

// ---- events ----

struct RequestArrived {
  RequestTag tag = 0;
  StatementRequest request;
};
struct RequestAbandoned {
  RequestTag tag = 0;
};
/// A keeper answered a forwarded request or a settle call.
struct PeerAnswered {
  CallId call = 0;
  StatementAnswer answer = StatementAnswer::Unknown(Reason::kNone);
};
/// A keeper did not answer. `may_have_arrived` is false only when it cannot
/// have seen the call.
struct PeerFailed {
  CallId call = 0;
  bool may_have_arrived = true;
};
/// An instance answered a probe. One that is not answered needs no event.
struct ProbeAnswered {
  std::string instance;
};
struct Tick {};
using Event = std::variant<RequestArrived, RequestAbandoned, PeerAnswered,
                           PeerFailed, ProbeAnswered, Tick>;

// ---- actions ----

struct Respond {
  RequestTag tag = 0;
  StatementAnswer answer = StatementAnswer::Unknown(Reason::kNone);
};
struct Forward {
  CallId call = 0;
  std::string instance;
  StatementRequest request;
};
struct Settle {
  CallId call = 0;
  std::string instance;
  SettleRequest request;
};
/// Asks whether an instance that has not answered anything for a while is
/// there at all.
struct Probe {
  std::string instance;
};
/// Tells membership that an instance failed to answer, or answered.
struct Suspect {
  std::string instance;
};
struct Trust {
  std::string instance;
};
using Action = std::variant<Respond, Forward, Settle, Suspect, Trust, Probe>;

/// Gives the instances that may keep a group, the intended one first; those
/// suspected come last. Empty when none is known.
using Ranking = std::function<std::vector<std::string>(
    TimePoint now, const std::string& group)>;

struct ForwarderTiming {
  /// A keeper that holds a request and has answered nothing at all for this
  /// long is probed.
  std::chrono::milliseconds patience{1000};
  /// One that does not answer the probe within this time is doubted: the
  /// outcome of a non-repeatable request is then settled through the next in
  /// rank, a repeatable one is sent there.
  std::chrono::milliseconds probe_patience{500};
  /// Retries earned per first try, and how many may be saved up.
  double retry_ratio = 0.2;
  double retry_burst = 50;
  /// First backoff before a retry, doubled with jitter each time.
  std::chrono::milliseconds backoff{20};
};

/// State machine of one entry, for all groups. Each request gets one answer,
/// by its deadline at the latest:
///
/// - It goes to the first in rank, and on to the next, four at most, when it
///   certainly did not arrive or the instance is leaving or not ready.
/// - A copy that may have arrived and is not answered is followed by another
///   one only if the request may be repeated. Otherwise the next in rank is
///   asked to settle what became of it; from then on it is never sent again.
///   A refused settle call is no outcome.
/// - "Not run" is said only when no copy can have run.
/// - Steps of a transaction go only to the instance that its id names.
/// - Retries come out of a budget; when that is spent, the answer is at once.
///
/// An answer "not run" speaks for this attempt of the caller, not for earlier
/// ones with the same request id.
///
/// Owned by one task.
class Forwarder {
 public:
  Forwarder(Ranking ranking, ForwarderTiming timing, uint64_t seed);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);
  TimePoint next_deadline() const;
  size_t in_progress() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Transaction ids name the instance that holds the connection, so that any
/// entry can route them: "instance~number~nonce".
std::string TransactionKeeper(const std::string& transaction);

}  // namespace ryefold::core::entry
