#pragma once

// Virtual time with a deterministic event queue.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "ryefold/core/types.h"

namespace ryefold::test {

using core::TimePoint;
using std::chrono::milliseconds;
using Duration = TimePoint::duration;

/// Runs functions in order of time; functions of the same time in order of
/// insertion.
class EventQueue {
 public:
  TimePoint now() const { return now_; }

  void At(TimePoint at, std::function<void()> run) {
    queue_.emplace(std::pair(std::max(at, now_), next_++), std::move(run));
  }
  void After(Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }

  void RunUntil(TimePoint end) {
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto node = queue_.extract(queue_.begin());
      now_ = node.key().first;
      node.mapped()();
    }
    now_ = end;
  }
  void RunFor(Duration time) { RunUntil(now_ + time); }

 private:
  TimePoint now_ = TimePoint{} + std::chrono::hours(1);
  uint64_t next_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> queue_;
};

}  // namespace ryefold::test
