// Assignment of groups to keepers while instances fail, freeze, restart and are
// partitioned, and its effect on requests. All times are virtual.

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
    ASSERT_TRUE(fleet_->RunUntil([this] { return HasOneKeeperEach(); }, 10s));
    traffic_ = std::make_unique<Traffic>(fleet_.get());
  }
  bool HasOneKeeperEach() const {
    return std::all_of(groups_.begin(), groups_.end(), [&](const auto& group) {
      return fleet_->KeepersOf(group).size() == 1;
    });
  }
  size_t KeeperOf(const std::string& group) const {
    return fleet_->KeepersOf(group).front();
  }
  /// Returns the instance at `place` in rank, without regard to suspicions.
  size_t Intended(const std::string& group, size_t place) {
    return fleet_->IndexOf(fleet_->at(0).roster->RankOrder(group)[place]);
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

// The keeper of a group crashes and stays on the list. Its successor detects
// the failure by its own check within about 1 s.
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

// The keeper freezes: its connections stay open but nothing answers. The
// successor must not wait for the list. When the keeper resumes it gets the
// group back; both keep it for a short time, which only costs connections.
TEST_F(Keepers, FrozenKeeperIsReplacedAndGetsTheGroupBack) {
  Begin();
  const size_t keeper = KeeperOf("g0");
  fleet_->Pause(keeper);
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->at(Intended("g0", 1)).duties->Keeps("g0"); },
      3000ms));
  RunTraffic(20s);
  EXPECT_EQ(traffic_->refused, 0U);
  EXPECT_LE(traffic_->max_latency, 1700ms);
  fleet_->Resume(keeper);
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->KeepersOf("g0") == std::vector<size_t>{keeper}; },
      15s));
}

// A single check is lost or late, as on a busy instance. Moving the group would
// reopen its connections without need.
TEST_F(Keepers, OneLateAnswerMovesNothing) {
  Begin();
  size_t moves = 0;
  fleet_->on_keeper_change = [&](size_t, const std::string&, bool) { ++moves; };
  for (int round = 0; round < 20; ++round) {
    const size_t keeper = KeeperOf("g0");
    fleet_->Pause(keeper);
    fleet_->Run(1000ms);
    fleet_->Resume(keeper);
    fleet_->Run(3130ms);
  }
  EXPECT_EQ(moves, 0U);
}

// Keeper and successor are in the same failure domain and are lost with it.
// Another instance must detect the loss although the successor no longer
// checks.
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

// The same without any request: the first instance in rank outside the domain
// detects the loss by its own checks, unless the third in rank is lost as well.
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

// A whole failure domain becomes unreachable, with at least the first three in
// rank of some groups. The list does not show it and no request arrives. Unless
// an instance outside the domain detects it, such a group stays unserved for
// minutes.
TEST_F(Keepers, ManyUnreachableInstancesInRankAreDetectedFromOutside) {
  FleetOptions options;
  options.instances = 90;
  Begin(options);
  for (size_t g = kGroups; g < 60; ++g) {
    groups_.push_back("g" + std::to_string(g));
  }
  fleet_->SetGroups(groups_);
  ASSERT_TRUE(fleet_->RunUntil([this] { return HasOneKeeperEach(); }, 10s));
  std::optional<size_t> lost;
  for (const std::string& group : groups_) {
    const size_t domain = Intended(group, 0) % 3;
    const bool run =
        Intended(group, 1) % 3 == domain && Intended(group, 2) % 3 == domain;
    if (run) lost = domain;
  }
  ASSERT_TRUE(lost.has_value());
  for (size_t i = *lost; i < fleet_->size(); i += 3) fleet_->Pause(i);
  fleet_->Run(5s);
  for (const std::string& group : groups_) {
    bool kept = false;
    for (size_t i = 0; i < fleet_->size(); ++i) {
      kept = kept || (i % 3 != *lost && fleet_->at(i).duties->Keeps(group));
    }
    EXPECT_TRUE(kept) << group;
  }
}

// The first three in rank crash at once and stay on the list. The fourth checks
// none of them until it receives a request of an entry.
TEST_F(Keepers, FourthInRankServesWhenThreeAreLost) {
  FleetOptions options;
  options.instances = 12;
  Begin(options);
  std::vector<size_t> lost;
  for (size_t place = 0; place < 3; ++place) {
    lost.push_back(Intended("g0", place));
  }
  // The entry is further down in rank, so that the fourth detects the loss only
  // because of its requests.
  const size_t entry = Intended("g0", 7);
  for (const size_t i : lost) fleet_->Kill(i);
  for (int i = 0; i < 20; ++i) {
    fleet_->After(milliseconds(i * 500), [&] { traffic_->Send(entry, "g0"); });
  }
  fleet_->Run(20s);
  EXPECT_EQ(traffic_->served, 20U);
  EXPECT_LE(traffic_->max_latency, 500ms);
}

// Half of the instances become unreachable at once, among them the first six in
// rank of a group. The instance that takes the group over must not release it
// when its suspicion of some of the six expires: no other instance checks them.
TEST_F(Keepers, AGroupTakenOverFromSixUnreachableInstancesStaysKept) {
  FleetOptions options;
  options.instances = 12;
  Begin(options);
  std::vector<size_t> order;
  for (size_t place = 0; place < 12; ++place) {
    order.push_back(Intended("g0", place));
  }
  for (size_t place = 0; place < 6; ++place) fleet_->Pause(order[place]);
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

// A new instance is first in rank for some groups and needs time to load the
// configuration. The previous keepers continue until it serves the groups;
// otherwise the groups would be unserved meanwhile.
TEST_F(Keepers, NewInstanceTakesOverOnlyOnceItServes) {
  Begin();
  const size_t keeper = Intended("g0", 0);
  fleet_->Leave(keeper);
  fleet_->Run(1s);
  fleet_->Kill(keeper);
  fleet_->Run(2s);
  fleet_->groups_available_at = fleet_->now() + 10s;
  fleet_->Start(keeper);
  for (int i = 0; i < 100; ++i) {
    fleet_->Run(100ms);
    EXPECT_FALSE(fleet_->KeepersOf("g0").empty());
  }
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->KeepersOf("g0") == std::vector<size_t>{keeper}; },
      10s));
}

// A leaving instance receives a request of an entry that still lists it as
// live. If it kept the group again, its shutdown would interrupt the requests
// it accepts.
TEST_F(Keepers, LeavingInstanceKeepsNothingAnyMore) {
  Begin();
  const size_t keeper = KeeperOf("g0");
  fleet_->Leave(keeper);
  EXPECT_TRUE(fleet_->at(keeper).duties->kept_groups().empty());
  EXPECT_FALSE(fleet_->SendGroupRequest(keeper, "g0"));
  EXPECT_TRUE(fleet_->RunUntil([this] { return HasOneKeeperEach(); }, 1s));
}

// The list is minutes out of date: it still has crashed instances.
TEST_F(Keepers, LaggingListRefusesNothing) {
  Begin();
  fleet_->Kill(0);
  fleet_->Kill(1);
  RunTraffic(60s);
  EXPECT_EQ(traffic_->refused, 0U);
  // After each suspicion expires, one request tries the crashed instance again;
  // its connection is refused immediately.
  EXPECT_EQ(traffic_->delayed, 0U);
}

// The list contains an instance that does not run, which is first in rank for
// some groups, and lacks one that does.
TEST_F(Keepers, WrongListRefusesNothing) {
  Begin();
  std::vector<Member> wrong = fleet_->AllMembers();
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

// All instances are replaced one after the other, as in a rolling upgrade. Each
// announces that it leaves, hands over its groups and stops.
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
  EXPECT_LE(traffic_->max_latency, 200ms);
  EXPECT_TRUE(fleet_->RunUntil([this] { return HasOneKeeperEach(); }, 10s));
}

// All instances crash and restart one after the other.
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
  EXPECT_TRUE(fleet_->RunUntil([this] { return HasOneKeeperEach(); }, 10s));
}

// Successor and keeper cannot reach each other, but all others reach both. Both
// keep the group during the partition, and entries use the intended keeper.
// Afterwards the successor releases the group.
TEST_F(Keepers, TwoKeepersForLongRefuseNothing) {
  Begin();
  const size_t keeper = Intended("g0", 0);
  const size_t successor = Intended("g0", 1);
  fleet_->Disconnect(keeper, successor);
  RunTraffic(60s);
  EXPECT_EQ(fleet_->KeepersOf("g0").size(), 2U);
  EXPECT_EQ(traffic_->refused, 0U);
  fleet_->ReconnectAll();
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->KeepersOf("g0") == std::vector<size_t>{keeper}; },
      30s));
}

// One entry cannot reach the keeper, which all others reach. Its callers are
// served by the next instance in rank instead of being refused.
TEST_F(Keepers, AnEntryCutOffFromTheKeeperIsServedByTheNext) {
  Begin();
  const size_t keeper = Intended("g0", 0);
  size_t entry = 0;
  while (entry == keeper || entry == Intended("g0", 1)) ++entry;
  fleet_->Disconnect(keeper, entry);
  for (int i = 0; i < 100; ++i) {
    fleet_->After(milliseconds(i * 100), [&] { traffic_->Send(entry, "g0"); });
  }
  fleet_->Run(20s);
  EXPECT_EQ(traffic_->served, 100U);
  EXPECT_LE(traffic_->delayed, 30U);
  fleet_->ReconnectAll();
  fleet_->Run(30s);
  EXPECT_EQ(fleet_->KeepersOf("g0"), std::vector<size_t>{keeper});
}

// Two regions are partitioned for ten minutes. Each group stays with the region
// that has most of its databases; instances of the other region do not keep it.
TEST_F(Keepers, PartitionedRegionsDoNotMoveGroups) {
  FleetOptions options;
  options.regions = 2;
  options.domains = 5;
  options.instances = 10;
  Begin(options);
  size_t moves = 0;
  fleet_->on_keeper_change = [&](size_t, const std::string&, bool) { ++moves; };
  for (size_t a = 0; a < fleet_->size(); ++a) {
    for (size_t b = 0; b < a; ++b) {
      const bool apart =
          fleet_->MemberOf(a).region != fleet_->MemberOf(b).region;
      if (apart) fleet_->Disconnect(a, b);
    }
  }
  fleet_->Run(600s);
  EXPECT_EQ(moves, 0U);
  EXPECT_TRUE(HasOneKeeperEach());
}

}  // namespace
}  // namespace ryefold::testing::control
