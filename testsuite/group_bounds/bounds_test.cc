// Regression bounds on the failover gap and on the share of reads served by
// replicas, in virtual time. `bench_failover` and `bench_replica_share` print
// the underlying figures.

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

constexpr milliseconds kNoBound{60000};
constexpr GapBound kGapBounds[] = {
    {"killed", Loss::kKilled, milliseconds(1200), milliseconds(2500)},
    {"cut off", Loss::kCutFromPeers, milliseconds(1200), milliseconds(2500)},
    {"frozen", Loss::kFrozen, kNoBound, milliseconds(4000)},
    {"silent", Loss::kUnreachable, kNoBound, milliseconds(4000)},
    {"killed with keeper", Loss::kKilledWithKeeper, kNoBound,
     milliseconds(4000)},
    {"frozen with keeper", Loss::kFrozenWithKeeper, kNoBound,
     milliseconds(4000)},
    {"planned", Loss::kPlanned, milliseconds(300), milliseconds(300)},
};

void ExpectGaps(const GroupShape& shape) {
  for (const GapBound& bound : kGapBounds) {
    const FailoverFigures figures =
        MeasureLoss(shape, bound.loss, kTrials, kSeed);
    EXPECT_LE(figures.median, bound.median) << bound.name;
    EXPECT_LE(figures.worst, bound.worst) << bound.name;
    EXPECT_EQ(figures.promotions, kTrials) << bound.name;
    EXPECT_TRUE(figures.errors.empty())
        << bound.name << ": " << figures.errors.front();
  }
}

TEST(FailoverGap, StaysWithinItsBoundsAtTamworth) { ExpectGaps(Tamworth()); }
TEST(FailoverGap, StaysWithinItsBoundsAtZendmast) { ExpectGaps(Zendmast()); }

// Ordinary replication lag must not extend a planned change beyond its bound.
TEST(FailoverGap, APlannedChangeWaitsForALaggingReplica) {
  GroupShape shape = Tamworth();
  shape.database.lag = milliseconds(50);
  const FailoverFigures figures =
      MeasureLoss(shape, Loss::kPlanned, kTrials, kSeed);
  EXPECT_LE(figures.worst, milliseconds(300));
  EXPECT_TRUE(figures.errors.empty()) << figures.errors.front();
}

// A promotion in a healthy group causes a gap without need.
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
      EXPECT_GE(figures.share_of_bound(), 0.9) << rate;
      EXPECT_EQ(figures.unanswered, 0u) << rate;
    }
  }
}

}  // namespace
}  // namespace ryefold::test
