#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "ryefold/core/admission/queue.h"

namespace ryefold::core::admission {
namespace {

WorkspacePolicy Policy(const std::string& name, uint32_t share) {
  WorkspacePolicy policy;
  policy.workspace = name;
  policy.connection_share = share;
  return policy;
}

TEST(ConnectionShares, UnusedSharesAreLent) {
  ConnectionShares shares({Policy("a", 2), Policy("b", 3)}, 5);
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(shares.CanAcquire("a", {"a"})) << i;
    shares.Acquire("a");
  }
  EXPECT_FALSE(shares.CanAcquire("a", {"a"}));
  EXPECT_FALSE(shares.CanAcquire("b", {"a", "b"}));
}

// One workspace holds all connections and requests each one that is released. A
// workspace that waits for its share must get the next released connection.
TEST(ConnectionShares, BorrowedConnectionsReturnToTheirOwner) {
  ConnectionShares shares({Policy("a", 2), Policy("b", 3)}, 5);
  for (int i = 0; i < 5; ++i) shares.Acquire("a");
  shares.Release("a");
  EXPECT_FALSE(shares.CanAcquire("a", {"a", "b"}));
  EXPECT_TRUE(shares.CanAcquire("b", {"a", "b"}));
  EXPECT_TRUE(shares.CanAcquire("a", {"a"}));
}

TEST(ConnectionShares, AWorkspaceWithoutPolicyOnlyBorrows) {
  ConnectionShares shares({Policy("a", 2)}, 2);
  EXPECT_TRUE(shares.CanAcquire("stranger", {"stranger"}));
  EXPECT_FALSE(shares.CanAcquire("stranger", {"a", "stranger"}));
}

// Both overloads of CanAcquire agree; the total never exceeds the usable
// connections; a waiting workspace within its share is refused only if no
// connection is free.
RC_GTEST_PROP(ConnectionShares, HoldsUnderRandomUse, ()) {
  constexpr uint32_t kUsable = 6;
  const std::vector<std::string> names = {"a", "b", "c", "stranger"};
  ConnectionShares shares({Policy("a", 1), Policy("b", 2), Policy("c", 3)},
                          kUsable);
  std::map<std::string, uint32_t> waiting_requests;
  const std::map<std::string, uint32_t> share = {
      {"a", 1}, {"b", 2}, {"c", 3}, {"stranger", 0}};
  const int steps = *rc::gen::inRange(1, 100);
  for (int step = 0; step < steps; ++step) {
    const std::string name = *rc::gen::elementOf(names);
    std::vector<std::string> contending;
    uint32_t total = 0;
    for (const std::string& other : names) {
      if (waiting_requests[other] > 0) contending.push_back(other);
      total += shares.held(other);
    }
    RC_ASSERT(total <= kUsable);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        shares.AddWaiting(name);
        ++waiting_requests[name];
        break;
      case 1:
        shares.RemoveWaiting(name);
        if (waiting_requests[name] > 0) --waiting_requests[name];
        break;
      case 2:
        shares.Release(name);
        break;
      default:
        RC_ASSERT(shares.CanAcquire(name) ==
                  shares.CanAcquire(name, contending));
        if (shares.held(name) < share.at(name)) {
          RC_ASSERT(shares.CanAcquire(name) == (total < kUsable));
        }
        if (shares.CanAcquire(name)) shares.Acquire(name);
    }
  }
}

// All requests to a failing group fail. Unlimited retries would multiply the
// group's load at the moment it recovers.
TEST(RetryBudget, RetriesStayAFractionOfFirstTries) {
  constexpr double kRatio = 0.2;
  constexpr double kBurst = 10;
  RetryBudget budget(kRatio, kBurst);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordFirstAttempt();
    while (budget.TakeRetry()) ++retries;
  }
  EXPECT_LE(retries, 1000 * kRatio + kBurst);
  EXPECT_GE(retries, 1000 * kRatio - 1);
}

TEST(RetryBudget, SavesNoMoreThanTheBurst) {
  RetryBudget budget(1, 3);
  for (int i = 0; i < 100; ++i) budget.RecordFirstAttempt();
  int retries = 0;
  while (budget.TakeRetry()) ++retries;
  EXPECT_EQ(retries, 3);
}

}  // namespace
}  // namespace ryefold::core::admission
