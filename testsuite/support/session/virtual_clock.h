#pragma once

// The time of tests, which passes as they say.

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <utility>

#include "ryefold/core/types.h"

namespace ryefold::testsuite {

using core::TimePoint;
using std::chrono::milliseconds;

/// Runs work in order of its time.
class VirtualClock {
 public:
  TimePoint now() const { return now_; }
  void At(TimePoint when, std::function<void()> work) {
    due_.emplace(std::max(when, now_), std::move(work));
  }
  void After(milliseconds pause, std::function<void()> work) {
    At(now_ + pause, std::move(work));
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
  // An hour on, so that ages can be subtracted without leaving the clock.
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> due_;
};

}  // namespace ryefold::testsuite
