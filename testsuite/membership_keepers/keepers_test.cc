// Who keeps a group while instances fail, freeze, restart and lose each other,
// and what that costs requests. Requests are counted, never timed by a clock.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "testsuite/support/control/fleet.h"
#include "testsuite/support/control/traffic.h"

namespace ryefold::testing::control {
namespace {

constexpr size_t kGroups = 12;

class Keepers : public ::testing::Test {
 protected:
  void Begin(FleetOptions options = {}) {
    options.groups = kGroups;
    fleet_ = std::make_unique<Fleet>(options);
    for (size_t g = 0; g < kGroups; ++g) {
      groups_.push_back("g" + std::to_string(g));
    }
    fleet_->SetGroups(groups_);
    ASSERT_TRUE(fleet_->RunUntil([this] { return fleet_->AllReady(); }, 5s));
    ASSERT_TRUE(fleet_->RunUntil([this] { return OneEach(); }, 10s));
    traffic_ = std::make_unique<Traffic>(fleet_.get());
  }
  bool OneEach() const {
    return std::all_of(groups_.begin(), groups_.end(), [&](const auto& group) {
      return fleet_->KeepersOf(group).size() == 1;
    });
  }
  size_t KeeperOf(const std::string& group) const {
    return fleet_->KeepersOf(group).front();
  }
  /// Ranked first and second, as a list without suspicion says.
  size_t Intended(const std::string& group, size_t place) {
    return fleet_->IndexOf(fleet_->at(0).roster->Intended(group)[place]);
  }
  void RunTraffic(milliseconds length) {
    traffic_->Start(5ms, length, groups_);
    fleet_->Run(length + 6s);
  }

  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<Traffic> traffic_;
  std::vector<std::string> groups_;
};

TEST_F(Keepers, EachGroupHasOneKeeperAndNothingIsDelayed) {
  Begin();
  for (const std::string& group : groups_) {
    EXPECT_EQ(KeeperOf(group), Intended(group, 0));
  }
  RunTraffic(10s);
  EXPECT_EQ(traffic_->served, traffic_->sent);
  EXPECT_EQ(traffic_->delayed, 0U);
}

// The keeper of a group dies and the list goes on naming it. Its successor
// finds out by its own check, at the latest a second later.
TEST_F(Keepers, SuccessorTakesOverFromADeadKeeper) {
  Begin();
  const size_t keeper = KeeperOf("g0");
  const size_t successor = Intended("g0", 1);
  fleet_->Kill(keeper);
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->KeepersOf("g0") == std::vector<size_t>{successor}; },
      1100ms));
  RunTraffic(20s);
  EXPECT_EQ(traffic_->refused, 0U);
}

// The keeper freezes: connections stay open, nothing answers. The successor
// must not wait for the list; once the frozen one wakes, it gets the group
// back, and for a moment there are two, which costs connections only.
TEST_F(Keepers, FrozenKeeperIsReplacedAndGetsTheGroupBack) {
  Begin();
  const size_t keeper = KeeperOf("g0");
  fleet_->Freeze(keeper);
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->at(Intended("g0", 1)).duties->Keeps("g0"); },
      3000ms));
  RunTraffic(20s);
  EXPECT_EQ(traffic_->refused, 0U);
  EXPECT_LE(traffic_->worst, 1700ms);
  fleet_->Thaw(keeper);
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->KeepersOf("g0") == std::vector<size_t>{keeper}; },
      15s));
}

// One check gets lost or comes late, as on a busy instance. Moving the group
// for that would reopen its connections for nothing.
TEST_F(Keepers, OneLateAnswerMovesNothing) {
  Begin();
  size_t moves = 0;
  fleet_->on_duty = [&](size_t, const std::string&, bool) { ++moves; };
  for (int round = 0; round < 20; ++round) {
    const size_t keeper = KeeperOf("g0");
    fleet_->Freeze(keeper);
    fleet_->Run(1000ms);
    fleet_->Thaw(keeper);
    fleet_->Run(3130ms);
  }
  EXPECT_EQ(moves, 0U);
}

// Keeper and successor stand in one failure domain and are lost with it.
// Somebody must notice although nobody is left who watches the keeper.
TEST_F(Keepers, LostFailureDomainLeavesNoGroupUnserved) {
  Begin();
  for (size_t domain = 0; domain < 3; ++domain) {
    for (size_t i = domain; i < fleet_->size(); i += 3) fleet_->Kill(i);
    fleet_->Run(1s);
    RunTraffic(5s);
    EXPECT_EQ(traffic_->refused, 0U);
    for (size_t i = domain; i < fleet_->size(); i += 3) fleet_->Start(i);
    fleet_->Run(5s);
  }
}

// The same without a request that would wake anybody: the second watcher finds
// out by itself, unless the third in rank is lost as well.
TEST_F(Keepers, SecondWatcherNoticesALostFailureDomain) {
  Begin();
  size_t both = 0;
  for (size_t domain = 0; domain < 3; ++domain) {
    std::vector<std::string> watched;
    for (const std::string& group : groups_) {
      const bool first = Intended(group, 0) % 3 == domain;
      const bool second = Intended(group, 1) % 3 == domain;
      if (first && second) ++both;
      if (Intended(group, 2) % 3 != domain) watched.push_back(group);
    }
    for (size_t i = domain; i < fleet_->size(); i += 3) fleet_->Kill(i);
    for (const std::string& group : watched) {
      EXPECT_TRUE(fleet_->RunUntil(
          [&] { return !fleet_->KeepersOf(group).empty(); }, 3s));
    }
    for (size_t i = domain; i < fleet_->size(); i += 3) fleet_->Start(i);
    fleet_->Run(10s);
  }
  EXPECT_GT(both, 0U);
}

// A switch fails and a whole failure domain falls silent, among it the first
// three and more in rank of some groups, the list says nothing of it and no
// request comes. Callers of such a group would find it unserved minutes later.
TEST_F(Keepers, ALongRunOfSilentOnesInRankIsNoticedFromOutside) {
  FleetOptions options;
  options.instances = 90;
  Begin(options);
  for (size_t g = kGroups; g < 60; ++g) {
    groups_.push_back("g" + std::to_string(g));
  }
  fleet_->SetGroups(groups_);
  ASSERT_TRUE(fleet_->RunUntil([this] { return OneEach(); }, 10s));
  std::optional<size_t> lost;
  for (const std::string& group : groups_) {
    const size_t domain = Intended(group, 0) % 3;
    const bool run =
        Intended(group, 1) % 3 == domain && Intended(group, 2) % 3 == domain;
    if (run) lost = domain;
  }
  ASSERT_TRUE(lost.has_value());
  for (size_t i = *lost; i < fleet_->size(); i += 3) fleet_->Freeze(i);
  fleet_->Run(5s);
  for (const std::string& group : groups_) {
    bool kept = false;
    for (size_t i = 0; i < fleet_->size(); ++i) {
      kept = kept || (i % 3 != *lost && fleet_->at(i).duties->Keeps(group));
    }
    EXPECT_TRUE(kept) << group;
  }
}

// The first three in rank die at once and the list goes on naming them. The
// fourth does not watch any of them; an entry's request makes it look.
TEST_F(Keepers, FourthInRankServesWhenThreeAreLost) {
  FleetOptions options;
  options.instances = 12;
  Begin(options);
  std::vector<size_t> lost;
  for (size_t place = 0; place < 3; ++place) {
    lost.push_back(Intended("g0", place));
  }
  // One that stands further down, so that the fourth learns of the loss by
  // its requests only.
  const size_t entry = Intended("g0", 7);
  for (const size_t i : lost) fleet_->Kill(i);
  for (int i = 0; i < 20; ++i) {
    fleet_->After(milliseconds(i * 500), [&] { traffic_->Send(entry, "g0"); });
  }
  fleet_->Run(20s);
  EXPECT_EQ(traffic_->served, 20U);
  EXPECT_LE(traffic_->worst, 500ms);
}

// Half of the instances fall silent at once, six of them first in rank for a
// group. Once somebody has taken it over it must not give it up again because
// its suspicion of some of the six runs out: nobody else watches.
TEST_F(Keepers, AGroupTakenOverFromSixSilentOnesStaysKept) {
  FleetOptions options;
  options.instances = 12;
  Begin(options);
  std::vector<size_t> order;
  for (size_t place = 0; place < 12; ++place) {
    order.push_back(Intended("g0", place));
  }
  for (size_t place = 0; place < 6; ++place) fleet_->Freeze(order[place]);
  const auto kept = [&] {
    return std::any_of(order.begin() + 6, order.end(), [&](size_t i) {
      return fleet_->at(i).duties->Keeps("g0");
    });
  };
  for (int i = 0; i < 20; ++i) {
    fleet_->After(milliseconds(i * 500),
                  [&] { traffic_->Send(order[8], "g0"); });
  }
  EXPECT_TRUE(fleet_->RunUntil(kept, 20s));
  for (int i = 0; i < 600; ++i) {
    fleet_->Run(100ms);
    ASSERT_TRUE(kept()) << i;
  }
}

// A new instance comes first in rank for some groups and needs a while to
// learn what is in force. Those that kept the groups go on until it serves
// them; giving up at once, they would leave the groups to nobody.
TEST_F(Keepers, NewInstanceTakesOverOnlyOnceItServes) {
  Begin();
  const size_t keeper = Intended("g0", 0);
  fleet_->Leave(keeper);
  fleet_->Run(1s);
  fleet_->Kill(keeper);
  fleet_->Run(2s);
  fleet_->groups_from = fleet_->now() + 10s;
  fleet_->Start(keeper);
  for (int i = 0; i < 100; ++i) {
    fleet_->Run(100ms);
    EXPECT_FALSE(fleet_->KeepersOf("g0").empty());
  }
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->KeepersOf("g0") == std::vector<size_t>{keeper}; },
      10s));
}

// A leaving instance is asked by an entry that has not heard of it. Taking the
// group again, it would take on requests that its end cuts off.
TEST_F(Keepers, LeavingInstanceKeepsNothingAnyMore) {
  Begin();
  const size_t keeper = KeeperOf("g0");
  fleet_->Leave(keeper);
  EXPECT_TRUE(fleet_->at(keeper).duties->kept().empty());
  EXPECT_FALSE(fleet_->Ask(keeper, "g0"));
  EXPECT_TRUE(fleet_->RunUntil([this] { return OneEach(); }, 1s));
}

// The list is minutes behind: dead instances stay on it, new ones are missing.
TEST_F(Keepers, LaggingListRefusesNothing) {
  Begin();
  fleet_->Kill(0);
  fleet_->Kill(1);
  RunTraffic(60s);
  EXPECT_EQ(traffic_->refused, 0U);
  // Once each suspicion has run out, one request tries the dead one again and
  // is refused by its address at once.
  EXPECT_EQ(traffic_->delayed, 0U);
}

// The list names instances that do not exist, first in order for some group,
// and leaves out one that does.
TEST_F(Keepers, WrongListRefusesNothing) {
  Begin();
  std::vector<Member> wrong = fleet_->Everybody();
  wrong.erase(wrong.begin() + 2);
  fleet_->platform.SetMembers(wrong);
  fleet_->Kill(5);
  fleet_->Run(3s);
  RunTraffic(20s);
  EXPECT_EQ(traffic_->refused, 0U);
  for (const std::string& group : groups_) {
    EXPECT_FALSE(fleet_->KeepersOf(group).empty());
  }
}

// Every instance is replaced, one after the other, as on the day of a release.
// Each announces that it leaves, hands over and stops.
TEST_F(Keepers, AllReplacedInARowWithoutARefusal) {
  Begin();
  traffic_->Start(5ms, 60s, groups_);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    fleet_->Leave(i);
    fleet_->Run(2s);
    fleet_->Kill(i);
    fleet_->Run(1s);
    fleet_->Start(i);
    fleet_->Run(4s);
  }
  fleet_->Run(20s);
  EXPECT_EQ(traffic_->refused, 0U);
  EXPECT_LE(traffic_->worst, 200ms);
  EXPECT_TRUE(fleet_->RunUntil([this] { return OneEach(); }, 10s));
}

// Every instance crashes in a row and restarts.
TEST_F(Keepers, AllCrashInARow) {
  Begin();
  traffic_->Start(5ms, 60s, groups_);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    fleet_->Kill(i);
    fleet_->Run(2s);
    fleet_->Start(i);
    fleet_->Run(4s);
  }
  fleet_->Run(20s);
  EXPECT_EQ(traffic_->refused, 0U);
  EXPECT_TRUE(fleet_->RunUntil([this] { return OneEach(); }, 10s));
}

// Successor and keeper cannot reach each other, all others reach both. Both
// keep the group for as long as the cut lasts; entries stay with the intended
// one. Afterwards the successor gives it back.
TEST_F(Keepers, TwoKeepersForLongRefuseNothing) {
  Begin();
  const size_t keeper = Intended("g0", 0);
  const size_t successor = Intended("g0", 1);
  fleet_->Cut(keeper, successor);
  RunTraffic(60s);
  EXPECT_EQ(fleet_->KeepersOf("g0").size(), 2U);
  EXPECT_EQ(traffic_->refused, 0U);
  fleet_->Heal();
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->KeepersOf("g0") == std::vector<size_t>{keeper}; },
      30s));
}

// One entry cannot reach the keeper, which everybody else reaches. Its callers
// are served by the next in rank instead of being refused.
TEST_F(Keepers, AnEntryCutOffFromTheKeeperIsServedByTheNext) {
  Begin();
  const size_t keeper = Intended("g0", 0);
  size_t entry = 0;
  while (entry == keeper || entry == Intended("g0", 1)) ++entry;
  fleet_->Cut(keeper, entry);
  for (int i = 0; i < 100; ++i) {
    fleet_->After(milliseconds(i * 100), [&] { traffic_->Send(entry, "g0"); });
  }
  fleet_->Run(20s);
  EXPECT_EQ(traffic_->served, 100U);
  EXPECT_LE(traffic_->delayed, 30U);
  fleet_->Heal();
  fleet_->Run(30s);
  EXPECT_EQ(fleet_->KeepersOf("g0"), std::vector<size_t>{keeper});
}

// Two regions lose each other for ten minutes. Each group stays with the
// region that holds most of its databases; the other one keeps nothing of it.
TEST_F(Keepers, CutRegionsDoNotFightOverAGroup) {
  FleetOptions options;
  options.regions = 2;
  options.domains = 5;
  options.instances = 10;
  Begin(options);
  size_t moves = 0;
  fleet_->on_duty = [&](size_t, const std::string&, bool) { ++moves; };
  for (size_t a = 0; a < fleet_->size(); ++a) {
    for (size_t b = 0; b < a; ++b) {
      const bool apart =
          fleet_->MemberOf(a).region != fleet_->MemberOf(b).region;
      if (apart) fleet_->Cut(a, b);
    }
  }
  fleet_->Run(600s);
  EXPECT_EQ(moves, 0U);
  EXPECT_TRUE(OneEach());
}

}  // namespace
}  // namespace ryefold::testing::control
