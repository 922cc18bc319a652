#pragma once

// Implementation of the keeper, in keeper.cc (events and views),
// keeper_control.cc (statuses and promotions), keeper_requests.cc (queueing and
// dispatch) and keeper_answers.cc (answers and outcomes).

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/admission/queue.h"
#include "ryefold/core/group/calls.h"
#include "ryefold/core/group/confirmation.h"
#include "ryefold/core/group/following.h"
#include "ryefold/core/group/health.h"
#include "ryefold/core/group/keeper.h"
#include "ryefold/core/group/leadership.h"
#include "ryefold/core/group/pool.h"
#include "ryefold/core/group/promotion.h"
#include "ryefold/core/group/reads.h"
#include "ryefold/core/group/request.h"
#include "ryefold/core/group/resolution.h"
#include "ryefold/core/group/transactions.h"

namespace ryefold::core::group {

/// Time allowed for open transactions when the keeper steps down, and for all
/// open work on a leaving database.
constexpr std::chrono::milliseconds kFinishTimeout{2000};
/// Time allowed for transactions on a leaving primary; writes are held for that
/// long.
constexpr std::chrono::milliseconds kTransactionHandoverTimeout{200};
/// Retry hint given while the keeper steps down: its successor is already
/// available.
constexpr std::chrono::milliseconds kRetryAfterStepDown{20};

class Keeper::Impl {
 public:
  Impl(GroupSpec group, std::vector<WorkspacePolicy> workspaces,
       std::string proposer, std::string preferred_domain, KeeperTiming timing,
       uint64_t seed);

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);
  TimePoint next_deadline() const;
  bool HasSteppedDown() const;
  KeeperView view(TimePoint now) const;

 private:
  // keeper.cc
  void On(const RequestArrived& event);
  void On(const SettleArrived& event);
  void On(const RequestAbandoned& event);
  void On(const ConnectionOpened& event);
  void On(const ConnectionLost& event);
  void On(const ExecuteReturned& event);
  void On(const ControlReturned& event);
  void On(const PolicyChanged& event);
  void On(const StepDown& event);
  void On(const StepUp& event);
  void On(const Tick& event);
  void SetPolicy(GroupSpec group, std::vector<WorkspacePolicy> workspaces);
  void Advance();
  void AdvanceStepDown();
  DatabaseView MakeDatabaseView(TimePoint now, const DatabaseSpec& spec) const;

  // keeper_control.cc
  void PollStatus();
  void OnControlCallFailed(const PendingCall& call, bool refused);
  void OnStatus(const PendingCall& call, const DatabaseStatus& status);
  void ApplyStatus(const std::string& database, const DatabaseStatus& status,
                   TimePoint sent, bool long_poll);
  void DrivePromotion();
  void SendProposalCalls();
  void ProbeReplicas();
  void SendFollowCalls();
  void CloseConnectionsToLost();
  void SendSettleCalls();
  void SendHeartbeatRound();
  void SendProbe(const std::string& database);
  bool IsPrimaryIdle() const;
  /// Returns whether the primary accepts new statements now.
  bool IsPrimaryAvailable() const;
  /// Returns whether requests that need the primary are refused at once instead
  /// of queued.
  bool ShouldFailFast() const;

  // keeper_requests.cc
  void Enqueue(PendingRequest* pending);
  void RefuseFromQueue(const std::vector<admission::Refusal>& refusals);
  bool RefuseOnArrival(const PendingRequest& pending);
  void RefuseWaitingForPrimary();
  std::chrono::milliseconds RetryAfterOutage() const;
  bool IsConfirmationTooSlow(TimePoint deadline) const;
  void DispatchQueue();
  void DispatchRunnable();
  bool IsAnyRunning() const;
  bool HasAnyFreeSlot() const;
  bool CanServeAnyRead() const;
  bool CanRun(const admission::Ticket& ticket, const ReadContext& context);
  bool CanRunInTransaction(PendingRequest* pending);
  bool CanRunOnPrimary(PendingRequest* pending);
  bool CanRunRead(PendingRequest* pending, const ReadContext& context);
  void Dispatch(PendingRequest* pending);
  void EndExpiredTransactions();
  void CloseTransaction(const std::string& id);
  void CloseIdleOnLeaving();
  void RefillPool();
  ReadContext read_context() const;

  // keeper_answers.cc
  void OnAnswer(PendingRequest* pending, ConnectionId connection,
                const ExecuteAnswer& answer);
  void OnReadAnswer(PendingRequest* pending, const ExecuteAnswer& answer);
  void OnWriteAnswer(PendingRequest* pending, const ExecuteAnswer& answer);
  void OnBeginAnswer(PendingRequest* pending, ConnectionId connection,
                     const ExecuteAnswer& answer);
  void OnTransactionAnswer(PendingRequest* pending, ConnectionId connection,
                           const ExecuteAnswer& answer);
  void OnTermRefusal(PendingRequest* pending, const ExecuteAnswer& answer);
  void OnAnswerLost(PendingRequest* pending);
  void PushToQueue(PendingRequest* pending);
  void MarkInDoubt(PendingRequest* pending);
  void AwaitConfirmation(PendingRequest* pending, RequestState state,
                         const LogPosition& position);
  void CheckUnconfirmed();
  void FinishConfirmation(PendingRequest* pending, LogEntryState entry_state);
  void OnDiscarded(PendingRequest* pending);
  void OnSettleAnswer(const PendingCall& call, const SettleAnswer& answer);
  void OnConnectionClosed(const PooledConnection& connection, ConnectionId id);
  void ExpireDeadlines();
  void ExpireRequest(PendingRequest* pending);
  void FinishNotRun(PendingRequest* pending, const NotRunProof& proof,
                    Reason reason, std::chrono::milliseconds retry_after,
                    std::string detail = {});
  void Finish(PendingRequest* pending, StatementAnswer answer);
  void RemoveRequest(PendingRequest* pending);
  PendingRequest* FindRequest(RequestTag tag);
  admission::ConnectionShares& shares(const std::string& database);

  GroupSpec group_;
  std::vector<WorkspacePolicy> workspaces_;
  KeeperTiming timing_;

  HealthMonitor health_;
  ConfirmationTracker confirmation_;
  Leadership leadership_;
  Promotion promotion_;
  FollowScheduler following_;
  InDoubtResolver resolution_;
  ReadPlanner reads_;
  ConnectionPool pool_;
  TransactionTable transactions_;
  CallTable calls_;
  admission::Queue queue_;
  admission::RetryBudget retry_budget_;
  std::map<std::string, admission::ConnectionShares> shares_;

  std::map<RequestTag, PendingRequest> pending_;
  std::set<std::pair<TimePoint, RequestTag>> deadlines_;
  std::set<std::pair<LogPosition, RequestTag>> unconfirmed_;
  /// Unconfirmed requests by the time at which they started to wait.
  std::set<std::pair<TimePoint, RequestTag>> unconfirmed_since_;
  /// Workspaces with queued requests, set while dispatching.
  std::vector<std::string> waiting_workspaces_;

  // The event being handled.
  TimePoint now_;
  std::vector<Action>* actions_ = nullptr;

  /// Where the last examined ticket can run, set while dispatching.
  std::string target_;
  ConnectionId target_connection_ = 0;
  bool reads_possible_ = false;
  uint32_t route_attempts_left_ = 0;
  /// Arrival of the newest read that waits for a heartbeat round.
  std::optional<TimePoint> round_needed_for_;
  /// When a waiting read may become routable.
  TimePoint next_read_check_ = TimePoint::max();
  /// Expected end of the current failover; unset while the primary is
  /// available.
  std::optional<TimePoint> outage_end_;
  /// Until when requests wait in a group without a primary.
  TimePoint primary_deadline_;
  std::set<std::string> disconnected_;
  /// When each leaving database was marked as leaving.
  std::map<std::string, TimePoint> leaving_since_;
  /// Highest log entry written through this keeper.
  LogPosition last_written_;

  bool stepping_down_ = false;
  TimePoint step_down_deadline_;
  bool stepped_down_ = false;

  uint64_t failovers_ = 0;
  uint64_t reads_replica_ = 0;
  uint64_t reads_primary_ = 0;
  uint64_t writes_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace ryefold::core::group
