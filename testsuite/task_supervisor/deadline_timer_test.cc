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

// A state machine names its deadline after each event. An earlier one has to
// replace a later one, or what is due would wait for the later; a later one
// must not add a second timer, or each event would leave one behind.
TEST_F(DeadlineTimerTest, FiresOnceAtTheEarliestDeadline) {
  const TimePoint now = Clock::now();
  timer_.ArmFor(now + std::chrono::hours(1));
  timer_.ArmFor(now + milliseconds(20));
  timer_.ArmFor(now + milliseconds(40));
  timer_.ArmFor(TimePoint::max());
  RunFor(milliseconds(200));
  EXPECT_EQ(fired_, 1);
}

TEST_F(DeadlineTimerTest, CanBeArmedAnewOnceItHasFired) {
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

// Its owner ends while a deadline is ahead; nothing may be called then.
TEST_F(DeadlineTimerTest, DoesNotFireAfterItsEnd) {
  auto ended = std::make_unique<DeadlineTimer>(
      &loop_, [] { ADD_FAILURE() << "fired after its end"; });
  ended->ArmFor(Clock::now() + milliseconds(20));
  ended.reset();
  RunFor(milliseconds(100));
}

}  // namespace
}  // namespace ryefold::task
