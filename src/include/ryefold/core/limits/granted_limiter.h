#pragma once

// Admits operations with allowances that are requested from the owners of the
// parts of a limit.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "ryefold/core/admission/return_plan.h"
#include "ryefold/core/event.h"
#include "ryefold/core/limits/allowance_ledger.h"
#include "ryefold/core/limits/operation_limiter.h"
#include "ryefold/core/limits/shards.h"

namespace ryefold::core::limits {

/// Sends allowance requests to other instances.
class AllowancePort {
 public:
  virtual ~AllowancePort() = default;
  /// Sends a request. `GrantedLimiter::AllowanceAnswered` is called by
  /// `deadline`, but never before this call returns.
  virtual void RequestAllowance(uint64_t call, const ShardOwner& owner,
                                const AllowanceRequest& request,
                                TimePoint deadline) = 0;
};

/// Admission counts of a workspace at this instance since the process started.
struct LimitUsage {
  uint64_t allowed = 0;
  /// Refused operations of which at least one owner answered and none had
  /// tokens left.
  uint64_t over_limit = 0;
  /// Refused operations of which no owner answered.
  uint64_t unanswered = 0;
};

/// Requests allowances from one owner after another until one grants.
/// Operations that arrive while a request is in flight wait for the next one.
class GrantedLimiter : public OperationLimiter {
 public:
  GrantedLimiter(ShardOwner self, uint64_t seed, AllowanceLedger* ledger,
                 AllowancePort* port, LimitListener* listener,
                 EventSink* events, LimitOrder order = LimitOrder::kArrival);

  void SetTable(const ShardTable& table);
  /// Applies a configuration and discards the state of workspaces that it
  /// lacks.
  void SetConfiguration(
      uint64_t version,
      const std::map<std::string, workspace::WorkspaceRef>& workspaces);

  LimitAnswer RequestAdmission(TimePoint now,
                               const workspace::WorkspaceRef& workspace,
                               OperationId operation,
                               const Urgency& urgency) override;
  void Cancel(const std::string& workspace, OperationId operation) override;

  /// Handles the answer to request `call`; nullopt if the owner did not answer
  /// in time.
  void AllowanceAnswered(TimePoint now, uint64_t call,
                         const std::optional<AllowanceAnswer>& answer);

  std::map<std::string, LimitUsage> usage() const;

 private:
  struct WaitingOperation {
    OperationId operation = 0;
    Urgency urgency;
    /// Waits since before the first owner of this round was asked.
    bool in_round = false;
  };
  /// State of the refusals of one priority.
  struct RefusalState {
    /// Operations of this and less important priorities are refused without a
    /// request until this time.
    TimePoint refuse_until;
    /// Latest retry time that a refused caller was given.
    TimePoint latest_return;
    /// First retry time that the owner's plan left to this instance, and the
    /// interval to the next. In the past if there is no plan.
    TimePoint next_retry;
    TimePoint::duration retry_interval{0};
    /// Refused callers for which the owner planned retries and that were not
    /// given one yet.
    uint32_t planned_retries = 0;
    /// An owner answered the round that led to the refusals.
    bool over_limit = false;
  };
  struct WorkspaceQueue {
    workspace::WorkspaceRef workspace;
    /// Ordered by priority, then by arrival.
    std::deque<WaitingOperation> waiting;
    /// Request in flight, or 0.
    uint64_t call = 0;
    uint32_t wanted = 0;
    TimePoint requested_at;
    ShardOwner requested_from;
    /// Parts in the order in which this instance requests them, and the number
    /// of parts tried since the last full grant.
    std::vector<uint32_t> part_order;
    size_t parts_tried = 0;
    /// Parts whose owners had no tokens left in this round.
    size_t parts_exhausted = 0;
    std::chrono::milliseconds min_wait{0};
    /// Keyed by priority.
    std::map<uint32_t, RefusalState> refusals;
    TimePoint over_limit_logged_at;
    LimitUsage usage;
  };
  struct Decision {
    OperationId operation = 0;
    LimitAnswer answer;
  };
  using Decisions = std::vector<Decision>;

  WorkspaceQueue* QueueOf(const workspace::WorkspaceRef& workspace);
  std::vector<uint32_t> OrderParts(const std::string& workspace) const;
  void RequestNextPart(TimePoint now, WorkspaceQueue* queue,
                       Decisions* decisions);
  void ApplyAnswer(TimePoint now, const AllowanceAnswer& answer,
                   uint32_t wanted, WorkspaceQueue* queue,
                   Decisions* decisions);
  void RefuseWaiting(TimePoint now, WorkspaceQueue* queue,
                     Decisions* decisions);
  LimitAnswer MakeRefusal(TimePoint now, const RefusalState& cause,
                          const Urgency& urgency, WorkspaceQueue* queue);
  std::chrono::milliseconds RetryDelay(TimePoint now, const Urgency& urgency,
                                       double rate, bool over_limit,
                                       RefusalState* state);
  bool IsLastOwner(const WorkspaceQueue& queue) const;
  void TakeRetryPlan(TimePoint now, const AllowanceAnswer& answer,
                     WorkspaceQueue* queue) const;
  bool IsSuspected(TimePoint now, const ShardOwner& owner,
                   const AllowanceRequest& request);
  void MarkSuspected(TimePoint now, const WorkspaceQueue& queue);
  void ClearSuspected(const ShardOwner& owner);
  void LogOverLimit(TimePoint now, WorkspaceQueue* queue);
  AllowanceRequest RequestFor(TimePoint now, const WorkspaceQueue& queue,
                              uint32_t part) const;
  void NotifyListener(TimePoint now, const Decisions& decisions);

  const ShardOwner self_;
  const LimitOrder order_;
  AllowanceLedger* ledger_;
  AllowancePort* port_;
  LimitListener* listener_;
  EventSink* events_;
  admission::RetryAfterPlanner return_plan_;
  std::mt19937_64 random_;
  ShardTable table_;
  uint64_t config_version_ = 0;
  uint64_t last_call_ = 0;
  std::map<std::string, WorkspaceQueue> queues_;
  /// Workspace of each request in flight.
  std::unordered_map<uint64_t, std::string> calls_;
  /// Owners that did not answer in time, with the time of their next probe.
  /// Operations do not wait for them.
  std::map<ShardOwner, TimePoint> suspected_;
  /// Owner of each probe in flight.
  std::unordered_map<uint64_t, ShardOwner> probes_;
};

}  // namespace ryefold::core::limits
