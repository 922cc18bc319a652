#pragma once

// Queue in front of a group: strict order between priority classes, weighted
// fair shares of workspaces within a class, early refusal.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ryefold/core/admission/work_estimator.h"
#include "ryefold/core/outcome.h"
#include "ryefold/core/policy.h"
#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// One queued request.
struct Ticket {
  uint64_t tag = 0;
  std::string workspace;
  TimePoint deadline;
  TimePoint enqueued;
  /// Time until which the caller certainly waits for an answer, retries
  /// included; epoch if it is not known. Bounds the retry delay of a refusal.
  TimePoint patience;
  /// True for a step of an open transaction. Such steps are served before all
  /// other tickets, so that a transaction that holds a connection is not
  /// starved by requests that wait for one.
  bool in_transaction = false;
};

/// A refused ticket with the reason and the suggested retry delay.
struct Refusal {
  uint64_t tag = 0;
  Reason reason = Reason::kOverloaded;
  std::chrono::milliseconds retry_after{0};
  /// The planned retry was later than the caller's patience allows and was
  /// replaced by an earlier one.
  bool moved_up = false;
};

/// What the shares of a class count.
enum class QueueShares : uint8_t {
  kRequests,  ///< Each ticket counts alike.
  kWork,      ///< Each ticket counts by its expected time at the database.
};

/// Deficit round robin over workspaces within strict priority classes. Each
/// keeper owns its queue; not thread-safe.
class Queue {
 public:
  /// `seed` initializes the jitter of the retry delays of refused callers.
  /// `work` must outlive the queue; with it, shares and expected waits count
  /// the work of tickets. Null: each ticket counts as 1.
  Queue(const std::vector<WorkspacePolicy>& workspaces, uint32_t limit,
        uint64_t seed = 0, const WorkEstimator* work = nullptr);
  ~Queue();
  Queue(const Queue&) = delete;
  Queue& operator=(const Queue&) = delete;

  /// Applies new weights, classes and limit. Queued tickets stay queued.
  void SetPolicies(const std::vector<WorkspacePolicy>& workspaces,
                   uint32_t limit);

  /// Queues the ticket, refuses it, or refuses a queued one to make room.
  /// Returns the refused tickets; none of them was sent.
  ///
  /// A ticket is refused when, at the measured drain rate, the tickets ahead of
  /// it take longer than its deadline allows. A full queue makes room by
  /// refusing the newest ticket of the most loaded workspace of the lowest
  /// class. Tags must be unique among queued tickets.
  std::vector<Refusal> Push(TimePoint now, Ticket ticket);

  /// Removes and returns the first ticket, in service order, for which
  /// `can_run` holds; nullopt if there is none. Tickets that cannot run (for
  /// example a write while there is no primary) keep their place; each costs
  /// one call of `can_run`.
  std::optional<Ticket> Pop(TimePoint now,
                            const std::function<bool(const Ticket&)>& can_run);

  /// Removes every ticket whose deadline has passed or that cannot be served in
  /// time at the current drain rate, and returns them as refused. Deadlines are
  /// checked on each call, the drain rate every 20 ms at most.
  std::vector<Refusal> Expire(TimePoint now);

  /// Removes one ticket. Returns false if no ticket with this tag is queued.
  bool Remove(uint64_t tag);

  /// Removes every ticket for which `drop` holds and returns them as refused
  /// for `reason`.
  std::vector<Refusal> Drop(TimePoint now, Reason reason,
                            const std::function<bool(const Ticket&)>& drop);

  /// Must be called whenever the group starts or stops running statements.
  /// While no statement runs, tickets wait for something other than capacity
  /// (for example a primary), and the time does not lower the measured drain
  /// rate.
  void SetStatementsRunning(TimePoint now, bool running);

  /// Replaces the measured drain rate by `per_second`. A queue that is rarely
  /// filled for long cannot measure its rate: after a standstill it keeps
  /// refusing by the low rate that it measured then, because refused tickets
  /// are never served and so never raise the rate.
  void SetDrainRate(double per_second);

  /// Records a finished statement for the drain rate.
  void RecordFinished(TimePoint now);

  /// Returns the estimated time until a new ticket of this workspace is served,
  /// at the measured drain rate.
  std::chrono::milliseconds expected_wait(TimePoint now,
                                          const std::string& workspace) const;

  /// Returns the priorities of the classes that serve cheap statements first,
  /// since they could not be served completely within the last second. Always
  /// empty if tickets count alike.
  std::vector<uint32_t> short_classes(TimePoint now) const;

  size_t size() const;
  /// Returns the workspaces that have queued tickets, for `ConnectionShares`.
  std::vector<std::string> waiting_workspaces() const;
  /// Returns the earliest deadline of all tickets, or `TimePoint::max()` if the
  /// queue is empty.
  TimePoint next_deadline() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Limits retries to a fraction of first attempts, so that a failing group does
/// not receive more load than a healthy one.
class RetryBudget {
 public:
  /// Each first attempt adds `ratio` retries to the budget, up to `burst`.
  RetryBudget(double ratio, double burst)
      : ratio_(ratio), burst_(burst), available_(burst) {}

  void RecordFirstAttempt();
  /// Consumes one retry. Returns false if the budget is exhausted.
  bool TakeRetry();

 private:
  double ratio_;
  double burst_;
  double available_;
};

/// Divides the connections to one database between workspaces. Each workspace
/// may hold its share while others wait for theirs, and may borrow unused
/// shares. A workspace without a policy has no share and can only borrow.
class ConnectionShares {
 public:
  ConnectionShares(const std::vector<WorkspacePolicy>& workspaces,
                   uint32_t usable);

  void SetPolicies(const std::vector<WorkspacePolicy>& workspaces,
                   uint32_t usable);

  /// Returns true if `workspace` may take one more connection now.
  /// `contending` lists the workspaces that have requests waiting.
  bool CanAcquire(const std::string& workspace,
                  const std::vector<std::string>& contending) const;

  /// Same as above in constant time, based on `AddWaiting` and `RemoveWaiting`,
  /// which must be called once for each request that starts or stops waiting.
  bool CanAcquire(const std::string& workspace) const;
  void AddWaiting(const std::string& workspace);
  void RemoveWaiting(const std::string& workspace);

  void Acquire(const std::string& workspace);
  void Release(const std::string& workspace);
  uint32_t held(const std::string& workspace) const;

 private:
  struct Entry {
    uint32_t share = 0;
    uint32_t held = 0;
    uint32_t waiting_requests = 0;

    uint32_t unused_share() const { return held < share ? share - held : 0; }
  };
  const Entry& FindEntry(const std::string& workspace) const;
  /// Applies `change` to the entry and updates `reserved_`.
  template <class Change>
  void Update(const std::string& workspace, Change change);
  bool IsGrantable(const Entry& entry, uint32_t reserved) const;

  std::unordered_map<std::string, Entry> entries_;
  uint32_t usable_ = 0;
  uint32_t total_held_ = 0;
  /// Sum of the unused shares of all workspaces that wait for connections.
  uint32_t reserved_ = 0;
};

}  // namespace ryefold::core::admission
