// Draining of databases and keepers.

#include <gtest/gtest.h>

#include "testsuite/support/group/checks.h"

namespace ryefold::test {
namespace {

using core::OutcomeKind;
using std::chrono::seconds;

/// Sends a write and a read every 5 ms for `time`.
void SendLoad(FakeGroup& group, milliseconds time) {
  for (milliseconds at{0}; at < time; at += milliseconds(5)) {
    group.Send(0, group.Write(seconds(2)));
    group.Send(0, group.Read("x", seconds(2), {}, seconds(5)));
    group.time().RunFor(milliseconds(5));
  }
}

/// Runs one step of a transaction and returns its answer.
core::StatementAnswer RunStep(FakeGroup& group, core::Step step,
                              const std::string& transaction) {
  core::StatementRequest request = group.Write(seconds(2));
  request.step = step;
  request.transaction = transaction;
  const auto tag = group.Send(0, request);
  group.time().RunFor(milliseconds(20));
  return *group.sent(tag).answer;
}

// The platform lists a replica as leaving. A statement sent to it afterwards
// would be cut off when it stops.
TEST(Drain, ALeavingReplicaGetsNoStatementAfterTheEvent) {
  auto group = ReadyGroup();
  SendLoad(*group, milliseconds(200));
  group->Policy("b");
  const TimePoint marked = group->time().now();
  SendLoad(*group, seconds(1));
  EXPECT_LE((*group)["b"].last_statement_at(),
            marked + group->shape().network.one_way);
  EXPECT_EQ(CountPromotions(*group), 0u);
  group->time().RunFor(seconds(2));
  EXPECT_EQ((*group)["b"].connections(), 0u);
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// The primary leaves under load: writes are held while the most advanced
// replica catches up and takes over, and no write fails.
TEST(Drain, ALeavingPrimaryIsReplacedWithoutAFailedWrite) {
  auto group = ReadyGroup();
  (*group)["b"].shape().lag = milliseconds(50);
  (*group)["c"].shape().lag = milliseconds(50);
  SendLoad(*group, milliseconds(300));
  group->Policy("a");
  const TimePoint marked = group->time().now();
  SendLoad(*group, seconds(1));
  group->time().RunFor(seconds(3));
  EXPECT_LE((*group)["a"].last_statement_at(),
            marked + group->shape().network.one_way);
  EXPECT_NE(group->primary()->name(), "a");
  EXPECT_EQ((*group)["a"].connections(), 0u);
  for (const auto& [tag, sent] : group->sent()) {
    ASSERT_TRUE(sent.answer.has_value());
    EXPECT_EQ(sent.answer->kind(), OutcomeKind::kDone)
        << sent.request.request_id;
  }
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// A transaction open on the leaving primary may finish within a short bound,
// for which all writes are held.
TEST(Drain, AnOpenTransactionMayFinishOnALeavingPrimary) {
  auto group = ReadyGroup();
  const auto begin = RunStep(*group, core::Step::kBegin, "");
  group->Policy("a");
  const auto write =
      RunStep(*group, core::Step::kStatement, begin.transaction());
  EXPECT_EQ(write.kind(), OutcomeKind::kDone);
  const auto commit = RunStep(*group, core::Step::kCommit, begin.transaction());
  EXPECT_EQ(commit.kind(), OutcomeKind::kDone);
  group->time().RunFor(milliseconds(100));
  EXPECT_NE(group->primary()->name(), "a");
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// The caller of an open transaction sends nothing. The change of primary does
// not wait for it, and its next statement is refused.
TEST(Drain, ATransactionThatDoesNotFinishIsEndedCleanly) {
  auto group = ReadyGroup();
  const auto begin = RunStep(*group, core::Step::kBegin, "");
  RunStep(*group, core::Step::kStatement, begin.transaction());
  group->Policy("a");
  group->time().RunFor(milliseconds(400));
  EXPECT_NE(group->primary()->name(), "a");
  const auto commit = RunStep(*group, core::Step::kCommit, begin.transaction());
  EXPECT_EQ(commit.kind(), OutcomeKind::kNotRun);
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// A keeper steps down with an open transaction, whose commit then has to be
// confirmed. Both finish before the keeper releases its connections.
TEST(Drain, AKeeperStepsDownOnlyAfterWhatIsOpen) {
  auto group = ReadyGroup();
  const auto begin = RunStep(*group, core::Step::kBegin, "");
  group->keeper(0).Feed(core::group::StepDown{});
  EXPECT_FALSE(group->keeper(0).idle());
  const auto write =
      RunStep(*group, core::Step::kStatement, begin.transaction());
  EXPECT_EQ(write.kind(), OutcomeKind::kDone);
  const auto commit = RunStep(*group, core::Step::kCommit, begin.transaction());
  EXPECT_EQ(commit.kind(), OutcomeKind::kDone);
  EXPECT_TRUE(group->keeper(0).idle());
  EXPECT_EQ((*group)["a"].connections(), 0u);
}

}  // namespace
}  // namespace ryefold::test
