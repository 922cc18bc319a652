#pragma once

// Restarts of instances under usual demand, and what callers of workspaces
// below their limits are refused.

#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "testsuite/support/limits/limit_fleet.h"

namespace ryefold::testsuite {

inline constexpr uint64_t kFirstSeed = 20261203;
inline constexpr double kLargeRate = 160;
inline constexpr double kSmallRate = 5;
/// Usual demand of a workspace as a fraction of its limit.
inline constexpr double kUsualLoad = 1 / 1.6;

inline void SetUpLimits(LimitFleet* fleet) {
  fleet->SetLimit("large", kLargeRate, kLargeRate);
  fleet->SetLimit("medium", 20, 20);
  fleet->SetLimit("small", kSmallRate, kSmallRate);
  fleet->Run(milliseconds(14000));
}

inline void SetUsualDemand(LimitFleet* fleet, double factor) {
  fleet->SetDemand("large", kLargeRate * kUsualLoad * factor);
  fleet->SetDemand("medium", 20 * kUsualLoad * factor);
  fleet->SetDemand("small", kSmallRate * kUsualLoad * factor);
}

enum class Restarted : uint8_t { kAll, kHalf, kOneOwner };

inline void KillAndRestart(LimitFleet* fleet, Restarted restarted) {
  std::vector<LimitNode*> nodes;
  if (restarted == Restarted::kOneOwner) {
    const size_t shard = core::limits::ShardOf("medium", 0);
    nodes.push_back(fleet->Find(fleet->store.table->shards[shard].owner));
  } else {
    const size_t step = restarted == Restarted::kAll ? 1 : 2;
    for (size_t i = 0; i < fleet->size(); i += step) {
      nodes.push_back(fleet->node(i));
    }
  }
  for (LimitNode* node : nodes) node->Kill();
  fleet->Run(milliseconds(1000));
  for (LimitNode* node : nodes) node->Start();
}

/// Operations of a workspace in the 4 s after a restart, over all seeds.
struct RestartTally {
  uint64_t asked = 0;
  /// Refused within 0.5 s, and later.
  uint64_t refused_early = 0;
  uint64_t refused_late = 0;
  /// Refused later than 0.5 s by a single perfect limiter.
  uint64_t perfect_late = 0;
};
using RestartTallies = std::map<std::string, RestartTally>;

inline RestartTallies RunRestarts(Restarted restarted, uint32_t instances,
                                  bool restart_allowance) {
  constexpr milliseconds kEarly(500);
  constexpr uint64_t kSeeds = 12;
  RestartTallies tallies;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    LimitFleet fleet(kFirstSeed + seed, instances, InjectedBug::kNone,
                     {.restart_allowance = restart_allowance});
    SetUpLimits(&fleet);
    SetUsualDemand(&fleet, 1);
    fleet.Run(milliseconds(3000));
    KillAndRestart(&fleet, restarted);
    const TimePoint start = fleet.clock.now();
    fleet.ResetTally();
    fleet.Run(kEarly);
    for (const char* each : {"large", "medium", "small"}) {
      tallies[each].refused_early += fleet.tally(each).refused;
    }
    fleet.Run(milliseconds(3500));
    for (const char* each : {"large", "medium", "small"}) {
      tallies[each].asked += fleet.tally(each).asked;
      tallies[each].refused_late += fleet.tally(each).refused;
      tallies[each].perfect_late +=
          fleet.PerfectLimiterRefusals(each, start, start + kEarly);
    }
  }
  for (auto& [workspace, tally] : tallies) {
    tally.refused_late -= tally.refused_early;
    std::cout << workspace << ": asked " << tally.asked << ", refused "
              << tally.refused_early << " early, " << tally.refused_late
              << " late, by a perfect limiter " << tally.perfect_late
              << " late\n";
  }
  return tallies;
}

inline uint64_t SumRefused(const RestartTallies& tallies) {
  uint64_t sum = 0;
  for (const auto& [workspace, tally] : tallies) {
    sum += tally.refused_early + tally.refused_late;
  }
  return sum;
}

}  // namespace ryefold::testsuite
