#pragma once

// Admits operations by allowances that the owners of the limits' parts grant.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ryefold/core/admission/return_plan.h"
#include "ryefold/core/event.h"
#include "ryefold/core/limits/allowance_ledger.h"
#include "ryefold/core/limits/operation_limiter.h"
#include "ryefold/core/limits/shards.h"

namespace ryefold::core::limits {

/// Questions to other instances.
class AllowancePort {
 public:
  virtual ~AllowancePort() = default;
  /// Leads to `GrantedLimiter::Answered`, at the latest at `deadline`, never
  /// before the call has returned.
  virtual void AskOwner(uint64_t call, const Granter& owner,
                        const AllowanceRequest& request,
                        TimePoint deadline) = 0;
};

/// What a workspace has asked for at this instance, since the start.
struct LimitUsage {
  uint64_t allowed = 0;
  /// Every part had nothing left.
  uint64_t over_limit = 0;
  /// No owner could be asked.
  uint64_t unanswered = 0;
};

/// Asks one owner after the other until one grants. Operations that come while
/// a question is open join the next one.
class GrantedLimiter : public OperationLimiter {
 public:
  GrantedLimiter(Granter self, uint64_t seed, AllowanceLedger* ledger,
                 AllowancePort* port, LimitListener* listener,
                 EventSink* events);

  void SetTable(const ShardTable& table);
  /// Puts a configuration in force; workspaces that it lacks are forgotten.
  void SetConfiguration(
      uint64_t version,
      const std::map<std::string, workspace::WorkspaceRef>& workspaces);

  LimitAnswer Ask(TimePoint now, const workspace::WorkspaceRef& workspace,
                  OperationId operation) override;
  void Cancel(const std::string& workspace, OperationId operation) override;

  /// Nothing: the owner did not answer in time.
  void Answered(TimePoint now, uint64_t call,
                const std::optional<AllowanceAnswer>& answer);

  std::map<std::string, LimitUsage> usage() const;

 private:
  struct Line {
    workspace::WorkspaceRef workspace;
    std::deque<OperationId> waiting;
    /// Question that is open; 0: none.
    uint64_t call = 0;
    uint32_t wanted = 0;
    TimePoint asked_at;
    Granter asked;
    /// Parts in the order in which this instance asks for them, and how many
    /// were tried since the last grant.
    std::vector<uint32_t> order;
    size_t tried = 0;
    /// Parts that answered in this round that they have nothing left.
    size_t dry = 0;
    std::chrono::milliseconds least_wait{0};
    /// Everything is refused at once until then.
    TimePoint refuse_until;
    /// Until when callers have been told to come back.
    TimePoint promised;
    TimePoint told_over_limit;
    LimitUsage usage;
  };
  struct Decision {
    OperationId operation = 0;
    LimitAnswer answer;
  };
  using Decisions = std::vector<Decision>;

  Line* LineOf(const workspace::WorkspaceRef& workspace);
  std::vector<uint32_t> OrderFor(const std::string& workspace) const;
  void Proceed(TimePoint now, Line* line, Decisions* decisions);
  void Take(const AllowanceAnswer& answer, uint32_t wanted, Line* line,
            Decisions* decisions);
  void RefuseWaiting(TimePoint now, Line* line, Decisions* decisions);
  LimitAnswer Refusal(TimePoint now, Line* line);
  bool IsSuspected(TimePoint now, const Granter& owner,
                   const AllowanceRequest& request);
  void Suspect(TimePoint now, const Line& line);
  void Unsuspect(const Granter& owner);
  void TellOverLimit(TimePoint now, Line* line);
  AllowanceRequest RequestFor(const Line& line, uint32_t part) const;
  void Tell(TimePoint now, const Decisions& decisions);

  const Granter self_;
  AllowanceLedger* ledger_;
  AllowancePort* port_;
  LimitListener* listener_;
  EventSink* events_;
  admission::RetryAfterPlanner plan_;
  ShardTable table_;
  uint64_t config_version_ = 0;
  uint64_t last_call_ = 0;
  std::map<std::string, Line> lines_;
  /// Workspace of each open question.
  std::unordered_map<uint64_t, std::string> calls_;
  /// Owners that did not answer and have not been heard since, and when each is
  /// to be probed next. Nothing waits for them.
  std::map<Granter, TimePoint> suspected_;
  /// Owner of each open probe.
  std::unordered_map<uint64_t, Granter> probes_;
};

}  // namespace ryefold::core::limits
