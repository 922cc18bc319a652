#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "ryefold/core/routing/router.h"

namespace ryefold::core::routing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TimePoint At(int64_t us) { return TimePoint(microseconds(us)); }

// A primary that writes at known times, which give the true age of each
// position.
class Primary {
 public:
  void Write(int64_t us) { written_.push_back(us); }
  LogPosition last() const { return {1, written_.size()}; }
  milliseconds TrueAge(int64_t now_us, uint64_t index) const {
    if (index >= written_.size()) return milliseconds(0);
    const int64_t next_written = written_[index];
    return std::chrono::ceil<milliseconds>(microseconds(now_us - next_written));
  }

 private:
  std::vector<int64_t> written_;
};

// A keeper observes a write some time after it was made, or starts when the
// replica is already far behind. An age below the true one would let a caller
// with a limit of one second get older data.
RC_GTEST_PROP(AgeTracker, NeverReturnsLessThanTheTrueAge, ()) {
  Primary primary;
  AgeTracker tracker;
  int64_t now = 1;
  int64_t seen_at = 0;
  const auto steps =
      *rc::gen::container<std::vector<std::pair<bool, uint16_t>>>(rc::gen::pair(
          rc::gen::arbitrary<bool>(), rc::gen::inRange<uint16_t>(0, 50000)));
  for (const auto& [write, pause_us] : steps) {
    now += pause_us;
    if (write) {
      primary.Write(now);
    } else {
      tracker.RecordPrimary(At(now), primary.last());
      seen_at = now;
    }
    const auto index = *rc::gen::inRange<uint64_t>(0, primary.last().index + 1);
    const int64_t read_at = now + *rc::gen::inRange<int64_t>(0, 5000);
    RC_ASSERT(tracker.AgeBound(At(read_at), {1, index}, At(seen_at)) >=
              primary.TrueAge(read_at, index));
  }
}

// With thousands of writes per second for minutes, the tracker must neither
// grow without bound nor become so inexact that reads with a limit of seconds
// go to the primary.
TEST(AgeTracker, IsBoundedAndAccurateUnderManyWrites) {
  constexpr int64_t kStep = 500;
  constexpr int64_t kWrites = 600000;
  Primary primary;
  AgeTracker tracker;
  size_t max_samples = 0;
  for (int64_t i = 1; i <= kWrites; ++i) {
    primary.Write(i * kStep);
    tracker.RecordPrimary(At(i * kStep), primary.last());
    max_samples = std::max(max_samples, tracker.sample_count());
  }
  EXPECT_LE(max_samples, kMaxSamples);
  const int64_t now = kWrites * kStep;
  for (uint64_t back = 1; back < kWrites; back = back * 5 / 4 + 1) {
    const uint64_t index = kWrites - back;
    const milliseconds true_age = primary.TrueAge(now, index);
    const milliseconds bound = tracker.AgeBound(At(now), {1, index}, At(now));
    EXPECT_GE(bound, true_age);
    // Two errors of dropped samples may add up: one before and one after aging.
    EXPECT_LE(bound, true_age + true_age / 3 + milliseconds(2)) << back;
  }
}

TEST(AgeTracker, LevelReplicaIsAsOldAsTheConfirmation) {
  AgeTracker tracker;
  tracker.RecordPrimary(At(1000), {1, 10});
  EXPECT_EQ(tracker.AgeBound(At(1000), {1, 10}, At(1000)), milliseconds(0));
  EXPECT_EQ(tracker.AgeBound(At(5000), {1, 10}, At(1000)), milliseconds(4));
  EXPECT_EQ(tracker.AgeBound(At(5001), {1, 10}, At(1000)), milliseconds(5));
}

// A read arrives, a later confirmation finds the primary at the replica's
// position, and then the primary advances. At the arrival of the read the
// replica had all data.
TEST(AgeTracker, AgeAsOfArrival) {
  AgeTracker tracker;
  tracker.RecordPrimary(At(2000), {1, 10});
  tracker.RecordPrimary(At(3000), {1, 11});
  EXPECT_EQ(tracker.AgeBound(At(1500), {1, 10}, At(1600)), milliseconds(0));
  EXPECT_EQ(tracker.AgeBound(At(2000), {1, 10}, At(2000)), milliseconds(1));
}

// A new keeper finds a replica that stopped receiving long ago, and has no
// sample that shows since when the primary is past it.
TEST(AgeTracker, PositionsBeforeTheFirstSampleHaveUnknownAge) {
  AgeTracker tracker;
  EXPECT_EQ(tracker.AgeBound(At(1), {1, 1}, At(1)), kUnknownAge);
  tracker.RecordPrimary(At(1000), {1, 100});
  EXPECT_EQ(tracker.AgeBound(At(1000), {1, 99}, At(1000)), kUnknownAge);
  EXPECT_EQ(tracker.AgeBound(At(1000), {1, 100}, At(1000)), milliseconds(0));
}

TEST(AgeTracker, ALateAnswerDoesNotReduceTheAge) {
  AgeTracker tracker;
  tracker.RecordPrimary(At(1000), {1, 10});
  tracker.RecordPrimary(At(2000), {1, 11});
  tracker.RecordPrimary(At(9000), {1, 10});
  EXPECT_EQ(tracker.AgeBound(At(9000), {1, 10}, At(9000)), milliseconds(8));
}

}  // namespace
}  // namespace ryefold::core::routing
