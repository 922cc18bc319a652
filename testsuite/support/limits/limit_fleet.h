#pragma once

// Instances that keep the limits of workspaces together, in virtual time: their
// store, the messages between them, callers, and the rule itself as the oracle.

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
#include "ryefold/core/limits/shard_assigner.h"
#include "testsuite/support/session/virtual_clock.h"

namespace ryefold::testsuite {

using core::limits::AllowanceAnswer;
using core::limits::AllowanceRequest;
using core::limits::Granter;
using core::limits::LimitAnswer;
using core::limits::OperationId;
using core::limits::ShardTable;
using core::limits::Verdict;
using core::workspace::RateLimit;
using core::workspace::Workspace;
using core::workspace::WorkspaceRef;

/// What the oracle allows beyond rate and burst, and in which window.
struct LimitRule {
  milliseconds window{5000};
  double excess = 0.1;
  double slack = 20;
  /// From the store's acknowledgement until a configuration is in force.
  milliseconds in_force{5000};
};

/// Ways in which the fleet can be broken on purpose, for tests of the oracle.
enum class Breakage : uint8_t {
  kNone,
  kNewOwnersDoNotWait,
  kOldOwnersDoNotStop,
};

/// The store, as far as limits need it.
struct LimitStore {
  std::optional<ShardTable> table;
  uint64_t revision = 0;
  uint64_t version = 1;
  std::map<std::string, WorkspaceRef> workspaces;
  std::set<Granter> listed;
  bool up = true;
};

class LimitFleet;

/// One instance.
class LimitNode : public core::limits::AllowancePort,
                  public core::limits::LimitListener {
 public:
  LimitNode(LimitFleet* fleet, Granter self)
      : fleet_(fleet), self_(std::move(self)) {}

  void Start();
  /// Ends the process; what it knew is gone.
  void Kill() {
    up_ = false;
    ++life_;
  }
  bool up() const { return up_; }
  const Granter& self() const { return self_; }
  /// Nothing is processed until then.
  TimePoint frozen_until;
  bool cut_from_store = false;

  /// Runs `work` once the process can, unless it ends before.
  void Do(const std::function<void()>& work);
  void Ask(const std::string& workspace, OperationId operation);

  void AskOwner(uint64_t call, const Granter& owner,
                const AllowanceRequest& request, TimePoint deadline) override;
  void OperationAllowed(TimePoint now, OperationId operation) override;
  void OperationRefused(TimePoint now, OperationId operation,
                        const LimitAnswer& answer) override;

 private:
  void Tick();
  void ReadStore();

  LimitFleet* fleet_;
  const Granter self_;
  bool up_ = false;
  uint64_t life_ = 0;
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

  LimitFleet(uint64_t seed, uint32_t instances, Breakage breakage)
      : breakage(breakage), random_(seed) {
    for (uint32_t i = 0; i < instances; ++i) AddNode();
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
  /// The workspace's callers ask `per_second` from now on, through part of the
  /// instances.
  void SetDemand(const std::string& workspace, double per_second) {
    const bool started = demand_.count(workspace) > 0;
    demand_[workspace] = per_second;
    if (!started) AskNext(workspace);
  }
  LimitNode* AddNode() {
    const std::string number = std::to_string(nodes_.size());
    const std::string domain(1, static_cast<char>('a' + nodes_.size() % 3));
    nodes_.push_back(std::make_unique<LimitNode>(
        this, Granter{"i" + number, "10.0.0." + number + ":1", domain}));
    return nodes_.back().get();
  }
  void Run(milliseconds span) { clock.RunUntil(clock.now() + span); }

  LimitNode* node(size_t index) { return nodes_.at(index).get(); }
  size_t size() const { return nodes_.size(); }
  LimitNode* Find(const Granter& self) {
    for (const auto& node : nodes_) {
      if (node->self() == self) return node.get();
    }
    return nullptr;
  }
  /// Nodes of different sides do not reach each other.
  void Split(uint32_t percent) {
    for (const auto& node : nodes_) {
      if (random_() % 100 < percent) far_side_.insert(node->self());
    }
  }
  void Join() { far_side_.clear(); }
  bool Reaches(const Granter& one, const Granter& other) const {
    return far_side_.count(one) == far_side_.count(other);
  }
  std::mt19937_64& random() { return random_; }
  milliseconds Delay() { return milliseconds(1 + random_() % 3); }

  void Allowed(OperationId operation) {
    const auto found = pending_.find(operation);
    if (found == pending_.end()) return;
    ++tally_[found->second.workspace].allowed;
    const milliseconds until_run(2 + random_() % 30);
    runs_[found->second.workspace].push_back(
        {found->second.sent, clock.now() + until_run});
    pending_.erase(found);
  }
  void Refused(OperationId operation) {
    const auto found = pending_.find(operation);
    if (found == pending_.end()) return;
    ++tally_[found->second.workspace].refused;
    pending_.erase(found);
  }
  const Tally& tally(const std::string& workspace) { return tally_[workspace]; }
  void ForgetTally() { tally_.clear(); }

  /// The first window in which more ran than the rule allows; empty if none.
  std::string BrokenWindow(const LimitRule& rule) {
    for (auto& [workspace, runs] : runs_) {
      std::sort(runs.begin(), runs.end());
      for (size_t i = 0; i < runs.size(); ++i) {
        const TimePoint from = runs[i].first;
        const double most = MostAllowed(workspace, from, rule);
        double count = 0;
        for (size_t j = i;
             j < runs.size() && runs[j].first <= from + rule.window; ++j) {
          count += runs[j].second <= from + rule.window ? 1 : 0;
        }
        if (count > most) {
          return workspace + ": " + std::to_string(count) + " of " +
                 std::to_string(most);
        }
      }
    }
    return "";
  }

  VirtualClock clock;
  LimitStore store;
  const Breakage breakage;

 private:
  struct Pending {
    std::string workspace;
    TimePoint sent;
  };

  /// The largest of the limits that may bind a window from `from` on: a lower
  /// one does so a window after it is in force.
  double MostAllowed(const std::string& workspace, TimePoint from,
                     const LimitRule& rule) {
    double most = 0;
    const auto& history = limits_.at(workspace);
    for (size_t i = 0; i < history.size(); ++i) {
      const bool over =
          i + 1 < history.size() &&
          from >= history[i + 1].first + rule.in_force + rule.window;
      if (over || history[i].first > from + rule.window) continue;
      const RateLimit& limit = history[i].second;
      const double seconds = std::chrono::duration<double>(rule.window).count();
      most = std::max(most,
                      (limit.rate * seconds + limit.burst) * (1 + rule.excess) +
                          rule.slack);
    }
    return most;
  }

  void AskNext(const std::string& workspace) {
    const double per_second = std::max(demand_[workspace], 0.1);
    std::exponential_distribution<double> pause(per_second);
    clock.At(clock.now() + std::chrono::duration_cast<TimePoint::duration>(
                               std::chrono::duration<double>(pause(random_))),
             [this, workspace] {
               SendOne(workspace);
               AskNext(workspace);
             });
  }

  /// Each workspace has its callers at a part of the instances, unevenly.
  void SendOne(const std::string& workspace) {
    const size_t spread = std::max<size_t>(nodes_.size() / 3, 1);
    const size_t first = std::hash<std::string>()(workspace);
    const size_t pick = std::min(random_() % spread, random_() % spread);
    LimitNode* target = nodes_[(first + pick) % nodes_.size()].get();
    const OperationId operation = ++last_operation_;
    ++tally_[workspace].asked;
    pending_[operation] = {workspace, clock.now()};
    clock.After(milliseconds(3), [target, workspace, operation] {
      target->Do([target, workspace, operation] {
        target->Ask(workspace, operation);
      });
    });
  }

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<LimitNode>> nodes_;
  std::set<Granter> far_side_;
  std::map<std::string, double> demand_;
  std::map<std::string, std::vector<std::pair<TimePoint, RateLimit>>> limits_;
  std::map<OperationId, Pending> pending_;
  std::map<std::string, std::vector<std::pair<TimePoint, TimePoint>>> runs_;
  std::map<std::string, Tally> tally_;
  OperationId last_operation_ = 0;
};

inline void LimitNode::Start() {
  const TimePoint now = fleet_->clock.now();
  up_ = true;
  ++life_;
  known_version_ = 0;
  known_revision_ = 0;
  workspaces_.clear();
  ledger_ = std::make_unique<core::limits::AllowanceLedger>(now, self_);
  limiter_ = std::make_unique<core::limits::GrantedLimiter>(
      self_, std::hash<std::string>()(self_.instance), ledger_.get(), this,
      this, nullptr);
  assigner_ = std::make_unique<core::limits::ShardAssigner>();
  Tick();
}

inline void LimitNode::Do(const std::function<void()>& work) {
  if (!up_) return;
  if (frozen_until > fleet_->clock.now()) {
    fleet_->clock.At(frozen_until, [this, life = life_, work] {
      if (life == life_) Do(work);
    });
    return;
  }
  work();
}

inline void LimitNode::Tick() {
  Do([this] {
    if (fleet_->store.up && !cut_from_store) ReadStore();
    if (fleet_->breakage == Breakage::kOldOwnersDoNotStop) {
      ledger_->TableConfirmed(fleet_->clock.now());
    }
    fleet_->clock.After(milliseconds(900 + fleet_->random()() % 200),
                        [this, life = life_] {
                          if (life == life_) Tick();
                        });
  });
}

inline void LimitNode::ReadStore() {
  LimitStore& store = fleet_->store;
  const TimePoint now = fleet_->clock.now();
  store.listed.insert(self_);
  if (store.version != known_version_) {
    known_version_ = store.version;
    workspaces_ = store.workspaces;
    limiter_->SetConfiguration(known_version_, workspaces_);
    ledger_->Retain(workspaces_);
  }
  if (store.revision != known_revision_) {
    known_revision_ = store.revision;
    ShardTable table = store.table.value_or(ShardTable());
    if (fleet_->breakage == Breakage::kNewOwnersDoNotWait) {
      for (auto& shard : table.shards) shard.settled = true;
    }
    ledger_->SetTable(now, table);
    limiter_->SetTable(table);
  }
  ledger_->TableConfirmed(now);
  assigner_->SetTable(now, store.table);
  assigner_->SetInstances(now, {store.listed.begin(), store.listed.end()});
  const auto due = assigner_->Due(now);
  if (!due.has_value()) return;
  store.table = due;
  ++store.revision;
}

inline void LimitNode::Ask(const std::string& workspace,
                           OperationId operation) {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) {
    fleet_->Refused(operation);
    return;
  }
  const LimitAnswer answer =
      limiter_->Ask(fleet_->clock.now(), found->second, operation);
  if (answer.verdict == Verdict::kAllowed) fleet_->Allowed(operation);
  if (answer.verdict == Verdict::kRefused) fleet_->Refused(operation);
}

inline void LimitNode::AskOwner(uint64_t call, const Granter& owner,
                                const AllowanceRequest& request,
                                TimePoint deadline) {
  const auto answered = [this, call,
                         life = life_](std::optional<AllowanceAnswer> answer) {
    if (life != life_) return;
    Do([this, call, answer] {
      limiter_->Answered(fleet_->clock.now(), call, answer);
    });
  };
  fleet_->clock.At(deadline, [answered] { answered(std::nullopt); });
  LimitNode* target = fleet_->Find(owner);
  if (target == nullptr || !fleet_->Reaches(self_, owner)) return;
  fleet_->clock.After(fleet_->Delay(), [this, target, request, answered] {
    target->Do([this, target, request, answered] {
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
  fleet_->Allowed(operation);
}

inline void LimitNode::OperationRefused(TimePoint /*now*/,
                                        OperationId operation,
                                        const LimitAnswer& /*answer*/) {
  fleet_->Refused(operation);
}

}  // namespace ryefold::testsuite
