#pragma once

// One instance of a control fleet, and what a fleet is made of.

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
  /// Compares what is in force with the platform's log at each change.
  bool check = true;
};

/// What one instance has said and done.
struct Box {
  std::string name;
  std::unique_ptr<cfg::Node> node;
  std::unique_ptr<mem::Roster> roster;
  std::unique_ptr<mem::Duties> duties;
  bool alive = false;
  bool frozen = false;
  /// Counts starts; what belongs to an earlier one is dropped.
  uint64_t generation = 0;
  uint64_t incarnation = 0;
  TimePoint tick_at = TimePoint::max();
  std::vector<std::function<void()>> deferred;
  uint64_t last_revision = 0;
};

}  // namespace ryefold::testing::control
