#pragma once

// One random run of failures around the primary of a group, in virtual time.

#include <gtest/gtest.h>

#include <iterator>
#include <string>

#include "ryefold/core/event.h"
#include "testsuite/support/session/checked_callers.h"
#include "testsuite/support/session/failover_fleet.h"

namespace ryefold::testsuite {

inline constexpr uint32_t kRunCallers = 12;
inline constexpr int kFaultsPerRun = 9;
inline constexpr const char* kDatabases[] = {"db-a", "db-b", "db-c"};

/// Callers, their instances and the failover of one random run. Odd seeds use
/// five instances of which three hold database connections, so that the others
/// forward their callers' statements.
struct FailoverRun {
  explicit FailoverRun(uint64_t seed, milliseconds announcement_delay)
      : callers(seed, FleetSizeOf(seed)),
        failover(&callers, announcement_delay) {}

  static CheckedCallers::FleetSize FleetSizeOf(uint64_t seed) {
    if (seed % 2 == 0) return {kRunCallers, 2, 21};
    return {kRunCallers, 5, 5};
  }
  uint64_t Below(uint64_t limit) { return callers.random()() % limit; }
  milliseconds Duration(uint64_t least_ms, uint64_t most_ms) {
    return milliseconds(least_ms + Below(most_ms - least_ms));
  }
  std::string RandomReplica() {
    const std::string primary = callers.cluster().primary();
    std::string id;
    do {
      id = kDatabases[Below(3)];
    } while (id == primary);
    return id;
  }

  CheckedCallers callers;
  FailoverFleet failover;
};

/// Partitions the primary from the other databases and from none, some or all
/// instances.
inline void PartitionPrimary(FailoverRun* run) {
  FakeCluster& cluster = run->callers.cluster();
  const std::string primary = cluster.primary();
  for (const char* id : kDatabases) {
    if (id != primary) cluster.Partition(primary, id);
  }
  const uint64_t unreachable_from = run->Below(3);
  for (size_t i = 0; i < run->callers.hosts(); ++i) {
    const bool cut =
        unreachable_from == 2 || (unreachable_from == 1 && run->Below(2) == 0);
    if (cut) run->callers.host(i).PartitionFrom(primary);
  }
  run->callers.clock().After(run->Duration(600, 5000), [run] {
    run->callers.cluster().HealPartitions();
    for (size_t i = 0; i < run->callers.hosts(); ++i) {
      run->callers.host(i).Reconnect();
    }
  });
}

/// Makes a database unreachable from all instances.
inline void CutFromInstances(FailoverRun* run, const std::string& id) {
  for (size_t i = 0; i < run->callers.hosts(); ++i) {
    run->callers.host(i).PartitionFrom(id);
  }
  run->callers.clock().After(run->Duration(300, 2800), [run] {
    for (size_t i = 0; i < run->callers.hosts(); ++i) {
      run->callers.host(i).Reconnect();
    }
  });
}

inline void CrashPrimary(FailoverRun* run) {
  const std::string id = run->callers.cluster().primary();
  run->callers.cluster().Crash(id);
  for (size_t i = 0; i < run->callers.hosts(); ++i) {
    run->callers.host(i).BreakConnections();
  }
  run->callers.clock().After(run->Duration(1500, 4000),
                             [run, id] { run->callers.cluster().Restart(id); });
}

inline void DetachReplica(FailoverRun* run) {
  const std::string id = run->RandomReplica();
  run->callers.cluster().database(id).detached = true;
  run->callers.clock().After(run->Duration(300, 4000), [run, id] {
    run->callers.cluster().database(id).detached = false;
  });
}

/// A fault by its name in traces. `inject` gets a random instance.
struct FailoverFault {
  const char* name;
  void (*inject)(FailoverRun* run, size_t instance);
};

/// Faults of a run, equally likely; some stand twice.
inline constexpr FailoverFault kFailoverFaults[] = {
    {"primary_partitioned",
     [](FailoverRun* run, size_t /*instance*/) { PartitionPrimary(run); }},
    {"primary_partitioned",
     [](FailoverRun* run, size_t /*instance*/) { PartitionPrimary(run); }},
    {"primary_unreachable",
     [](FailoverRun* run, size_t /*instance*/) {
       CutFromInstances(run, run->callers.cluster().primary());
     }},
    {"replica_unreachable",
     [](FailoverRun* run, size_t /*instance*/) {
       CutFromInstances(run, run->RandomReplica());
     }},
    {"primary_crashed",
     [](FailoverRun* run, size_t /*instance*/) { CrashPrimary(run); }},
    {"primary_crashed",
     [](FailoverRun* run, size_t /*instance*/) { CrashPrimary(run); }},
    {"replica_detached",
     [](FailoverRun* run, size_t /*instance*/) { DetachReplica(run); }},
    {"replica_detached",
     [](FailoverRun* run, size_t /*instance*/) { DetachReplica(run); }},
    {"database_slow",
     [](FailoverRun* run, size_t /*instance*/) {
       const char* id = kDatabases[run->Below(3)];
       run->callers.cluster().database(id).extra_latency = milliseconds(80);
     }},
    {"duty_moved",
     [](FailoverRun* run, size_t /*instance*/) {
       run->failover.MoveDuty(run->Duration(0, 1500));
     }},
    {"connections_stalled",
     [](FailoverRun* run, size_t instance) {
       run->callers.host(instance).StallConnections();
     }},
    {"instance_restarted",
     [](FailoverRun* run, size_t instance) {
       run->failover.RestartInstance(instance);
     }},
};

/// Injects one random fault of a database, an instance or the network.
inline void InjectFailoverFault(FailoverRun* run) {
  const std::string primary = run->callers.cluster().primary();
  if (primary.empty()) return;
  const size_t instance = run->Below(run->callers.hosts());
  const FailoverFault& fault =
      kFailoverFaults[run->Below(std::size(kFailoverFaults))];
  core::Event(run->failover.trace(), core::EventPriority::kState, "fault")
      .Add("kind", fault.name)
      .Add("primary", primary)
      .Add("instance", instance);
  fault.inject(run, instance);
}

inline void ClearFailoverFaults(FailoverRun* run) {
  for (const char* id : kDatabases) {
    FakeDatabase& database = run->callers.cluster().database(id);
    database.detached = false;
    database.extra_latency = milliseconds(0);
    database.up = true;
  }
  run->callers.cluster().HealPartitions();
  for (size_t i = 0; i < run->callers.hosts(); ++i) {
    run->callers.host(i).Reconnect();
  }
}

/// Counts of the runs of one thread.
struct FailoverSum {
  uint32_t acknowledged_writes = 0;
  size_t promotions = 0;
};

/// Runs one seed and adds its counts to `sum`.
inline void RunFailoverSeed(uint64_t seed, bool stay_active, FailoverSum* sum,
                            milliseconds announcement_delay = milliseconds(5)) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  FailoverRun run(seed, announcement_delay);
  if (stay_active) run.callers.cluster().KeepReplacedActive();
  for (int i = 0; i < kFaultsPerRun; ++i) {
    run.callers.Run(run.Duration(100, 1500));
    InjectFailoverFault(&run);
  }
  run.callers.Run(milliseconds(1000));
  ClearFailoverFaults(&run);
  run.callers.StopNewWork();
  run.callers.Run(milliseconds(6000));
  run.callers.CheckFinalState();
  for (const LogPosition& lost : run.callers.LostCommits()) {
    ADD_FAILURE() << "lost acknowledged commit " << lost.term << "."
                  << lost.index;
  }
  sum->acknowledged_writes += run.callers.tally().acknowledged_writes;
  sum->promotions += run.failover.promotions();
}

}  // namespace ryefold::testsuite
