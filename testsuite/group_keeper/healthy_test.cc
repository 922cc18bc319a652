// A keeper of a group without failures.

#include <gtest/gtest.h>

#include "testsuite/support/group/fake_group.h"

namespace ryefold::test {
namespace {

using core::OutcomeKind;
using std::chrono::seconds;

TEST(HealthyGroup, AWriteIsDoneAndAReadOfTheSessionSeesItOnAReplica) {
  FakeGroup group(Tamworth(), 1);
  group.AddKeeper();
  group.time().RunFor(seconds(1));
  const auto write = group.Send(0, group.Write(milliseconds(500)));
  group.time().RunFor(milliseconds(100));
  ASSERT_TRUE(group.sent(write).answer.has_value());
  const core::StatementAnswer& done = *group.sent(write).answer;
  ASSERT_EQ(done.kind(), OutcomeKind::kDone);
  EXPECT_EQ(done.seen().term, 1u);

  const auto read =
      group.Send(0, group.Read(group.sent(write).request.sql, milliseconds(500),
                               done.seen(), seconds(5)));
  group.time().RunFor(milliseconds(100));
  ASSERT_TRUE(group.sent(read).answer.has_value());
  const core::StatementAnswer& seen = *group.sent(read).answer;
  EXPECT_EQ(seen.kind(), OutcomeKind::kDone);
  EXPECT_TRUE(seen.result_json().ends_with(" yes"));
  EXPECT_TRUE(seen.from_replica());
  EXPECT_EQ(seen.database(), "b");
  EXPECT_TRUE(group.HealAndCheck().empty());
}

TEST(HealthyGroup, AReadOfAgeZeroIsServedByALevelReplica) {
  FakeGroup group(Tamworth(), 1);
  group.AddKeeper();
  group.time().RunFor(seconds(1));
  const auto read =
      group.Send(0, group.Read("x", milliseconds(500), {}, milliseconds(0)));
  group.time().RunFor(milliseconds(20));
  ASSERT_TRUE(group.sent(read).answer.has_value());
  EXPECT_EQ(group.sent(read).answer->kind(), OutcomeKind::kDone);
  EXPECT_TRUE(group.sent(read).answer->from_replica());
}

TEST(HealthyGroup, ATransactionOwnsItsConnectionUntilItsEnd) {
  FakeGroup group(Tamworth(), 1);
  group.AddKeeper();
  group.time().RunFor(seconds(1));
  auto step = [&group](core::Step step, const std::string& transaction) {
    core::StatementRequest request = group.Write(milliseconds(500));
    request.step = step;
    request.transaction = transaction;
    const auto tag = group.Send(0, request);
    group.time().RunFor(milliseconds(20));
    return group.sent(tag);
  };
  const SentRequest begin = step(core::Step::kBegin, "");
  ASSERT_EQ(begin.answer->kind(), OutcomeKind::kDone);
  const std::string id = begin.answer->transaction();
  ASSERT_FALSE(id.empty());
  EXPECT_TRUE(id.starts_with("instance0~"));
  EXPECT_EQ(step(core::Step::kStatement, id).answer->kind(),
            OutcomeKind::kDone);
  EXPECT_EQ(step(core::Step::kCommit, id).answer->kind(), OutcomeKind::kDone);
  const SentRequest after = step(core::Step::kStatement, id);
  EXPECT_EQ(after.answer->kind(), OutcomeKind::kNotRun);
  EXPECT_EQ(after.answer->reason(), core::Reason::kUnknownTransaction);
}

TEST(HealthyGroup, AKeeperThatStepsDownGivesEverythingBack) {
  FakeGroup group(Tamworth(), 1);
  group.AddKeeper();
  group.time().RunFor(seconds(1));
  const auto write = group.Send(0, group.Write(milliseconds(500)));
  group.keeper(0).Feed(core::group::StepDown{});
  const auto late = group.Send(0, group.Write(milliseconds(500)));
  group.time().RunFor(milliseconds(100));
  EXPECT_EQ(group.sent(write).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(group.sent(late).answer->reason(), core::Reason::kShuttingDown);
  EXPECT_EQ(group.sent(late).answered_at, group.sent(late).at);
  EXPECT_TRUE(group.keeper(0).idle());
  EXPECT_EQ(group["a"].connections(), 0u);
  const uint64_t calls = group.keeper(0).control_calls;
  group.time().RunFor(seconds(5));
  EXPECT_EQ(group.keeper(0).control_calls, calls);
}

}  // namespace
}  // namespace ryefold::test
