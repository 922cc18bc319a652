#pragma once

// Simulation of a group under load in virtual time: arrivals, a queue, slots
// with service times, callers that retry after the suggested delay.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "ryefold/core/admission/queue.h"
#include "ryefold/core/session/placement.h"

namespace ryefold::testing_support {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Requests of one workspace: Poisson arrivals over the whole run.
struct Load {
  core::WorkspacePolicy policy;
  double per_second = 0;
  /// Time until which a queued request must have been answered.
  milliseconds deadline{1000};
  /// How long the caller certainly waits, which the queue knows; 0: unknown.
  milliseconds patience{0};
  /// Mean service time, with times uniform from half to one and a half of it;
  /// 0: the range of the scenario.
  microseconds service{0};
};

struct Scenario {
  std::vector<Load> loads;
  milliseconds length{20000};
  uint32_t slots = 9;
  /// Service times are uniform in this range.
  microseconds service_low{2000};
  microseconds service_high{8000};
  uint32_t queue_limit = 2000;
  /// No request is started in this period.
  milliseconds stall_from{0};
  milliseconds stall_until{0};
  /// Refused callers retry after the suggested delay until they are served.
  bool callers_return = false;
  /// Number of retries after which a returning caller gives up, and the time
  /// after its first attempt from which it does not retry.
  uint32_t max_retries = 1000000;
  milliseconds caller_deadline{1000000000};
  /// With `kWork`, the queue has an estimator that learns from statements that
  /// found a free slot.
  core::admission::QueueShares shares = core::admission::QueueShares::kRequests;
  /// Interval at which the queue is given its policies again, as the proxy does
  /// every second; 0: never.
  milliseconds policy_interval{0};
  /// The queue is given the service rate, as by the proxy: slots divided by a
  /// moving average of the service time. Otherwise it measures its own.
  bool external_rate = false;
  /// Statements started in this period take `slow_factor` times as long.
  milliseconds slow_from{0};
  milliseconds slow_until{0};
  int slow_factor = 1;
  uint64_t seed = 1;

  double capacity() const {
    const auto mean = (service_low + service_high) / 2;
    return slots / std::chrono::duration<double>(mean).count();
  }
};

/// Outcomes of one workspace's requests.
struct Tally {
  uint64_t arrived = 0;
  uint64_t served = 0;
  uint64_t in_time = 0;
  uint64_t refused = 0;
  /// Callers that gave up after a refusal.
  uint64_t lost = 0;
  /// Times of the refusals, and the delays told with them.
  std::vector<microseconds> refused_at;
  std::vector<milliseconds> delays;
  /// Times at which requests were started.
  std::vector<microseconds> started;
  /// Times from arrival to start and from arrival to answer of served requests.
  std::vector<microseconds> queued;
  std::vector<microseconds> answered;
  /// Times from arrival to refusal.
  std::vector<microseconds> refusal;
};

inline microseconds Percentile(std::vector<microseconds> values, double p) {
  if (values.empty()) return microseconds(0);
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(last * p)];
}

/// Discrete event simulation; deterministic for a given scenario.
class OverloadSimulation {
 public:
  explicit OverloadSimulation(const Scenario& scenario)
      : scenario_(scenario),
        queue_(Policies(scenario), scenario.queue_limit, scenario.seed,
               scenario.shares == core::admission::QueueShares::kWork
                   ? &work_
                   : nullptr),
        random_(scenario.seed),
        free_slots_(scenario.slots) {}

  void Run() {
    for (const Load& load : scenario_.loads) ScheduleArrival(load, {});
    for (milliseconds at{0}; at < scenario_.length; at += kTick) {
      Schedule(at, [this] { RecordRefusals(queue_.Expire(Now())); });
    }
    const milliseconds interval = scenario_.policy_interval;
    for (milliseconds at = interval;
         interval > milliseconds(0) && at < scenario_.length; at += interval) {
      Schedule(at, [this] {
        queue_.SetPolicies(Policies(scenario_), scenario_.queue_limit);
      });
    }
    while (!events_.empty() && events_.top().at < scenario_.length) {
      const ScheduledEvent next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
      StartRequests();
    }
  }

  const Tally& tally(const std::string& workspace) {
    return tallies_[workspace];
  }
  /// Returns the number of requests that were refused and run nevertheless;
  /// must be zero.
  uint64_t refused_and_run() const { return refused_and_run_; }
  /// Returns the number of answers in time in this period, at a resolution of
  /// 100 ms.
  uint64_t in_time(milliseconds from, milliseconds until) const {
    uint64_t count = 0;
    for (auto at = from / kBucket; at < until / kBucket; ++at) {
      const auto found = buckets_.find(at);
      if (found != buckets_.end()) count += found->second;
    }
    return count;
  }
  /// Returns the time of the last refusal.
  microseconds last_refusal() const { return last_refusal_; }
  /// Returns the time at which the last request first submitted before the end
  /// of the stall was served.
  microseconds backlog_done() const { return backlog_done_; }

 private:
  static constexpr milliseconds kTick{10};
  static constexpr milliseconds kBucket{100};

  struct ScheduledEvent {
    microseconds at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const ScheduledEvent& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct Waiting {
    const Load* load = nullptr;
    microseconds arrived;
    /// Time of the caller's first attempt.
    microseconds first;
    uint32_t retries = 0;
  };

  static std::vector<core::WorkspacePolicy> Policies(const Scenario& scenario) {
    std::vector<core::WorkspacePolicy> policies;
    for (const Load& load : scenario.loads) policies.push_back(load.policy);
    return policies;
  }

  core::TimePoint Now() const { return core::TimePoint(now_); }
  void Schedule(microseconds at, std::function<void()> run) {
    events_.push({at, order_++, std::move(run)});
  }

  void ScheduleArrival(const Load& load, microseconds after) {
    std::exponential_distribution<double> gap(load.per_second);
    const auto at =
        after + microseconds(static_cast<int64_t>(1e6 * gap(random_)));
    if (at >= scenario_.length) return;
    Schedule(at, [this, &load] {
      ++tallies_[load.policy.workspace].arrived;
      Submit(load, now_, 0);
      ScheduleArrival(load, now_);
    });
  }

  void Submit(const Load& load, microseconds first, uint32_t retries) {
    core::admission::Ticket ticket;
    ticket.tag = ++tag_;
    ticket.workspace = load.policy.workspace;
    ticket.enqueued = Now();
    ticket.deadline = Now() + load.deadline;
    if (load.patience > milliseconds(0)) {
      ticket.patience = Now() + load.patience;
    }
    waiting_[ticket.tag] = {&load, now_, first, retries};
    RecordRefusals(queue_.Push(Now(), ticket));
  }

  void RecordRefusals(const std::vector<core::admission::Refusal>& refusals) {
    for (const auto& refusal : refusals) {
      const Waiting waiting = waiting_.at(refusal.tag);
      Tally& tally = tallies_[waiting.load->policy.workspace];
      ++tally.refused;
      tally.refusal.push_back(now_ - waiting.arrived);
      last_refusal_ = now_;
      refused_.insert(refusal.tag);
      tally.refused_at.push_back(now_);
      tally.delays.push_back(refusal.retry_after);
      if (!scenario_.callers_return) continue;
      const microseconds retry_at = now_ + refusal.retry_after;
      if (waiting.retries >= scenario_.max_retries ||
          retry_at > waiting.first + scenario_.caller_deadline) {
        ++tally.lost;
        continue;
      }
      Schedule(retry_at, [this, waiting] {
        Submit(*waiting.load, waiting.first, waiting.retries + 1);
      });
    }
  }

  bool Stalled() const {
    return now_ >= scenario_.stall_from && now_ < scenario_.stall_until;
  }

  void StartRequests() {
    const auto any = [](const core::admission::Ticket&) { return true; };
    while (free_slots_ > 0 && !Stalled()) {
      const auto ticket = queue_.Pop(Now(), any);
      if (!ticket.has_value()) return;
      if (refused_.contains(ticket->tag)) ++refused_and_run_;
      --free_slots_;
      const uint64_t tag = ticket->tag;
      const microseconds started = now_;
      const Load& load = *waiting_.at(tag).load;
      tallies_[load.policy.workspace].started.push_back(now_);
      Schedule(now_ + ServiceTime(load),
               [this, tag, started] { Finish(tag, started); });
    }
  }

  microseconds ServiceTime(const Load& load) {
    const bool by_load = load.service > microseconds(0);
    std::uniform_int_distribution<int64_t> service(
        (by_load ? load.service / 2 : scenario_.service_low).count(),
        (by_load ? load.service * 3 / 2 : scenario_.service_high).count());
    const bool slow =
        now_ >= scenario_.slow_from && now_ < scenario_.slow_until;
    return microseconds(service(random_) * (slow ? scenario_.slow_factor : 1));
  }

  void Finish(uint64_t tag, microseconds started) {
    ++free_slots_;
    queue_.RecordFinished(Now());
    const Waiting waiting = waiting_.at(tag);
    const std::string& key = waiting.load->policy.workspace;
    hold_time_.Add(now_ - started);
    if (scenario_.external_rate) {
      queue_.SetDrainRate(
          scenario_.slots /
          std::chrono::duration<double>(hold_time_.mean()).count());
    }
    work_.RecordResponse(key, now_ - started);
    work_.RecordFinished(key);
    Tally& tally = tallies_[key];
    ++tally.served;
    if (waiting.first < scenario_.stall_until) backlog_done_ = now_;
    tally.queued.push_back(started - waiting.arrived);
    tally.answered.push_back(now_ - waiting.arrived);
    if (now_ > waiting.arrived + waiting.load->deadline) return;
    ++tally.in_time;
    ++buckets_[std::chrono::duration_cast<milliseconds>(now_) / kBucket];
  }

  Scenario scenario_;
  core::admission::WorkEstimator work_;
  core::session::Latency hold_time_;
  core::admission::Queue queue_;
  std::mt19937_64 random_;
  uint32_t free_slots_;
  microseconds now_{0};
  uint64_t order_ = 0;
  uint64_t tag_ = 0;
  std::priority_queue<ScheduledEvent> events_;
  std::map<uint64_t, Waiting> waiting_;
  std::set<uint64_t> refused_;
  std::map<std::string, Tally> tallies_;
  std::map<int64_t, uint64_t> buckets_;
  microseconds last_refusal_{0};
  microseconds backlog_done_{0};
  uint64_t refused_and_run_ = 0;
};

/// Returns a load of `part` times the capacity of `scenario`.
inline Load LoadOf(const Scenario& scenario, const std::string& workspace,
                   uint32_t priority, uint32_t weight, double part) {
  Load load;
  load.policy.workspace = workspace;
  load.policy.priority = priority;
  load.policy.weight = weight;
  load.per_second = part * scenario.capacity();
  return load;
}

/// Returns the highest class at half of the capacity, alone or with other
/// classes that bring the total load to twice the capacity.
inline Scenario DoubleLoad(bool crowded) {
  Scenario scenario;
  scenario.loads.push_back(LoadOf(scenario, "gold", 0, 1, 0.5));
  if (!crowded) return scenario;
  scenario.loads.push_back(LoadOf(scenario, "silver", 1, 1, 0.3));
  scenario.loads.push_back(LoadOf(scenario, "bronze1", 2, 1, 0.6));
  scenario.loads.push_back(LoadOf(scenario, "bronze3", 2, 3, 0.6));
  return scenario;
}

/// Returns a load of half the capacity with a stall of three seconds, as when a
/// primary is lost; refused callers retry until they are served.
inline Scenario RetryStorm() {
  Scenario scenario;
  scenario.length = milliseconds(40000);
  scenario.loads.push_back(LoadOf(scenario, "gold", 0, 1, 0.1));
  scenario.loads.push_back(LoadOf(scenario, "bronze", 1, 1, 0.4));
  scenario.stall_from = milliseconds(10000);
  scenario.stall_until = milliseconds(13000);
  scenario.callers_return = true;
  return scenario;
}

}  // namespace ryefold::testing_support
