#pragma once

// What random tests of several instances share: the first seed, sizes of
// fleets, faults of databases, instances and the network, and the steps of a
// run.

#include <cstdint>
#include <set>
#include <string>

#include "testsuite/support/random/seeds.h"
#include "testsuite/support/session/checked_callers.h"

namespace ryefold::testsuite {

/// First seed of the random tests in CI.
inline constexpr uint64_t kFirstSeed = 20261202;
/// Number of callers that saturates two instances with two connections to each
/// database.
inline constexpr uint32_t kCallers = 12;

inline const char* RandomDatabaseId(CheckedCallers* callers) {
  const char* ids[] = {"db-a", "db-b", "db-c"};
  return ids[callers->random()() % 3];
}

/// Returns whether the third database, neither candidate nor primary, would
/// receive the candidate's promotion. Otherwise the primary and the third
/// database could continue in the old term, and both sides would confirm
/// commits.
inline bool ReachesThird(FakeCluster* cluster, const std::string& candidate) {
  const std::set<std::string>& cut =
      cluster->database(candidate).partitioned_from;
  const std::string primary = cluster->primary();
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    if (id == primary || id == candidate) continue;
    const FakeDatabase& third = cluster->database(id);
    const bool leads = third.primary;
    if (!third.up || third.detached || leads || cut.count(id) > 0) return false;
  }
  return true;
}

inline void PromoteAnother(CheckedCallers* callers) {
  FakeCluster& cluster = callers->cluster();
  const std::string old = cluster.primary();
  const std::string next = RandomDatabaseId(callers);
  if (next == old || !cluster.database(next).up) return;
  if (cluster.replaced_stay_active() && !ReachesThird(&cluster, next)) return;
  cluster.Promote(next);
  // Half of the time the roster shows the promotion after 300 ms, otherwise
  // only when a later fault publishes it.
  if (callers->random()() % 2 == 0) {
    callers->clock().After(milliseconds(300),
                           [callers] { callers->PublishRoster(); });
  }
}

inline void CrashRandomDatabase(CheckedCallers* callers) {
  const std::string id = RandomDatabaseId(callers);
  FakeCluster& cluster = callers->cluster();
  cluster.Crash(id);
  for (size_t i = 0; i < callers->hosts(); ++i) {
    callers->host(i).BreakConnections();
  }
  if (id == cluster.primary()) {
    callers->clock().After(milliseconds(800), [callers, id] {
      const std::string next = id == "db-a" ? "db-b" : "db-a";
      if (!callers->cluster().database(next).up) return;
      const bool active = callers->cluster().replaced_stay_active();
      if (active && !ReachesThird(&callers->cluster(), next)) return;
      callers->cluster().Promote(next);
      callers->PublishRoster();
    });
  }
  callers->clock().After(milliseconds(1500),
                         [callers, id] { callers->cluster().Restart(id); });
}

/// Injects one random fault of a database, an instance or the network.
inline void InjectFault(CheckedCallers* callers) {
  FakeCluster& cluster = callers->cluster();
  const size_t host = callers->random()() % callers->hosts();
  switch (callers->random()() % 11) {
    case 0:
      PromoteAnother(callers);
      break;
    case 1:
      CrashRandomDatabase(callers);
      break;
    case 2:
      cluster.database(RandomDatabaseId(callers)).lag = milliseconds(2200);
      break;
    case 3:
      cluster.database(RandomDatabaseId(callers)).detached = true;
      break;
    case 4:
      cluster.database(RandomDatabaseId(callers)).lose_one_in = 15;
      break;
    case 5:
      callers->host(host).BreakConnections();
      break;
    case 6:
      callers->host(host).StallConnections();
      break;
    case 7:
      callers->RestartHost(host);
      break;
    case 10:
      callers->host(host).PartitionFrom(RandomDatabaseId(callers));
      break;
    case 8:
      callers->fleet().lose_one_in = 20;
      break;
    default:
      cluster.database(RandomDatabaseId(callers)).extra_latency =
          milliseconds(150);
      break;
  }
}

inline void ClearFaults(CheckedCallers* callers) {
  for (FakeCluster* cluster : callers->clusters()) {
    for (const std::string& id : cluster->ids()) {
      FakeDatabase& database = cluster->database(id);
      database.lag = milliseconds(20);
      database.detached = false;
      database.lose_one_in = 0;
      database.lose_commits_one_in = 0;
      database.fail_one_in = 0;
      database.extra_latency = milliseconds(0);
    }
  }
  callers->fleet().lose_one_in = 0;
  callers->cluster().HealPartitions();
  for (size_t i = 0; i < callers->hosts(); ++i) callers->host(i).Reconnect();
}

/// Odd seeds use five instances of which three hold database connections, so
/// that the other instances forward their callers' statements.
inline CheckedCallers::FleetSize FleetSizeForSeed(uint64_t seed) {
  if (seed % 2 == 0) return {kCallers, 2, 21};
  return {kCallers, 5, 5};
}

/// Steps of one random run. Each step waits for `least_ms` plus a random time
/// below `spread_ms`, then injects a fault.
struct Steps {
  int count = 8;
  uint64_t least_ms = 200;
  uint64_t spread_ms = 900;
  void (*fault)(CheckedCallers*) = nullptr;
};

/// Runs the steps, clears all faults and checks the final state.
inline void RunSteps(CheckedCallers* callers, const Steps& steps) {
  for (int step = 0; step < steps.count; ++step) {
    callers->Run(
        milliseconds(steps.least_ms + callers->random()() % steps.spread_ms));
    steps.fault(callers);
    if (callers->random()() % 3 == 0) ClearFaults(callers);
  }
  ClearFaults(callers);
  callers->StopNewWork();
  callers->Run(milliseconds(6000));
  callers->CheckFinalState();
}

/// What the callers of several runs got together.
struct SeedsResult {
  CheckedCallers::Tally tally;
  uint64_t lost_commits = 0;
};

/// Runs the steps with each of `runs` seeds, from that in RYEFOLD_SEED on,
/// until one fails, and adds up the counts.
inline SeedsResult RunSeeds(uint64_t runs, const Steps& steps,
                            bool two_groups = false) {
  const uint64_t first = FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  SeedsResult sum;
  for (uint64_t seed = first; seed < first + runs; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    CheckedCallers::FleetSize size = FleetSizeForSeed(seed);
    size.two_groups = two_groups;
    CheckedCallers callers(seed, size);
    RunSteps(&callers, steps);
    const CheckedCallers::Tally& tally = callers.tally();
    sum.tally.done += tally.done;
    sum.tally.refused += tally.refused;
    sum.tally.in_doubt += tally.in_doubt;
    sum.tally.acknowledged_writes += tally.acknowledged_writes;
    sum.lost_commits += callers.cluster().lost_commits();
    if (testing::Test::HasFailure()) break;
  }
  return sum;
}

}  // namespace ryefold::testsuite
