#pragma once

// A clock that tests advance explicitly.

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <utility>

#include "ryefold/core/types.h"

namespace ryefold::testsuite {

using core::TimePoint;
using std::chrono::milliseconds;

/// Runs scheduled callbacks in order of their due time.
class VirtualClock {
 public:
  TimePoint now() const { return now_; }
  void At(TimePoint due, std::function<void()> callback) {
    due_.emplace(std::max(due, now_), std::move(callback));
  }
  void After(milliseconds delay, std::function<void()> callback) {
    At(now_ + delay, std::move(callback));
  }
  void RunUntil(TimePoint end) {
    while (!due_.empty() && due_.begin()->first <= end) {
      auto next = due_.extract(due_.begin());
      now_ = next.key();
      next.mapped()();
    }
    now_ = end;
  }

 private:
  // Starts at one hour so that subtracting an age does not underflow.
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> due_;
};

}  // namespace ryefold::testsuite
