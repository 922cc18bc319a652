#include "ryefold/task/deadline_timer.h"

#include <utility>

namespace ryefold::task {

DeadlineTimer::DeadlineTimer(Loop* loop, std::function<void()> due)
    : loop_(loop), due_(std::move(due)) {}

DeadlineTimer::~DeadlineTimer() { loop_->Cancel(timer_); }

void DeadlineTimer::ArmFor(TimePoint deadline) {
  if (deadline >= fires_at_) return;
  loop_->Cancel(timer_);
  fires_at_ = deadline;
  timer_ = loop_->At(deadline, [this] {
    fires_at_ = TimePoint::max();
    due_();
  });
}

}  // namespace ryefold::task
