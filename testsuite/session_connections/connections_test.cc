// The connection limit of a database under power losses of instances and
// diverging instance lists, in virtual time. The fake database checks the
// limit: it rejects connections above it and, as real databases do, counts
// connections of an instance that lost power for three more seconds.

#include <gtest/gtest.h>

#include <random>
#include <tuple>

#include "testsuite/support/session/checked_callers.h"

namespace ryefold::testsuite {
namespace {

constexpr uint32_t kInstances = 60;
/// Fewer than one per instance.
constexpr uint32_t kConnectionLimit = 53;
/// Time from a power loss until the group serves at its usual rate again.
/// Callers would notice a longer interruption.
constexpr milliseconds kRecoveryTime{1000};

class ConnectionsTest
    : public testing::TestWithParam<std::tuple<uint64_t, uint64_t>>,
      public CallerListener {
 protected:
  ConnectionsTest()
      : random_(std::get<0>(GetParam())),
        cluster_(&clock_, std::get<0>(GetParam()) + 1),
        workspaces_(std::get<1>(GetParam())) {
    fleet_.connection_limit = kConnectionLimit;
    if (workspaces_ > 0) fleet_.routes = RoutesOfWorkspaces();
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      cluster_.database(id).max_connections = kConnectionLimit;
    }
    for (uint32_t i = 0; i < kInstances; ++i) {
      const std::string domain(1, static_cast<char>('a' + i % 3));
      hosts_.push_back(std::make_unique<InstanceHost>(
          &clock_, &cluster_, this, "i" + std::to_string(i), domain, &fleet_));
    }
    for (const auto& host : hosts_) UpdateFleet(host.get(), fleet_.candidates);
    Run(milliseconds(500));
    for (CallerId caller = 0; caller < kCallers; ++caller) StartCaller(caller);
  }

  RouteTable RoutesOfWorkspaces() const {
    RouteTable table = TestRoutes(kConnectionLimit);
    table.workspaces.keys_required = true;
    for (uint64_t i = 0; i < workspaces_; ++i) {
      core::workspace::Workspace workspace;
      workspace.name = "w" + std::to_string(i);
      workspace.keys = {{1, i}};
      table.workspaces.workspaces[workspace.name] = workspace;
    }
    return table;
  }
  /// A few workspaces have most of the callers.
  core::workspace::KeyDigest KeyOf(CallerId caller) const {
    if (workspaces_ == 0) return {};
    return {1, caller % 2 == 0 ? caller % 5 : caller * 7 % workspaces_};
  }

  void OnReply(CallerId caller, const Reply& reply) override {
    ++answers_;
    served_ += reply.ok() ? 1 : 0;
    ScheduleRead(caller);
  }
  void OnClosed(CallerId caller, ErrorCode /*error*/) override {
    ScheduleRead(caller);
  }

  InstanceHost& HostOf(CallerId caller) {
    return *hosts_[caller % hosts_.size()];
  }
  void StartCaller(CallerId caller) {
    HostOf(caller).proxy()->CallerStarted(
        clock_.now(), caller + 1, caller % 2 == 0 ? "bounded" : "primary",
        KeyOf(caller));
    ScheduleRead(caller + 1);
  }
  void ScheduleRead(CallerId caller) {
    const uint64_t epoch = ++epochs_[caller];
    const milliseconds pause(200 + random_() % 400);
    clock_.After(pause, [this, caller, epoch] {
      if (epoch != epochs_[caller]) return;  // its instance was restarted
      HostOf(caller - 1)
          .proxy()
          ->CallerStatement(clock_.now(), caller,
                            "s" + std::to_string(++last_id_),
                            MakeStatement(StatementKind::kRead, "READ k"));
    });
  }

  void UpdateFleet(
      InstanceHost* host,
      const std::vector<core::session::KeeperCandidate>& instances) {
    host->proxy()->SetInstances(clock_.now(), host->name(), instances);
  }
  /// Returns a random part of the instance list, as an instance has that has
  /// not read all of it.
  std::vector<core::session::KeeperCandidate> RandomPart() {
    std::vector<core::session::KeeperCandidate> part;
    for (const auto& each : fleet_.candidates) {
      if (random_() % 3 > 0) part.push_back(each);
    }
    return part;
  }

  void LosePower(uint32_t percent) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (random_() % 100 >= percent) continue;
      hosts_[i]->RestartAfterPowerLoss();
      for (CallerId caller = 0; caller < kCallers; ++caller) {
        if (caller % hosts_.size() == i) StartCaller(caller);
      }
    }
  }
  /// Gives some instances a partial instance list for a while.
  void DivergeInstanceLists() {
    for (const auto& host : hosts_) {
      if (random_() % 2 > 0) continue;
      UpdateFleet(host.get(), RandomPart());
      clock_.After(milliseconds(random_() % 1500), [this, host = host.get()] {
        UpdateFleet(host, fleet_.candidates);
      });
    }
  }
  void Run(milliseconds span) { clock_.RunUntil(clock_.now() + span); }
  /// Returns the fraction of successful answers within a span.
  double MeasureServedFraction(milliseconds span) {
    answers_ = 0;
    served_ = 0;
    Run(span);
    const auto answers = static_cast<double>(std::max<uint64_t>(answers_, 1));
    return static_cast<double>(served_) / answers;
  }

  static constexpr CallerId kCallers = 120;
  std::mt19937_64 random_;
  VirtualClock clock_;
  FakeCluster cluster_;
  const uint64_t workspaces_;
  FakeFleet fleet_;
  std::vector<std::unique_ptr<InstanceHost>> hosts_;
  std::map<CallerId, uint64_t> epochs_;
  uint64_t last_id_ = 0;
  uint64_t answers_ = 0;
  uint64_t served_ = 0;
};

// Some or all instances lose power while others use diverging instance lists.
// If they opened more connections than the database accepts, it would reject
// connections for three seconds on a first-come basis, and callers would wait
// behind the failed attempts.
TEST_P(ConnectionsTest, StayWithinTheLimitThroughLossesOfPower) {
  EXPECT_GE(MeasureServedFraction(milliseconds(2000)), 0.98);
  for (int round = 0; round < 6; ++round) {
    if (random_() % 2 > 0) DivergeInstanceLists();
    const uint32_t percent = round % 3 == 2 ? 100 : 20 + random_() % 60;
    LosePower(percent);
    Run(kRecoveryTime);
    EXPECT_GE(MeasureServedFraction(milliseconds(1000)), 0.98)
        << percent << " percent, round " << round;
    Run(milliseconds(random_() % 4000));
  }
  EXPECT_EQ(cluster_.refused_at_limit(), 0U);
}

// Without workspaces, with the number of workspaces of a large deployment, and
// with more workspaces than connections per database.
INSTANTIATE_TEST_SUITE_P(Seeds, ConnectionsTest,
                         testing::Combine(testing::Range<uint64_t>(1, 13),
                                          testing::Values(0, 78, 2000)));

}  // namespace
}  // namespace ryefold::testsuite
