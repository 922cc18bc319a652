// Random faults on a fleet that keeps copies of the store: outages for all and
// for some, suspended and killed instances, cuts between them, lost history,
// events that no watch brings. No copy may ever go back, and some seconds after
// the faults have ended all are the store's.

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "testsuite/support/mirror/fleet.h"
#include "testsuite/support/random/seeds.h"

namespace ryefold::testsuite {
namespace {

constexpr uint64_t kFirstSeed = 20261203;
constexpr uint64_t kSeeds = 200;
/// Within this time everything is read anew at least once: it is due after half
/// a minute, and then when the watch that waits has ended, 3 s later at most.
constexpr milliseconds kAllRead{55000};

class RandomRun {
 public:
  RandomRun(uint64_t seed, bool loses_watches)
      : random_(seed),
        fleet_(Pick(4, 40), seed),
        fills_(Pick(0, 120)),
        loses_watches_(loses_watches) {}

  void Run() {
    for (uint64_t i = 0; i < fills_; ++i) Write();
    fleet_.Start();
    for (int step = 0; step < 120; ++step) {
      Step();
      fleet_.RunFor(milliseconds(Pick(1, 600)));
    }
    Heal();
    Write();
    fleet_.RunFor(kAllRead);
    EXPECT_EQ(fleet_.Behind(), 0U);
    for (const std::string& fault : fleet_.faults) ADD_FAILURE() << fault;
  }

 private:
  uint64_t Pick(uint64_t least, uint64_t most) {
    return std::uniform_int_distribution<uint64_t>(least, most)(random_);
  }
  std::string Someone() {
    return fleet_.all[Pick(0, fleet_.all.size() - 1)]->name();
  }

  void Write() {
    const std::string key = "key-" + std::to_string(Pick(0, 150));
    if (Pick(0, 4) == 0) {
      fleet_.store.Delete(key);
      return;
    }
    // Large values travel as differences.
    std::string value(Pick(0, 3) == 0 ? 3000 : 20, 'x');
    value += std::to_string(Pick(0, 1000000));
    fleet_.store.Put(key, value);
  }

  void Step() {
    if (loses_watches_ && Pick(0, 9) == 0) fleet_.store.LoseWatches();
    switch (Pick(0, 15)) {
      case 0:
        fleet_.store.down = !fleet_.store.down;
        break;
      case 1:
        fleet_.store.silent_to.insert(Someone());
        break;
      case 2:
        fleet_.store.refuses.insert(Someone());
        break;
      case 3:
        fleet_.store.silent_to.clear();
        fleet_.store.refuses.clear();
        break;
      case 4:
        fleet_.Find(Someone()) == nullptr ? Write() : FreezeSomeone();
        break;
      case 5:
        Replace();
        break;
      case 6:
        fleet_.cut.insert({Someone(), Someone()});
        break;
      case 7:
        fleet_.cut.clear();
        break;
      case 8:
        fleet_.store.Compact();
        break;
      case 9:
        fleet_.store.skip_next_event = true;
        Write();
        break;
      default:
        Write();
        break;
    }
  }

  void FreezeSomeone() {
    MirrorInstance* instance = fleet_.Find(Someone());
    if (instance != nullptr) instance->Freeze(milliseconds(Pick(100, 8000)));
  }

  void Replace() {
    MirrorInstance* instance = fleet_.Find(Someone());
    if (instance == nullptr) return;
    instance->Kill();
    fleet_.Add("replacement-" + std::to_string(fleet_.all.size()));
    fleet_.TellMembers();
    fleet_.all.back()->Start();
  }

  void Heal() {
    fleet_.store.down = false;
    fleet_.store.silent_to.clear();
    fleet_.store.refuses.clear();
    fleet_.cut.clear();
  }

  std::mt19937_64 random_;
  MirrorFleet fleet_;
  uint64_t fills_;
  /// Now and then the store forgets the watches that wait.
  bool loses_watches_;
};

void PlaySeeds(bool loses_watches) {
  const uint64_t first = FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  const uint64_t seeds = FromEnvironment("RYEFOLD_RUNS", kSeeds);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    RandomRun(seed, loses_watches).Run();
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
  }
}

TEST(MirrorRandom, EndsWithTheStoresKeysAndNeverGoesBack) {
  PlaySeeds(/*loses_watches=*/false);
}

// The same where the store forgets watches that wait, without a sign on their
// connections.
TEST(MirrorRandom, EndsWithTheStoresKeysThoughWatchesAreForgotten) {
  PlaySeeds(/*loses_watches=*/true);
}

}  // namespace
}  // namespace ryefold::testsuite
