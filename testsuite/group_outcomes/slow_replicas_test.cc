// Writes that wait for replicas, and reads whose replica fails.

#include <gtest/gtest.h>

#include "testsuite/support/group/checks.h"

namespace ryefold::test {
namespace {

using core::OutcomeKind;
using core::Reason;
using std::chrono::seconds;

// Both replicas lag by half a second. Writes that wait for them must not occupy
// the primary's few slots, or all other requests would wait as well.
TEST(SlowReplicas, AWriteWaitingForThemHoldsNoSlot) {
  auto group = ReadyGroup();
  (*group)["b"].shape().lag = milliseconds(500);
  (*group)["c"].shape().lag = milliseconds(500);
  std::vector<uint64_t> writes;
  writes.reserve(10);
  for (int i = 0; i < 10; ++i) {
    writes.push_back(group->Send(0, group->Write(seconds(2))));
  }
  group->time().RunFor(milliseconds(50));
  const core::group::KeeperView view = group->keeper(0).view();
  EXPECT_EQ(view.unconfirmed, 10u);
  EXPECT_EQ(view.queued, 0u);
  for (const core::group::DatabaseView& database : view.databases) {
    EXPECT_EQ(database.running, 0u) << database.database;
  }
  group->time().RunFor(seconds(1));
  for (const uint64_t write : writes) {
    ASSERT_TRUE(group->sent(write).answer.has_value());
    EXPECT_EQ(group->sent(write).answer->kind(), OutcomeKind::kDone);
  }
}

// Replicas lag longer than callers can wait. The first write ends with an
// unknown outcome at its deadline; later ones are refused before they are sent.
TEST(SlowReplicas, AWriteThatCannotBeConfirmedInTimeIsRefusedBeforehand) {
  auto group = ReadyGroup();
  (*group)["b"].shape().lag = milliseconds(600);
  (*group)["c"].shape().lag = milliseconds(600);
  const auto first = group->Send(0, group->Write(milliseconds(300)));
  group->time().RunFor(milliseconds(200));
  const auto next = group->Send(0, group->Write(milliseconds(150)));
  ASSERT_TRUE(group->sent(next).answer.has_value());
  EXPECT_EQ(group->sent(next).answer->kind(), OutcomeKind::kNotRun);
  EXPECT_EQ(group->sent(next).answer->reason(), Reason::kConfirmationSlow);
  group->time().RunFor(milliseconds(110));
  ASSERT_TRUE(group->sent(first).answer.has_value());
  EXPECT_EQ(group->sent(first).answer->kind(), OutcomeKind::kUnknown);
  EXPECT_EQ(group->sent(first).answer->reason(), Reason::kConfirmationSlow);
  EXPECT_LE(group->sent(first).answered_at,
            group->sent(first).request.deadline);
  EXPECT_EQ(JoinLines(group->HealAndCheck()), "");
}

// A replica dies with a read in flight. Another one can answer it.
TEST(SlowReplicas, AReadOnADyingReplicaIsServedByAnother) {
  auto group = ReadyGroup();
  const auto read =
      group->Send(0, group->Read("x", seconds(1), {}, seconds(5)));
  group->Kill("b");
  group->time().RunFor(milliseconds(50));
  ASSERT_TRUE(group->sent(read).answer.has_value());
  EXPECT_EQ(group->sent(read).answer->kind(), OutcomeKind::kDone);
  EXPECT_EQ(group->sent(read).answer->database(), "c");
}

}  // namespace
}  // namespace ryefold::test
