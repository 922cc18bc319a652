// Which instances follow the store and which relays the others read from.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ryefold/core/mirror/relay_plan.h"

namespace ryefold::core::mirror {
namespace {

std::vector<Member> Members(int count) {
  std::vector<Member> members;
  members.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back(
        {"instance-" + std::to_string(i), "domain-" + std::to_string(i % 5)});
  }
  return members;
}

TEST(RelayPlan, LetsASmallFleetFollowTheStore) {
  const std::vector<Member> members = Members(16);
  for (const Member& member : members) {
    const RelayPlan plan = PlanRelays(member, members);
    EXPECT_TRUE(plan.follows_store);
    EXPECT_FALSE(plan.relays);
    EXPECT_FALSE(plan.sources.empty());
  }
}

// An instance that is missing from the list has no place in the plan; if it
// used relays only, two such instances could use each other.
TEST(RelayPlan, LetsAnInstanceThatIsNotListedFollowTheStore) {
  EXPECT_TRUE(PlanRelays({"newcomer", "domain-0"}, Members(100)).follows_store);
}

TEST(RelayPlan, SpreadsTheTargetFleetEvenly) {
  const std::vector<Member> members = Members(1100);
  std::map<std::string, int> readers;
  size_t relays = 0;
  for (const Member& member : members) {
    const RelayPlan plan = PlanRelays(member, members);
    EXPECT_EQ(plan.follows_store, plan.relays);
    if (plan.relays) {
      ++relays;
      continue;
    }
    ASSERT_GE(plan.sources.size(), 4U);
    ++readers[plan.sources.front()];
  }
  EXPECT_EQ(relays, 95U);
  int most = 0;
  for (const auto& [relay, count] : readers) most = std::max(most, count);
  EXPECT_LE(most, 24);
}

// Every instance computes the plan for itself: the sources of each must be
// instances that compute for themselves that they are relays.
TEST(RelayPlan, IsComputedAlikeByAllInstances) {
  const std::vector<Member> members = Members(90);
  std::set<std::string> relays;
  for (const Member& member : members) {
    if (PlanRelays(member, members).relays) relays.insert(member.instance);
  }
  for (const Member& member : members) {
    for (const std::string& source : PlanRelays(member, members).sources) {
      EXPECT_EQ(relays.count(source), 1U);
    }
  }
}

}  // namespace
}  // namespace ryefold::core::mirror
