#include "ryefold/core/outcome.h"

#include <gtest/gtest.h>

#include "ryefold/core/messages.h"

namespace ryefold::core {
namespace {

TEST(Outcome, ReasonNamesRoundTrip) {
  for (int i = 0; i <= static_cast<int>(Reason::kNotReady); ++i) {
    const auto reason = static_cast<Reason>(i);
    EXPECT_EQ(ReasonFromName(ReasonName(reason)), reason) << ReasonName(reason);
  }
}

// A promotion discarded a write that was past the start of a newer term. While
// only one database holds the newer term, a second failure can promote the
// other replica and bring the write back: a caller that got "not run" would see
// it appear.
TEST(Outcome, DiscardNeedsAMajorityOfTheNewTerm) {
  const LogPosition write{1, 10};
  const TermStart start{2, 8};
  EXPECT_FALSE(
      NotRunProof::DiscardedBy(write, start, /*confirmed=*/false).has_value());
  EXPECT_TRUE(
      NotRunProof::DiscardedBy(write, start, /*confirmed=*/true).has_value());
}

TEST(Outcome, WriteBeforeTheNewTermIsNotDiscarded) {
  EXPECT_FALSE(NotRunProof::DiscardedBy({1, 7}, {2, 8}, true).has_value());
  EXPECT_FALSE(NotRunProof::DiscardedBy({2, 9}, {2, 8}, true).has_value());
}

// A fence that only the primary holds is lost with the primary. A late
// statement could then run after its caller was told that it never would.
TEST(Outcome, FenceNeedsAMajority) {
  SettleAnswer answer;
  answer.status = SettleStatus::kFenced;
  EXPECT_FALSE(NotRunProof::FencedBy(answer, false).has_value());
  EXPECT_TRUE(NotRunProof::FencedBy(answer, true).has_value());
  answer.status = SettleStatus::kDone;
  EXPECT_FALSE(NotRunProof::FencedBy(answer, true).has_value());
}

TEST(Outcome, AStatementThatRanIsNoProof) {
  ExecuteAnswer answer;
  answer.status = ExecuteStatus::kOk;
  EXPECT_FALSE(NotRunProof::RefusedBy(answer).has_value());
  answer.status = ExecuteStatus::kStaleTerm;
  EXPECT_TRUE(NotRunProof::RefusedBy(answer).has_value());
}

}  // namespace
}  // namespace ryefold::core
