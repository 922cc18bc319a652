// Random violations on a fleet of mirrors: store outages for all or some
// instances, suspended and killed instances, network partitions, compacted
// history and events that watches miss. The revision of a copy must never
// decrease, and all copies must equal the store some seconds after the
// violations have ended.

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "testsuite/support/mirror/fleet.h"
#include "testsuite/support/random/seeds.h"

namespace ryefold::testsuite {
namespace {

constexpr uint64_t kFirstSeed = 20261203;
constexpr uint64_t kSeeds = 200;
/// Within this time every instance does a full read: it is due after 30 s, and
/// is done once the pending watch has ended, 3 s later at most.
constexpr milliseconds kFullReadTime{55000};

class RandomRun {
 public:
  RandomRun(uint64_t seed, bool drops_watches)
      : random_(seed),
        fleet_(Pick(4, 40), seed),
        initial_writes_(Pick(0, 120)),
        drops_watches_(drops_watches) {}

  void Run() {
    for (uint64_t i = 0; i < initial_writes_; ++i) RandomWrite();
    fleet_.Start();
    for (int step = 0; step < 120; ++step) {
      Step();
      fleet_.RunFor(milliseconds(Pick(1, 600)));
    }
    EndFaults();
    RandomWrite();
    fleet_.RunFor(kFullReadTime);
    EXPECT_EQ(fleet_.CountStale(), 0U);
    for (const std::string& text : fleet_.violations) ADD_FAILURE() << text;
  }

 private:
  uint64_t Pick(uint64_t least, uint64_t most) {
    return std::uniform_int_distribution<uint64_t>(least, most)(random_);
  }
  std::string RandomInstance() {
    return fleet_.all[Pick(0, fleet_.all.size() - 1)]->name();
  }

  void RandomWrite() {
    const std::string key = "key-" + std::to_string(Pick(0, 150));
    if (Pick(0, 4) == 0) {
      fleet_.store.Delete(key);
      return;
    }
    // Large values are sent as differences.
    std::string value(Pick(0, 3) == 0 ? 3000 : 20, 'x');
    value += std::to_string(Pick(0, 1000000));
    fleet_.store.Put(key, value);
  }

  void Step() {
    if (drops_watches_ && Pick(0, 9) == 0) fleet_.store.DropWatches();
    switch (Pick(0, 15)) {
      case 0:
        fleet_.store.down = !fleet_.store.down;
        break;
      case 1:
        fleet_.store.unresponsive_to.insert(RandomInstance());
        break;
      case 2:
        fleet_.store.refused_instances.insert(RandomInstance());
        break;
      case 3:
        fleet_.store.unresponsive_to.clear();
        fleet_.store.refused_instances.clear();
        break;
      case 4:
        fleet_.Find(RandomInstance()) == nullptr ? RandomWrite()
                                                 : SuspendRandomInstance();
        break;
      case 5:
        Replace();
        break;
      case 6:
        fleet_.blocked_links.insert({RandomInstance(), RandomInstance()});
        break;
      case 7:
        fleet_.blocked_links.clear();
        break;
      case 8:
        fleet_.store.Compact();
        break;
      case 9:
        fleet_.store.skip_next_event = true;
        RandomWrite();
        break;
      default:
        RandomWrite();
        break;
    }
  }

  void SuspendRandomInstance() {
    MirrorInstance* instance = fleet_.Find(RandomInstance());
    if (instance != nullptr) instance->Suspend(milliseconds(Pick(100, 8000)));
  }

  void Replace() {
    MirrorInstance* instance = fleet_.Find(RandomInstance());
    if (instance == nullptr) return;
    instance->Kill();
    fleet_.Add("replacement-" + std::to_string(fleet_.all.size()));
    fleet_.UpdateMembers();
    fleet_.all.back()->Start();
  }

  void EndFaults() {
    fleet_.store.down = false;
    fleet_.store.unresponsive_to.clear();
    fleet_.store.refused_instances.clear();
    fleet_.blocked_links.clear();
  }

  std::mt19937_64 random_;
  MirrorFleet fleet_;
  uint64_t initial_writes_;
  /// The store drops pending watches at random.
  bool drops_watches_;
};

void RunSeeds(bool drops_watches) {
  const uint64_t first = FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  const uint64_t seeds = FromEnvironment("RYEFOLD_RUNS", kSeeds);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    RandomRun(seed, drops_watches).Run();
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
  }
}

TEST(MirrorRandom, ConvergesAndRevisionsNeverDecrease) {
  RunSeeds(/*drops_watches=*/false);
}

// The store also drops pending watches while their connections stay open.
TEST(MirrorRandom, ConvergesWhenWatchesAreDropped) {
  RunSeeds(/*drops_watches=*/true);
}

}  // namespace
}  // namespace ryefold::testsuite
