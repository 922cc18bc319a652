#pragma once

// Forwards a caller's request from the entry (the instance that received it) to
// the group's keeper (the instance that runs the group's statements), and
// handles refusals, failures and timeouts of the keeper.

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
/// A call to a keeper failed. `may_have_arrived` is false only if the keeper
/// cannot have received the call.
struct PeerFailed {
  CallId call = 0;
  bool may_have_arrived = true;
};
/// An instance answered a probe. An unanswered probe needs no event.
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
/// Checks whether an instance that has not answered any call for the contact
/// timeout still responds.
struct Probe {
  std::string instance;
};
/// Reports to membership that an instance failed to answer, or that it answers
/// again.
struct Suspect {
  std::string instance;
};
struct Trust {
  std::string instance;
};
using Action = std::variant<Respond, Forward, Settle, Suspect, Trust, Probe>;

/// Returns the instances that may keep a group, the intended keeper first and
/// suspected instances last; empty if no instance is known.
using Ranking = std::function<std::vector<std::string>(
    TimePoint now, const std::string& group)>;

struct ForwarderTiming {
  /// A keeper that has an unanswered request and has not answered any call for
  /// this long is probed.
  std::chrono::milliseconds contact_timeout{1000};
  /// An instance that does not answer the probe within this time is suspected.
  /// A non-repeatable request is then settled through the next instance in
  /// rank; a repeatable one is sent to that instance.
  std::chrono::milliseconds probe_timeout{500};
  /// Retries added to the budget per first attempt, and the budget's maximum.
  double retry_ratio = 0.2;
  double retry_burst = 50;
  /// Backoff before the first retry; doubled on each further retry, with
  /// jitter.
  std::chrono::milliseconds backoff{20};
};

/// State machine of one entry, for all groups. Each request gets exactly one
/// answer, at the latest at its deadline:
///
/// - A request goes to the first instance in rank. If it certainly did not
///   arrive, or the instance is leaving or not ready, it goes to the next one,
///   four at most.
/// - A copy that may have arrived and is not answered is followed by another
///   copy only if the request is repeatable. Otherwise the next instance in
///   rank is called to settle the outcome, and the request is never sent again.
///   A refused settle call is not an outcome.
/// - "Not run" is returned only if no copy can have run.
/// - Steps of a transaction go only to the instance that its id names.
/// - Retries are taken from a budget; once it is exhausted, the request is
///   answered at once.
///
/// "Not run" covers this attempt of the caller only, not earlier attempts with
/// the same request id.
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

/// Returns the instance that holds the transaction's connection. A transaction
/// id names it, so that any entry can route the id: "instance~number~nonce".
std::string TransactionKeeper(const std::string& transaction);

}  // namespace ryefold::core::entry
