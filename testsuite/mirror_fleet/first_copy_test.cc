// Many instances that start at once: what the store has to send, and how long
// they take to get a copy.

#include <gtest/gtest.h>

#include <string>

#include "testsuite/support/mirror/fleet.h"

namespace ryefold::testsuite {
namespace {

constexpr size_t kKeys = 100;
constexpr size_t kValueBytes = 1000;
constexpr uint64_t kCopyBytes = kKeys * kValueBytes;
/// The store's link carries 50 copies in a second, as that of a store with
/// copies of two megabytes and a gigabit a second does.
constexpr uint64_t kStoreBytesPerMs = 50 * kCopyBytes / 1000;
/// Instances for each relay, as `PlanRelays` has it.
constexpr size_t kInstancesPerRelay = 12;
/// Time from the start of the fleet until callers are to be served again.
constexpr milliseconds kRecoveryBound{18000};

void FillStore(MirrorFleet* fleet) {
  for (size_t i = 0; i < kKeys; ++i) {
    fleet->store.Put("key-" + std::to_string(i),
                     std::string(kValueBytes, static_cast<char>('a' + i % 26)));
  }
}

void ExpectSoundCopies(MirrorFleet* fleet) {
  EXPECT_TRUE(fleet->violations.empty());
  fleet->store.Put("key-0", "changed");
  EXPECT_LT(fleet->TimeUntilConverged(milliseconds(5000)).count(), 2500);
}

// Guards against a store that sends every instance a whole copy after a loss of
// all power: the time that this takes grows with the square of the fleet, and
// callers wait for it.
TEST(FirstCopy, AFleetThatStartsAtOnceListsTheStoreFewTimes) {
  for (const size_t size : {250U, 1000U}) {
    MirrorFleet fleet(size, 1);
    FillStore(&fleet);
    fleet.Start();
    fleet.store.shared_bytes_per_ms = kStoreBytesPerMs;
    const uint64_t before = fleet.store.bytes_listed;
    fleet.RestartAtOnce([](size_t /*index*/) { return true; });
    const milliseconds took = fleet.TimeUntilConverged(kRecoveryBound);
    const uint64_t copies = (fleet.store.bytes_listed - before) / kCopyBytes;
    EXPECT_LT(copies, size / kInstancesPerRelay * 3 / 2) << size;
    // The relays' listings take 1.7 s of the link at a thousand instances.
    EXPECT_LT(took, milliseconds(4000)) << size;
    ExpectSoundCopies(&fleet);
  }
}

// Guards against full reads by every relay: they grow with the square of the
// fleet, and each stops a small instance for half a second.
TEST(FirstCopy, OneRelayOfEachFailureDomainReadsTheStoreInFull) {
  constexpr uint64_t kFailureDomains = 3;
  for (const size_t size : {250U, 1000U}) {
    MirrorFleet fleet(size, 1);
    FillStore(&fleet);
    fleet.Start();
    const uint64_t before = fleet.store.bytes_listed;
    for (int i = 0; i < 60; ++i) {
      fleet.store.Put("key-" + std::to_string(i), "changed");
      fleet.RunFor(milliseconds(1000));
    }
    // Full reads 30 s apart.
    EXPECT_LE((fleet.store.bytes_listed - before) / kCopyBytes,
              kFailureDomains * 2)
        << size;
    EXPECT_EQ(fleet.CountStale(), 0U) << size;
  }
}

// Guards against the same when only a part of the fleet loses power: the others
// have copies to give.
TEST(FirstCopy, InstancesThatReturnCopyFromThoseThatStayed) {
  MirrorFleet fleet(500, 1);
  FillStore(&fleet);
  fleet.Start();
  fleet.store.shared_bytes_per_ms = kStoreBytesPerMs;
  const uint64_t before = fleet.store.bytes_listed;
  fleet.RestartAtOnce([](size_t index) { return index % 2 == 0; });
  EXPECT_LT(fleet.TimeUntilConverged(kRecoveryBound), milliseconds(3000));
  EXPECT_LT((fleet.store.bytes_listed - before) / kCopyBytes,
            500 / kInstancesPerRelay);
  ExpectSoundCopies(&fleet);
}

// Guards against an instance that takes an outdated copy from one that the
// store does not answer.
TEST(FirstCopy, AnOutdatedCopyIsNotUsed) {
  MirrorFleet fleet(60, 1);
  FillStore(&fleet);
  fleet.Start();
  // Only the restarted instance reaches the store.
  const std::string restarted = "instance-7";
  for (const auto& each : fleet.all) {
    if (each->name() != restarted) {
      fleet.store.unresponsive_to.insert(each->name());
    }
  }
  fleet.RunFor(milliseconds(8000));
  fleet.store.Put("key-0", "changed meanwhile");
  fleet.RestartAtOnce([&fleet, &restarted](size_t index) {
    return fleet.all[index]->name() == restarted;
  });
  fleet.RunFor(milliseconds(6000));
  EXPECT_TRUE(fleet.Find(restarted)->entries() == fleet.store.keys());
}

// Guards against a start that waits for instances that are gone for good.
TEST(FirstCopy, ListsTheStoreWhenNobodyHasACopy) {
  MirrorFleet fleet(60, 1);
  FillStore(&fleet);
  fleet.Start();
  for (const auto& each : fleet.all) {
    if (each->name() != "instance-7") each->Kill();
  }
  fleet.RestartAtOnce([](size_t /*index*/) { return true; });
  EXPECT_LT(fleet.TimeUntilConverged(kRecoveryBound), milliseconds(3000));
}

// Guards against instances that give up while the store is down, and against a
// listing for each of them when it returns.
TEST(FirstCopy, WaitsForAStoreThatIsDown) {
  MirrorFleet fleet(250, 1);
  FillStore(&fleet);
  fleet.Start();
  fleet.store.shared_bytes_per_ms = kStoreBytesPerMs;
  fleet.store.down = true;
  fleet.RestartAtOnce([](size_t /*index*/) { return true; });
  fleet.RunFor(milliseconds(5000));
  fleet.store.down = false;
  const uint64_t before = fleet.store.bytes_listed;
  EXPECT_LT(fleet.TimeUntilConverged(kRecoveryBound), milliseconds(4000));
  EXPECT_LT((fleet.store.bytes_listed - before) / kCopyBytes,
            250 / kInstancesPerRelay * 3 / 2);
}

}  // namespace
}  // namespace ryefold::testsuite
