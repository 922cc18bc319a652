// The connections that a database takes, through losses of power and lists of
// instances that differ, in virtual time. The fake database is the oracle: it
// turns away what exceeds its limit, and counts connections whose other side
// has lost power for three seconds more, as real ones do.

#include <gtest/gtest.h>

#include <random>
#include <tuple>

#include "testsuite/support/session/checked_callers.h"

namespace ryefold::testsuite {
namespace {

constexpr uint32_t kInstances = 60;
/// Fewer than there are instances.
constexpr uint32_t kConnectionLimit = 53;
/// From a loss of power until the group serves at its usual rate again: the
/// second in which callers would notice.
constexpr milliseconds kServesAgain{1000};

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
    for (const auto& host : hosts_) Tell(host.get(), fleet_.candidates);
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
    AskSoon(caller);
  }
  void OnClosed(CallerId caller, ErrorCode /*error*/) override {
    AskSoon(caller);
  }

  InstanceHost& HostOf(CallerId caller) {
    return *hosts_[caller % hosts_.size()];
  }
  void StartCaller(CallerId caller) {
    HostOf(caller).proxy()->CallerStarted(
        clock_.now(), caller + 1, caller % 2 == 0 ? "bounded" : "primary",
        KeyOf(caller));
    AskSoon(caller + 1);
  }
  void AskSoon(CallerId caller) {
    const uint64_t life = ++lives_[caller];
    const milliseconds pause(200 + random_() % 400);
    clock_.After(pause, [this, caller, life] {
      if (life != lives_[caller]) return;  // its instance was restarted
      HostOf(caller - 1)
          .proxy()
          ->CallerStatement(clock_.now(), caller,
                            "s" + std::to_string(++last_id_),
                            MakeStatement(StatementKind::kRead, "READ k"));
    });
  }

  void Tell(InstanceHost* host,
            const std::vector<core::session::KeeperCandidate>& instances) {
    host->proxy()->SetInstances(clock_.now(), host->name(), instances);
  }
  /// What an instance knows that has read only a part of the list.
  std::vector<core::session::KeeperCandidate> Part() {
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
  /// Some believe for a while that others are gone.
  void Disagree() {
    for (const auto& host : hosts_) {
      if (random_() % 2 > 0) continue;
      Tell(host.get(), Part());
      clock_.After(milliseconds(random_() % 1500), [this, host = host.get()] {
        Tell(host, fleet_.candidates);
      });
    }
  }
  void Run(milliseconds span) { clock_.RunUntil(clock_.now() + span); }
  /// The part of the answers within a span that served their callers.
  double Served(milliseconds span) {
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
  std::map<CallerId, uint64_t> lives_;
  uint64_t last_id_ = 0;
  uint64_t answers_ = 0;
  uint64_t served_ = 0;
};

// Instances lose power, some or all of them, while others still believe in a
// different list. If that made them open more than the database takes, it would
// turn connections away, for three seconds and for those who come first, and
// callers would wait behind the attempts.
TEST_P(ConnectionsTest, StayWithinTheLimitThroughLossesOfPower) {
  EXPECT_GE(Served(milliseconds(2000)), 0.98);
  for (int round = 0; round < 6; ++round) {
    if (random_() % 2 > 0) Disagree();
    const uint32_t percent = round % 3 == 2 ? 100 : 20 + random_() % 60;
    LosePower(percent);
    Run(kServesAgain);
    EXPECT_GE(Served(milliseconds(1000)), 0.98)
        << percent << " percent, round " << round;
    Run(milliseconds(random_() % 4000));
  }
  EXPECT_EQ(cluster_.refused_at_limit(), 0U);
}

// Without workspaces, with as many as there are on a large deployment, and with
// more than a database takes connections.
INSTANTIATE_TEST_SUITE_P(Seeds, ConnectionsTest,
                         testing::Combine(testing::Range<uint64_t>(1, 13),
                                          testing::Values(0, 78, 2000)));

}  // namespace
}  // namespace ryefold::testsuite
