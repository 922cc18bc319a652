// Lost answers, repeated requests, and what a session may read.

#include <gtest/gtest.h>

#include "testsuite/support/group/checks.h"

namespace ryefold::test {
namespace {

using core::OutcomeKind;
using core::Reason;
using std::chrono::seconds;

// The connection breaks after a write ran and before its answer arrived. The
// keeper must not send the write again; the primary's record shows that it is
// done.
TEST(AtMostOnce, ALostAnswerIsFoundInTheRecordWithoutSendingAgain) {
  auto group = ReadyGroup();
  group->keeper(0).network().lose_answer = 1;
  const uint64_t before = group->keeper(0).executes;
  const auto write = group->Send(0, group->Write(seconds(2)));
  group->time().RunFor(milliseconds(2));
  group->keeper(0).network().lose_answer = 0;
  group->time().RunFor(milliseconds(300));
  EXPECT_EQ(group->keeper(0).executes, before + 1);
  ASSERT_TRUE(group->sent(write).answer.has_value());
  EXPECT_EQ(group->sent(write).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// A keeper freezes with a write in its queue. The caller asks another keeper,
// which fences the request id; then the first keeper resumes and sends the
// write.
TEST(AtMostOnce, AFencedWriteThatAFrozenKeeperSendsLateIsRefused) {
  auto group = ReadyGroup();
  group->AddKeeper();
  group->time().RunFor(seconds(1));
  group->FreezeKeeper(0);
  const auto write = group->Send(0, group->Write(seconds(10)));
  const std::string id = group->sent(write).request.request_id;
  group->time().RunFor(seconds(1));
  const auto settle = group->Settle(1, id, seconds(1));
  group->time().RunFor(milliseconds(100));
  ASSERT_TRUE(group->sent(settle).answer.has_value());
  EXPECT_EQ(group->sent(settle).answer->reason(), Reason::kFenced);
  group->keeper(0).Thaw();
  group->time().RunFor(seconds(1));
  ASSERT_TRUE(group->sent(write).answer.has_value());
  EXPECT_EQ(group->sent(write).answer->kind(), OutcomeKind::kNotRun);
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// The caller repeats a request through another keeper while the first attempt
// is still running.
TEST(AtMostOnce, ARepeatThroughAnotherKeeperIsAnsweredFromTheRecord) {
  auto group = ReadyGroup();
  group->AddKeeper();
  group->time().RunFor(seconds(1));
  const auto request = group->Write(seconds(2));
  const auto first = group->Send(0, request);
  const auto second = group->Send(1, request, {}, /*repeat=*/true);
  group->time().RunFor(milliseconds(100));
  EXPECT_EQ(group->sent(first).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(group->sent(second).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(group->sent(first).answer->seen(),
            group->sent(second).answer->seen());
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// A keeper that reaches only the partitioned primary runs a write there, which
// no replica confirms. The caller repeats it through another keeper under the
// new primary. When the first keeper finds its entry discarded, it must not
// answer "not run": the caller would issue the write a second time.
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
  ASSERT_TRUE(group->sent(second).answer.has_value());
  EXPECT_EQ(group->sent(second).answer->kind(), OutcomeKind::kDone);
  EXPECT_FALSE(group->sent(first).answer.has_value());
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
  ASSERT_TRUE(group->sent(first).answer.has_value());
  EXPECT_EQ(group->sent(first).answer->kind(), OutcomeKind::kDone);
}

// A statement runs past its caller's deadline. Its answer must not reach the
// next caller on the same connection.
TEST(NoMixing, AConnectionWithAnUnfinishedStatementIsClosed) {
  auto group = ReadyGroup();
  (*group)["a"].stall = milliseconds(300);
  const uint64_t opened = group->keeper(0).opens;
  const auto slow = group->Send(0, group->Write(milliseconds(100)));
  group->time().RunFor(milliseconds(150));
  ASSERT_TRUE(group->sent(slow).answer.has_value());
  EXPECT_EQ(group->sent(slow).answer->kind(), OutcomeKind::kUnknown);
  (*group)["a"].stall = Duration{0};
  const auto next = group->Send(0, group->Write(seconds(1)));
  group->time().RunFor(milliseconds(500));
  EXPECT_EQ(group->sent(next).answer->result_json(),
            group->sent(next).request.request_id);
  EXPECT_EQ(group->keeper(0).opens, opened + 1);
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// The primary is replaced while a transaction is open on it, and the commit is
// refused. The state of the connection is unknown: a later statement on it
// could become part of the old transaction.
TEST(NoMixing, AConnectionOfATransactionInDoubtIsClosed) {
  auto group = ReadyGroup();
  core::StatementRequest request = group->Write(seconds(1));
  request.step = core::Step::kBegin;
  const auto begin = group->Send(0, request);
  group->time().RunFor(milliseconds(100));
  const size_t connections = (*group)["a"].connections();
  (*group)["a"].Control(core::AdoptCall{9, "another"},
                        [](const core::ControlAnswer& /*answer*/) {});
  request = group->Write(seconds(1));
  request.step = core::Step::kCommit;
  request.transaction = group->sent(begin).answer->transaction();
  const auto commit = group->Send(0, request);
  group->time().RunFor(milliseconds(20));
  ASSERT_TRUE(group->sent(commit).answer.has_value());
  EXPECT_EQ(group->sent(commit).answer->kind(), OutcomeKind::kNotRun);
  EXPECT_EQ(group->sent(commit).answer->reason(), Reason::kTransactionLost);
  EXPECT_EQ((*group)["a"].connections(), connections - 1);
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// A session read an unacknowledged write on the primary, which a promotion then
// discarded. A read that requires that position would never be served.
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
  ASSERT_TRUE(group->sent(read).answer.has_value());
  EXPECT_EQ(group->sent(read).answer->kind(), OutcomeKind::kDone);
}

// One keeper reaches only the old primary while another has promoted a replica.
// The first cannot detect that, so a read with max_age 0 must not be served by
// the old primary: it would miss writes acknowledged by the new one.
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
  ASSERT_EQ(group->sent(write).answer->kind(), OutcomeKind::kDone);
  const auto read =
      group->Send(0, group->Read(group->sent(write).request.sql, seconds(1), {},
                                 milliseconds(0)));
  group->time().RunFor(seconds(2));
  ASSERT_TRUE(group->sent(read).answer.has_value());
  EXPECT_EQ(group->sent(read).answer->kind(), OutcomeKind::kNotRun);
}

// One replica lags by seconds. Reads go to the other one without delay.
TEST(Sessions, OneReplicaFarBehindDelaysNoRead) {
  auto group = ReadyGroup();
  (*group)["b"].shape().lag = seconds(10);
  const uint64_t before = group->keeper(0).executes;
  for (int i = 0; i < 50; ++i) {
    const auto write = group->Send(0, group->Write(seconds(1)));
    group->time().RunFor(milliseconds(20));
    ASSERT_EQ(group->sent(write).answer->kind(), OutcomeKind::kDone);
    const auto read = group->Send(
        0, group->Read(group->sent(write).request.sql, seconds(1),
                       group->sent(write).answer->seen(), seconds(5)));
    group->time().RunFor(milliseconds(20));
    ASSERT_TRUE(group->sent(read).answer.has_value());
    EXPECT_TRUE(group->sent(read).answer->result_json().ends_with(" yes"));
    EXPECT_EQ(group->sent(read).answer->database(), "c");
  }
  EXPECT_EQ(group->keeper(0).executes, before + 100);
}

}  // namespace
}  // namespace ryefold::test
