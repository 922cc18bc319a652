// Loss and replacement of a primary.

#include <gtest/gtest.h>

#include "testsuite/support/group/checks.h"

namespace ryefold::test {
namespace {

using core::OutcomeKind;
using core::Reason;
using std::chrono::seconds;

// The primary crashes with writes in flight. Callers with time left are served
// by the next primary, without waiting for the old one.
TEST(Promotion, AKilledPrimaryIsReplacedAndWaitingWritesGoOn) {
  auto group = ReadyGroup();
  group->Kill("a");
  const auto write =
      group->Send(0, group->Write(seconds(2), /*repeatable=*/true));
  // Must not be sent twice: the new primary fences its id.
  const auto once = group->Send(0, group->Write(seconds(2)));
  group->time().RunFor(milliseconds(100));
  ASSERT_TRUE(group->sent(write).answer.has_value());
  EXPECT_EQ(group->sent(write).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(group->sent(write).answer->seen().term, 2u);
  ASSERT_TRUE(group->sent(once).answer.has_value());
  EXPECT_EQ(group->sent(once).answer->kind(), OutcomeKind::kNotRun);
  EXPECT_EQ(group->sent(once).answer->reason(), Reason::kFenced);
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// A partition separates the primary from its replicas, but it still accepts
// connections and runs writes. A write acknowledged by it would be lost in the
// promotion of a replica.
TEST(Promotion, APrimaryCutOffFromItsPeersGetsNoWriteAcknowledged) {
  auto group = ReadyGroup();
  (*group)["a"].peers_cut = true;
  const auto write = group->Send(0, group->Write(seconds(5)));
  group->time().RunFor(milliseconds(500));
  EXPECT_GE((*group)["a"].log().last().index, 2u);
  EXPECT_FALSE(group->sent(write).answer.has_value());
  group->time().RunFor(seconds(3));
  ASSERT_TRUE(group->sent(write).answer.has_value());
  // The entry was in the old primary's log only, so it is discarded and fenced.
  EXPECT_EQ(group->sent(write).answer->kind(), OutcomeKind::kNotRun);
  EXPECT_EQ(group->sent(write).answer->reason(), Reason::kDiscarded);
  const auto next = group->Send(0, group->Write(seconds(1)));
  group->time().RunFor(milliseconds(100));
  EXPECT_EQ(group->sent(next).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// With two of three databases lost, no promotion is possible. Callers are
// refused at once instead of waiting for their deadlines.
TEST(Promotion, WithoutAMajorityWritesAreRefusedAtOnce) {
  auto group = ReadyGroup();
  group->Kill("a");
  group->Kill("c");
  group->time().RunFor(seconds(1));
  const auto write = group->Send(0, group->Write(seconds(30)));
  ASSERT_TRUE(group->sent(write).answer.has_value());
  EXPECT_EQ(group->sent(write).answered_at, group->sent(write).at);
  EXPECT_EQ(group->sent(write).answer->reason(), Reason::kNoPrimary);
  EXPECT_GT(group->sent(write).answer->retry_after(), milliseconds(0));
}

// The primary dies and its replacement takes long over a slow network. A
// request whose deadline precedes the expected end of the outage is refused at
// once, with a retry hint, instead of at its deadline.
TEST(Promotion, ARequestThatCannotOutlastTheGapIsRefusedAtOnce) {
  auto group = ReadyGroup();
  group->keeper(0).extra_delay["b"] = milliseconds(150);
  group->keeper(0).extra_delay["c"] = milliseconds(150);
  group->Kill("a");
  group->time().RunFor(milliseconds(40));
  const auto waiting = group->Send(0, group->Write(milliseconds(200), true));
  group->time().RunFor(milliseconds(30));
  ASSERT_TRUE(group->sent(waiting).answer.has_value());
  EXPECT_EQ(group->sent(waiting).answer->reason(), Reason::kNoPrimary);
  const auto short_deadline = group->Send(0, group->Write(milliseconds(100)));
  EXPECT_EQ(group->sent(short_deadline).answered_at,
            group->sent(short_deadline).at);
  ASSERT_TRUE(group->sent(short_deadline).answer.has_value());
  EXPECT_EQ(group->sent(short_deadline).answer->reason(), Reason::kNoPrimary);
  EXPECT_GT(group->sent(short_deadline).answer->retry_after(), milliseconds(0));
  const auto long_deadline = group->Send(0, group->Write(seconds(3)));
  group->time().RunFor(seconds(3));
  EXPECT_EQ(group->sent(long_deadline).answer->kind(), OutcomeKind::kDone);
}

// Statements hang for three seconds behind a lock on a healthy database. A
// promotion would abort all of them and make none faster.
TEST(Promotion, StalledStatementsCauseNone) {
  auto group = ReadyGroup();
  (*group)["a"].stall = seconds(3);
  for (int i = 0; i < 40; ++i) {
    group->Send(0, group->Write(seconds(4)));
    group->time().RunFor(milliseconds(100));
  }
  group->time().RunFor(seconds(4));
  EXPECT_EQ(CountPromotions(*group), 0u);
}

// Each packet to and from the primary is delayed by 500 ms in an idle group,
// where each status call also waits inside the database.
TEST(Promotion, ASlowNetworkCausesNone) {
  auto group = ReadyGroup();
  group->keeper(0).extra_delay["a"] = milliseconds(500);
  (*group)["b"].shape().lag = milliseconds(500);
  (*group)["c"].shape().lag = milliseconds(500);
  for (int i = 0; i < 5; ++i) {
    group->Send(0, group->Write(seconds(4)));
    group->time().RunFor(seconds(3));
  }
  group->keeper(0).extra_delay.clear();
  group->time().RunFor(seconds(5));
  EXPECT_EQ(CountPromotions(*group), 0u);
}

// A keeper freezes during a promotion and another one completes it. The first
// resumes with an old term; if its calls were accepted, the group would have
// two primaries.
TEST(Promotion, AProposerThatWakesLateIsHarmless) {
  for (int pause_us = 0; pause_us < 4000; pause_us += 250) {
    auto group = ReadyGroup();
    group->AddKeeper();
    group->time().RunFor(seconds(1));
    group->Kill("a");
    // The loss is detected about 52 ms after the kill; the freeze falls around
    // it.
    group->time().RunFor(milliseconds(52) +
                         std::chrono::microseconds(pause_us));
    group->FreezeKeeper(0);
    group->time().RunFor(seconds(3));
    const auto before = group->Send(1, group->Write(seconds(1)));
    group->time().RunFor(milliseconds(200));
    ASSERT_EQ(group->sent(before).answer->kind(), OutcomeKind::kDone)
        << pause_us;
    group->keeper(0).Thaw();
    group->time().RunFor(milliseconds(1000));
    const auto after = group->Send(0, group->Write(seconds(2)));
    group->time().RunFor(seconds(2));
    EXPECT_EQ(group->sent(after).answer->kind(), OutcomeKind::kDone)
        << pause_us;
    EXPECT_EQ(JoinLines(group->HealAndCheck()), "") << pause_us;
  }
}

// Two keepers detect the loss at the same time and propose the same term.
TEST(Promotion, TwoProposersAtOnceEndWithOnePrimary) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    FakeGroup group(Tamworth(), seed);
    group.AddKeeper();
    group.AddKeeper();
    group.time().RunFor(seconds(1));
    group.Kill("a");
    const auto first = group.Send(0, group.Write(seconds(3), true));
    const auto second = group.Send(1, group.Write(seconds(3), true));
    group.time().RunFor(seconds(3));
    EXPECT_EQ(group.sent(first).answer->kind(), OutcomeKind::kDone) << seed;
    EXPECT_EQ(group.sent(second).answer->kind(), OutcomeKind::kDone) << seed;
    EXPECT_EQ(JoinLines(group.HealAndCheck()), "") << seed;
  }
}

// The keeper dies at any point of a promotion and leaves the group without a
// primary, or with one that no replica follows. The next keeper has to detect
// that.
TEST(Promotion, AKeeperLostInTheMiddleIsSucceeded) {
  for (int after_us = 0; after_us < 6000; after_us += 250) {
    auto group = ReadyGroup();
    group->Kill("a");
    group->time().RunFor(milliseconds(52) +
                         std::chrono::microseconds(after_us));
    group->keeper(0).Kill();
    const int next = group->AddKeeper();
    const auto write = group->Send(next, group->Write(seconds(4)));
    group->time().RunFor(seconds(4));
    ASSERT_TRUE(group->sent(write).answer.has_value()) << after_us;
    EXPECT_EQ(group->sent(write).answer->kind(), OutcomeKind::kDone)
        << after_us;
    EXPECT_EQ(JoinLines(group->HealAndCheck()), "") << after_us;
  }
}

}  // namespace
}  // namespace ryefold::test
