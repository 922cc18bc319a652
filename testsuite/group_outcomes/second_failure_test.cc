// A second failure right after a promotion, before a majority holds the first
// entry of the new term.

#include <gtest/gtest.h>

#include "testsuite/support/group/checks.h"

namespace ryefold::test {
namespace {

using core::OutcomeKind;
using core::Reason;
using std::chrono::seconds;

/// Lag with which the third database never receives the new term.
constexpr seconds kFarBehind{30};

/// Kills the new primary and brings the old one back: the next primary is
/// chosen from the old one and the lagging one.
void KillNewPrimaryAndRestoreOld(FakeGroup& group) {
  group.Kill("b");
  if (group["a"].dead) group["a"].Revive();
  group["a"].peers_cut = false;
}

// The primary is partitioned with a write that only it holds. A replica is
// promoted and its log shows the write as discarded, but it dies before another
// database has an entry of the new term. The old primary is promoted again and
// brings the write back. After an answer "not run", the caller would have
// issued the write a second time.
TEST(SecondFailure, BringsBackNothingThatWasCalledNotRun) {
  auto group = ReadyGroup();
  (*group)["c"].shape().lag = kFarBehind;
  (*group)["a"].peers_cut = true;
  const auto write = group->Send(0, group->Write(seconds(20)));
  group->time().RunFor(milliseconds(1500));
  ASSERT_EQ(group->primary()->name(), "b");
  ASSERT_EQ((*group)["c"].log().last().term, 1u);
  EXPECT_FALSE(group->sent(write).answer.has_value());
  KillNewPrimaryAndRestoreOld(*group);
  group->time().RunFor(seconds(5));
  EXPECT_EQ(group->primary()->name(), "a");
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
  ASSERT_TRUE(group->sent(write).answer.has_value());
  EXPECT_EQ(group->sent(write).answer->kind(), OutcomeKind::kDone);
}

// The new primary runs a write whose answer is lost, and its record shows the
// write as done. It dies before any other database holds the write. After an
// answer "done", an acknowledged write would be lost.
TEST(SecondFailure, LosesNothingThatWasCalledDone) {
  auto group = ReadyGroup();
  (*group)["c"].shape().lag = kFarBehind;
  group->Kill("a");
  group->time().RunFor(milliseconds(100));
  ASSERT_EQ(group->primary()->name(), "b");
  group->keeper(0).network().lose_answer = 1;
  const auto write = group->Send(0, group->Write(seconds(20)));
  group->time().RunFor(milliseconds(5));
  group->keeper(0).network().lose_answer = 0;
  group->time().RunFor(milliseconds(200));
  ASSERT_TRUE((*group)["b"].log().Contains(group->sent(write).request.sql));
  EXPECT_FALSE(group->sent(write).answer.has_value());
  KillNewPrimaryAndRestoreOld(*group);
  group->time().RunFor(seconds(5));
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
  ASSERT_TRUE(group->sent(write).answer.has_value());
  EXPECT_EQ(group->sent(write).answer->kind(), OutcomeKind::kNotRun);
}

// The old primary dies with a write whose answer never arrived. The new primary
// has no record of it and fences the id, but dies before another database holds
// the fence. The old primary comes back with the write.
TEST(SecondFailure, AFenceThatOnlyOneDatabaseHoldsProvesNothing) {
  auto group = ReadyGroup();
  (*group)["c"].shape().lag = kFarBehind;
  (*group)["a"].peers_cut = true;
  group->keeper(0).network().lose_answer = 1;
  const auto write = group->Send(0, group->Write(seconds(20)));
  group->time().RunFor(std::chrono::microseconds(1100));
  ASSERT_TRUE((*group)["a"].log().Contains(group->sent(write).request.sql));
  group->Kill("a");
  group->keeper(0).network().lose_answer = 0;
  group->time().RunFor(milliseconds(500));
  ASSERT_EQ(group->primary()->name(), "b");
  EXPECT_EQ((*group)["b"].log().entries().back().kind, EntryKind::kFence);
  EXPECT_FALSE(group->sent(write).answer.has_value());
  KillNewPrimaryAndRestoreOld(*group);
  group->time().RunFor(seconds(5));
  EXPECT_EQ(group->primary()->name(), "a");
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
  ASSERT_TRUE(group->sent(write).answer.has_value());
  EXPECT_EQ(group->sent(write).answer->kind(), OutcomeKind::kDone);
}

// Another keeper has fenced the id, but only the primary holds the fence and
// refuses the write because of it. Until a majority holds the fence, the
// refusal can be lost with it.
TEST(SecondFailure, ARefusalByAnUnconfirmedFenceIsNotPassedOn) {
  auto group = ReadyGroup();
  group->AddKeeper();
  group->time().RunFor(seconds(1));
  (*group)["c"].shape().lag = kFarBehind;
  group->Kill("a");
  group->time().RunFor(seconds(2));
  ASSERT_EQ(group->primary()->name(), "b");
  const auto request = group->Write(seconds(30));
  group->Settle(1, request.request_id, seconds(30));
  group->time().RunFor(milliseconds(100));
  const auto write = group->Send(0, request);
  group->time().RunFor(milliseconds(300));
  EXPECT_FALSE((*group)["b"].log().Contains(request.sql));
  EXPECT_FALSE(group->sent(write).answer.has_value());
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
  ASSERT_TRUE(group->sent(write).answer.has_value());
  EXPECT_EQ(group->sent(write).answer->reason(), Reason::kFenced);
}

}  // namespace
}  // namespace ryefold::test
