// Lost answers, repeats, and what a session may see.

#include <gtest/gtest.h>

#include "testsuite/support/group/checks.h"

namespace ryefold::test {
namespace {

using core::OutcomeKind;
using core::Reason;
using std::chrono::seconds;

// The connection breaks after a work order ran and before its answer came. The
// keeper must not send it again; the primary's record tells that it was done.
TEST(AtMostOnce, ALostAnswerIsFoundInTheRecordWithoutSendingAgain) {
  auto group = ReadyGroup();
  group->keeper(0).network().lose_answer = 1;
  const uint64_t before = group->keeper(0).executes;
  const auto write = group->Send(0, group->Write(seconds(2)));
  group->time().RunFor(milliseconds(2));
  group->keeper(0).network().lose_answer = 0;
  group->time().RunFor(milliseconds(300));
  EXPECT_EQ(group->keeper(0).executes, before + 1);
  ASSERT_TRUE(group->asked(write).answer.has_value());
  EXPECT_EQ(group->asked(write).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(Text(group->HealAndCheck()), "");
}

// The keeper freezes with a caller's write in its queue; the caller gives up,
// asks another keeper, which fences the id. The first one wakes and sends the
// write after all.
TEST(AtMostOnce, AFencedWriteThatASleepingKeeperSendsLateIsRefused) {
  auto group = ReadyGroup();
  group->AddKeeper();
  group->time().RunFor(seconds(1));
  group->FreezeKeeper(0);
  const auto write = group->Send(0, group->Write(seconds(10)));
  const std::string id = group->asked(write).request.request_id;
  group->time().RunFor(seconds(1));
  const auto settle = group->Settle(1, id, seconds(1));
  group->time().RunFor(milliseconds(100));
  ASSERT_TRUE(group->asked(settle).answer.has_value());
  EXPECT_EQ(group->asked(settle).answer->reason(), Reason::kFenced);
  group->keeper(0).Thaw();
  group->time().RunFor(seconds(1));
  ASSERT_TRUE(group->asked(write).answer.has_value());
  EXPECT_EQ(group->asked(write).answer->kind(), OutcomeKind::kNotRun);
  EXPECT_EQ(Text(group->HealAndCheck()), "");
}

// A caller that knows nothing of its first sending repeats it through another
// keeper.
TEST(AtMostOnce, ARepeatThroughAnotherKeeperIsAnsweredFromTheRecord) {
  auto group = ReadyGroup();
  group->AddKeeper();
  group->time().RunFor(seconds(1));
  const auto request = group->Write(seconds(2));
  const auto first = group->Send(0, request);
  const auto second = group->Send(1, request, {}, /*repeat=*/true);
  group->time().RunFor(milliseconds(100));
  EXPECT_EQ(group->asked(first).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(group->asked(second).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(group->asked(first).answer->seen(),
            group->asked(second).answer->seen());
  EXPECT_EQ(Text(group->HealAndCheck()), "");
}

// A keeper that sees only the cut-off primary has a write run there, where no
// replica confirms it. Its caller repeats it through another keeper, under the
// new primary. When the first keeper learns that its entry was discarded, the
// write itself was done all the same: "not run" would have it ordered again.
TEST(AtMostOnce, ADiscardedWriteThatWasRepeatedElsewhereIsDone) {
  auto group = ReadyGroup();
  group->AddKeeper();
  group->time().RunFor(seconds(1));
  (*group)["a"].peers_cut = true;
  group->keeper(0).cut = {"b", "c"};
  group->keeper(1).cut = {"a"};
  const auto request = group->Write(seconds(20));
  const auto first = group->Send(0, request);
  group->time().RunFor(seconds(3));
  const auto second = group->Send(1, request, {}, /*repeat=*/true);
  group->time().RunFor(milliseconds(100));
  ASSERT_TRUE(group->asked(second).answer.has_value());
  EXPECT_EQ(group->asked(second).answer->kind(), OutcomeKind::kDone);
  EXPECT_FALSE(group->asked(first).answer.has_value());
  EXPECT_EQ(Text(group->HealAndCheck()), "");
  ASSERT_TRUE(group->asked(first).answer.has_value());
  EXPECT_EQ(group->asked(first).answer->kind(), OutcomeKind::kDone);
}

// A statement outlives its caller's patience. Its answer must not reach the
// next caller on the same connection.
TEST(NoMixing, AConnectionWithAnUnfinishedStatementIsClosed) {
  auto group = ReadyGroup();
  (*group)["a"].stall = milliseconds(300);
  const uint64_t opened = group->keeper(0).opens;
  const auto slow = group->Send(0, group->Write(milliseconds(100)));
  group->time().RunFor(milliseconds(150));
  ASSERT_TRUE(group->asked(slow).answer.has_value());
  EXPECT_EQ(group->asked(slow).answer->kind(), OutcomeKind::kUnknown);
  (*group)["a"].stall = Duration{0};
  const auto next = group->Send(0, group->Write(seconds(1)));
  group->time().RunFor(milliseconds(500));
  EXPECT_EQ(group->asked(next).answer->result_json(),
            group->asked(next).request.request_id);
  EXPECT_EQ(group->keeper(0).opens, opened + 1);
  EXPECT_EQ(Text(group->HealAndCheck()), "");
}

// A session read an unacknowledged write on the primary, and a promotion then
// discarded it. A read that waited for that position would wait for ever.
TEST(Sessions, APositionThatAPromotionDiscardedIsCutBack) {
  auto group = ReadyGroup();
  (*group)["a"].peers_cut = true;
  group->Send(0, group->Write(milliseconds(300)));
  group->time().RunFor(milliseconds(10));
  const core::LogPosition seen = (*group)["a"].log().last();
  group->Kill("a");
  group->time().RunFor(seconds(1));
  const auto read =
      group->Send(0, group->Read("x", seconds(1), seen, seconds(5)));
  group->time().RunFor(milliseconds(50));
  ASSERT_TRUE(group->asked(read).answer.has_value());
  EXPECT_EQ(group->asked(read).answer->kind(), OutcomeKind::kDone);
}

// One keeper sees only the old primary, another has promoted a replica. The
// first cannot know; a read that accepts no age must not be served by what it
// takes for the primary, or a gate lets in a card that was just revoked.
TEST(Sessions, AReplacedPrimaryServesNoReadOfAgeZero) {
  auto group = ReadyGroup();
  group->AddKeeper();
  group->time().RunFor(seconds(1));
  (*group)["a"].peers_cut = true;
  group->keeper(0).cut = {"b", "c"};
  group->keeper(1).cut = {"a"};
  group->time().RunFor(seconds(3));
  const auto write = group->Send(1, group->Write(seconds(1)));
  group->time().RunFor(milliseconds(100));
  ASSERT_EQ(group->asked(write).answer->kind(), OutcomeKind::kDone);
  const auto read =
      group->Send(0, group->Read(group->asked(write).request.sql, seconds(1),
                                 {}, milliseconds(0)));
  group->time().RunFor(seconds(2));
  ASSERT_TRUE(group->asked(read).answer.has_value());
  EXPECT_EQ(group->asked(read).answer->kind(), OutcomeKind::kNotRun);
}

// One replica is seconds behind. Reads go to the other and nobody waits.
TEST(Sessions, OneReplicaFarBehindHurtsNobody) {
  auto group = ReadyGroup();
  (*group)["b"].shape().lag = seconds(10);
  const uint64_t before = group->keeper(0).executes;
  for (int i = 0; i < 50; ++i) {
    const auto write = group->Send(0, group->Write(seconds(1)));
    group->time().RunFor(milliseconds(20));
    ASSERT_EQ(group->asked(write).answer->kind(), OutcomeKind::kDone);
    const auto read = group->Send(
        0, group->Read(group->asked(write).request.sql, seconds(1),
                       group->asked(write).answer->seen(), seconds(1)));
    group->time().RunFor(milliseconds(20));
    ASSERT_TRUE(group->asked(read).answer.has_value());
    EXPECT_TRUE(group->asked(read).answer->result_json().ends_with(" yes"));
    EXPECT_EQ(group->asked(read).answer->database(), "c");
  }
  EXPECT_EQ(group->keeper(0).executes, before + 100);
}

}  // namespace
}  // namespace ryefold::test
