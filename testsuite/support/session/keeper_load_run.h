#pragma once

// Reads through the eight keepers of one group in virtual time: many instances
// forward them, and the keepers, not the databases, bound the throughput.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "testsuite/support/session/instance_host.h"

namespace ryefold::testsuite {

/// What the callers of a run got.
struct CallerResults {
  uint64_t sent = 0;
  uint64_t served = 0;
  /// Served after the goal of their route.
  uint64_t late = 0;
  uint64_t refused = 0;
  /// Other errors, and statements without a reply.
  uint64_t failed = 0;

  double lost_share() const {
    return static_cast<double>(late + refused + failed) /
           static_cast<double>(std::max<uint64_t>(sent, 1));
  }
};

class KeeperLoadRun : public CallerListener {
 public:
  using MakeChoice = std::function<std::shared_ptr<core::session::KeeperChoice>(
      const std::string&)>;

  static constexpr size_t kInstances = 143;
  static constexpr size_t kKeepers = 8;
  /// Mean interval between statements of one instance. With eight keepers, an
  /// instance hears from each of them every 200 ms on average.
  static constexpr std::chrono::microseconds kStatementInterval{25000};
  /// Callers wait for this long.
  static constexpr milliseconds kGoal{400};

  KeeperLoadRun(uint64_t seed, MakeChoice make_choice)
      : cluster_(&clock_, seed), random_(seed) {
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      FakeDatabase& database = cluster_.database(id);
      database.slots = kDatabaseSlots;
      database.max_connections = kConnectionLimit;
      database.max_work = kMaxWork;
    }
    fleet_.connection_limit = kConnectionLimit;
    fleet_.make_keeper_choice = std::move(make_choice);
    for (size_t i = 0; i < kInstances; ++i) {
      hosts_.push_back(std::make_unique<InstanceHost>(
          &clock_, &cluster_, this, "i" + std::to_string(i), "a", &fleet_));
    }
    for (const auto& host : hosts_) {
      host->proxy()->SetInstances(clock_.now(), host->name(),
                                  fleet_.candidates);
    }
    clock_.RunUntil(clock_.now() + kStartTime);
    for (size_t i = 0; i < kInstances; ++i) ScheduleStatement(i);
    clock_.RunUntil(clock_.now() + kWarmUp);
  }

  /// Returns the keepers of the group.
  static std::vector<std::string> Keepers() {
    std::vector<core::session::KeeperCandidate> instances;
    for (size_t i = 0; i < kInstances; ++i) {
      instances.push_back({"i" + std::to_string(i), "a"});
    }
    std::vector<std::string> names;
    for (const auto& each : core::session::ChooseKeepers(
             "group", instances,
             core::session::KeeperCount(kConnectionLimit, kInstances))) {
      names.push_back(each.instance);
    }
    return names;
  }

  /// Runs for `duration` and returns the results of the statements sent in it;
  /// its end is followed by a second in which they are still answered.
  CallerResults Measure(milliseconds duration) {
    results_ = CallerResults();
    measured_.clear();
    measuring_ = true;
    max_share_ = 0;
    const TimePoint end = clock_.now() + duration;
    while (clock_.now() < end) {
      const std::map<std::string, uint64_t> before = fleet_.forwards_to;
      clock_.RunUntil(clock_.now() + kShareWindow);
      UpdateMaxShare(before);
    }
    measuring_ = false;
    load_ = 1;
    clock_.RunUntil(clock_.now() + kAnswerTime);
    results_.failed += measured_.size();
    return results_;
  }

  const std::vector<std::string>& keepers() const { return keepers_; }
  InstanceHost& host(const std::string& name) {
    return *fleet_.instances.at(name);
  }
  FakeFleet& fleet() { return fleet_; }
  uint64_t forwards_to(const std::string& keeper) {
    return fleet_.forwards_to[keeper];
  }
  /// Largest share of all forwarded statements that one keeper got in a window
  /// of 100 ms of the last measurement.
  double max_share() const { return max_share_; }
  /// Multiplies the load by `factor` until the end of the next measurement.
  void SetLoad(double factor) { load_ = factor; }
  uint64_t keeper_retries() const {
    uint64_t sum = 0;
    for (const auto& host : hosts_) {
      sum += host->proxy()->counters().keeper_retries;
    }
    return sum;
  }

  void OnReply(CallerId caller, const Reply& reply) override {
    Record(caller, reply.error);
    const auto found = callers_.find(caller);
    if (found == callers_.end()) return;
    InstanceHost* host = hosts_[found->second.host].get();
    callers_.erase(found);
    clock_.After(milliseconds(0), [this, host, caller] {
      host->proxy()->CallerDisconnected(clock_.now(), caller);
    });
  }
  void OnClosed(CallerId /*caller*/, ErrorCode /*error*/) override {}

 private:
  static constexpr uint32_t kConnectionLimit = 60;
  static constexpr uint32_t kDatabaseSlots = 40;
  static constexpr milliseconds kMaxWork{6};
  static constexpr milliseconds kStartTime{300};
  static constexpr milliseconds kWarmUp{1500};
  static constexpr milliseconds kAnswerTime{1300};
  static constexpr milliseconds kShareWindow{100};

  struct PendingCaller {
    size_t host = 0;
    TimePoint sent_at;
  };

  void ScheduleStatement(size_t index) {
    std::exponential_distribution<double> gap(1.0);
    const auto wait = std::chrono::duration_cast<TimePoint::duration>(
        kStatementInterval * gap(random_) / load_);
    clock_.At(clock_.now() + wait, [this, index] {
      SendStatement(index);
      ScheduleStatement(index);
    });
  }

  void SendStatement(size_t index) {
    // Keepers run their own callers' statements themselves.
    const std::string& name = hosts_[index]->name();
    if (std::count(keepers_.begin(), keepers_.end(), name) > 0) return;
    const CallerId caller = ++last_caller_;
    callers_[caller] = {index, clock_.now()};
    if (measuring_) {
      measured_[caller] = clock_.now();
      ++results_.sent;
    }
    Proxy* proxy = hosts_[index]->proxy();
    proxy->CallerStarted(clock_.now(), caller, "bounded");
    proxy->CallerStatement(clock_.now(), caller, "s" + std::to_string(caller),
                           MakeStatement(StatementKind::kRead, "READ k"));
  }

  void Record(CallerId caller, ErrorCode error) {
    const auto found = measured_.find(caller);
    if (found == measured_.end()) return;
    const bool late = clock_.now() - found->second > kGoal;
    measured_.erase(found);
    if (error == ErrorCode::kNone) {
      ++results_.served;
      results_.late += late ? 1 : 0;
    } else if (error == ErrorCode::kBusy) {
      ++results_.refused;
    } else {
      ++results_.failed;
    }
  }

  void UpdateMaxShare(const std::map<std::string, uint64_t>& before) {
    uint64_t total = 0;
    uint64_t most = 0;
    for (const auto& [keeper, count] : fleet_.forwards_to) {
      const auto found = before.find(keeper);
      const uint64_t added =
          count - (found == before.end() ? 0 : found->second);
      total += added;
      most = std::max(most, added);
    }
    if (total == 0) return;
    max_share_ = std::max(
        max_share_, static_cast<double>(most) / static_cast<double>(total));
  }

  VirtualClock clock_;
  FakeCluster cluster_;
  FakeFleet fleet_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<InstanceHost>> hosts_;
  const std::vector<std::string> keepers_ = Keepers();
  std::unordered_map<CallerId, PendingCaller> callers_;
  /// Unanswered statements of the measurement, by the time of sending.
  std::unordered_map<CallerId, TimePoint> measured_;
  CallerId last_caller_ = 0;
  bool measuring_ = false;
  double load_ = 1;
  CallerResults results_;
  double max_share_ = 0;
};

}  // namespace ryefold::testsuite
