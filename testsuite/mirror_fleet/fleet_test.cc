// Copies of the store's keys in a large fleet: who calls the store, how soon a
// change is everywhere, and what happens when those that others hear from fail.

#include "testsuite/support/mirror/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace ryefold::testsuite {
namespace {

/// The shortest time in which the users' large deployments have to act on a
/// change of configuration.
constexpr milliseconds kInForce{5000};

std::string Configuration(int routes, int version) {
  std::string text = "{\"version\":" + std::to_string(version);
  for (int i = 0; i < routes; ++i) {
    text += ",{\"name\":\"route-" + std::to_string(i * 7919 % 100003) +
            "\",\"timeout_ms\":" + std::to_string(1000 + i % 13) + "}";
  }
  return text + "}";
}

TEST(MirrorFleet, IsFollowedByEverybodyWhereFew) {
  MirrorFleet fleet(8, 1);
  fleet.Start();
  fleet.store.Put("config", "one");
  EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 1100);
  for (const auto& each : fleet.all) {
    EXPECT_TRUE(each->mirror().follows_store());
  }
}

TEST(MirrorFleet, CostsTheStoreFewCallsWhereMany) {
  MirrorFleet fleet(300, 1);
  fleet.Start();
  const uint64_t before = fleet.store.calls;
  fleet.RunFor(milliseconds(60000));
  // 27 relays that ask every two seconds, and a listing each half a minute;
  // 300 instances that follow the store would hold 300 calls all the time.
  EXPECT_EQ(fleet.Relays().size(), 27U);
  EXPECT_LT(fleet.store.calls - before, 900U);
}

TEST(MirrorFleet, TellsEverybodyOfAChangeSoon) {
  MirrorFleet fleet(300, 1);
  fleet.Start();
  for (int i = 0; i < 5; ++i) {
    fleet.store.Put("config", std::to_string(i));
    fleet.store.Put("other-" + std::to_string(i), "value");
    EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 800) << i;
  }
  fleet.store.Delete("other-2");
  EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 800);
}

// A configuration of a large fleet is a megabyte and changes every twenty
// seconds by one route. Sent whole to each instance it takes 50 KB/s of every
// link, and instances on slow links fall behind.
TEST(MirrorFleet, SendsDifferencesOfLargeValues) {
  MirrorFleet fleet(60, 1);
  fleet.store.Put("config", Configuration(5000, 1));
  const size_t whole = fleet.store.keys().at("config").value.size();
  fleet.Start();
  const uint64_t before = fleet.Bytes();
  std::string changed = fleet.store.keys().at("config").value;
  for (int i = 0; i < 5; ++i) {
    changed.replace(changed.size() / 2, 4, std::to_string(5000 + i));
    fleet.store.Put("config", changed);
    EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 800);
  }
  const uint64_t each = (fleet.Bytes() - before) / 60 / 5;
  EXPECT_GT(whole, 200000U);
  EXPECT_LT(each, 700U);
}

// A relay's process is suspended by its host. Its connections stay open and its
// kernel acknowledges what comes, so nothing shows but silence; instances that
// hear from it would serve under an old configuration for as long as it sleeps.
TEST(MirrorFleet, HearsFromAnotherWhileARelaySleeps) {
  MirrorFleet fleet(60, 1);
  fleet.Start();
  MirrorInstance* relay = fleet.Relays().front();
  relay->Freeze(milliseconds(20000));
  fleet.store.Put("config", "new");
  fleet.RunFor(milliseconds(2600));
  EXPECT_EQ(fleet.Behind(), 1U);  // the one that sleeps
}

// A relay loses its way to the store without a sign: its watch is not answered
// any more. Those that hear from it have the store in reach and are held to
// the time in which a change has to be in force.
TEST(MirrorFleet, HearsFromAnotherWhileARelayIsCutOffFromTheStore) {
  MirrorFleet fleet(60, 1);
  fleet.Start();
  for (MirrorInstance* relay : fleet.Relays()) {
    if (fleet.DomainOf(relay->name()) != "domain-0") continue;
    fleet.store.silent_to.insert(relay->name());
  }
  fleet.store.Put("config", "new");
  fleet.RunFor(milliseconds(4000));
  EXPECT_EQ(fleet.Behind(), 0U);
}

// A network partition takes every relay of an instance away without a sign, and
// leaves it the store. Each relay that is waited for in vain costs 1.7 s; tried
// one after the other they cost more than the time in which a change has to be
// in force.
TEST(MirrorFleet, TurnsToTheStoreWhenItsRelaysFallSilent) {
  for (int phase = 0; phase < 10; ++phase) {
    MirrorFleet fleet(60, 1);
    fleet.Start();
    fleet.RunFor(milliseconds(130 * phase));
    for (MirrorInstance* relay : fleet.Relays()) {
      fleet.cut.insert({"instance-7", relay->name()});
    }
    ASSERT_FALSE(fleet.Find("instance-7")->mirror().follows_store());
    for (int i = 0; i < 6; ++i) {
      fleet.store.Put("config", std::to_string(i));
      EXPECT_LT(fleet.TimeUntilLevel(milliseconds(8000)).count(), 3000)
          << "phase " << phase << ", change " << i;
      fleet.RunFor(milliseconds(700));
    }
  }
}

// All instances that others hear from are killed at one moment.
TEST(MirrorFleet, FollowsTheStoreWhenNoRelayIsLeft) {
  MirrorFleet fleet(60, 1);
  fleet.Start();
  for (MirrorInstance* relay : fleet.Relays()) relay->Kill();
  fleet.store.Put("config", "new");
  EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 2500);
}

// The store turns one instance away and serves the others. What that instance
// knows of databases and routes grows old, and its callers are sent to a
// database that has left.
TEST(MirrorFleet, ServesAnInstanceThatTheStoreTurnsAway) {
  MirrorFleet fleet(8, 1);
  fleet.Start();
  fleet.store.refuses.insert("instance-3");
  fleet.store.Put("config", "one");
  fleet.RunFor(milliseconds(2500));
  fleet.store.Put("config", "two");
  EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 2000);
  EXPECT_FALSE(fleet.Find("instance-3")->mirror().follows_store());
  fleet.store.refuses.clear();
  fleet.RunFor(milliseconds(6000));
  EXPECT_TRUE(fleet.Find("instance-3")->mirror().follows_store());
}

// After an outage of the store the connections on which instances wait for its
// changes are still open and carry nothing; the store answers new calls. A
// database reports that it leaves, and instances that do not hear of it send it
// work until it ends, seven seconds later.
TEST(MirrorFleet, NoticesInTimeThatItsWatchesAreSilent) {
  MirrorFleet fleet(8, 1);
  fleet.Start();
  fleet.RunFor(milliseconds(8000));
  fleet.store.LoseWatches();
  fleet.store.Put("database", "leaving");
  EXPECT_LT(fleet.TimeUntilLevel(milliseconds(30000)).count(), 4000);
}

// The store takes one instance's calls and never answers them. Each try at the
// store is time in which the instance hears of nothing; changes have to be in
// force within three seconds in a small fleet.
TEST(MirrorFleet, HearsOfChangesWhileTheStoreKeepsItWaiting) {
  MirrorFleet fleet(8, 1);
  fleet.Start();
  fleet.store.silent_to.insert("instance-3");
  fleet.store.Put("config", "first");
  fleet.RunFor(milliseconds(30000));
  for (int i = 0; i < 40; ++i) {
    fleet.store.Put("config", std::to_string(i));
    EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 2200) << i;
    fleet.RunFor(milliseconds(370));
  }
}

// The same while the instance has just begun: nobody is heard of yet, and the
// first listing is not answered. The store answers again after a moment.
TEST(MirrorFleet, TriesAgainSoonWhenItsFirstListingIsNotAnswered) {
  MirrorFleet fleet(1, 1);
  fleet.store.Put("config", "one");
  fleet.store.silent_to.insert("instance-0");
  fleet.TellMembers();
  fleet.all.front()->Start();
  fleet.RunFor(milliseconds(300));
  fleet.store.silent_to.clear();
  EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 2000);
}

// The store keeps all instances waiting for some seconds, and takes a change of
// the configuration from an operator meanwhile. An instance that has asked for
// a listing in that time would wait for it for four seconds, while the store is
// there again and others have the change in force: its callers are told that
// there is no such route.
TEST(MirrorFleet, IsLevelSoonAfterTheStoreKeptAllWaiting) {
  for (int phase = 0; phase < 20; ++phase) {
    MirrorFleet fleet(8, 1);
    fleet.Start();
    for (const auto& each : fleet.all) {
      fleet.store.silent_to.insert(each->name());
    }
    fleet.RunFor(milliseconds(1800 + 170 * phase));
    fleet.store.Put("config", "new");
    fleet.store.silent_to.clear();
    EXPECT_LT(fleet.TimeUntilLevel(milliseconds(8000)).count(), 2300)
        << "phase " << phase;
  }
}

// A configuration has grown to a megabyte, and the slowest links carry ten
// megabits a second: a change of it takes a second to arrive. An instance that
// gave the answer up meanwhile would ask for it again and again, and serve by
// the old configuration for good.
TEST(MirrorFleet, TakesAChangeThatArrivesSlowly) {
  for (int phase = 0; phase < 10; ++phase) {
    MirrorFleet fleet(1, 1);
    fleet.store.bytes_per_ms = 1250;
    fleet.Start();
    fleet.RunFor(milliseconds(250 * phase));
    fleet.store.Put("config", std::string(1400000, 'x'));
    EXPECT_LT(fleet.TimeUntilLevel(milliseconds(20000)).count(), 3000)
        << "phase " << phase;
  }
}

// The store is away for all. Instances that hear from relays must not all turn
// to it at once, again and again: it would have to answer them first of all
// when it comes back.
TEST(MirrorFleet, KeepsFromPressingAStoreThatIsAway) {
  MirrorFleet fleet(120, 1);
  fleet.Start();
  fleet.store.down = true;
  // Watches end as the store goes.
  fleet.store.Put("config", "while away");
  const uint64_t before = fleet.store.calls;
  fleet.RunFor(milliseconds(10000));
  EXPECT_LT(fleet.store.calls - before, 120U * 16);
  fleet.store.down = false;
  EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 2500);
}

// A watch at the store misses a change, and the relay finds it half a minute
// later when it reads everything anew. By then those that hear from it have
// read beyond the change's revision and would never be told.
TEST(MirrorFleet, PassesOnAChangeThatWasFoundLate) {
  MirrorFleet fleet(60, 1);
  fleet.Start();
  fleet.store.skip_next_event = true;
  fleet.store.Put("missed", "value");
  fleet.store.Put("seen", "value");
  fleet.RunFor(milliseconds(1500));
  EXPECT_EQ(fleet.Behind(), 60U);
  fleet.RunFor(milliseconds(36000));
  EXPECT_EQ(fleet.Behind(), 0U);
}

// The store forgets its history; a key is removed in the gap.
TEST(MirrorFleet, ReadsAnewWhenHistoryIsGone) {
  MirrorFleet fleet(60, 1);
  fleet.store.Put("leaves", "value");
  fleet.Start();
  for (MirrorInstance* relay : fleet.Relays()) {
    fleet.store.silent_to.insert(relay->name());
  }
  fleet.store.Delete("leaves");
  fleet.store.Put("comes", "value");
  fleet.store.Compact();
  fleet.store.silent_to.clear();
  EXPECT_LT(fleet.TimeUntilLevel(kInForce).count(), 4500);
}

}  // namespace
}  // namespace ryefold::testsuite
