// Demand-weighted shares in a group that has lost a third of its capacity, as
// when both replicas lag too far for any read, with two workspaces of one
// priority: one with many callers, one with few.

#include "ryefold/core/admission/usual_demand.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "testsuite/support/admission/overload.h"

namespace ryefold::core::admission {
namespace {

using std::chrono::milliseconds;
using testing_support::LoadOf;
using testing_support::OverloadSimulation;
using testing_support::Scenario;
using testing_support::Tally;

constexpr double kManyPerSecond = 100;
constexpr double kFewPerSecond = 20;

TimePoint At(milliseconds span) {
  return TimePoint(std::chrono::hours(1)) + span;
}

/// Records arrivals at these rates from `from` to `until`.
void RecordArrivals(DemandEstimator* demand, milliseconds from,
                    milliseconds until, double many, double few) {
  for (milliseconds at = from; at < until; at += milliseconds(1)) {
    const auto due = [at](double rate) {
      const auto interval_ms = static_cast<int64_t>(1000 / rate);
      return at.count() % interval_ms == 0;
    };
    if (due(many)) demand->RecordArrival(At(at), "many");
    if (due(few)) demand->RecordArrival(At(at), "few");
  }
}

double ServedFraction(const Tally& tally) {
  return static_cast<double>(tally.served) /
         static_cast<double>(tally.served + tally.refused);
}

/// Returns the served fraction of both workspaces' requests at 1.5 times the
/// capacity under these weights.
std::pair<double, double> ServedFractions(uint32_t many, uint32_t few) {
  Scenario scenario;
  scenario.loads.push_back(LoadOf(scenario, "many", 1, many, 1.25));
  scenario.loads.push_back(LoadOf(scenario, "few", 1, few, 0.25));
  OverloadSimulation overloaded(scenario);
  overloaded.Run();
  return {ServedFraction(overloaded.tally("many")),
          ServedFraction(overloaded.tally("few"))};
}

// With equal shares no request of the small workspace is refused, but 40% of
// the large one's are. Both must be served at the same rate.
TEST(UsualDemandTest, CallersOfAllWorkspacesAreRefusedAlike) {
  const auto [many_before, few_before] = ServedFractions(1, 1);
  EXPECT_LT(many_before, 0.62);
  EXPECT_GT(few_before, 0.99);

  DemandEstimator demand;
  RecordArrivals(&demand, milliseconds(0), milliseconds(60000), kManyPerSecond,
                 kFewPerSecond);
  const TimePoint now = At(milliseconds(60000));
  const auto [many, few] =
      ServedFractions(demand.weight(now, "many"), demand.weight(now, "few"));
  EXPECT_NEAR(many, few, 0.08);
  EXPECT_GT(many, 0.62);
}

// One workspace sends ten times its usual rate for three seconds. It must not
// gain a larger share, or a faulty caller would cause refusals for the other
// workspace.
TEST(UsualDemandTest, AFloodWinsNoLargerShare) {
  DemandEstimator demand;
  RecordArrivals(&demand, milliseconds(0), milliseconds(60000), kManyPerSecond,
                 kFewPerSecond);
  const uint32_t before = demand.weight(At(milliseconds(60000)), "many");
  RecordArrivals(&demand, milliseconds(60000), milliseconds(63000),
                 kManyPerSecond, 10 * kFewPerSecond);
  const uint32_t after = demand.weight(At(milliseconds(63000)), "many");
  EXPECT_GT(after * 10, before * 8);
}

// A new workspace has no recorded demand. It must still get a share, or all its
// first requests would be refused while the group is short of capacity.
TEST(UsualDemandTest, ANewWorkspaceHasAShare) {
  DemandEstimator demand;
  RecordArrivals(&demand, milliseconds(0), milliseconds(60000), kManyPerSecond,
                 kFewPerSecond);
  const TimePoint now = At(milliseconds(60000));
  EXPECT_GE(demand.weight(now, "new") * 20, demand.weight(now, "many"));
}

}  // namespace
}  // namespace ryefold::core::admission
