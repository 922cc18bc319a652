// Random failures of primaries under coordinators that decide by what their own
// instance has observed. No acknowledged commit may be lost.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "testsuite/support/random/seeds.h"
#include "testsuite/support/session/failover_run.h"

namespace ryefold::testsuite {
namespace {

constexpr uint64_t kRuns = 1000;
constexpr uint64_t kLateRuns = 400;
constexpr std::chrono::milliseconds kLateAnnouncement{900};
constexpr uint64_t kThreads = 4;
constexpr uint64_t kFirstSeed = 20261203;

void RunSeeds(bool stay_active, uint64_t default_runs = kRuns,
              std::chrono::milliseconds announcement_delay =
                  std::chrono::milliseconds(5)) {
  const uint64_t first = FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  const uint64_t runs = FromEnvironment("RYEFOLD_RUNS", default_runs);
  std::vector<FailoverSum> sums(kThreads);
  std::vector<std::thread> threads;
  for (uint64_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back(
        [thread, first, runs, stay_active, announcement_delay, &sums] {
          for (uint64_t i = thread; i < runs; i += kThreads) {
            RunFailoverSeed(first + i, stay_active, &sums[thread],
                            announcement_delay);
          }
        });
  }
  FailoverSum sum;
  for (uint64_t thread = 0; thread < kThreads; ++thread) {
    threads[thread].join();
    sum.acknowledged_writes += sums[thread].acknowledged_writes;
    sum.promotions += sums[thread].promotions;
  }
  // A coordinator that never promotes would pass the other check.
  EXPECT_GT(sum.promotions, runs);
  EXPECT_GT(sum.acknowledged_writes, 20 * runs);
}

// Replaced primaries stop at once. Primaries crash or are cut off while
// replicas lag, and the coordinator promotes by statuses of different ages.
TEST(FailoverRandom, LosesNoAcknowledgedCommit) { RunSeeds(false); }

// The same while replaced primaries stay active in their own term.
TEST(FailoverRandom, LosesNoAcknowledgedCommitBesideReplacedPrimaries) {
  RunSeeds(true);
}

// Until instances hear of an order they acknowledge what any replica received.
TEST(FailoverRandom, LosesNoAcknowledgedCommitBeforeAnnouncementsArrive) {
  RunSeeds(false, kLateRuns, kLateAnnouncement);
}

}  // namespace
}  // namespace ryefold::testsuite
