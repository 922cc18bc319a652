#pragma once

// Implementation of `Queue`.

#include <chrono>
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
inline constexpr uint32_t kLastClass = std::numeric_limits<uint32_t>::max();

class Queue::Impl {
 public:
  explicit Impl(uint64_t seed) : plan_(seed) {}

  void SetPolicies(const std::vector<WorkspacePolicy>& workspaces,
                   uint32_t limit);
  std::vector<Refusal> Push(TimePoint now, Ticket ticket);
  std::optional<Ticket> Pop(TimePoint now, const CanRun& can_run);
  std::vector<Refusal> Expire(TimePoint now);
  bool Remove(uint64_t tag);
  std::vector<Refusal> Drop(TimePoint now, Reason reason, const CanRun& drop);
  void SetWorking(TimePoint now, bool working);
  void SetRate(double per_second) { given_rate_ = per_second; }
  void Finished(TimePoint now);
  std::chrono::milliseconds ExpectedWait(TimePoint now,
                                         const std::string& workspace) const;
  std::vector<std::string> Waiting() const;
  size_t size() const { return places_.size(); }
  TimePoint next_deadline() const {
    return deadlines_.empty() ? TimePoint::max() : deadlines_.begin()->first;
  }

 private:
  struct Place {
    PriorityClass* home = nullptr;
    /// Null for a ticket of an open transaction.
    Line* line = nullptr;
    Tickets::iterator ticket;
  };

  struct Policy {
    uint32_t priority = kLastClass;
    double weight = 1;
  };

  /// Position at which a new ticket of a workspace would be inserted.
  struct Standing {
    uint32_t priority = kLastClass;
    double weight = 1;
    size_t waiting = 0;
  };

  Policy PolicyOf(const std::string& workspace) const;
  Standing StandingOf(const std::string& workspace) const;
  Line* LineOf(const std::string& workspace);
  std::optional<Reason> Judge(TimePoint now, const Ticket& ticket) const;
  std::optional<uint64_t> Victim(const Ticket& ticket) const;
  void Insert(TimePoint now, Ticket ticket);
  std::optional<Ticket> Take(const CanRun& can_run);
  void Forget(const Ticket& ticket);
  std::vector<uint64_t> LateTickets(TimePoint now) const;
  void Advance(TimePoint now) { drain_.Advance(now, busy()); }
  bool busy() const { return working_ && size() > 0; }

  double AheadOfClass(uint32_t priority) const;
  double Ahead(const Standing& standing) const;
  std::optional<double> PresentRate(TimePoint now) const;
  std::optional<double> UsualPerSecond() const;
  std::optional<double> PartOf(std::optional<double> rate, TimePoint now,
                               uint32_t priority) const;
  double WaitSeconds(TimePoint now, const Standing& standing) const;
  Refusal Refuse(TimePoint now, const Ticket& ticket, Reason reason);
  Refusal RefuseWaiting(TimePoint now, uint64_t tag, Reason reason);

  uint32_t limit_ = 0;
  uint64_t next_line_ = 0;
  std::unordered_map<std::string, Policy> policies_;
  std::map<uint32_t, PriorityClass> classes_;
  std::unordered_map<std::string, Line> lines_;
  std::unordered_map<uint64_t, Place> places_;
  std::set<std::pair<TimePoint, uint64_t>> deadlines_;
  size_t transactions_ = 0;
  /// Until `SetStatementsRunning` is called, queued tickets are assumed to wait
  /// for capacity.
  bool working_ = true;
  DrainRate drain_;
  /// Set by `SetDrainRate`; overrides the measured rate.
  std::optional<double> given_rate_;
  /// Typical rate, used for retry delays. By the current rate, callers refused
  /// while nothing is served would get long delays, and the group would be half
  /// idle after its recovery.
  UsualRate usual_;
  ReturnPlan plan_;
  TimePoint next_sweep_ = TimePoint::min();
};

}  // namespace ryefold::core::admission
