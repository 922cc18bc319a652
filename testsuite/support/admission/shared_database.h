#pragma once

// Model in virtual time of a database with slots and a FIFO queue that is
// shared by several keepers, each with a queue of its own and a limit on the
// statements that it has in flight.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "ryefold/core/admission/concurrency_limit.h"
#include "testsuite/support/session/virtual_clock.h"

namespace ryefold::testing_support {

using core::TimePoint;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Statements of one route.
struct SharedRoute {
  std::string name;
  uint32_t priority = 0;
  milliseconds goal{0};
  microseconds work{0};
  /// Part of all requests.
  double share = 0;
};

struct SharedDatabaseLoad {
  using LimitFactory =
      std::function<std::unique_ptr<core::admission::ConcurrencyLimit>()>;
  using Level = std::function<double(milliseconds)>;

  /// Null: each keeper has a fixed limit of two.
  LimitFactory make_limit;
  std::vector<SharedRoute> routes = {
      {"key", 1, milliseconds(150), microseconds(3800), 0.15},
      {"report", 2, milliseconds(400), microseconds(19000), 0.18},
      {"list", 2, milliseconds(250), microseconds(12000), 0.67}};
  uint32_t slots = 4;
  uint32_t queue_capacity = 32;
  /// Part of the requests that each keeper gets.
  std::vector<double> keepers = std::vector<double>(8, 1.0 / 8);
  /// Requests as a part of the database's usual capacity, by time.
  Level demand = [](milliseconds) { return 0.7; };
  /// Factor of the work of statements that start at a time.
  Level slowness = [](milliseconds) { return 1.0; };
  /// The database starts and ends no statement in this period.
  milliseconds frozen_from{0};
  milliseconds frozen_until{0};
  /// Keeper 0 handles nothing in this period.
  milliseconds suspended_from{0};
  milliseconds suspended_until{0};
  milliseconds length{15000};
  uint64_t seed = 1;
};

struct SharedRouteTally {
  uint64_t arrived = 0;
  uint64_t served = 0;
  uint64_t in_time = 0;
};

class SharedDatabaseSimulation {
 public:
  explicit SharedDatabaseSimulation(SharedDatabaseLoad load)
      : load_(std::move(load)), random_(load_.seed), start_(clock_.now()) {
    for (size_t i = 0; i < load_.keepers.size(); ++i) {
      Keeper keeper;
      if (load_.make_limit) {
        keeper.limit = load_.make_limit();
        keeper.limit->SetCapacity(load_.slots, load_.keepers.size());
      }
      keepers_.push_back(std::move(keeper));
    }
  }

  void Run() {
    for (size_t i = 0; i < keepers_.size(); ++i) {
      for (const SharedRoute& route : load_.routes) ScheduleArrival(i, route);
    }
    for (milliseconds at{0}; at < load_.length; at += kTick) {
      clock_.At(start_ + at, [this] {
        Account();
        for (size_t i = 0; i < keepers_.size(); ++i) Serve(i);
        StartInDatabase();
      });
    }
    clock_.RunUntil(start_ + load_.length);
  }

  const SharedRouteTally& tally(const std::string& route) {
    return tallies_[route];
  }
  SharedRouteTally total() const {
    SharedRouteTally sum;
    for (const auto& [name, each] : tallies_) {
      sum.arrived += each.arrived;
      sum.served += each.served;
      sum.in_time += each.in_time;
    }
    return sum;
  }
  /// Returns the mean part of the slots in use in this period while any request
  /// waited at a keeper; 1 if none did.
  double busy(milliseconds from, milliseconds until) const {
    double waiting_time = 0;
    double busy_time = 0;
    for (auto at = from / kBucket; at < until / kBucket; ++at) {
      const auto found = buckets_.find(at);
      if (found == buckets_.end()) continue;
      waiting_time += found->second.waiting_seconds;
      busy_time += found->second.busy_seconds;
    }
    return waiting_time < 0.02 ? 1 : busy_time / waiting_time / load_.slots;
  }
  /// Returns the rejections as a part of the statements sent.
  double rejected() const {
    return sent_ == 0
               ? 0
               : static_cast<double>(rejected_) / static_cast<double>(sent_);
  }
  uint32_t max_in_database() const { return max_in_database_; }

 private:
  static constexpr milliseconds kTick{5};
  static constexpr milliseconds kBucket{100};
  static constexpr milliseconds kNetwork{1};
  static constexpr milliseconds kRejectionBackoff{15};
  static constexpr uint32_t kFixedLimit = 2;

  struct Request {
    const SharedRoute* route = nullptr;
    size_t keeper = 0;
    TimePoint arrived;
    TimePoint sent;
  };
  struct Keeper {
    std::unique_ptr<core::admission::ConcurrencyLimit> limit;
    /// Waiting requests by priority.
    std::map<uint32_t, std::deque<Request>> waiting;
    uint32_t in_flight = 0;
    TimePoint busy_until;
  };
  struct Bucket {
    double waiting_seconds = 0;
    double busy_seconds = 0;
  };

  milliseconds Elapsed() const {
    return std::chrono::duration_cast<milliseconds>(clock_.now() - start_);
  }
  bool IsFrozen() const {
    return Elapsed() >= load_.frozen_from && Elapsed() < load_.frozen_until;
  }
  bool IsSuspended(size_t keeper) const {
    return keeper == 0 && Elapsed() >= load_.suspended_from &&
           Elapsed() < load_.suspended_until;
  }
  /// Runs `action` at the keeper once it handles events.
  void AtKeeper(size_t keeper, const std::function<void()>& action) {
    if (IsSuspended(keeper)) {
      clock_.At(start_ + load_.suspended_until, action);
    } else {
      action();
    }
  }
  uint32_t LimitOf(const Keeper& keeper) const {
    return keeper.limit == nullptr ? kFixedLimit
                                   : keeper.limit->limit(clock_.now());
  }

  void Account() {
    const std::chrono::duration<double> span = clock_.now() - accounted_;
    const bool any_waiting =
        std::any_of(keepers_.begin(), keepers_.end(), [](const Keeper& each) {
          return std::any_of(
              each.waiting.begin(), each.waiting.end(),
              [](const auto& queue) { return !queue.second.empty(); });
        });
    if (was_waiting_) {
      Bucket& bucket = buckets_[Elapsed() / kBucket];
      bucket.waiting_seconds += span.count();
      bucket.busy_seconds += span.count() * busy_before_;
    }
    accounted_ = clock_.now();
    was_waiting_ = any_waiting;
    busy_before_ = running_;
  }

  void ScheduleArrival(size_t keeper, const SharedRoute& route) {
    double mean_work_us = 0;
    for (const SharedRoute& each : load_.routes) {
      mean_work_us += each.share * static_cast<double>(each.work.count());
    }
    const double capacity = load_.slots * 1e6 / mean_work_us;
    const double rate = capacity * load_.demand(Elapsed()) * route.share *
                        load_.keepers[keeper];
    if (rate <= 0) {
      clock_.After(milliseconds(100),
                   [this, keeper, &route] { ScheduleArrival(keeper, route); });
      return;
    }
    std::exponential_distribution<double> gap(rate);
    const auto delay = microseconds(static_cast<int64_t>(1e6 * gap(random_)));
    clock_.At(clock_.now() + delay, [this, keeper, &route] {
      ++tallies_[route.name].arrived;
      const Request request{&route, keeper, clock_.now(), TimePoint()};
      AtKeeper(keeper, [this, keeper, request] {
        Account();
        keepers_[keeper].waiting[request.route->priority].push_back(request);
        Serve(keeper);
        Account();
      });
      ScheduleArrival(keeper, route);
    });
  }

  void Serve(size_t index) {
    if (IsSuspended(index)) return;
    Keeper& keeper = keepers_[index];
    for (auto& [priority, queue] : keeper.waiting) {
      std::erase_if(queue, [this](const Request& each) {
        return clock_.now() >= each.arrived + each.route->goal;
      });
      while (!queue.empty()) {
        if (clock_.now() < keeper.busy_until) return;
        if (keeper.in_flight >= LimitOf(keeper) && keeper.limit != nullptr) {
          keeper.limit->OnHeldBack(clock_.now());
        }
        if (keeper.in_flight >= LimitOf(keeper)) return;
        Request request = queue.front();
        queue.pop_front();
        Send(&keeper, request);
      }
    }
  }

  void Send(Keeper* keeper, Request request) {
    ++keeper->in_flight;
    ++sent_;
    request.sent = clock_.now();
    if (keeper->limit != nullptr) keeper->limit->OnStart(clock_.now());
    clock_.After(kNetwork, [this, request] {
      Account();
      if (in_database_.size() >= load_.queue_capacity) {
        ++rejected_;
        Reply(request, /*served=*/false);
        return;
      }
      in_database_.push_back(request);
      max_in_database_ =
          std::max(max_in_database_,
                   static_cast<uint32_t>(in_database_.size()) + running_);
      StartInDatabase();
      Account();
    });
  }

  void StartInDatabase() {
    while (running_ < load_.slots && !in_database_.empty() && !IsFrozen()) {
      const Request request = in_database_.front();
      in_database_.pop_front();
      ++running_;
      // A gamma distribution of shape 2: the spread of work is 0.7 of its mean.
      std::gamma_distribution<double> work(
          2, static_cast<double>(request.route->work.count()) / 2);
      const auto time = microseconds(
          static_cast<int64_t>(work(random_) * load_.slowness(Elapsed())));
      clock_.At(clock_.now() + time, [this, request] { Finish(request); });
    }
  }

  void Finish(const Request& request) {
    if (IsFrozen()) {
      clock_.At(start_ + load_.frozen_until,
                [this, request] { Finish(request); });
      return;
    }
    Account();
    --running_;
    Reply(request, /*served=*/true);
    StartInDatabase();
    Account();
  }

  void Reply(const Request& request, bool served) {
    clock_.After(kNetwork, [this, request, served] {
      AtKeeper(request.keeper,
               [this, request, served] { OnReply(request, served); });
    });
  }

  void OnReply(const Request& request, bool served) {
    Account();
    Keeper& keeper = keepers_[request.keeper];
    --keeper.in_flight;
    const TimePoint now = clock_.now();
    if (served) {
      SharedRouteTally& tally = tallies_[request.route->name];
      ++tally.served;
      if (now <= request.arrived + request.route->goal) ++tally.in_time;
      if (keeper.limit != nullptr) {
        keeper.limit->OnResponse(
            now, std::chrono::duration_cast<microseconds>(now - request.sent),
            request.route->name);
      }
    } else {
      if (keeper.limit != nullptr) keeper.limit->OnRejection(now);
      keeper.busy_until = now + kRejectionBackoff;
      keeper.waiting[request.route->priority].push_front(request);
    }
    Serve(request.keeper);
    Account();
  }

  SharedDatabaseLoad load_;
  testsuite::VirtualClock clock_;
  std::mt19937_64 random_;
  const TimePoint start_;
  std::vector<Keeper> keepers_;
  /// Statements queued inside the database.
  std::deque<Request> in_database_;
  uint32_t running_ = 0;
  uint64_t sent_ = 0;
  uint64_t rejected_ = 0;
  uint32_t max_in_database_ = 0;
  std::map<std::string, SharedRouteTally> tallies_;
  std::map<int64_t, Bucket> buckets_;
  TimePoint accounted_ = start_;
  bool was_waiting_ = false;
  uint32_t busy_before_ = 0;
};

}  // namespace ryefold::testing_support
