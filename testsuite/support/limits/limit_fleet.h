#pragma once

// Simulates instances that enforce the workspaces' limits together, in virtual
// time: their store, messages and callers, with the limit rule as the oracle.

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/limits/allowance_ledger.h"
#include "ryefold/core/limits/granted_limiter.h"
#include "ryefold/core/limits/restart_allowance.h"
#include "ryefold/core/limits/shard_assigner.h"
#include "ryefold/core/limits/token_bucket.h"
#include "testsuite/support/session/virtual_clock.h"

namespace ryefold::testsuite {

using core::limits::AllowanceAnswer;
using core::limits::AllowanceRequest;
using core::limits::LimitAnswer;
using core::limits::LimitOrder;
using core::limits::OperationId;
using core::limits::ShardOwner;
using core::limits::ShardTable;
using core::limits::Verdict;
using core::workspace::RateLimit;
using core::workspace::Workspace;
using core::workspace::WorkspaceRef;

/// Tolerance of the oracle beyond rate and burst, and its time window.
struct LimitRule {
  milliseconds window{5000};
  double excess = 0.1;
  double slack = 20;
  /// Time from the store's acknowledgement until a configuration applies.
  milliseconds in_force{5000};
};

/// A route of the simulated callers.
struct LimitRoute {
  uint32_t priority = 0;
  /// Timeout of a statement, which instances know.
  milliseconds timeout{1000};
  /// Time for which its callers wait, which they do not.
  milliseconds caller_wait{4000};
  /// Share of the requests, as a weight.
  double share = 1;
};

/// Deliberate defects, for tests of the oracle.
enum class InjectedBug : uint8_t {
  kNone,
  kNewOwnersDoNotWait,
  kOldOwnersDoNotStop,
};

/// The part of the store that limits use.
struct LimitStore {
  std::optional<ShardTable> table;
  uint64_t revision = 0;
  uint64_t version = 1;
  std::map<std::string, WorkspaceRef> workspaces;
  std::set<ShardOwner> registered;
  bool up = true;
};

class LimitFleet;

/// A simulated instance.
class LimitNode : public core::limits::AllowancePort,
                  public core::limits::LimitListener {
 public:
  LimitNode(LimitFleet* fleet, ShardOwner self, LimitOrder order)
      : fleet_(fleet), self_(std::move(self)), order_(order) {}

  void Start();
  /// Ends the process and discards its state.
  void Kill() {
    up_ = false;
    ++boot_;
  }
  bool up() const { return up_; }
  const ShardOwner& self() const { return self_; }
  /// The process is suspended until this time.
  TimePoint suspended_until;
  bool disconnected_from_store = false;

  /// Runs `work` when the process is not suspended. Discards it if the process
  /// ends first.
  void RunOrDefer(const std::function<void()>& work);
  void Ask(const std::string& workspace, OperationId operation,
           const LimitRoute& route);

  void RequestAllowance(uint64_t call, const ShardOwner& owner,
                        const AllowanceRequest& request,
                        TimePoint deadline) override;
  void OperationAllowed(TimePoint now, OperationId operation) override;
  void OperationRefused(TimePoint now, OperationId operation,
                        const LimitAnswer& answer) override;

 private:
  void Tick();
  void ReadStore();

  LimitFleet* fleet_;
  const ShardOwner self_;
  const LimitOrder order_;
  bool up_ = false;
  uint64_t boot_ = 0;
  uint64_t known_version_ = 0;
  uint64_t known_revision_ = 0;
  std::map<std::string, WorkspaceRef> workspaces_;
  std::unique_ptr<core::limits::AllowanceLedger> ledger_;
  std::unique_ptr<core::limits::GrantedLimiter> limiter_;
  std::unique_ptr<core::limits::ShardAssigner> assigner_;
};

class LimitFleet {
 public:
  struct Tally {
    uint64_t asked = 0;
    uint64_t allowed = 0;
    uint64_t refused = 0;
  };
  /// Results of the callers of one route. A request is up to three tries.
  struct RouteTally {
    uint64_t requests = 0;
    uint64_t allowed = 0;
    uint64_t refused_tries = 0;
    /// Requests of which the last try was refused.
    uint64_t lost = 0;
    /// Refusals whose retry time is later than the route's timeout allows.
    uint64_t late_retries = 0;
    /// Sum over lost requests of the time from the first try to the last
    /// refusal.
    milliseconds lost_after{0};
    std::vector<TimePoint> retries;
  };

  LimitFleet(uint64_t seed, uint32_t instances, InjectedBug injected_bug,
             const core::limits::LedgerSettings& settings = {})
      : injected_bug(injected_bug), settings(settings), random_(seed) {
    for (uint32_t i = 0; i < instances; ++i) AddNode(settings.order);
    for (const auto& node : nodes_) node->Start();
  }

  void SetLimit(const std::string& workspace, double rate, double burst) {
    auto next = std::make_shared<Workspace>();
    next->name = workspace;
    next->limit = RateLimit{rate, burst};
    store.workspaces[workspace] = next;
    ++store.version;
    limits_[workspace].push_back({clock.now(), {rate, burst}});
  }
  /// Sets the rate at which the workspace's callers send operations, through
  /// some of the instances.
  void SetDemand(const std::string& workspace, double per_second) {
    const bool started = demand_.count(workspace) > 0;
    demand_[workspace] = per_second;
    if (!started) ScheduleNextOperation(workspace);
  }
  /// Divides the demand of all workspaces among routes, whose refused callers
  /// retry at most twice. Without routes callers do not retry.
  void SetRoutes(std::vector<LimitRoute> routes) {
    routes_ = std::move(routes);
    route_tallies_.assign(routes_.size(), {});
  }
  LimitNode* AddNode() { return AddNode(settings.order); }
  LimitNode* AddNode(LimitOrder order) {
    const std::string number = std::to_string(nodes_.size());
    const std::string domain(1, static_cast<char>('a' + nodes_.size() % 3));
    nodes_.push_back(std::make_unique<LimitNode>(
        this, ShardOwner{"i" + number, "10.0.0." + number + ":1", domain},
        order));
    return nodes_.back().get();
  }
  void Run(milliseconds span) { clock.RunUntil(clock.now() + span); }

  LimitNode* node(size_t index) { return nodes_.at(index).get(); }
  size_t size() const { return nodes_.size(); }
  LimitNode* Find(const ShardOwner& self) {
    for (const auto& node : nodes_) {
      if (node->self() == self) return node.get();
    }
    return nullptr;
  }
  /// Partitions the network; about `percent` of the nodes are on the far side.
  void Partition(uint32_t percent) {
    for (const auto& node : nodes_) {
      if (random_() % 100 < percent) far_side_nodes_.insert(node->self());
    }
  }
  void HealPartition() { far_side_nodes_.clear(); }
  bool CanReach(const ShardOwner& one, const ShardOwner& other) const {
    return far_side_nodes_.count(one) == far_side_nodes_.count(other);
  }
  std::mt19937_64& random() { return random_; }
  milliseconds Delay() { return milliseconds(1 + random_() % 3); }

  void RecordAllowed(OperationId operation) {
    const auto found = pending_.find(operation);
    if (found == pending_.end()) return;
    ++tally_[found->second.workspace].allowed;
    if (!routes_.empty()) ++route_tallies_[found->second.route].allowed;
    const milliseconds until_run(2 + random_() % 30);
    runs_[found->second.workspace].push_back(
        {found->second.sent, clock.now() + until_run});
    pending_.erase(found);
  }
  void RecordRefused(OperationId operation, milliseconds retry_after) {
    const auto found = pending_.find(operation);
    if (found == pending_.end()) return;
    ++tally_[found->second.workspace].refused;
    const Pending refused = found->second;
    pending_.erase(found);
    if (!routes_.empty()) ScheduleRetry(refused, retry_after);
  }
  const RouteTally& route_tally(size_t route) const {
    return route_tallies_.at(route);
  }
  const Tally& tally(const std::string& workspace) { return tally_[workspace]; }
  void ResetTally() {
    tally_.clear();
    route_tallies_.assign(routes_.size(), {});
  }

  /// Returns how many of the operations sent from `from` on a single limiter
  /// would have refused that starts at `start` with the advance of the whole
  /// limit and has no delays.
  uint64_t PerfectLimiterRefusals(const std::string& workspace, TimePoint start,
                                  TimePoint from) {
    const RateLimit& limit = limits_.at(workspace).back().second;
    core::limits::TokenBucket bucket(start);
    bucket.SetRate(start, limit.rate, limit.burst);
    bucket.Advance(core::limits::TotalAdvance(limit));
    uint64_t refused = 0;
    for (const TimePoint sent : sent_[workspace]) {
      if (sent < start || bucket.Take(sent, 1) > 0) continue;
      refused += sent >= from ? 1 : 0;
    }
    return refused;
  }

  /// Returns the first window that exceeds the rule, empty if there is none.
  std::string FindViolation(const LimitRule& rule) {
    for (auto& [workspace, runs] : runs_) {
      std::sort(runs.begin(), runs.end());
      for (size_t i = 0; i < runs.size(); ++i) {
        const TimePoint from = runs[i].first;
        const double max_count = MaxAllowed(workspace, from, rule);
        double count = 0;
        for (size_t j = i;
             j < runs.size() && runs[j].first <= from + rule.window; ++j) {
          count += runs[j].second <= from + rule.window ? 1 : 0;
        }
        if (count > max_count) {
          return workspace + ": " + std::to_string(count) + " of " +
                 std::to_string(max_count);
        }
      }
    }
    return "";
  }

  VirtualClock clock;
  LimitStore store;
  const InjectedBug injected_bug;
  const core::limits::LedgerSettings settings;

 private:
  struct Pending {
    std::string workspace;
    TimePoint sent;
    size_t route = 0;
    uint32_t tries = 0;
    TimePoint first_sent;
    LimitNode* target = nullptr;
  };

  /// Returns the maximum for the window that starts at `from`: the largest
  /// limit that may apply. A lowered limit binds one window after it applies.
  double MaxAllowed(const std::string& workspace, TimePoint from,
                    const LimitRule& rule) {
    double max_count = 0;
    const auto& history = limits_.at(workspace);
    for (size_t i = 0; i < history.size(); ++i) {
      const bool superseded =
          i + 1 < history.size() &&
          from >= history[i + 1].first + rule.in_force + rule.window;
      if (superseded || history[i].first > from + rule.window) continue;
      const RateLimit& limit = history[i].second;
      const double seconds = std::chrono::duration<double>(rule.window).count();
      max_count = std::max(
          max_count, (limit.rate * seconds + limit.burst) * (1 + rule.excess) +
                         rule.slack);
    }
    return max_count;
  }

  void ScheduleNextOperation(const std::string& workspace) {
    const double per_second = std::max(demand_[workspace], 0.1);
    std::exponential_distribution<double> pause(per_second);
    clock.At(clock.now() + std::chrono::duration_cast<TimePoint::duration>(
                               std::chrono::duration<double>(pause(random_))),
             [this, workspace] {
               SendOperation(workspace);
               ScheduleNextOperation(workspace);
             });
  }

  /// Sends one operation. The callers of a workspace are spread unevenly over
  /// some of the instances.
  void SendOperation(const std::string& workspace) {
    const size_t spread = std::max<size_t>(nodes_.size() / 3, 1);
    const size_t first = std::hash<std::string>()(workspace);
    const size_t pick = std::min(random_() % spread, random_() % spread);
    LimitNode* target = nodes_[(first + pick) % nodes_.size()].get();
    Pending request{workspace, clock.now(), 0, 0, clock.now(), target};
    if (!routes_.empty()) {
      request.route = PickRoute();
      ++route_tallies_[request.route].requests;
    }
    Send(std::move(request));
  }

  void Send(Pending request) {
    const OperationId operation = ++last_operation_;
    LimitNode* target = request.target;
    const std::string workspace = request.workspace;
    const LimitRoute route =
        routes_.empty() ? LimitRoute() : routes_[request.route];
    request.sent = clock.now();
    ++request.tries;
    ++tally_[workspace].asked;
    sent_[workspace].push_back(clock.now());
    pending_[operation] = std::move(request);
    clock.After(kTransit, [target, workspace, operation, route] {
      target->RunOrDefer([target, workspace, operation, route] {
        target->Ask(workspace, operation, route);
      });
    });
  }

  size_t PickRoute() {
    double total = 0;
    for (const LimitRoute& route : routes_) total += route.share;
    double place = std::uniform_real_distribution<double>(0, total)(random_);
    for (size_t i = 0; i + 1 < routes_.size(); ++i) {
      if (place < routes_[i].share) return i;
      place -= routes_[i].share;
    }
    return routes_.size() - 1;
  }

  void ScheduleRetry(const Pending& request, milliseconds retry_after) {
    RouteTally& tally = route_tallies_[request.route];
    const LimitRoute& route = routes_[request.route];
    const TimePoint retry_at = clock.now() + retry_after;
    ++tally.refused_tries;
    if (retry_at > request.sent + kTransit + route.timeout) {
      ++tally.late_retries;
    }
    if (request.tries >= kMaxTries ||
        retry_at >= request.first_sent + route.caller_wait) {
      ++tally.lost;
      tally.lost_after +=
          std::chrono::floor<milliseconds>(clock.now() - request.first_sent);
      return;
    }
    tally.retries.push_back(retry_at);
    clock.At(retry_at, [this, request] { Send(request); });
  }

  static constexpr uint32_t kMaxTries = 3;
  /// Time from a caller to its instance.
  static constexpr milliseconds kTransit{3};

  std::mt19937_64 random_;
  std::vector<LimitRoute> routes_;
  std::vector<RouteTally> route_tallies_;
  std::vector<std::unique_ptr<LimitNode>> nodes_;
  std::set<ShardOwner> far_side_nodes_;
  std::map<std::string, double> demand_;
  std::map<std::string, std::vector<std::pair<TimePoint, RateLimit>>> limits_;
  std::map<OperationId, Pending> pending_;
  std::map<std::string, std::vector<TimePoint>> sent_;
  std::map<std::string, std::vector<std::pair<TimePoint, TimePoint>>> runs_;
  std::map<std::string, Tally> tally_;
  OperationId last_operation_ = 0;
};

inline void LimitNode::Start() {
  const TimePoint now = fleet_->clock.now();
  up_ = true;
  ++boot_;
  known_version_ = 0;
  known_revision_ = 0;
  workspaces_.clear();
  ledger_ = std::make_unique<core::limits::AllowanceLedger>(
      now, self_,
      core::limits::LedgerSettings{
          .restart_allowance = fleet_->settings.restart_allowance,
          .order = order_});
  limiter_ = std::make_unique<core::limits::GrantedLimiter>(
      self_, std::hash<std::string>()(self_.instance), ledger_.get(), this,
      this, nullptr, order_);
  assigner_ = std::make_unique<core::limits::ShardAssigner>();
  Tick();
}

inline void LimitNode::RunOrDefer(const std::function<void()>& work) {
  if (!up_) return;
  if (suspended_until > fleet_->clock.now()) {
    fleet_->clock.At(suspended_until, [this, boot = boot_, work] {
      if (boot == boot_) RunOrDefer(work);
    });
    return;
  }
  work();
}

inline void LimitNode::Tick() {
  RunOrDefer([this] {
    if (fleet_->store.up && !disconnected_from_store) ReadStore();
    if (fleet_->injected_bug == InjectedBug::kOldOwnersDoNotStop) {
      ledger_->TableConfirmed(fleet_->clock.now());
    }
    fleet_->clock.After(milliseconds(900 + fleet_->random()() % 200),
                        [this, boot = boot_] {
                          if (boot == boot_) Tick();
                        });
  });
}

inline void LimitNode::ReadStore() {
  LimitStore& store = fleet_->store;
  const TimePoint now = fleet_->clock.now();
  store.registered.insert(self_);
  if (store.version != known_version_) {
    known_version_ = store.version;
    workspaces_ = store.workspaces;
    limiter_->SetConfiguration(known_version_, workspaces_);
    ledger_->Retain(now, workspaces_);
  }
  if (store.revision != known_revision_) {
    known_revision_ = store.revision;
    ShardTable table = store.table.value_or(ShardTable());
    if (fleet_->injected_bug == InjectedBug::kNewOwnersDoNotWait) {
      for (auto& shard : table.shards) shard.settled = true;
    }
    ledger_->SetTable(now, table);
    limiter_->SetTable(table);
  }
  ledger_->TableConfirmed(now);
  assigner_->SetTable(now, store.table);
  assigner_->SetInstances(now,
                          {store.registered.begin(), store.registered.end()});
  const auto due = assigner_->NextTable(now);
  if (!due.has_value()) return;
  store.table = due;
  ++store.revision;
}

inline void LimitNode::Ask(const std::string& workspace, OperationId operation,
                           const LimitRoute& route) {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) {
    fleet_->RecordRefused(operation, milliseconds(0));
    return;
  }
  const TimePoint now = fleet_->clock.now();
  const LimitAnswer answer = limiter_->RequestAdmission(
      now, found->second, operation, {route.priority, now + route.timeout});
  if (answer.verdict == Verdict::kAllowed) fleet_->RecordAllowed(operation);
  if (answer.verdict == Verdict::kRefused) {
    fleet_->RecordRefused(operation, answer.retry_after);
  }
}

inline void LimitNode::RequestAllowance(uint64_t call, const ShardOwner& owner,
                                        const AllowanceRequest& request,
                                        TimePoint deadline) {
  const auto answered =
      [this, call, boot = boot_](const std::optional<AllowanceAnswer>& answer) {
        if (boot != boot_) return;
        RunOrDefer([this, call, answer] {
          limiter_->AllowanceAnswered(fleet_->clock.now(), call, answer);
        });
      };
  fleet_->clock.At(deadline, [answered] { answered(std::nullopt); });
  LimitNode* target = fleet_->Find(owner);
  if (target == nullptr || !fleet_->CanReach(self_, owner)) return;
  fleet_->clock.After(fleet_->Delay(), [this, target, request, answered] {
    target->RunOrDefer([this, target, request, answered] {
      AllowanceRequest asked = request;
      core::limits::UseNewerLimit(target->known_version_, target->workspaces_,
                                  &asked);
      const AllowanceAnswer answer =
          target->ledger_->Grant(fleet_->clock.now(), asked);
      fleet_->clock.After(fleet_->Delay(),
                          [answered, answer] { answered(answer); });
    });
  });
}

inline void LimitNode::OperationAllowed(TimePoint /*now*/,
                                        OperationId operation) {
  fleet_->RecordAllowed(operation);
}

inline void LimitNode::OperationRefused(TimePoint /*now*/,
                                        OperationId operation,
                                        const LimitAnswer& answer) {
  fleet_->RecordRefused(operation, answer.retry_after);
}

}  // namespace ryefold::testsuite
