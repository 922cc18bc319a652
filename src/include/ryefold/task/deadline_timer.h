#pragma once

// The one timer of a task whose state machine names its next deadline.

#include <functional>

#include "ryefold/task/loop.h"

namespace ryefold::task {

/// Fires once, at the earliest of the deadlines that it was armed for since it
/// last fired. One that has moved to a later time fires early, which a state
/// machine takes for nothing new; arming a timer anew for each event costs
/// more.
class DeadlineTimer {
 public:
  DeadlineTimer(Loop* loop, std::function<void()> due);
  ~DeadlineTimer();
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  /// `TimePoint::max()`: there is none.
  void ArmFor(TimePoint deadline);

 private:
  Loop* loop_;
  const std::function<void()> due_;
  TimerId timer_ = 0;
  TimePoint fires_at_ = TimePoint::max();
};

}  // namespace ryefold::task
