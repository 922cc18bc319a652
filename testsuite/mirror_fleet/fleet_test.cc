// Mirrors in a fleet: load on the store, propagation time of changes, and
// failures of relays and of the store.

#include "testsuite/support/mirror/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace ryefold::testsuite {
namespace {

/// Propagation bound of the strictest large deployment.
constexpr milliseconds kPropagationBound{5000};

std::string Configuration(int routes, int version) {
  std::string text = "{\"version\":" + std::to_string(version);
  for (int i = 0; i < routes; ++i) {
    text += ",{\"name\":\"route-" + std::to_string(i * 7919 % 100003) +
            "\",\"timeout_ms\":" + std::to_string(1000 + i % 13) + "}";
  }
  return text + "}";
}

TEST(MirrorFleet, FollowsTheStoreOnAllInstancesOfASmallFleet) {
  MirrorFleet fleet(8, 1);
  fleet.Start();
  fleet.store.Put("config", "one");
  EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 1100);
  for (const auto& each : fleet.all) {
    EXPECT_TRUE(each->mirror().follows_store());
  }
}

TEST(MirrorFleet, SendsFewStoreCallsInALargeFleet) {
  MirrorFleet fleet(300, 1);
  fleet.Start();
  const uint64_t before = fleet.store.calls;
  fleet.RunFor(milliseconds(60000));
  // 27 relays send a watch every two seconds and list every 30 s; without
  // relays, 300 instances would keep 300 calls pending at all times.
  EXPECT_EQ(fleet.Relays().size(), 27U);
  EXPECT_LT(fleet.store.calls - before, 900U);
}

TEST(MirrorFleet, PropagatesChangesToAllInstances) {
  MirrorFleet fleet(300, 1);
  fleet.Start();
  for (int i = 0; i < 5; ++i) {
    fleet.store.Put("config", std::to_string(i));
    fleet.store.Put("other-" + std::to_string(i), "value");
    EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 800) << i;
  }
  fleet.store.Delete("other-2");
  EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 800);
}

// The configuration of a large fleet is a megabyte, and one route in it changes
// every 20 s. Sent in full to each instance, it takes 50 KB/s of every link,
// and instances on slow links fall behind.
TEST(MirrorFleet, SendsDifferencesOfLargeValues) {
  MirrorFleet fleet(60, 1);
  fleet.store.Put("config", Configuration(5000, 1));
  const size_t full_size = fleet.store.keys().at("config").value.size();
  fleet.Start();
  const uint64_t before = fleet.TotalBytes();
  std::string changed = fleet.store.keys().at("config").value;
  for (int i = 0; i < 5; ++i) {
    changed.replace(changed.size() / 2, 4, std::to_string(5000 + i));
    fleet.store.Put("config", changed);
    EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 800);
  }
  const uint64_t each = (fleet.TotalBytes() - before) / 60 / 5;
  EXPECT_GT(full_size, 200000U);
  EXPECT_LT(each, 700U);
}

// Guards against a relay that encodes a change anew for each of its listeners:
// a configuration of half a megabyte kept a small instance from answering for
// some tenths of a second.
TEST(MirrorFleet, EncodesAChangeOnceForAllListenersInStep) {
  MirrorFleet fleet(300, 1);
  fleet.store.Put("config", Configuration(5000, 1));
  fleet.Start();
  const auto packed = [&fleet] {
    uint64_t sum = 0;
    for (MirrorInstance* relay : fleet.Relays()) sum += relay->packed_count();
    return sum;
  };
  const uint64_t before = packed();
  constexpr uint64_t kChanges = 5;
  for (uint64_t i = 0; i < kChanges; ++i) {
    fleet.store.Put("config", Configuration(5000, static_cast<int>(i) + 2));
    EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 800) << i;
  }
  // Relays have eleven listeners each, some of them a revision behind.
  EXPECT_LE(packed() - before, fleet.Relays().size() * kChanges * 3);
}

// A suspended relay keeps its connections open and its kernel acknowledges
// data, so only a timeout detects it. Without one, instances that use the relay
// would serve a stale configuration until it resumes.
TEST(MirrorFleet, SwitchesRelayWhileARelayIsSuspended) {
  MirrorFleet fleet(60, 1);
  fleet.Start();
  MirrorInstance* relay = fleet.Relays().front();
  relay->Suspend(milliseconds(20000));
  fleet.store.Put("config", "new");
  fleet.RunFor(milliseconds(2600));
  EXPECT_EQ(fleet.CountStale(), 1U);  // the suspended relay
}

// The watch of a relay at the store is no longer answered. Instances that use
// this relay can reach the store and must apply the change in time.
TEST(MirrorFleet, SwitchesRelayWhileARelayIsCutOffFromTheStore) {
  MirrorFleet fleet(60, 1);
  fleet.Start();
  for (MirrorInstance* relay : fleet.Relays()) {
    if (fleet.DomainOf(relay->name()) != "domain-0") continue;
    fleet.store.unresponsive_to.insert(relay->name());
  }
  fleet.store.Put("config", "new");
  fleet.RunFor(milliseconds(4000));
  EXPECT_EQ(fleet.CountStale(), 0U);
}

// A network partition cuts an instance off from all its relays but not from the
// store. Each unreachable relay costs 1.7 s; trying them one after the other
// exceeds the propagation bound.
TEST(MirrorFleet, FollowsTheStoreWhenItsRelaysAreUnreachable) {
  for (int phase = 0; phase < 10; ++phase) {
    MirrorFleet fleet(60, 1);
    fleet.Start();
    fleet.RunFor(milliseconds(130 * phase));
    for (MirrorInstance* relay : fleet.Relays()) {
      fleet.blocked_links.insert({"instance-7", relay->name()});
    }
    ASSERT_FALSE(fleet.Find("instance-7")->mirror().follows_store());
    for (int i = 0; i < 6; ++i) {
      fleet.store.Put("config", std::to_string(i));
      EXPECT_LT(fleet.TimeUntilConverged(milliseconds(8000)).count(), 3000)
          << "phase " << phase << ", change " << i;
      fleet.RunFor(milliseconds(700));
    }
  }
}

// All relays are killed at the same time.
TEST(MirrorFleet, FollowsTheStoreWhenNoRelayIsLeft) {
  MirrorFleet fleet(60, 1);
  fleet.Start();
  for (MirrorInstance* relay : fleet.Relays()) relay->Kill();
  fleet.store.Put("config", "new");
  EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 2500);
}

// The store refused_instances the calls of one instance only. Without a relay
// its copy becomes stale, and its callers are routed to a database that is
// shutting down.
TEST(MirrorFleet, UsesARelayWhenTheStoreRefusesAnInstance) {
  MirrorFleet fleet(8, 1);
  fleet.Start();
  fleet.store.refused_instances.insert("instance-3");
  fleet.store.Put("config", "one");
  fleet.RunFor(milliseconds(2500));
  fleet.store.Put("config", "two");
  EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 2000);
  EXPECT_FALSE(fleet.Find("instance-3")->mirror().follows_store());
  fleet.store.refused_instances.clear();
  fleet.RunFor(milliseconds(6000));
  EXPECT_TRUE(fleet.Find("instance-3")->mirror().follows_store());
}

// After a store outage, connections of pending watches stay open but carry
// nothing, while new calls are answered. An instance that does not detect it
// misses that a database is shutting down and routes requests to it until it
// ends, 7 s later.
TEST(MirrorFleet, DetectsDroppedWatchesInTime) {
  MirrorFleet fleet(8, 1);
  fleet.Start();
  fleet.RunFor(milliseconds(8000));
  fleet.store.DropWatches();
  fleet.store.Put("database", "leaving");
  EXPECT_LT(fleet.TimeUntilConverged(milliseconds(30000)).count(), 4000);
}

// The store accepts one instance's calls and never answers them. The instance
// receives no changes during each attempt at the store, and a small fleet must
// apply changes within three seconds.
TEST(MirrorFleet, ReceivesChangesWhileTheStoreDoesNotAnswerIt) {
  MirrorFleet fleet(8, 1);
  fleet.Start();
  fleet.store.unresponsive_to.insert("instance-3");
  fleet.store.Put("config", "first");
  fleet.RunFor(milliseconds(30000));
  for (int i = 0; i < 40; ++i) {
    fleet.store.Put("config", std::to_string(i));
    EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 2200) << i;
    fleet.RunFor(milliseconds(370));
  }
}

// The first listing of a newly started instance, which has no relays, is not
// answered; the store recovers shortly after.
TEST(MirrorFleet, RetriesSoonWhenItsFirstListingIsNotAnswered) {
  MirrorFleet fleet(1, 1);
  fleet.store.Put("config", "one");
  fleet.store.unresponsive_to.insert("instance-0");
  fleet.UpdateMembers();
  fleet.all.front()->Start();
  fleet.RunFor(milliseconds(300));
  fleet.store.unresponsive_to.clear();
  EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 2000);
}

// The store leaves all calls unanswered for some seconds and accepts a
// configuration change in that time. An instance whose listing was sent during
// the outage would wait four seconds for it, although the store has recovered
// and others have applied the change, and would reject requests for the new
// route.
TEST(MirrorFleet, ConvergesSoonAfterTheStoreAnswersAgain) {
  for (int phase = 0; phase < 20; ++phase) {
    MirrorFleet fleet(8, 1);
    fleet.Start();
    for (const auto& each : fleet.all) {
      fleet.store.unresponsive_to.insert(each->name());
    }
    fleet.RunFor(milliseconds(1800 + 170 * phase));
    fleet.store.Put("config", "new");
    fleet.store.unresponsive_to.clear();
    EXPECT_LT(fleet.TimeUntilConverged(milliseconds(8000)).count(), 2300)
        << "phase " << phase;
  }
}

// A configuration of a megabyte takes a second over the slowest links of ten
// megabits a second. An instance that aborted the answer would request it again
// and again and never apply the change.
TEST(MirrorFleet, AppliesAChangeThatArrivesSlowly) {
  for (int phase = 0; phase < 10; ++phase) {
    MirrorFleet fleet(1, 1);
    fleet.store.bytes_per_ms = 1250;
    fleet.Start();
    fleet.RunFor(milliseconds(250 * phase));
    fleet.store.Put("config", std::string(1400000, 'x'));
    EXPECT_LT(fleet.TimeUntilConverged(milliseconds(20000)).count(), 3000)
        << "phase " << phase;
  }
}

// During a store outage, instances that use relays must not all retry at the
// store at the same time: it would have to answer these calls first when it
// recovers.
TEST(MirrorFleet, LimitsCallsToAStoreThatIsDown) {
  MirrorFleet fleet(120, 1);
  fleet.Start();
  fleet.store.down = true;
  // Pending watches fail when the store does.
  fleet.store.Put("config", "while away");
  const uint64_t before = fleet.store.calls;
  fleet.RunFor(milliseconds(10000));
  EXPECT_LT(fleet.store.calls - before, 120U * 16);
  fleet.store.down = false;
  EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 2500);
}

// A watch misses a change, and the relay finds it 30 s later in its full read.
// By then the instances that use the relay have read beyond the change's
// revision, so a transfer of changes alone would never include it.
TEST(MirrorFleet, RelaysAChangeThatWasFoundLate) {
  MirrorFleet fleet(60, 1);
  fleet.Start();
  fleet.store.skip_next_event = true;
  fleet.store.Put("missed", "value");
  fleet.store.Put("seen", "value");
  fleet.RunFor(milliseconds(1500));
  EXPECT_EQ(fleet.CountStale(), 60U);
  fleet.RunFor(milliseconds(36000));
  EXPECT_EQ(fleet.CountStale(), 0U);
}

// The store compacts its history, and a key was removed in the compacted range.
TEST(MirrorFleet, ListsAgainWhenHistoryIsCompacted) {
  MirrorFleet fleet(60, 1);
  fleet.store.Put("leaves", "value");
  fleet.Start();
  for (MirrorInstance* relay : fleet.Relays()) {
    fleet.store.unresponsive_to.insert(relay->name());
  }
  fleet.store.Delete("leaves");
  fleet.store.Put("comes", "value");
  fleet.store.Compact();
  fleet.store.unresponsive_to.clear();
  EXPECT_LT(fleet.TimeUntilConverged(kPropagationBound).count(), 4500);
}

}  // namespace
}  // namespace ryefold::testsuite
