// Regression bounds on the failover gap and on the share of reads that
// replicas serve, in virtual time. `bench_failover` and `bench_replica_share`
// print the figures behind them.

#include <gtest/gtest.h>

#include "testsuite/support/group/failover_trial.h"
#include "testsuite/support/group/share_trial.h"

namespace ryefold::test {
namespace {

constexpr uint64_t kSeed = 20261202;
constexpr size_t kTrials = 8;

struct GapBound {
  const char* name;
  Loss loss;
  milliseconds median;
  milliseconds worst;
};

constexpr milliseconds kAny{60000};
constexpr GapBound kGapBounds[] = {
    {"killed", Loss::kKilled, milliseconds(1200), milliseconds(2500)},
    {"cut off", Loss::kCutOff, milliseconds(1200), milliseconds(2500)},
    {"frozen", Loss::kFrozen, kAny, milliseconds(4000)},
    {"silent", Loss::kSilent, kAny, milliseconds(4000)},
    {"killed with keeper", Loss::kKilledWithKeeper, kAny, milliseconds(4000)},
    {"frozen with keeper", Loss::kFrozenWithKeeper, kAny, milliseconds(4000)},
    {"planned", Loss::kPlanned, milliseconds(300), milliseconds(300)},
};

void ExpectGaps(const GroupShape& shape) {
  for (const GapBound& bound : kGapBounds) {
    const FailoverFigures figures =
        MeasureLoss(shape, bound.loss, kTrials, kSeed);
    EXPECT_LE(figures.median, bound.median) << bound.name;
    EXPECT_LE(figures.worst, bound.worst) << bound.name;
    EXPECT_EQ(figures.promotions, kTrials) << bound.name;
    EXPECT_TRUE(figures.wrong.empty())
        << bound.name << ": " << figures.wrong.front();
  }
}

TEST(FailoverGap, StaysWithinItsBoundsAtTamworth) { ExpectGaps(Tamworth()); }
TEST(FailoverGap, StaysWithinItsBoundsAtZendmast) { ExpectGaps(Zendmast()); }

// Replicas that lag as they do on an ordinary day must not slow a planned
// change beyond its bound.
TEST(FailoverGap, APlannedChangeWaitsForALaggingReplica) {
  GroupShape shape = Tamworth();
  shape.database.lag = milliseconds(50);
  const FailoverFigures figures =
      MeasureLoss(shape, Loss::kPlanned, kTrials, kSeed);
  EXPECT_LE(figures.worst, milliseconds(300));
  EXPECT_TRUE(figures.wrong.empty()) << figures.wrong.front();
}

// A promotion of a healthy group costs its callers a gap for nothing.
TEST(FalsePromotions, NoneForStallsOrASlowNetwork) {
  for (const Traffic traffic : {Traffic::kSteady, Traffic::kRare}) {
    EXPECT_EQ(CountFalsePromotions(Tamworth(), std::chrono::seconds(3),
                                   Duration{0}, traffic, kTrials, kSeed),
              0u);
    EXPECT_EQ(CountFalsePromotions(Tamworth(), Duration{0}, milliseconds(500),
                                   traffic, kTrials, kSeed),
              0u);
    EXPECT_EQ(CountFalsePromotions(Zendmast(), Duration{0}, milliseconds(500),
                                   traffic, kTrials, kSeed),
              0u);
  }
}

TEST(ReplicaShare, ReachesNineTenthsOfWhatIsAllowed) {
  for (const GroupShape& shape : {Tamworth(), Zendmast()}) {
    for (const int rate : {50, 100, 500}) {
      ShareLoad load;
      load.rate = rate;
      ShareTrial trial(shape, load, kSeed);
      const ShareFigures figures = trial.Run(std::chrono::seconds(10));
      EXPECT_GE(figures.reached(), 0.9) << rate;
      EXPECT_EQ(figures.unanswered, 0u) << rate;
    }
  }
}

}  // namespace
}  // namespace ryefold::test
