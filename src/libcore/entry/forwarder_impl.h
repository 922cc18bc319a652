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
  std::set<CallId> unanswered_copies;
  /// True if a copy may have arrived and its outcome will not be reported.
  bool outcome_lost = false;
  /// Settle calls without an answer.
  std::set<CallId> settle_calls;
  /// Call monitored for timeouts: the last copy, or the last settle call.
  CallId watched_call = 0;
  /// Instances tried since the last start from the top of the ranking.
  std::vector<std::string> tried;
  uint32_t retry_rounds = 0;
  /// Number of copies lost because their instance failed.
  uint32_t lost_copies = 0;
  /// Time of the next retry; `TimePoint::max()` if none is scheduled.
  TimePoint retry_at = TimePoint::max();
  /// Time of the next check of this request.
  TimePoint due = TimePoint::max();

  bool in_transaction() const { return !request.transaction.empty(); }
  bool is_commit() const { return request.step == Step::kCommit; }
  /// Returns true if no copy has run or can still run.
  bool is_certainly_not_run() const {
    return phase == Phase::kForwarding && unanswered_copies.empty() &&
           !outcome_lost;
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
    bool is_settle = false;
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
  void RestartRanking(Pending* pending);
  bool ScheduleRetry(Pending* pending);
  void RetryOrGiveUp(Pending* pending, Reason reason);
  void BeginSettling(Pending* pending);

  // Answers and failures.
  void OnForwardAnswer(Pending* pending, const StatementAnswer& answer,
                       bool latest);
  void OnSettleAnswer(Pending* pending, const StatementAnswer& answer,
                      bool latest);
  void OnCopyNotDelivered(Pending* pending);
  void OnCopyLost(Pending* pending);
  void OnKeeperUnreachable(Pending* pending);
  void ResolveOutcome(Pending* pending);

  // Timers.
  void ProcessDue(Pending* pending);
  void Reschedule(Pending* pending);

  // Final answers.
  void Finish(Pending* pending, StatementAnswer answer);
  void FinishUnknown(Pending* pending, Reason reason);
  void GiveUp(Pending* pending, Reason reason);
  void Remove(Pending* pending);

  bool ContinueWaiting(Pending* pending, const Call& call);
  void RecordAnswer(const std::string& instance);
  void RecordFailure(const std::string& instance);

  Ranking ranking_;
  PeerHealth health_;
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
