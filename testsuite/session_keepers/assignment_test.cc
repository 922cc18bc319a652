// Keepers worked out from the difference between two lists of instances.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "ryefold/core/session/keeper_assignment.h"

namespace ryefold::core::session {
namespace {

constexpr size_t kKeepers = 8;

std::vector<KeeperCandidate> Instances(size_t count) {
  std::vector<KeeperCandidate> instances;
  instances.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    instances.push_back({"i" + std::to_string(i),
                         std::string(1, static_cast<char>('a' + i % 5))});
  }
  return instances;
}

std::string GroupName(size_t number) { return "g" + std::to_string(number); }

std::vector<std::string> Names(const std::vector<KeeperCandidate>& keepers) {
  std::vector<std::string> names;
  names.reserve(keepers.size());
  for (const KeeperCandidate& each : keepers) {
    names.push_back(each.instance + "/" + each.failure_domain);
  }
  return names;
}

// Guards against keepers that differ from those of an instance which has just
// started and ranks the whole list.
RC_GTEST_PROP(KeeperAssignmentProperty, EqualsARankingOfTheWholeList,
              (const std::vector<std::set<uint8_t>>& lists)) {
  constexpr size_t kGroups = 12;
  KeeperAssignment assignment;
  for (size_t g = 0; g < kGroups; ++g) {
    assignment.SetCount(GroupName(g), g % 4 == 0 ? 0 : g);
  }
  std::vector<std::vector<std::string>> before(kGroups);
  for (const std::set<uint8_t>& list : lists) {
    std::vector<KeeperCandidate> candidates;
    candidates.reserve(list.size());
    for (const uint8_t number : list) {
      // An instance may return in another failure domain.
      candidates.push_back(
          {"i" + std::to_string(number), list.size() % 3 == 0 ? "x" : "y"});
    }
    const std::vector<std::string> changed =
        assignment.SetCandidates(candidates);
    const std::set<std::string> reported(changed.begin(), changed.end());
    for (size_t g = 0; g < kGroups; ++g) {
      const std::string group = GroupName(g);
      const size_t count = assignment.count(group);
      const auto names = Names(assignment.keepers(group));
      RC_ASSERT(names == Names(ChooseKeepers(group, candidates, count)));
      if (names != before[g]) RC_ASSERT(reported.count(group) == 1U);
      before[g] = names;
    }
  }
}

/// Returns the hashes for one instance that leaves and returns, on average over
/// several, in a fleet with as many groups as instances.
uint64_t HashesOfAReplacement(size_t size) {
  constexpr size_t kReplaced = 20;
  KeeperAssignment assignment;
  std::vector<KeeperCandidate> instances = Instances(size);
  assignment.SetCandidates(instances);
  for (size_t g = 0; g < size; ++g) {
    assignment.SetCount(GroupName(g), kKeepers);
  }
  const uint64_t before = assignment.hash_count();
  for (size_t i = 0; i < kReplaced; ++i) {
    std::vector<KeeperCandidate> without = instances;
    without.erase(without.begin() + static_cast<int64_t>(i * size / kReplaced));
    assignment.SetCandidates(without);
    assignment.SetCandidates(instances);
  }
  return (assignment.hash_count() - before) / kReplaced;
}

// Guards against work that grows with the square of the fleet at each start or
// stop of an instance: a rolling restart would leave no time for callers.
TEST(KeeperAssignment, AReplacementCostsNoMoreThanTheFleetGrows) {
  constexpr size_t kSmall = 250;
  constexpr size_t kLarge = 2000;
  const uint64_t small = HashesOfAReplacement(kSmall);
  const uint64_t large = HashesOfAReplacement(kLarge);
  EXPECT_LE(large, small * kLarge / kSmall * 3 / 2);
  // One for each group, and a ranking of the groups that the instance kept.
  EXPECT_LE(large, kLarge + kKeepers * kLarge * 3 / 2);
}

// Guards against work for a list that has not changed.
TEST(KeeperAssignment, TheSameListCostsNothing) {
  KeeperAssignment assignment;
  assignment.SetCount(GroupName(0), kKeepers);
  assignment.SetCandidates(Instances(100));
  const uint64_t before = assignment.hash_count();
  EXPECT_TRUE(assignment.SetCandidates(Instances(100)).empty());
  EXPECT_FALSE(assignment.SetCount(GroupName(0), kKeepers));
  EXPECT_EQ(assignment.hash_count(), before);
}

}  // namespace
}  // namespace ryefold::core::session
