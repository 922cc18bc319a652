// Random operations through two instances, with faults drawn at random, while
// every promise is checked against what the databases ran.

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "testsuite/support/session/checked_callers.h"

namespace ryefold::testsuite {
namespace {

/// As many as two instances with two connections to a database each serve
/// without a queue, and as many as keep them busy.
constexpr uint32_t kCalmCallers = 4;
constexpr uint32_t kCallers = 12;
/// Runs of the test in CI; `make soak` raises it and draws the first seed.
constexpr uint64_t kRuns = 10000;
constexpr uint64_t kLosingRuns = 1000;
constexpr uint64_t kThreads = 4;
constexpr uint64_t kFirstSeed = 20261202;

uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

const char* Draw(CheckedCallers* callers) {
  const char* ids[] = {"db-a", "db-b", "db-c"};
  return ids[callers->random()() % 3];
}

void PromoteAnother(CheckedCallers* callers) {
  FakeCluster& cluster = callers->cluster();
  const std::string old = cluster.primary();
  const std::string next = Draw(callers);
  if (next == old || !cluster.database(next).up) return;
  cluster.Promote(next);
  // The list tells of it later, or not before the next fault.
  if (callers->random()() % 2 == 0) {
    callers->clock().After(milliseconds(300),
                           [callers] { callers->TellRoster(); });
  }
}

void CrashOne(CheckedCallers* callers) {
  const std::string id = Draw(callers);
  FakeCluster& cluster = callers->cluster();
  cluster.Crash(id);
  for (size_t i = 0; i < callers->hosts(); ++i) {
    callers->host(i).BreakConnections();
  }
  if (id == cluster.primary()) {
    callers->clock().After(milliseconds(800), [callers, id] {
      const std::string next = id == "db-a" ? "db-b" : "db-a";
      if (!callers->cluster().database(next).up) return;
      callers->cluster().Promote(next);
      callers->TellRoster();
    });
  }
  callers->clock().After(milliseconds(1500),
                         [callers, id] { callers->cluster().Restart(id); });
}

/// One fault out of those that the databases and the network know.
void Fault(CheckedCallers* callers) {
  FakeCluster& cluster = callers->cluster();
  const size_t host = callers->random()() % callers->hosts();
  switch (callers->random()() % 11) {
    case 0:
      PromoteAnother(callers);
      break;
    case 1:
      CrashOne(callers);
      break;
    case 2:
      cluster.database(Draw(callers)).lag = milliseconds(2200);
      break;
    case 3:
      cluster.database(Draw(callers)).deaf = true;
      break;
    case 4:
      cluster.database(Draw(callers)).lose_one_in = 15;
      break;
    case 5:
      callers->host(host).BreakConnections();
      break;
    case 6:
      callers->host(host).SilenceConnections();
      break;
    case 7:
      callers->RestartHost(host);
      break;
    case 10:
      callers->host(host).CutFrom(Draw(callers));
      break;
    case 8:
      callers->fleet().lose_one_in = 20;
      break;
    default:
      cluster.database(Draw(callers)).slow = milliseconds(150);
      break;
  }
}

void Heal(CheckedCallers* callers) {
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    FakeDatabase& database = callers->cluster().database(id);
    database.lag = milliseconds(20);
    database.deaf = false;
    database.lose_one_in = 0;
    database.slow = milliseconds(0);
  }
  callers->fleet().lose_one_in = 0;
  for (size_t i = 0; i < callers->hosts(); ++i) callers->host(i).Reconnect();
}

TEST(SessionRandom, KeepsEveryPromiseWithoutFaults) {
  CheckedCallers callers(kFirstSeed, {kCalmCallers, 2, 21});
  callers.Run(milliseconds(8000));
  callers.Stop();
  callers.Run(milliseconds(3000));
  callers.CheckAtEnd();
  EXPECT_GT(callers.tally().acknowledged_writes, 50U);
  EXPECT_EQ(callers.tally().refused, 0U);
  EXPECT_EQ(callers.tally().doubtful, 0U);
}

/// Every other seed plays five instances of which three hold connections, so
/// that the callers of the others have their statements forwarded.
CheckedCallers::Size SizeFor(uint64_t seed) {
  if (seed % 2 == 0) return {kCallers, 2, 21};
  return {kCallers, 5, 5};
}

/// Plays one seed and adds to `sum`.
void PlayFaults(uint64_t seed, CheckedCallers::Tally* sum) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  CheckedCallers callers(seed, SizeFor(seed));
  for (int step = 0; step < 8; ++step) {
    callers.Run(milliseconds(200 + callers.random()() % 900));
    Fault(&callers);
    if (callers.random()() % 3 == 0) Heal(&callers);
  }
  Heal(&callers);
  callers.Stop();
  callers.Run(milliseconds(6000));
  callers.CheckAtEnd();
  sum->done += callers.tally().done;
  sum->refused += callers.tally().refused;
  sum->acknowledged_writes += callers.tally().acknowledged_writes;
  if (callers.hosts() > 2) {
    EXPECT_GT(callers.fleet().forwarded, 50U);
  }
}

// Databases crash, lag, lose answers and are replaced, connections break or
// fall silent, several at once. Callers may be refused, but what they are told
// is true: nothing acknowledged is lost or doubled, nothing refused is kept,
// no read misses what its route promises, no answer is another caller's.
TEST(SessionRandom, KeepsEveryPromiseUnderFaults) {
  const uint64_t first = FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  const uint64_t runs = FromEnvironment("RYEFOLD_RUNS", kRuns);
  std::vector<CheckedCallers::Tally> sums(kThreads);
  std::vector<std::thread> threads;
  for (uint64_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([thread, first, runs, &sums] {
      for (uint64_t i = thread; i < runs && !testing::Test::HasFailure();
           i += kThreads) {
        PlayFaults(first + i, &sums[thread]);
      }
    });
  }
  CheckedCallers::Tally sum;
  for (uint64_t thread = 0; thread < kThreads; ++thread) {
    threads[thread].join();
    sum.done += sums[thread].done;
    sum.refused += sums[thread].refused;
    sum.acknowledged_writes += sums[thread].acknowledged_writes;
  }
  // A proxy that refused everything would keep every promise as well.
  EXPECT_GT(sum.done, 4 * sum.refused);
  EXPECT_GT(sum.acknowledged_writes, 20 * runs);
}

/// Names the successor that the coordinator would: the replica that has
/// received the most. Where that one is down a second failure decides what is
/// lost, and nothing is promised.
void PromoteMostAdvanced(CheckedCallers* callers) {
  FakeCluster& cluster = callers->cluster();
  const FakeDatabase* best = nullptr;
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    const FakeDatabase& database = cluster.database(id);
    if (database.primary) continue;
    if (best == nullptr || database.log.size() > best->log.size()) {
      best = &database;
    }
  }
  if (!best->up) return;
  cluster.Promote(best->id);
  callers->TellRoster();
}

/// A fault that leaves replicas behind, or the loss of the primary.
void LosingFault(CheckedCallers* callers) {
  FakeCluster& cluster = callers->cluster();
  const std::string primary = cluster.primary();
  switch (callers->random()() % 6) {
    case 0:
      cluster.Crash(primary);
      for (size_t i = 0; i < callers->hosts(); ++i) {
        callers->host(i).BreakConnections();
      }
      PromoteMostAdvanced(callers);
      cluster.Restart(primary);
      break;
    case 1:
      PromoteMostAdvanced(callers);
      break;
    case 2:
      for (const char* id : {"db-a", "db-b", "db-c"}) {
        cluster.database(id).deaf = true;
      }
      break;
    case 3:
      cluster.database(Draw(callers)).deaf = true;
      break;
    case 4:
      cluster.database(Draw(callers)).slow = milliseconds(150);
      break;
    default:
      cluster.database(Draw(callers)).lag = milliseconds(2200);
      break;
  }
}

// Replicas receive nothing for a while, one or all of them, and the primary is
// lost meanwhile or replaced. A caller who was told that a write is saved must
// find it in the log of the successor.
TEST(SessionRandom, LosesNoAcknowledgedCommitWithItsPrimary) {
  const uint64_t first = FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  const uint64_t runs = FromEnvironment("RYEFOLD_RUNS", kLosingRuns);
  uint32_t acknowledged = 0;
  for (uint64_t seed = first; seed < first + runs; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    CheckedCallers callers(seed, SizeFor(seed));
    for (int step = 0; step < 10; ++step) {
      callers.Run(milliseconds(100 + callers.random()() % 500));
      LosingFault(&callers);
      if (callers.random()() % 3 == 0) Heal(&callers);
    }
    Heal(&callers);
    callers.Stop();
    callers.Run(milliseconds(6000));
    callers.CheckAtEnd();
    for (const LogPosition& lost : callers.LostCommits()) {
      ADD_FAILURE() << "lost " << lost.term << "." << lost.index;
    }
    acknowledged += callers.tally().acknowledged_writes;
    ASSERT_FALSE(HasFailure());
  }
  // One that never acknowledged anything would lose nothing either.
  EXPECT_GT(acknowledged, 10 * runs);
}

}  // namespace
}  // namespace ryefold::testsuite
