#include "ryefold/core/membership/roster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace ryefold::core::membership {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kNow{1h};

std::vector<Member> Instances(size_t count, size_t regions = 1) {
  std::vector<Member> all;
  for (size_t i = 0; i < count; ++i) {
    Member member;
    member.name = "i" + std::to_string(i);
    member.failure_domain = "d" + std::to_string(i % 5);
    member.region = "r" + std::to_string(i % regions);
    all.push_back(member);
  }
  return all;
}

Member DatabaseIn(const std::string& name, const std::string& region) {
  Member member;
  member.name = name;
  member.kind = MemberKind::kDatabase;
  member.group = "g";
  member.region = region;
  return member;
}

std::string Group(size_t i) { return "g" + std::to_string(i); }

// An instance is lost. Only the groups that it kept may move: each move reopens
// connections at 10 to 30 ms each while callers wait.
RC_GTEST_PROP(Roster, ALostInstanceMovesOnlyItsOwnGroups, ()) {
  const auto count = *rc::gen::inRange<size_t>(2, 60);
  const auto lost = *rc::gen::inRange<size_t>(0, count);
  std::vector<Member> members = Instances(count);
  Roster before;
  before.SetMembers(members);
  const std::string name = members[lost].name;
  members.erase(members.begin() + static_cast<ptrdiff_t>(lost));
  Roster after;
  after.SetMembers(members);
  for (size_t i = 0; i < 50; ++i) {
    std::vector<std::string> order = before.RankOrder(Group(i));
    std::erase(order, name);
    const std::vector<std::string>& rest = after.RankOrder(Group(i));
    RC_ASSERT(std::equal(order.begin(), order.end(), rest.begin()));
  }
}

// Cached orders that a new list does not affect are reused. A stale order would
// make this instance send a group's requests to a different keeper than all
// others.
RC_GTEST_PROP(Roster, CachedOrdersEqualRecomputedOnes, ()) {
  std::vector<Member> members = Instances(30, 2);
  for (const char* name : {"a", "b", "c"}) {
    members.push_back(DatabaseIn(name, "r0"));
  }
  Roster cached;
  const auto steps = *rc::gen::container<std::vector<size_t>>(
      12, rc::gen::inRange<size_t>(0, 1000));
  for (const size_t step : steps) {
    Member& member = members[step % members.size()];
    const size_t change = step / members.size() % 4;
    if (change == 0) {
      member.state = member.state == MemberState::kLive ? MemberState::kLeaving
                                                        : MemberState::kLive;
    } else if (change == 1) {
      member.region = member.region == "r0" ? "r1" : "r0";
    } else if (change == 2 && members.size() > 20) {
      members.erase(members.begin() +
                    static_cast<ptrdiff_t>(step % members.size()));
    } else {
      Member added = Instances(1).front();
      added.name = "n" + std::to_string(step);
      members.push_back(added);
    }
    cached.SetMembers(members);
    Roster fresh;
    fresh.SetMembers(members);
    for (const std::string& group : {std::string("g"), Group(1), Group(2)}) {
      RC_ASSERT(cached.RankOrder(group) == fresh.RankOrder(group));
    }
  }
}

TEST(Roster, GroupsAreSpreadEvenly) {
  Roster roster;
  roster.SetMembers(Instances(100));
  std::map<std::string, int> counts;
  constexpr int kGroups = 2000;
  for (size_t i = 0; i < kGroups; ++i) ++counts[roster.RankOrder(Group(i))[0]];
  int most = 0;
  for (const auto& [name, count] : counts) most = std::max(most, count);
  EXPECT_LE(most, 40);  // twice the mean
}

TEST(Roster, SuspectedInstancesAreLastUntilTheSuspicionExpires) {
  Roster roster;
  roster.SetMembers(Instances(8));
  const std::string first = roster.RankOrder("g")[0];
  const std::string second = roster.RankOrder("g")[1];
  roster.Suspect(kNow, first);
  EXPECT_EQ(roster.RankedInstances(kNow, "g").front(), second);
  EXPECT_EQ(roster.RankedInstances(kNow, "g").back(), first);
  EXPECT_EQ(roster.RankedInstances(kNow + 6s, "g").front(), first);
  roster.Suspect(kNow + 6s, first);
  EXPECT_EQ(roster.RankedInstances(kNow + 15s, "g").front(), second);
  roster.Trust(first);
  EXPECT_EQ(roster.RankedInstances(kNow + 15s, "g").front(), first);
}

// The entry's own network fails, so it suspects all instances. The order must
// stay complete, so that the entry can send requests once the network works
// again.
TEST(Roster, SuspectingAllInstancesLeavesTheOrder) {
  Roster roster;
  roster.SetMembers(Instances(40));
  const std::vector<std::string> order = roster.RankOrder("g");
  for (size_t i = 0; i < 40; ++i) {
    roster.Suspect(kNow, "i" + std::to_string(i));
  }
  const std::vector<std::string> ranked = roster.RankedInstances(kNow, "g");
  EXPECT_EQ(ranked.size(), 40U);
  EXPECT_TRUE(std::equal(order.begin(), order.end(), ranked.begin()));
}

TEST(Roster, LeavingInstancesComeAfterLiveOnes) {
  std::vector<Member> members = Instances(5);
  Roster roster;
  roster.SetMembers(members);
  const std::string first = roster.RankOrder("g")[0];
  for (Member& member : members) {
    if (member.name == first) member.state = MemberState::kLeaving;
  }
  roster.SetMembers(members);
  EXPECT_EQ(roster.RankOrder("g").back(), first);
}

// Two regions are partitioned for minutes. An instance that kept the group in
// the region with one database of three would make that database adopt new
// terms, and the group would have no primary when the partition ends.
TEST(Roster, OnlyTheRegionWithMostDatabasesKeepsAGroup) {
  std::vector<Member> members = Instances(20, 2);
  members.push_back(DatabaseIn("a", "r1"));
  members.push_back(DatabaseIn("b", "r1"));
  members.push_back(DatabaseIn("c", "r0"));
  Roster roster;
  roster.SetMembers(members);
  for (size_t i = 0; i < 20; ++i) {
    const std::string name = "i" + std::to_string(i);
    if (roster.Find(name)->region == "r1") roster.Suspect(kNow, name);
  }
  for (const std::string& name : roster.RankedInstances(kNow, "g")) {
    EXPECT_EQ(roster.Find(name)->region, "r1");
  }
  std::erase_if(members, [](const Member& member) {
    return member.kind == MemberKind::kInstance && member.region == "r1";
  });
  roster.SetMembers(members);
  EXPECT_EQ(roster.RankedInstances(kNow, "g").size(), 10U);
}

}  // namespace
}  // namespace ryefold::core::membership
