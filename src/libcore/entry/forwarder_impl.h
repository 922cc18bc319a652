#pragma once

// Implementation of `Forwarder`.

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "backoff.h"
#include "hearing.h"
#include "ryefold/core/admission/queue.h"
#include "ryefold/core/entry/forwarder.h"

namespace ryefold::core::entry {

/// Processing phase of a request.
enum class Phase : uint8_t {
  kForwarding,  ///< The request is being sent to an instance that serves it.
  kSettling,  ///< The outcome is being settled; the request is not sent again.
};

/// One request in progress.
struct Pending {
  RequestTag tag = 0;
  StatementRequest request;
  Phase phase = Phase::kForwarding;
  /// Forwarded copies without an answer.
  std::set<CallId> open;
  /// True if a copy may have arrived and its outcome will not be reported.
  bool lost = false;
  /// Settle calls without an answer.
  std::set<CallId> settles;
  /// Call monitored for timeouts: the last copy, or the last settle call.
  CallId watched = 0;
  /// Instances tried since the last start from the top of the ranking.
  std::vector<std::string> tried;
  uint32_t rounds = 0;
  /// Number of copies lost because their instance failed.
  uint32_t losses = 0;
  /// Time of the next retry; `TimePoint::max()` if none is scheduled.
  TimePoint retry_at = TimePoint::max();
  /// Time of the next check of this request.
  TimePoint due = TimePoint::max();

  bool in_transaction() const { return !request.transaction.empty(); }
  bool commits() const { return request.step == Step::kCommit; }
  /// Returns true if no copy has run or can still run.
  bool surely_not_run() const {
    return phase == Phase::kForwarding && open.empty() && !lost;
  }
};

class Forwarder::Impl {
 public:
  Impl(Ranking ranking, ForwarderTiming timing, uint64_t seed);

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);
  TimePoint next_deadline() const;
  size_t in_progress() const { return requests_.size(); }

 private:
  struct Call {
    RequestTag tag = 0;
    std::string instance;
    TimePoint sent;
    bool settles = false;
  };

  void On(const RequestArrived& event);
  void On(const RequestAbandoned& event);
  void On(const PeerAnswered& event);
  void On(const PeerFailed& event);
  void On(const ProbeAnswered& event);
  void On(const Tick& event);

  // Sending.
  void SendNext(Pending* pending);
  std::optional<std::string> NextTarget(Pending* pending) const;
  void Send(Pending* pending, const std::string& instance);
  void EndOfWalk(Pending* pending);
  bool PlanRetry(Pending* pending);
  void RetryLater(Pending* pending, Reason reason);
  void BeginSettling(Pending* pending);

  // Answers and failures.
  void ForwardAnswered(Pending* pending, const StatementAnswer& answer,
                       bool latest);
  void SettleAnswered(Pending* pending, const StatementAnswer& answer,
                      bool latest);
  void NeverArrived(Pending* pending);
  void MayBeLost(Pending* pending);
  void FellSilent(Pending* pending);
  void FindOut(Pending* pending);

  // Timers.
  void LookAt(Pending* pending);
  void Reschedule(Pending* pending);

  // Final answers.
  void Finish(Pending* pending, StatementAnswer answer);
  void FinishUnknown(Pending* pending, Reason reason);
  void GiveUp(Pending* pending, Reason reason);
  void Remove(Pending* pending);

  bool StillWaits(Pending* pending, const Call& call);
  void Heard(const std::string& instance);
  void Failed(const std::string& instance);

  Ranking ranking_;
  Hearing hearing_;
  Backoff backoff_;
  admission::RetryBudget budget_;
  std::unordered_map<RequestTag, Pending> requests_;
  std::unordered_map<CallId, Call> calls_;
  std::set<std::pair<TimePoint, RequestTag>> due_;
  CallId next_call_ = 1;
  /// Time of the event being handled.
  TimePoint now_;
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace ryefold::core::entry
