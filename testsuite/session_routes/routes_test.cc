// Random operations through several instances while routes lead to another
// group and back. Every reply is checked against what the databases executed.

#include <gtest/gtest.h>

#include <iterator>
#include <string>

#include "testsuite/support/random/seeds.h"
#include "testsuite/support/session/checked_callers.h"
#include "testsuite/support/session/random_faults.h"

namespace ryefold::testsuite {
namespace {

/// Number of seeds in CI.
constexpr uint64_t kRuns = 500;
/// Lag of replicas, below the maximum staleness of the routes, 1.5 s, so that
/// only a session's own commits keep its reads from them.
constexpr milliseconds kLag{1200};

void DelayReplicas(CheckedCallers* callers) {
  for (FakeCluster* cluster : callers->clusters()) {
    for (const std::string& id : cluster->ids()) {
      if (id != cluster->primary()) cluster->database(id).lag = kLag;
    }
  }
}

/// Leads a route, mostly that of session reads, to the other group and after a
/// while back.
void LeadARouteAwayAndBack(CheckedCallers* callers) {
  const char* routes[] = {"session", "session", "primary", "bounded"};
  const std::string route = routes[callers->random()() % std::size(routes)];
  const milliseconds max_delay(1 + callers->random()() % 200);
  const milliseconds back_after(50 + callers->random()() % 600);
  callers->LeadRouteTo(route, "other", max_delay);
  callers->clock().After(back_after, [callers, route, max_delay] {
    callers->LeadRouteTo(route, "group", max_delay);
  });
}

void InjectRouteFault(CheckedCallers* callers) {
  switch (callers->random()() % 6) {
    case 0:
      InjectFault(callers);
      break;
    case 1:
      DelayReplicas(callers);
      break;
    default:
      LeadARouteAwayAndBack(callers);
      break;
  }
}

// Routes lead to another group and back while replicas lag, and instances learn
// of it at different times: a session must not miss a commit of its own that it
// made before its route changed.
TEST(SessionRoutes, KeepsOwnCommitsWhileRoutesChangeGroups) {
  const uint64_t runs = FromEnvironment("RYEFOLD_RUNS", kRuns);
  const SeedsResult sum =
      RunSeeds(runs, {10, 100, 500, InjectRouteFault}, /*two_groups=*/true);
  EXPECT_GT(sum.tally.done, 4 * sum.tally.refused);
  EXPECT_GT(sum.tally.acknowledged_writes, 10 * runs);
}

}  // namespace
}  // namespace ryefold::testsuite
