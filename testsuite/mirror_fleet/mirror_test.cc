// A single mirror and relay: what they report to other instances.

#include "ryefold/core/mirror/mirror.h"

#include <gtest/gtest.h>

#include <string>

namespace ryefold::core::mirror {
namespace {

using std::chrono::milliseconds;

/// Leaves every call unanswered.
class UnansweredPort : public MirrorPort {
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

// The store reports a compacted history, and the listing that follows takes
// seconds on a slow link. If the instance reported meanwhile that its copy is
// current, others would use it as a relay and serve a stale configuration,
// although another relay has the new one.
TEST(Mirror, IsNotCurrentAfterACompactedHistoryUntilListedAgain) {
  UnansweredPort port;
  TimePoint now = TimePoint(std::chrono::hours(1));
  Mirror mirror(
      MirrorTiming(), /*first_start=*/false, 1, &port, nullptr,
      [](const EntryMap&, const EntryMap&) { return WatchUrgency::kNormal; });
  mirror.Start(now);
  mirror.OnAnswer(now += milliseconds(4), ReadingUpTo(7));
  EXPECT_EQ(mirror.relay_state(), RelayState::kCurrent);
  mirror.OnAnswer(now += milliseconds(2000), ReadError::kHistoryCompacted);
  EXPECT_EQ(mirror.relay_state(), RelayState::kCatchingUp);
  mirror.Tick(now += milliseconds(1500));
  EXPECT_EQ(mirror.relay_state(), RelayState::kCatchingUp);
  mirror.OnAnswer(now += milliseconds(1500), ReadingUpTo(9));
  EXPECT_EQ(mirror.relay_state(), RelayState::kCurrent);
}

// A relay's copy differs at the same revision, so one of the two has missed a
// change. Until all entries were requested again, this copy is not confirmed
// and must not report the relay's age: operators would look for the late change
// elsewhere.
TEST(Mirror, IsNotConfirmedByARelayWhoseCopyDiffers) {
  UnansweredPort port;
  TimePoint now = TimePoint(std::chrono::hours(1));
  Mirror mirror(
      MirrorTiming(), /*first_start=*/false, 1, &port, nullptr,
      [](const EntryMap&, const EntryMap&) { return WatchUrgency::kNormal; });
  RelayPlan plan;
  plan.follows_store = false;
  plan.sources = {"relay"};
  mirror.SetPlan(plan);
  mirror.Start(now);
  mirror.OnAnswer(now += milliseconds(4), ReadingUpTo(7));
  // It starts with the store and switches to its relay later.
  mirror.OnAnswer(now += milliseconds(2100), ReadingUpTo(7));
  ASSERT_EQ(mirror.relay(), "relay");
  const TimePoint confirmed_before = mirror.confirmed_at();
  Reading differs = ReadingUpTo(7);
  differs.digest = mirror.log().digest() + 1;
  mirror.OnAnswer(now += milliseconds(1000), differs);
  EXPECT_EQ(mirror.confirmed_at(), confirmed_before);
  Reading same = ReadingUpTo(7);
  same.digest = mirror.log().digest();
  mirror.OnAnswer(now += milliseconds(1000), same);
  EXPECT_GT(mirror.confirmed_at(), confirmed_before);
}

class CountingPort : public RelayPort {
 public:
  void SendRelayAnswer(RelayCallId /*call*/,
                       const RelayAnswer& answer) override {
    ++answers;
    last = answer;
  }
  int answers = 0;
  RelayAnswer last;
};

// Calls from other instances stay pending while this one catches up, and are
// refused when their wait ends. If they were refused at once, the whole fleet
// would turn to the store while all relays list it.
TEST(Relay, KeepsCallsPendingWhileItCatchesUp) {
  ChangeLog log;
  CountingPort port;
  Relay relay(&log, &port);
  const TimePoint start = TimePoint(std::chrono::hours(1));
  relay.SetState(RelayState::kCurrent, start);
  relay.HandleRequest(start, 1, log.as_of(), start + milliseconds(1000));
  relay.SetState(RelayState::kCatchingUp, start);
  relay.HandleRequest(start, 2, log.as_of(), start + milliseconds(1000));
  relay.OnLogChanged();
  EXPECT_EQ(port.answers, 0);
  relay.Tick(start + milliseconds(1000));
  EXPECT_EQ(port.answers, 2);
  EXPECT_FALSE(port.last.current);
}

}  // namespace
}  // namespace ryefold::core::mirror
