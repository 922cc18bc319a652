#pragma once

// Implementation of `Queue`.

#include <chrono>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lines.h"
#include "rates.h"
#include "ryefold/core/admission/queue.h"
#include "ryefold/core/admission/return_plan.h"

namespace ryefold::core::admission {

/// Class of workspaces without a policy: lowest priority.
inline constexpr uint32_t kLowestPriority =
    std::numeric_limits<uint32_t>::max();

class Queue::Impl {
 public:
  Impl(uint64_t seed, const WorkEstimator* work)
      : work_(work), retry_after_(seed) {}

  void SetPolicies(const std::vector<WorkspacePolicy>& workspaces,
                   uint32_t limit);
  std::vector<Refusal> Push(TimePoint now, Ticket ticket);
  std::optional<Ticket> Pop(TimePoint now, const TicketPredicate& can_run);
  std::vector<Refusal> Expire(TimePoint now);
  bool Remove(uint64_t tag);
  std::vector<Refusal> Drop(TimePoint now, Reason reason,
                            const TicketPredicate& drop);
  void SetStatementsRunning(TimePoint now, bool running);
  void SetDrainRate(double per_second) { external_rate_ = per_second; }
  void RecordFinished(TimePoint now);
  std::chrono::milliseconds ExpectedWait(TimePoint now,
                                         const std::string& workspace) const;
  std::vector<std::string> WaitingWorkspaces() const;
  std::vector<uint32_t> ShortClasses(TimePoint now) const;
  size_t size() const { return locations_.size(); }
  TimePoint next_deadline() const {
    return deadlines_.empty() ? TimePoint::max() : deadlines_.begin()->first;
  }

 private:
  struct Location {
    PriorityClass* owner = nullptr;
    /// Null for a ticket of an open transaction.
    WorkspaceQueue* queue = nullptr;
    Tickets::iterator ticket;
  };

  struct Policy {
    uint32_t priority = kLowestPriority;
    double weight = 1;
  };

  /// Position at which a new ticket of a workspace would be inserted.
  struct InsertionPoint {
    uint32_t priority = kLowestPriority;
    double weight = 1;
    size_t queued = 0;
    /// Work of the ticket.
    double work = 1;
  };

  Policy PolicyFor(const std::string& workspace) const;
  InsertionPoint InsertionPointFor(const std::string& workspace) const;
  WorkspaceQueue* QueueFor(const std::string& workspace);
  std::optional<Reason> ReasonToRefuse(TimePoint now,
                                       const Ticket& ticket) const;
  std::optional<uint64_t> EvictionCandidate(const Ticket& ticket) const;
  void Insert(TimePoint now, Ticket ticket);
  void SetWork(WorkspaceQueue* queue) const;
  void RecordRequest(TimePoint now, const Ticket& ticket);
  void RecordShortage(TimePoint now, const Ticket& ticket, Reason reason);
  std::optional<Ticket> TakeNext(TimePoint now, const TicketPredicate& can_run);
  void EraseIndexes(const Ticket& ticket);
  std::vector<uint64_t> LateTickets(TimePoint now) const;
  void Advance(TimePoint now) { drain_rate_.Advance(now, IsBusy()); }
  bool IsBusy() const { return statements_running_ && size() > 0; }

  double WorkOf(const std::string& workspace) const;
  double MeanWork() const;
  TimePoint LatestStart(const Ticket& ticket) const;
  bool MayStart(TimePoint now, const Ticket& ticket) const;
  double WorkAheadOfClass(uint32_t priority) const;
  double TicketsAhead(const InsertionPoint& insertion) const;
  std::optional<double> CurrentDrainRate(TimePoint now) const;
  std::optional<double> TypicalDrainRate() const;
  std::optional<double> WorkRate(std::optional<double> rate) const;
  std::optional<double> RateForClass(std::optional<double> rate, TimePoint now,
                                     uint32_t priority) const;
  double EstimateWaitSeconds(TimePoint now, const std::string& workspace) const;
  std::function<double(size_t)> WaitOf(TimePoint now,
                                       const PriorityClass& priority_class,
                                       const WorkspaceQueue& queue,
                                       double before, double rate) const;
  Refusal MakeRefusal(TimePoint now, const Ticket& ticket, Reason reason);
  Refusal RefuseQueued(TimePoint now, uint64_t tag, Reason reason);

  /// Null if tickets count alike.
  const WorkEstimator* work_;
  uint32_t limit_ = 0;
  uint64_t next_queue_id_ = 0;
  std::unordered_map<std::string, Policy> policies_;
  std::map<uint32_t, PriorityClass> classes_;
  std::unordered_map<std::string, WorkspaceQueue> queues_;
  std::unordered_map<uint64_t, Location> locations_;
  std::set<std::pair<TimePoint, uint64_t>> deadlines_;
  size_t transaction_tickets_ = 0;
  /// Until `SetStatementsRunning` is called, queued tickets are assumed to wait
  /// for capacity.
  bool statements_running_ = true;
  DrainRate drain_rate_;
  /// Set by `SetDrainRate`; overrides the measured rate.
  std::optional<double> external_rate_;
  /// Typical rate, used for retry delays. By the current rate, callers refused
  /// while nothing is served would get long delays, and the group would be half
  /// idle after its recovery.
  TypicalRate typical_rate_;
  RetryAfterPlanner retry_after_;
  TimePoint next_sweep_ = TimePoint::min();
};

}  // namespace ryefold::core::admission
