// Upper bounds on the cost of configuration and membership traffic in virtual
// time. Messages and bytes per instance and store calls of the fleet must not
// grow with its size. docs/CAPACITY.md lists the measurements of bench_control
// beside each bound.

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "testsuite/support/control/changes.h"
#include "testsuite/support/control/fleet.h"
#include "testsuite/support/control/meter.h"

namespace ryefold::testing::control {
namespace {

struct Cost {
  double messages = 0;
  double bytes = 0;
  double store_calls = 0;
};

class Bounds : public ::testing::Test {
 protected:
  void StartFleet(size_t instances) {
    const FleetOptions options = TargetProportions(instances);
    fleet_ = std::make_unique<Fleet>(options);
    fleet_->SetGroups(GroupNames(options.groups));
    ASSERT_TRUE(fleet_->RunUntil([this] { return fleet_->AllReady(); }, 10s));
    fleet_->Run(10s);
  }
  Cost MeasureSteadyState(size_t instances) {
    StartFleet(instances);
    Meter meter(fleet_.get());
    fleet_->Run(60s);
    return {meter.messages(), meter.bytes(), meter.store_calls()};
  }
  void PublishChange(size_t i) {
    const std::string name = std::to_string(next_++);
    fleet_->Publish(
        i, ChangeOf(name, "workspace/" + name, 0, std::string(300, 'x')), 30s);
  }
  /// Returns the time until `revision` is in force on all instances.
  milliseconds TimeUntilInForce(uint64_t revision) {
    const TimePoint begin = fleet_->now();
    EXPECT_TRUE(fleet_->RunUntil(
        [&] {
          return fleet_->platform.log().size() >= revision &&
                 fleet_->InForceEverywhere(revision);
        },
        60s));
    return std::chrono::duration_cast<milliseconds>(fleet_->now() - begin);
  }

  std::unique_ptr<Fleet> fleet_;
  size_t next_ = 0;
};

TEST_F(Bounds, SteadyTrafficStaysFlatAsTheFleetGrows) {
  const Cost small = MeasureSteadyState(8);
  for (const size_t instances : {32U, 128U}) {
    const Cost cost = MeasureSteadyState(instances);
    EXPECT_LE(cost.messages, 6.5) << instances;
    EXPECT_LE(cost.bytes, 850) << instances;
    EXPECT_LE(cost.messages, 1.25 * small.messages) << instances;
    EXPECT_LE(cost.bytes, 1.25 * small.bytes) << instances;
    EXPECT_LE(cost.store_calls, 2.5) << instances;
    EXPECT_LE(cost.store_calls, 1.2 * small.store_calls) << instances;
  }
}

TEST_F(Bounds, AChangeIsInForceWithinTwoSeconds) {
  for (const size_t instances : {8U, 128U}) {
    StartFleet(instances);
    for (uint64_t i = 1; i <= 10; ++i) {
      PublishChange(i % instances);
      EXPECT_LE(TimeUntilInForce(i), 2s) << instances;
    }
  }
}

TEST_F(Bounds, ABurstOfAHundredChangesThroughOneInstance) {
  StartFleet(128);
  Meter meter(fleet_.get());
  for (int i = 0; i < 100; ++i) {
    fleet_->After(milliseconds(10 * i), [this] { PublishChange(1); });
  }
  EXPECT_LE(TimeUntilInForce(100), 2s);
  EXPECT_LE(meter.bytes() * meter.seconds(), 150000);
  EXPECT_LE(meter.store_calls() * meter.seconds(), 500);
}

// A hundred operators publish within a second, each through a different
// instance. The instances compete for the next revision, and the load on the
// store must stay bounded.
TEST_F(Bounds, ABurstOfAHundredChangesThroughManyInstances) {
  StartFleet(128);
  Meter meter(fleet_.get());
  for (int i = 0; i < 100; ++i) {
    fleet_->After(milliseconds(10 * i),
                  [this, i] { PublishChange(i * 13 % 128); });
  }
  EXPECT_LE(TimeUntilInForce(100), 9s);
  EXPECT_LE(meter.store_calls(), 1000);
}

}  // namespace
}  // namespace ryefold::testing::control
