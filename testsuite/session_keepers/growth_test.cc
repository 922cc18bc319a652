// Work of one instance that serves no caller, by size of the fleet.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "ryefold/core/session/proxy.h"
#include "testsuite/support/session/idle_port.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
constexpr uint32_t kConnectionLimit = 296;

/// One instance in a fleet with as many groups as instances.
class IdleInstance {
 public:
  explicit IdleInstance(size_t size) {
    proxy_.SetForwarder(&port_);
    std::vector<KeeperCandidate> instances;
    RouteTable table;
    Roster roster;
    table.version = 1;
    for (size_t i = 0; i < size; ++i) {
      const std::string group = "g" + std::to_string(i);
      instances.push_back({"i" + std::to_string(i), "a"});
      table.groups[group].connection_limit = kConnectionLimit;
      Database database;
      database.id = "db-" + std::to_string(i);
      database.group = group;
      database.claims_primary = true;
      roster[database.id] = database;
    }
    proxy_.SetInstances(now_, "i0", instances);
    proxy_.OnRoutes(now_, table);
    proxy_.OnRoster(now_, roster);
  }

  void RunFor(milliseconds duration) {
    for (const ConnectionId each : port_.TakeOpening()) {
      proxy_.ConnectionOpened(now_, each);
    }
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += kTickInterval) proxy_.Tick(now_);
  }
  size_t kept_groups() const {
    const std::vector<GroupView> groups = proxy_.groups(now_);
    return static_cast<size_t>(
        std::count_if(groups.begin(), groups.end(),
                      [](const GroupView& each) { return each.is_keeper; }));
  }
  uint64_t group_visits() const { return proxy_.counters().group_visits; }

 private:
  TimePoint now_{std::chrono::hours(1)};
  testsuite::IdlePort port_;
  Proxy proxy_{ProxySettings(), &port_, nullptr, nullptr};
};

// Guards against periodic work in proportion to all groups of the fleet: at a
// thousand groups it took more processor time than the callers of an instance.
TEST(Growth, PeriodicWorkVisitsOnlyTheGroupsInUse) {
  constexpr milliseconds kDuration{10000};
  for (const size_t size : {250U, 1000U, 2000U}) {
    IdleInstance instance(size);
    instance.RunFor(kDuration);
    const uint64_t before = instance.group_visits();
    instance.RunFor(kDuration);
    EXPECT_EQ(instance.group_visits() - before,
              instance.kept_groups() * (kDuration / kTickInterval))
        << size;
    // Eight keepers for each group, and as many groups as instances.
    EXPECT_LE(instance.kept_groups(), 24U) << size;
  }
}

}  // namespace
}  // namespace ryefold::core::session
