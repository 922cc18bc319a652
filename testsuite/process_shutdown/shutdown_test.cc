// Stops of real daemons under callers that use their connections until the
// process is gone.

#include <gtest/gtest.h>
#include <stdlib.h>

#include <chrono>
#include <string>

#include "testsuite/process_shutdown/planned_work.h"

namespace ryefold::testsuite {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kFirstSeed = 20261204;
/// Default for CI; RYEFOLD_RUNS overrides it, RYEFOLD_SEED the first seed and
/// RYEFOLD_INSTANCES the number of daemons.
constexpr uint64_t kRuns = 3;
constexpr int kStopsInARow = 4;

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Stops the only instance several times, each time at another moment.
void StopInARow(PlannedWork* work) {
  for (int i = 0; i < kStopsInARow; ++i) {
    work->RunFor(milliseconds(300 + 37 * i));
    work->Terminate(0);
    work->AwaitStops();
  }
  work->FinishAndCheck();
}

// Guards against cutting off statements of sessions that are never idle.
TEST(Shutdown, AnswersSessionsThatNeverRest) {
  PlannedWork work({.seed = 1});
  ASSERT_NO_FATAL_FAILURE(work.Start());
  work.AddCallers(12, {});
  StopInARow(&work);
}

// Guards against cutting off statements of sessions that start during a drain.
TEST(Shutdown, AnswersSessionsThatStartWhileItStops) {
  PlannedWork work({.seed = 2});
  ASSERT_NO_FATAL_FAILURE(work.Start());
  work.AddCallers(12, {.one_operation = true});
  StopInARow(&work);
}

// Guards against serving a session that starts after the last one has ended.
TEST(Shutdown, AnswersTheFewSessionsThatStartAtItsEnd) {
  PlannedWork work({.seed = 7});
  ASSERT_NO_FATAL_FAILURE(work.Start());
  work.AddCallers(2, {.pause = milliseconds(10), .one_operation = true});
  StopInARow(&work);
}

// Guards against losing statements that were under way when a session ended.
TEST(Shutdown, AnswersStatementsThatCrossTheEndOfTheirSession) {
  PlannedWork work({.seed = 3, .latency = milliseconds(30)});
  ASSERT_NO_FATAL_FAILURE(work.Start());
  work.AddCallers(60, {.pause = milliseconds(250)});
  StopInARow(&work);
}

// Guards against dropping statements that were pipelined behind another.
TEST(Shutdown, AnswersPipelinedStatements) {
  PlannedWork work({.seed = 4});
  ASSERT_NO_FATAL_FAILURE(work.Start());
  work.AddCallers(12, {.pipelined = 5, .transactions = 0});
  StopInARow(&work);
}

// Guards against cutting off callers that use a session until it is closed.
TEST(Shutdown, AnswersCallersThatIgnoreTheEndOfTheirSession) {
  PlannedWork work({.seed = 5});
  ASSERT_NO_FATAL_FAILURE(work.Start());
  work.AddCallers(12,
                  {.pause = milliseconds(5), .on_notice = OnNotice::kIgnore});
  StopInARow(&work);
}

// Guards against cutting off statements that another instance forwarded.
TEST(Shutdown, AnswersForwardedStatementsWhenAKeeperStops) {
  PlannedWork work({.seed = 6, .instances = 6, .max_connections = 6});
  ASSERT_NO_FATAL_FAILURE(work.Start());
  work.AddCallers(24, {});
  work.RunFor(milliseconds(500));
  for (size_t i = 0; i < 6; ++i) {
    work.Terminate(i);
    work.RunFor(milliseconds(1200));
  }
  work.FinishAndCheck();
}

// Guards against denying commits whose answers a stopping instance has not got.
TEST(Shutdown, DeniesNoCommitWhoseAnswerIsLost) {
  PlannedWork work({.seed = 8, .lose_commits_one_in = 2});
  ASSERT_NO_FATAL_FAILURE(work.Start());
  work.AddCallers(12, {.transactions = 100});
  StopInARow(&work);
}

// The same for commits that another instance forwarded to a stopping keeper,
// and beside reloads.
TEST(Shutdown, DeniesNoForwardedCommitWhoseAnswerIsLost) {
  PlannedWork work({.seed = 9,
                    .instances = 6,
                    .max_connections = 6,
                    .lose_commits_one_in = 2});
  ASSERT_NO_FATAL_FAILURE(work.Start());
  work.AddCallers(24, {.transactions = 100});
  work.RunFor(milliseconds(500));
  for (size_t i = 0; i < 6; ++i) {
    work.Terminate(i);
    work.Reload((i + 1) % 6);
    work.RunFor(milliseconds(900));
  }
  work.FinishAndCheck();
}

// Guards against cutting off statements when stops and changes overlap.
TEST(Shutdown, AnswersEveryStatementDuringPlannedWork) {
  const uint64_t first = FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  const uint64_t runs = FromEnvironment("RYEFOLD_RUNS", kRuns);
  for (uint64_t seed = first; seed < first + runs; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const bool keepers = seed % 3 == 0;
    PlannedWork work(
        {.seed = seed,
         .instances = FromEnvironment("RYEFOLD_INSTANCES", 2 + seed % 5),
         .max_connections = keepers ? 6U : 21U,
         .grace = seconds(2 + static_cast<int64_t>(seed % 2)),
         .latency = milliseconds(seed % 4 * 5)});
    ASSERT_NO_FATAL_FAILURE(work.Start());
    work.AddCallers(8, {});
    work.AddCallers(8, {.pause = milliseconds(200)});
    work.AddCallers(4, {.one_operation = true});
    work.AddCallers(4, {.pipelined = 4, .transactions = 10});
    work.AddCallers(
        4, {.pause = milliseconds(20), .on_notice = OnNotice::kIgnore});
    for (int i = 0; i < 16; ++i) {
      work.RunFor(milliseconds(100 + work.RandomBelow(700)));
      work.DoRandomWork();
    }
    work.FinishAndCheck();
  }
}

}  // namespace
}  // namespace ryefold::testsuite
