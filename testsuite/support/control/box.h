#pragma once

// One instance of a simulated fleet, and the options of a fleet.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ryefold/core/configuration/node.h"
#include "ryefold/core/membership/duties.h"
#include "ryefold/core/membership/roster.h"
#include "testsuite/support/control/platform.h"

namespace ryefold::testing::control {

namespace mem = core::membership;

struct FleetOptions {
  size_t instances = 8;
  size_t domains = 3;
  size_t regions = 1;
  size_t groups = 0;
  uint64_t seed = 1;
  cfg::NodeOptions node;
  /// Compares the documents in force with the platform's log after each change.
  bool check = true;
};

/// The components and simulation state of one instance.
struct FleetInstance {
  std::string name;
  std::unique_ptr<cfg::Node> node;
  std::unique_ptr<mem::Roster> roster;
  std::unique_ptr<mem::Duties> duties;
  bool alive = false;
  bool paused = false;
  /// Number of starts; events of an earlier start are dropped.
  uint64_t generation = 0;
  uint64_t incarnation = 0;
  TimePoint tick_at = TimePoint::max();
  std::vector<std::function<void()>> deferred;
  uint64_t last_revision = 0;
};

}  // namespace ryefold::testing::control
