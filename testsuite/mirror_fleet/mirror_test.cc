// One copy of the store by itself: what it says of itself to others.

#include "ryefold/core/mirror/mirror.h"

#include <gtest/gtest.h>

#include <string>

namespace ryefold::core::mirror {
namespace {

using std::chrono::milliseconds;

/// Leaves every call open.
class SilentPort : public MirrorPort {
 public:
  void ListStore(const std::string& /*after*/,
                 const AnswerLimits& /*limits*/) override {}
  void WatchStore(uint64_t /*after*/, milliseconds /*wait*/,
                  const AnswerLimits& /*limits*/) override {}
  void AskRelay(const std::string& /*instance*/, uint64_t /*after*/,
                milliseconds /*wait*/, TimePoint /*deadline*/) override {}
};

Reading ReadingUpTo(uint64_t as_of) {
  Reading reading;
  reading.as_of = as_of;
  return reading;
}

// The store tells an instance that the history it asks for is gone, and the
// listing that must follow takes seconds on a slow link. The instance knows
// that it may have missed changes. Others hear from it, and if it told them
// that it was current they would serve by the old configuration, though another
// could tell them of the new one.
TEST(Mirror, IsNoSourceForOthersWhileItKnowsThatItHasMissedChanges) {
  SilentPort port;
  TimePoint now = TimePoint(std::chrono::hours(1));
  Mirror mirror(
      MirrorTiming(), /*first_start=*/false, 1, &port, nullptr,
      [](const EntryMap&, const EntryMap&) { return WatchPace::kUsual; });
  mirror.Start(now);
  mirror.Answered(now += milliseconds(4), ReadingUpTo(7));
  EXPECT_EQ(mirror.relay_state(), RelayState::kCurrent);
  mirror.Answered(now += milliseconds(2000), ReadError::kHistoryGone);
  EXPECT_EQ(mirror.relay_state(), RelayState::kCatchingUp);
  mirror.Tick(now += milliseconds(1500));
  EXPECT_EQ(mirror.relay_state(), RelayState::kCatchingUp);
  mirror.Answered(now += milliseconds(1500), ReadingUpTo(9));
  EXPECT_EQ(mirror.relay_state(), RelayState::kCurrent);
}

// A relay's copy differs from this one though both have read as far: one of
// them has missed a change. Until everything has been asked for anew this copy
// is not known to be current, and must not pass for as young as the relay's:
// operators would look for the late change elsewhere.
TEST(Mirror, IsNotConfirmedByARelayWhoseCopyDiffers) {
  SilentPort port;
  TimePoint now = TimePoint(std::chrono::hours(1));
  Mirror mirror(
      MirrorTiming(), /*first_start=*/false, 1, &port, nullptr,
      [](const EntryMap&, const EntryMap&) { return WatchPace::kUsual; });
  RelayPlan plan;
  plan.follows_store = false;
  plan.sources = {"relay"};
  mirror.SetPlan(plan);
  mirror.Start(now);
  mirror.Answered(now += milliseconds(4), ReadingUpTo(7));
  // It has begun with the store and turns to its relay after a while.
  mirror.Answered(now += milliseconds(2100), ReadingUpTo(7));
  ASSERT_EQ(mirror.relay(), "relay");
  const TimePoint watched = mirror.confirmed_at();
  Reading differs = ReadingUpTo(7);
  differs.digest = mirror.log().digest() + 1;
  mirror.Answered(now += milliseconds(1000), differs);
  EXPECT_EQ(mirror.confirmed_at(), watched);
  Reading same = ReadingUpTo(7);
  same.digest = mirror.log().digest();
  mirror.Answered(now += milliseconds(1000), same);
  EXPECT_GT(mirror.confirmed_at(), watched);
}

/// Counts the answers and keeps the last.
class CountingPort : public RelayPort {
 public:
  void AnswerRelayed(RelayCall /*call*/, const RelayAnswer& answer) override {
    ++answers;
    last = answer;
  }
  int answers = 0;
  RelayAnswer last;
};

// The same from the others' side: those that wait for news go on waiting for as
// long as they have asked for, and are then told to ask elsewhere. Told at
// once, a whole fleet would turn to the store in the moment that all relays
// list it.
TEST(Relay, LetsOthersWaitWhileItCatchesUp) {
  ChangeLog log;
  CountingPort port;
  Relay relay(&log, &port);
  const TimePoint start = TimePoint(std::chrono::hours(1));
  relay.SetState(RelayState::kCurrent, start);
  relay.Asked(start, 1, log.as_of(), start + milliseconds(1000));
  relay.SetState(RelayState::kCatchingUp, start);
  relay.Asked(start, 2, log.as_of(), start + milliseconds(1000));
  relay.Changed();
  EXPECT_EQ(port.answers, 0);
  relay.Tick(start + milliseconds(1000));
  EXPECT_EQ(port.answers, 2);
  EXPECT_FALSE(port.last.current);
}

}  // namespace
}  // namespace ryefold::core::mirror
