// A second failure right after a promotion, before a majority holds the new
// term's first entry.

#include <gtest/gtest.h>

#include "testsuite/support/group/checks.h"

namespace ryefold::test {
namespace {

using core::OutcomeKind;
using core::Reason;
using std::chrono::seconds;

/// The third database follows so far behind that it never gets the new term.
constexpr seconds kFarBehind{30};

/// The new primary dies, the old one is back: the next is chosen from it and
/// the one far behind.
void LoseNewPrimaryAndReturn(FakeGroup& group) {
  group.Kill("b");
  if (group["a"].dead) group["a"].Revive();
  group["a"].peers_cut = false;
}

// The primary is cut off with a write that only it holds. A replica takes over
// and its log says that the write is discarded, but no other database has an
// entry of the new term when the new primary dies in turn. The old primary is
// promoted again and brings the write back. Had its caller been told "not
// run", a crew would be sent twice.
TEST(SecondFailure, BringsBackNothingThatWasCalledNotRun) {
  auto group = ReadyGroup();
  (*group)["c"].shape().lag = kFarBehind;
  (*group)["a"].peers_cut = true;
  const auto write = group->Send(0, group->Write(seconds(20)));
  group->time().RunFor(milliseconds(1500));
  ASSERT_EQ(group->primary()->name(), "b");
  ASSERT_EQ((*group)["c"].log().last().term, 1u);
  EXPECT_FALSE(group->asked(write).answer.has_value());
  LoseNewPrimaryAndReturn(*group);
  group->time().RunFor(seconds(5));
  EXPECT_EQ(group->primary()->name(), "a");
  EXPECT_EQ(Text(group->HealAndCheck()), "");
  ASSERT_TRUE(group->asked(write).answer.has_value());
  EXPECT_EQ(group->asked(write).answer->kind(), OutcomeKind::kDone);
}

// The new primary runs a write whose answer is lost, and its record tells that
// it was done. No other database holds it yet when the new primary dies. Had
// its caller been told "done", a card that was paid for would be gone.
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
  ASSERT_TRUE((*group)["b"].log().Contains(group->asked(write).request.sql));
  EXPECT_FALSE(group->asked(write).answer.has_value());
  LoseNewPrimaryAndReturn(*group);
  group->time().RunFor(seconds(5));
  EXPECT_EQ(Text(group->HealAndCheck()), "");
  ASSERT_TRUE(group->asked(write).answer.has_value());
  EXPECT_EQ(group->asked(write).answer->kind(), OutcomeKind::kNotRun);
}

// The old primary dies holding a write whose answer never came. The new one
// knows nothing of it and fences its id, but dies before any other database
// holds the fence. The old primary comes back with the write.
TEST(SecondFailure, AFenceThatOnlyOneDatabaseHoldsProvesNothing) {
  auto group = ReadyGroup();
  (*group)["c"].shape().lag = kFarBehind;
  (*group)["a"].peers_cut = true;
  group->keeper(0).network().lose_answer = 1;
  const auto write = group->Send(0, group->Write(seconds(20)));
  group->time().RunFor(std::chrono::microseconds(1100));
  ASSERT_TRUE((*group)["a"].log().Contains(group->asked(write).request.sql));
  group->Kill("a");
  group->keeper(0).network().lose_answer = 0;
  group->time().RunFor(milliseconds(500));
  ASSERT_EQ(group->primary()->name(), "b");
  EXPECT_EQ((*group)["b"].log().entries().back().kind, EntryKind::kFence);
  EXPECT_FALSE(group->asked(write).answer.has_value());
  LoseNewPrimaryAndReturn(*group);
  group->time().RunFor(seconds(5));
  EXPECT_EQ(group->primary()->name(), "a");
  EXPECT_EQ(Text(group->HealAndCheck()), "");
  ASSERT_TRUE(group->asked(write).answer.has_value());
  EXPECT_EQ(group->asked(write).answer->kind(), OutcomeKind::kDone);
}

// Another keeper has fenced the id, but only the primary holds the fence. The
// primary refuses the write for it; until a majority holds the fence, the
// refusal is as weak as the fence.
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
  EXPECT_FALSE(group->asked(write).answer.has_value());
  EXPECT_EQ(Text(group->HealAndCheck()), "");
  ASSERT_TRUE(group->asked(write).answer.has_value());
  EXPECT_EQ(group->asked(write).answer->reason(), Reason::kFenced);
}

}  // namespace
}  // namespace ryefold::test
