#include "ryefold/core/session/watermarks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

TimePoint At(int64_t ms) { return TimePoint(milliseconds(ms)); }

TEST(Watermarks, GivesTheOldestMarkThatIsYoungEnough) {
  Watermarks marks;
  marks.Record(At(0), {1, 10});
  marks.Record(At(100), {1, 20});
  marks.Record(At(200), {1, 30});
  EXPECT_EQ(marks.OldestSince(At(50))->position, (LogPosition{1, 20}));
  EXPECT_EQ(marks.OldestSince(At(200))->position, (LogPosition{1, 30}));
  EXPECT_FALSE(marks.OldestSince(At(201)).has_value());
}

// A promotion discards what the new primary had not received. Every database
// would reject a read that requires a discarded position, and the caller would
// get no answer until its own position had been dropped.
TEST(Watermarks, DropsPositionsThatAPromotionMayHaveDiscarded) {
  Watermarks marks;
  marks.Record(At(0), {1, 500});
  marks.Record(At(100), {2, 498});
  EXPECT_EQ(marks.OldestSince(At(0))->position, (LogPosition{2, 498}));
  EXPECT_EQ(marks.RequiredPosition({1, 500}), (LogPosition{2, 498}));
  EXPECT_EQ(marks.RequiredPosition({2, 510}), (LogPosition{2, 510}));
}

// The answer of a replaced primary can arrive after its successor's. If it were
// accepted, reads would miss later commits of the successor.
TEST(Watermarks, IgnoresALateMarkOfAnOlderTerm) {
  Watermarks marks;
  marks.Record(At(100), {2, 5});
  marks.Record(At(200), {1, 900});
  EXPECT_EQ(marks.newest()->position, (LogPosition{2, 5}));
}

// The lag of a replica is derived from the position in its answers. It must
// never be underestimated: reads would be sent to the replica and rejected.
TEST(Watermarks, BoundsHowFarALogIsBehind) {
  Watermarks marks;
  marks.Record(At(0), {1, 10});
  marks.Record(At(100), {1, 20});
  marks.Record(At(200), {1, 30});
  EXPECT_EQ(marks.LagBound(At(250), {1, 30}), milliseconds(50));
  EXPECT_EQ(marks.LagBound(At(250), {1, 29}), milliseconds(150));
  EXPECT_FALSE(marks.LagBound(At(250), {1, 9}).has_value());
}

struct Commit {
  int64_t at;
  LogPosition position;
};

RC_GTEST_PROP(WatermarksProperty, CoversEveryCommitBeforeTheMoment, ()) {
  // A primary commits and is asked for its position at random times; the mark
  // for any time includes all earlier commits.
  Watermarks marks;
  std::vector<Commit> commits;
  uint64_t index = 0;
  int64_t now = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  for (const int delay : steps) {
    now += delay;
    if (delay % 2 == 0) {
      commits.push_back({now, {1, ++index}});
    } else {
      marks.Record(At(now), {1, index});
    }
    const int64_t moment = now - *rc::gen::inRange(0, 500);
    const auto mark = marks.OldestSince(At(moment));
    if (!mark.has_value()) continue;
    for (const Commit& commit : commits) {
      if (commit.at < moment) RC_ASSERT(commit.position <= mark->position);
    }
  }
}

}  // namespace
}  // namespace ryefold::core::session
