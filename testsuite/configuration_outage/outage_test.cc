// The store down or slow for long, instances started meanwhile, cuts.

#include <gtest/gtest.h>

#include <string>

#include "testsuite/support/control/changes.h"
#include "testsuite/support/control/fleet.h"

namespace ryefold::testing::control {
namespace {

using cfg::PublishStatus;

class Outage : public ::testing::Test {
 protected:
  void Begin(FleetOptions options) {
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
  uint64_t head() const { return fleet_->platform.log().size(); }

  std::unique_ptr<Fleet> fleet_;
  size_t next_ = 0;
};

// The store goes down for ten minutes. Instances go on with what is in force,
// and stay ready, since they hear each other.
TEST_F(Outage, EverybodyStaysReadyThroughALongOutage) {
  Begin({});
  PublishMany(3);
  fleet_->platform.down = true;
  for (int minute = 0; minute < 10; ++minute) {
    fleet_->Run(60s);
    EXPECT_TRUE(fleet_->AllReady());
    EXPECT_TRUE(fleet_->InForceEverywhere(3));
  }
}

// An instance is replaced while the store is down. It holds nothing and must
// get what is in force from its peers, not start with an empty configuration:
// callers of every workspace would be turned away.
TEST_F(Outage, InstanceStartedDuringTheOutageLearnsFromPeers) {
  Begin({});
  PublishMany(5);
  fleet_->Run(2s);
  fleet_->platform.down = true;
  fleet_->Kill(3);
  fleet_->Run(5s);
  fleet_->Start(3);
  EXPECT_FALSE(fleet_->node(3).ready(fleet_->now()));
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(3).ready(fleet_->now()); }, 2s));
  EXPECT_EQ(fleet_->node(3).revision(), 5U);
  EXPECT_EQ(fleet_->node(3).members().size(), 8U);
}

// All instances are replaced one after the other while the store is down: what
// is in force must survive in those that are left.
TEST_F(Outage, AllReplacedInARowDuringTheOutage) {
  Begin({});
  PublishMany(5);
  fleet_->Run(2s);
  fleet_->platform.down = true;
  for (size_t i = 0; i < fleet_->size(); ++i) {
    fleet_->Kill(i);
    fleet_->Run(2s);
    fleet_->Start(i);
    EXPECT_TRUE(fleet_->RunUntil(
        [&] { return fleet_->node(i).ready(fleet_->now()); }, 3s));
    EXPECT_EQ(fleet_->node(i).revision(), 5U);
  }
}

// Everything starts at once while the store is down. Nobody knows what is in
// force, so nobody may be ready: two empty instances that hear each other
// must not take that for an empty configuration.
TEST_F(Outage, NobodyIsReadyWhenNobodyKnows) {
  FleetOptions options;
  fleet_ = std::make_unique<Fleet>(options);
  fleet_->platform.down = true;
  fleet_->Run(30s);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    EXPECT_FALSE(fleet_->node(i).ready(fleet_->now()));
  }
  fleet_->platform.down = false;
  EXPECT_TRUE(fleet_->RunUntil([&] { return fleet_->AllReady(); }, 8s));
}

// One instance is cut off from the store and all peers. It can't know what is
// in force, so it says that it is not ready, and catches up afterwards.
TEST_F(Outage, AnInstanceThatHearsNobodyIsNotReady) {
  Begin({});
  PublishMany(1);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 2) fleet_->Cut(2, i);
  }
  fleet_->CutFromStore(2);
  fleet_->Run(10s);
  EXPECT_FALSE(fleet_->node(2).ready(fleet_->now()));
  fleet_->Heal();
  PublishMany(1);
  EXPECT_TRUE(fleet_->RunUntil([&] { return fleet_->AllReady(); }, 3s));
  EXPECT_TRUE(
      fleet_->RunUntil([&] { return fleet_->InForceEverywhere(2); }, 2s));
}

// An instance has been cut off for minutes, the others have gone on, and a new
// instance is started beside it that reaches nobody else. Taking each other
// for the fleet, both would serve an old configuration as if it were in force.
TEST_F(Outage, AnOldAndANewInstanceAloneAreNotReady) {
  Begin({});
  PublishMany(1);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 2 && i != 3) fleet_->Cut(2, i);
    if (i != 2 && i != 3) fleet_->Cut(3, i);
  }
  fleet_->CutFromStore(2);
  fleet_->CutFromStore(3);
  fleet_->Kill(3);
  fleet_->Run(60s);
  fleet_->Start(3);
  fleet_->Run(30s);
  EXPECT_FALSE(fleet_->node(2).ready(fleet_->now()));
  EXPECT_FALSE(fleet_->node(3).ready(fleet_->now()));
}

// The store is down and for ten seconds no instance reaches any other. When
// they do again, they know as much as before; waiting for the store, every
// workspace would be refused for as long as that takes.
TEST_F(Outage, ReadyAgainAfterAMomentWithoutAnybody) {
  Begin({});
  PublishMany(1);
  fleet_->Run(2s);
  fleet_->platform.down = true;
  for (size_t a = 0; a < fleet_->size(); ++a) {
    for (size_t b = 0; b < a; ++b) fleet_->Cut(a, b);
  }
  fleet_->Run(10s);
  EXPECT_FALSE(fleet_->node(1).ready(fleet_->now()));
  fleet_->Heal();
  EXPECT_TRUE(fleet_->RunUntil([&] { return fleet_->AllReady(); }, 5s));
}

// An instance is cut off from all peers but reaches the store. It is not one
// of those that wait on the store; if it went on hoping for peers, changes
// would not be in force on it.
TEST_F(Outage, AnInstanceWithoutPeersAsksTheStore) {
  Begin({});
  for (size_t alone = 0; alone < fleet_->size(); ++alone) {
    for (size_t i = 0; i < fleet_->size(); ++i) {
      if (i != alone) fleet_->Cut(alone, i);
    }
    fleet_->Run(6s);
    const uint64_t before = head();
    const auto name = std::to_string(next_++);
    const auto tag =
        fleet_->Publish((alone + 1) % fleet_->size(),
                        ChangeOf(name, "workspace/" + name, 0, "text"));
    ASSERT_TRUE(fleet_->RunUntilAnswered(tag));
    EXPECT_TRUE(fleet_->RunUntil(
        [&] { return fleet_->node(alone).revision() == before + 1; }, 2s));
    EXPECT_TRUE(fleet_->node(alone).ready(fleet_->now()));
    fleet_->Heal();
    fleet_->Run(2s);
  }
}

// The instances that wait on the store are all dead, the list still names
// them, and a change gets into the store whose publisher dies unheard. It must
// come into force all the same once others notice the silence.
TEST_F(Outage, OthersTakeOverTheWatchWhenAllWatchersAreDead) {
  FleetOptions options;
  options.instances = 32;
  Begin(options);
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

// The whole state does not fit one message. An instance that took the parts
// that it has for the whole would serve some workspaces and refuse others.
TEST_F(Outage, ALargeStateComesIntoForceWhole) {
  FleetOptions options;
  options.node.block_bytes = 2000;
  Begin(options);
  PublishMany(40, std::string(500, 'x'));
  fleet_->platform.down = true;
  for (int round = 0; round < 5; ++round) {
    fleet_->Kill(3);
    fleet_->Run(1s);
    fleet_->Start(3);
    EXPECT_TRUE(fleet_->RunUntil(
        [&] { return fleet_->node(3).ready(fleet_->now()); }, 3s));
    EXPECT_EQ(fleet_->node(3).revision(), 40U);
  }
}

// A new instance has part of the state from a peer that was one change ahead
// of all others, and that peer dies while the store is down. The others can
// never complete what it sent; waiting for that, the new instance would not be
// ready before the store returns.
TEST_F(Outage, APartFromADeadPeerIsGivenUp) {
  FleetOptions options;
  options.node.block_bytes = 1000;
  Begin(options);
  PublishMany(40, std::string(500, 'x'));
  fleet_->Run(2s);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 4) fleet_->Cut(4, i);
    if (i != 4) fleet_->CutFromStore(i);
  }
  fleet_->Publish(4, ChangeOf("ahead", "group/g", 0, "ahead"), 1s);
  fleet_->Run(1s);
  ASSERT_EQ(fleet_->node(4).revision(), 41U);
  fleet_->platform.down = true;
  fleet_->Heal();
  fleet_->Kill(3);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 3 && i != 4) fleet_->Cut(3, i);
    if (i != 3 && i != 4) fleet_->Cut(4, i);
  }
  fleet_->Start(3);
  fleet_->Run(60ms);
  EXPECT_EQ(fleet_->node(3).revision(), 0U);
  fleet_->Kill(4);
  fleet_->Heal();
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(3).ready(fleet_->now()); }, 10s));
  EXPECT_EQ(fleet_->node(3).revision(), 40U);
}

// Old changes are cleared from the store, an instance starts, and no peer
// answers it. It reads the snapshot; and one that is far behind and publishes
// must never write a change at a place that had been used before.
TEST_F(Outage, ASnapshotReplacesOldChanges) {
  FleetOptions options;
  options.node.snapshot_every = 10;
  options.node.block_bytes = 3000;
  Begin(options);
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
    if (i != 5) fleet_->Cut(5, i);
  }
  fleet_->Start(5);
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(5).ready(fleet_->now()); }, 5s));
  EXPECT_EQ(fleet_->node(5).revision(), 48U);
}

// An instance was cut off for so long that the changes that it lacks have been
// cleared from the store. Healed towards the store alone it publishes at once.
// Had the cleared keys been free again, its change would begin a second
// history, and others would never see it.
TEST_F(Outage, AnInstanceFarBehindCannotWriteASecondHistory) {
  FleetOptions options;
  options.node.snapshot_every = 10;
  Begin(options);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 5) fleet_->Cut(5, i);
  }
  fleet_->CutFromStore(5);
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
  fleet_->Heal();
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 5) fleet_->Cut(5, i);
  }
  const auto tag = fleet_->Publish(5, ChangeOf("late", "group/g", 0, "late"));
  EXPECT_TRUE(
      fleet_->RunUntil([&] { return fleet_->node(5).revision() > 0; }, 1s));
  ASSERT_TRUE(fleet_->RunUntilAnswered(tag));
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(5).revision() == head(); }, 15s));
  fleet_->Heal();
  fleet_->Run(5s);
  size_t found = 0;
  for (const auto& [revision, change] : fleet_->platform.log()) {
    if (change.change_id == "late") found = revision;
  }
  EXPECT_TRUE(found == 0 || found == 49) << found;
  EXPECT_TRUE(fleet_->InForceEverywhere(head()));
}

// An instance comes back to the store alone, after the changes that it lacks
// have been cleared. It waits for a change that will never be there again; it
// must notice and read the snapshot.
TEST_F(Outage, AnInstanceFarBehindReadsTheSnapshot) {
  FleetOptions options;
  options.node.snapshot_every = 10;
  Begin(options);
  PublishMany(3);
  fleet_->Run(2s);
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 5) fleet_->Cut(5, i);
  }
  fleet_->CutFromStore(5);
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
  fleet_->Heal();
  for (size_t i = 0; i < fleet_->size(); ++i) {
    if (i != 5) fleet_->Cut(5, i);
  }
  EXPECT_TRUE(fleet_->RunUntil(
      [&] { return fleet_->node(5).revision() == head(); }, 15s));
}

// The platform's list leaves one instance out and is then down for half an
// hour. The instance lives and must not be forgotten by the others.
TEST_F(Outage, AnInstanceThatTheListLeavesOutIsNotForgotten) {
  Begin({});
  std::vector<Member> wrong = fleet_->Everybody();
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

// The platform's list names instances that do not exist and leaves out some
// that do. Changes still reach everybody.
TEST_F(Outage, AWrongListDoesNotKeepChangesFromAnybody) {
  Begin({});
  std::vector<Member> wrong = fleet_->Everybody();
  wrong.erase(wrong.begin() + 1, wrong.begin() + 3);
  for (int i = 0; i < 4; ++i) {
    Member ghost = wrong.front();
    ghost.name = "i000" + std::to_string(7 - i);
    ghost.name += "x";
    ghost.peer_address = "10.0.0.3:9090";
    wrong.push_back(ghost);
  }
  fleet_->platform.SetMembers(wrong);
  fleet_->Run(5s);
  PublishMany(3);
  EXPECT_TRUE(
      fleet_->RunUntil([&] { return fleet_->InForceEverywhere(3); }, 2s));
}

}  // namespace
}  // namespace ryefold::testing::control
