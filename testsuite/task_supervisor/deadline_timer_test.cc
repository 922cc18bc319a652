#include "ryefold/task/deadline_timer.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>

namespace ryefold::task {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

class DeadlineTimerTest : public testing::Test {
 protected:
  void RunFor(milliseconds span) {
    loop_.At(Clock::now() + span, [this] { loop_.Stop(); });
    loop_.Run();
  }

  Loop loop_;
  int fired_ = 0;
  DeadlineTimer timer_{&loop_, [this] { ++fired_; }};
};

// A state machine reports its deadline after each event. An earlier deadline
// has to replace a later one, or the timer fires too late; a later one must not
// add a second timer, or each event leaves one behind.
TEST_F(DeadlineTimerTest, FiresOnceAtTheEarliestDeadline) {
  const TimePoint now = Clock::now();
  timer_.ArmFor(now + std::chrono::hours(1));
  timer_.ArmFor(now + milliseconds(20));
  timer_.ArmFor(now + milliseconds(40));
  timer_.ArmFor(TimePoint::max());
  RunFor(milliseconds(200));
  EXPECT_EQ(fired_, 1);
}

TEST_F(DeadlineTimerTest, CanBeArmedAgainOnceItHasFired) {
  int left = 3;
  DeadlineTimer again(&loop_, [&] {
    if (--left == 0) return loop_.Stop();
    again.ArmFor(Clock::now() + milliseconds(5));
  });
  again.ArmFor(Clock::now());
  loop_.At(Clock::now() + std::chrono::seconds(10), [this] { loop_.Stop(); });
  loop_.Run();
  EXPECT_EQ(left, 0);
}

// A timer that is destroyed before its deadline must not call its owner.
TEST_F(DeadlineTimerTest, DoesNotFireAfterDestruction) {
  auto timer = std::make_unique<DeadlineTimer>(
      &loop_, [] { ADD_FAILURE() << "fired after its destruction"; });
  timer->ArmFor(Clock::now() + milliseconds(20));
  timer.reset();
  RunFor(milliseconds(100));
}

}  // namespace
}  // namespace ryefold::task
