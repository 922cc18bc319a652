#pragma once

// A timer for a state machine that reports its next deadline.

#include <functional>

#include "ryefold/task/loop.h"

namespace ryefold::task {

/// Fires once, at the earliest deadline that it was armed for since it last
/// fired. When the deadline moves to a later time, the timer still fires at the
/// earlier one, which a state machine must ignore; rearming the timer for each
/// event costs more.
class DeadlineTimer {
 public:
  DeadlineTimer(Loop* loop, std::function<void()> due);
  ~DeadlineTimer();
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  /// Arms the timer for `deadline`; `TimePoint::max()` is no deadline.
  void ArmFor(TimePoint deadline);

 private:
  Loop* loop_;
  const std::function<void()> due_;
  TimerId timer_ = 0;
  TimePoint fires_at_ = TimePoint::max();
};

}  // namespace ryefold::task
