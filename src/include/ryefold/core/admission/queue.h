#pragma once

// The queue in front of a group: strict order between priority classes, fair
// shares of workspaces within one, early refusal.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/outcome.h"
#include "ryefold/core/policy.h"
#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// One waiting request.
struct Ticket {
  uint64_t tag = 0;
  std::string workspace;
  TimePoint deadline;
  TimePoint enqueued;
  /// Belongs to an open transaction: served before anything new, so that what
  /// holds a connection is not starved by what waits for one.
  bool in_transaction = false;
};

/// Why a ticket was not taken, and when to come back.
struct Refusal {
  uint64_t tag = 0;
  Reason reason = Reason::kOverloaded;
  std::chrono::milliseconds retry_after{0};
};

/// Deficit round robin over workspaces within strict classes. Owned by one
/// keeper; not thread-safe.
class Queue {
 public:
  Queue(std::vector<WorkspacePolicy> workspaces, uint32_t limit);
  ~Queue();

  /// New weights, classes or limit; what waits stays.
  void SetPolicies(std::vector<WorkspacePolicy> workspaces, uint32_t limit);

  /// Takes the ticket, or refuses it, or refuses ones of lower classes to make
  /// room: everything refused is returned and was never sent. A ticket is
  /// refused when, at the measured drain rate, what stands before it would
  /// take longer than its deadline allows.
  std::vector<Refusal> Push(TimePoint now, Ticket ticket);

  /// Takes the next ticket for which `can_run` holds, in order. Tickets that
  /// cannot run now (say, a write while there is no primary) are passed over
  /// and keep their place.
  std::optional<Ticket> Pop(TimePoint now,
                            const std::function<bool(const Ticket&)>& can_run);

  /// Removes and returns every ticket whose deadline has come, or that at the
  /// present drain rate will not be served in time, with when to come back.
  std::vector<Refusal> Expire(TimePoint now);

  /// Removes one ticket; false when it is not here.
  bool Remove(uint64_t tag);

  /// Removes every ticket for which `drop` holds, as refused for `reason`.
  std::vector<Refusal> Drop(TimePoint now, Reason reason,
                            const std::function<bool(const Ticket&)>& drop);

  /// Tells that one statement finished, for the measured drain rate.
  void Finished(TimePoint now);

  /// Time until a new ticket of this workspace would be served, by the
  /// measured drain rate.
  std::chrono::milliseconds expected_wait(TimePoint now,
                                          const std::string& workspace) const;

  size_t size() const;
  /// Earliest deadline of any ticket; the far future when there is none.
  TimePoint next_deadline() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Limits retries to a fraction of first tries, so that a failing group does
/// not get more load than a healthy one.
class RetryBudget {
 public:
  /// `ratio` retries are earned per first try, up to `burst` saved.
  RetryBudget(double ratio, double burst)
      : ratio_(ratio), burst_(burst), saved_(burst) {}

  void FirstTry();
  /// Takes one retry; false when the budget is spent.
  bool TakeRetry();

 private:
  double ratio_;
  double burst_;
  double saved_;
};

/// How connections to one database are shared between workspaces: each may
/// hold its share while others want theirs, and borrow what nobody wants.
class ConnectionShares {
 public:
  ConnectionShares(std::vector<WorkspacePolicy> workspaces, uint32_t usable);

  void SetPolicies(std::vector<WorkspacePolicy> workspaces, uint32_t usable);

  /// Whether `workspace` may take one more connection now. `wanted` names the
  /// workspaces that have requests waiting.
  bool MayTake(const std::string& workspace,
               const std::vector<std::string>& wanted) const;
  void Take(const std::string& workspace);
  void Release(const std::string& workspace);
  uint32_t held(const std::string& workspace) const;

 private:
  struct Entry {
    std::string workspace;
    uint32_t share = 1;
    uint32_t held = 0;
  };
  Entry* Find(const std::string& workspace);
  const Entry* Find(const std::string& workspace) const;

  std::vector<Entry> entries_;
  uint32_t usable_ = 0;
};

}  // namespace ryefold::core::admission
