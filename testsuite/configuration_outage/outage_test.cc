// Long outages and slowness of the store, instances started during an outage,
// and network partitions.

#include <gtest/gtest.h>

#include <string>

#include "testsuite/support/control/changes.h"
#include "testsuite/support/control/fleet.h"

namespace ryefold::testing::control {
namespace {

using cfg::PublishStatus;

class Outage : public ::testing::Test {
 protected:
  void StartFleet(FleetOptions options) {
    fleet_ = std::make_unique<Fleet>(std::move(options));
    ASSERT_TRUE(fleet_->RunUntil([this] { return fleet_->AllReady(); }, 5s));
  }
  void TearDown() override {
    EXPECT_TRUE(fleet_->violations.empty()) << fleet_->violations.front();
  }
  void PublishMany(size_t count, const std::string& text = "text") {
    for (size_t i = 0; i < count; ++i) {
      const std::string name = std::to_string(next_++);
      const auto tag = fleet_->Publish(
          i % fleet_->size(), ChangeOf(name, "workspace/" + name, 0, text));
      ASSERT_TRUE(fleet_->RunUntilAnswered(tag));
      ASSERT_EQ(fleet_->Answer(tag)->status, PublishStatus::kAccepted);
    }
  }
  uint64_t LastRevision() const { return fleet_->platform.log().size(); }

  std::unique_ptr<Fleet> fleet_;
  size_t next_ = 0;
};

// During a store outage of ten minutes the instances keep the configuration in
// force and stay ready, because they have contact to each other.
TEST_F(Outage, AllInstancesStayReadyThroughALongOutage) {
  StartFleet({});
  PublishMany(3);
  fleet_->platform.down = true;
  for (int minute = 0; minute < 10; ++minute) {
    fleet_->Run(60s);
    EXPECT_TRUE(fleet_->AllReady());
    EXPECT_TRUE(fleet_->InForceEverywhere(3));
  }
}

// An instance is replaced while the store is down. It starts without state and
// must load the configuration from its peers. With an empty configuration it
// would reject the callers of every workspace.
TEST_F(Outage, InstanceStartedDuringTheOutageLearnsFromPeers) {
  StartFleet({});
  PublishMany(5);
  fleet_->Run(2s);
  fleet_->platform.down = true;
  fleet_->Kill(3);
  fleet_->Run(5s);
  fleet_->Start(3);
  EXPECT_FALSE(fleet_->node(3).IsReady(fleet_->now()));
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(3).IsReady(fleet_->now()); }, 2s));
  EXPECT_EQ(fleet_->node(3).revision(), 5U);
  EXPECT_EQ(fleet_->node(3).members().size(), 8U);
}

// All instances are replaced one after the other while the store is down. The
// configuration in force must survive in the remaining ones.
TEST_F(Outage, AllReplacedInARowDuringTheOutage) {
  StartFleet({});
  PublishMany(5);
  fleet_->Run(2s);
  fleet_->platform.down = true;
  for (size_t i = 0; i < fleet_->size(); ++i) {
    fleet_->Kill(i);
    fleet_->Run(2s);
    fleet_->Start(i);
    EXPECT_TRUE(fleet_->RunUntil(
        [&] { return fleet_->node(i).IsReady(fleet_->now()); }, 3s));
    EXPECT_EQ(fleet_->node(i).revision(), 5U);
  }
}

// All instances start while the store is down. None has a state, so none may be
// ready: two empty instances in contact must not infer an empty configuration.
TEST_F(Outage, NoInstanceIsReadyWithoutState) {
  FleetOptions options;
  fleet_ = std::make_unique<Fleet>(options);
  fleet_->platform.down = true;
  fleet_->Run(30s);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    EXPECT_FALSE(fleet_->node(i).IsReady(fleet_->now()));
  }
  fleet_->platform.down = false;
  EXPECT_TRUE(fleet_->RunUntil([&] { return fleet_->AllReady(); }, 8s));
}

// An instance disconnected from the store and all peers cannot determine what
// is in force. It reports not ready and catches up after it is reconnected.
TEST_F(Outage, AnIsolatedInstanceIsNotReady) {
  StartFleet({});
  PublishMany(1);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 2) fleet_->Disconnect(2, i);
  }
  fleet_->DisconnectFromStore(2);
  fleet_->Run(10s);
  EXPECT_FALSE(fleet_->node(2).IsReady(fleet_->now()));
  fleet_->ReconnectAll();
  PublishMany(1);
  EXPECT_TRUE(fleet_->RunUntil([&] { return fleet_->AllReady(); }, 3s));
  EXPECT_TRUE(
      fleet_->RunUntil([&] { return fleet_->InForceEverywhere(2); }, 2s));
}

// An outdated instance and a new one reach only each other. If each counted the
// other as contact to the fleet, both would serve an old configuration as
// current.
TEST_F(Outage, AnOldAndANewInstanceAloneAreNotReady) {
  StartFleet({});
  PublishMany(1);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 2 && i != 3) fleet_->Disconnect(2, i);
    if (i != 2 && i != 3) fleet_->Disconnect(3, i);
  }
  fleet_->DisconnectFromStore(2);
  fleet_->DisconnectFromStore(3);
  fleet_->Kill(3);
  fleet_->Run(60s);
  fleet_->Start(3);
  fleet_->Run(30s);
  EXPECT_FALSE(fleet_->node(2).IsReady(fleet_->now()));
  EXPECT_FALSE(fleet_->node(3).IsReady(fleet_->now()));
}

// While the store is down, all instances lose contact to each other for ten
// seconds. They are ready again once reconnected, because their state is
// unchanged; if they waited for the store, every workspace would be rejected
// until its return.
TEST_F(Outage, ReadyAgainAfterPeersReconnect) {
  StartFleet({});
  PublishMany(1);
  fleet_->Run(2s);
  fleet_->platform.down = true;
  for (size_t a = 0; a < fleet_->size(); ++a) {
    for (size_t b = 0; b < a; ++b) fleet_->Disconnect(a, b);
  }
  fleet_->Run(10s);
  EXPECT_FALSE(fleet_->node(1).IsReady(fleet_->now()));
  fleet_->ReconnectAll();
  EXPECT_TRUE(fleet_->RunUntil([&] { return fleet_->AllReady(); }, 5s));
}

// An instance that is not a store watcher loses all peers but reaches the
// store. It must read the store itself, or new changes would not take effect on
// it.
TEST_F(Outage, AnInstanceWithoutPeersAsksTheStore) {
  StartFleet({});
  for (size_t isolated = 0; isolated < fleet_->size(); ++isolated) {
    for (size_t i = 0; i < fleet_->size(); ++i) {
      if (i != isolated) fleet_->Disconnect(isolated, i);
    }
    fleet_->Run(6s);
    const uint64_t before = LastRevision();
    const auto name = std::to_string(next_++);
    const auto tag =
        fleet_->Publish((isolated + 1) % fleet_->size(),
                        ChangeOf(name, "workspace/" + name, 0, "text"));
    ASSERT_TRUE(fleet_->RunUntilAnswered(tag));
    EXPECT_TRUE(fleet_->RunUntil(
        [&] { return fleet_->node(isolated).revision() == before + 1; }, 2s));
    EXPECT_TRUE(fleet_->node(isolated).IsReady(fleet_->now()));
    fleet_->ReconnectAll();
    fleet_->Run(2s);
  }
}

// All store watchers have failed while the list still contains them, and the
// publisher of a change in the store has failed as well. The change must take
// effect once other instances detect the missing store responses.
TEST_F(Outage, OthersTakeOverTheWatchWhenAllWatchersAreDead) {
  FleetOptions options;
  options.instances = 32;
  StartFleet(options);
  std::vector<size_t> watchers;
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (fleet_->node(i).view(fleet_->now()).watching) watchers.push_back(i);
  }
  ASSERT_EQ(watchers.size(), 3U);
  for (const size_t i : watchers) fleet_->Kill(i);
  cfg::StorePut put{cfg::ChangeKey(1), ChangeOf("a", "group/g", 0, "one"), 0};
  fleet_->platform.Call(put, [](const cfg::StoreAnswer&) {});
  EXPECT_TRUE(
      fleet_->RunUntil([&] { return fleet_->InForceEverywhere(1); }, 40s));
}

// The state does not fit into one message. An instance that treated the
// received part as complete would serve some workspaces and reject others.
TEST_F(Outage, ALargeStateComesIntoForceWhole) {
  FleetOptions options;
  options.node.max_block_bytes = 2000;
  StartFleet(options);
  PublishMany(40, std::string(500, 'x'));
  fleet_->platform.down = true;
  for (int round = 0; round < 5; ++round) {
    fleet_->Kill(3);
    fleet_->Run(1s);
    fleet_->Start(3);
    EXPECT_TRUE(fleet_->RunUntil(
        [&] { return fleet_->node(3).IsReady(fleet_->now()); }, 3s));
    EXPECT_EQ(fleet_->node(3).revision(), 40U);
  }
}

// A new instance holds a partial state from a peer that is one change ahead of
// all others, and that peer fails while the store is down. No other peer can
// complete this state. The instance must discard it, or it would not be ready
// before the store returns.
TEST_F(Outage, APartialStateFromADeadPeerIsDropped) {
  FleetOptions options;
  options.node.max_block_bytes = 1000;
  StartFleet(options);
  PublishMany(40, std::string(500, 'x'));
  fleet_->Run(2s);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 4) fleet_->Disconnect(4, i);
    if (i != 4) fleet_->DisconnectFromStore(i);
  }
  fleet_->Publish(4, ChangeOf("ahead", "group/g", 0, "ahead"), 1s);
  fleet_->Run(1s);
  ASSERT_EQ(fleet_->node(4).revision(), 41U);
  fleet_->platform.down = true;
  fleet_->ReconnectAll();
  fleet_->Kill(3);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 3 && i != 4) fleet_->Disconnect(3, i);
    if (i != 3 && i != 4) fleet_->Disconnect(4, i);
  }
  fleet_->Start(3);
  fleet_->Run(60ms);
  EXPECT_EQ(fleet_->node(3).revision(), 0U);
  fleet_->Kill(4);
  fleet_->ReconnectAll();
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(3).IsReady(fleet_->now()); }, 10s));
  EXPECT_EQ(fleet_->node(3).revision(), 40U);
}

// A new instance without peers reads the snapshot after the old changes have
// been cleared from the store. The cleared keys keep their version, so that an
// instance far behind cannot write a change to them.
TEST_F(Outage, ASnapshotReplacesOldChanges) {
  FleetOptions options;
  options.node.changes_per_snapshot = 10;
  options.node.max_block_bytes = 3000;
  StartFleet(options);
  for (int round = 0; round < 4; ++round) {
    PublishMany(12, std::string(300, 'x'));
    fleet_->Run(25s);
  }
  const auto& keys = fleet_->platform.keys();
  const auto& first = keys.at(cfg::ChangeKey(1));
  EXPECT_TRUE(std::holds_alternative<std::monostate>(first.second));
  EXPECT_GT(first.first, 0U);
  fleet_->Kill(5);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 5) fleet_->Disconnect(5, i);
  }
  fleet_->Start(5);
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(5).IsReady(fleet_->now()); }, 5s));
  EXPECT_EQ(fleet_->node(5).revision(), 48U);
}

// An instance reconnects to the store alone and publishes, after the changes
// that it lacks have been cleared. If cleared keys could be created again, its
// change would start a second history that no other instance sees.
TEST_F(Outage, AnInstanceFarBehindCannotWriteASecondHistory) {
  FleetOptions options;
  options.node.changes_per_snapshot = 10;
  StartFleet(options);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 5) fleet_->Disconnect(5, i);
  }
  fleet_->DisconnectFromStore(5);
  next_ = 1;
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 12; ++i) {
      const std::string name = std::to_string(next_++);
      const auto tag =
          fleet_->Publish(1, ChangeOf(name, "workspace/" + name, 0, "text"));
      ASSERT_TRUE(fleet_->RunUntilAnswered(tag));
    }
    fleet_->Run(25s);
  }
  fleet_->ReconnectAll();
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 5) fleet_->Disconnect(5, i);
  }
  const auto tag = fleet_->Publish(5, ChangeOf("late", "group/g", 0, "late"));
  EXPECT_TRUE(
      fleet_->RunUntil([&] { return fleet_->node(5).revision() > 0; }, 1s));
  ASSERT_TRUE(fleet_->RunUntilAnswered(tag));
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(5).revision() == LastRevision(); }, 15s));
  fleet_->ReconnectAll();
  fleet_->Run(5s);
  size_t found = 0;
  for (const auto& [revision, change] : fleet_->platform.log()) {
    if (change.change_id == "late") found = revision;
  }
  EXPECT_TRUE(found == 0 || found == 49) << found;
  EXPECT_TRUE(fleet_->InForceEverywhere(LastRevision()));
}

// An instance reconnects to the store alone, after the changes that it lacks
// have been cleared. The change that it watches for no longer exists, so it
// must detect this and read the snapshot.
TEST_F(Outage, AnInstanceFarBehindReadsTheSnapshot) {
  FleetOptions options;
  options.node.changes_per_snapshot = 10;
  StartFleet(options);
  PublishMany(3);
  fleet_->Run(2s);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 5) fleet_->Disconnect(5, i);
  }
  fleet_->DisconnectFromStore(5);
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 12; ++i) {
      const std::string name = "x" + std::to_string(next_++);
      const auto tag =
          fleet_->Publish(1, ChangeOf(name, "workspace/" + name, 0, "text"));
      ASSERT_TRUE(fleet_->RunUntilAnswered(tag));
    }
    fleet_->Run(25s);
  }
  EXPECT_EQ(fleet_->node(5).revision(), 3U);
  fleet_->ReconnectAll();
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 5) fleet_->Disconnect(5, i);
  }
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(5).revision() == LastRevision(); }, 15s));
}

// The platform's list omits a running instance, and the platform is then down
// for half an hour. The instance must stay in the member lists of the others.
TEST_F(Outage, AnInstanceThatTheListOmitsStaysAMember) {
  StartFleet({});
  std::vector<Member> wrong = fleet_->AllMembers();
  wrong.erase(wrong.begin() + 3);
  fleet_->platform.SetMembers(wrong);
  fleet_->Kill(3);
  fleet_->Run(5s);
  fleet_->Start(3);
  fleet_->Run(5s);
  fleet_->platform.down = true;
  fleet_->Run(1800s);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    EXPECT_EQ(fleet_->node(i).members().size(), 8U);
  }
}

// The platform's list contains instances that do not exist and omits some that
// do. Changes still reach all instances.
TEST_F(Outage, ChangesReachAllInstancesDespiteAWrongList) {
  StartFleet({});
  std::vector<Member> wrong = fleet_->AllMembers();
  wrong.erase(wrong.begin() + 1, wrong.begin() + 3);
  for (int i = 0; i < 4; ++i) {
    Member unknown = wrong.front();
    unknown.name = "i000" + std::to_string(7 - i);
    unknown.name += "x";
    unknown.peer_address = "10.0.0.3:9090";
    wrong.push_back(unknown);
  }
  fleet_->platform.SetMembers(wrong);
  fleet_->Run(5s);
  PublishMany(3);
  EXPECT_TRUE(
      fleet_->RunUntil([&] { return fleet_->InForceEverywhere(3); }, 2s));
}

}  // namespace
}  // namespace ryefold::testing::control
