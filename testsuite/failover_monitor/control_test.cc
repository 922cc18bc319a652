// Which groups the holder of the duty evaluates, by size of the fleet.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "ryefold/core/failover/failover_control.h"
#include "ryefold/core/session/proxy.h"
#include "testsuite/support/session/idle_port.h"

namespace ryefold::core::failover {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPace{100};
constexpr uint32_t kConnectionLimit = 296;

/// The holder of the duty in a fleet with as many groups as instances. Its
/// databases never answer.
class Holder : public PromotionAuthority,
               public CoordinatorPort,
               public GroupMonitorPort {
 public:
  explicit Holder(size_t size) {
    proxy_.SetForwarder(&port_);
    std::vector<session::KeeperCandidate> instances;
    session::RouteTable table;
    session::Roster roster;
    table.version = 1;
    for (size_t i = 0; i < size; ++i) {
      const std::string group = "g" + std::to_string(i);
      instances.push_back({"i" + std::to_string(i), "a"});
      table.groups[group].connection_limit = kConnectionLimit;
      for (const char* suffix : {"-a", "-b", "-c"}) {
        session::Database database;
        database.id = group + suffix;
        database.group = group;
        database.claims_primary = database.id.back() == 'a';
        roster[database.id] = database;
      }
    }
    proxy_.SetInstances(now_, "i0", instances);
    proxy_.OnRoutes(now_, table);
    proxy_.OnRoster(now_, roster);
  }

  void RunFor(milliseconds duration) {
    for (const session::ConnectionId each : port_.TakeOpening()) {
      proxy_.ConnectionOpened(now_, each);
    }
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kPace) {
      control_.Evaluate(now_, proxy_, /*token=*/7);
    }
  }
  void Report(const std::string& group) {
    control_.ReportsReceived(now_, {{group, milliseconds(0)}});
  }
  size_t kept_groups() const {
    size_t kept = 0;
    for (const session::GroupView& each : proxy_.groups(now_)) {
      if (each.is_keeper) ++kept;
    }
    return kept;
  }
  std::string NameOfAnUnkeptGroup() const {
    for (const session::GroupView& each : proxy_.groups(now_)) {
      if (!each.is_keeper) return each.group;
    }
    return "";
  }

  void Promote(const std::string& /*group*/, const std::string& /*database*/,
               uint64_t /*token*/) override {}
  void Probe(const std::string& group) override { probed.push_back(group); }
  void PauseReplication(const std::string& /*database*/,
                        uint64_t /*term*/) override {}
  void ResumeReplication(const std::string& /*database*/) override {}
  void Announce(const std::string& /*group*/,
                const std::string& /*database*/) override {}
  void ReplaceToken(const std::string& /*reason*/) override {}
  void SendReports(const std::vector<GroupReport>& /*reports*/) override {}

  std::vector<std::string> probed;

 private:
  TimePoint now_{std::chrono::hours(1)};
  testsuite::IdlePort port_;
  session::Proxy proxy_{session::ProxySettings(), &port_, nullptr, nullptr};
  FailoverControl control_{1, this, this, this, nullptr};
};

// Guards against a holder of the duty that calls every database of the fleet
// each second.
TEST(FailoverControl, TheHolderProbesOnlyTheGroupsThatItKeeps) {
  constexpr milliseconds kDuration{10000};
  for (const size_t size : {250U, 1000U, 2000U}) {
    Holder holder(size);
    holder.RunFor(kDuration);
    EXPECT_LE(holder.probed.size(),
              holder.kept_groups() * (kDuration / milliseconds(1000)))
        << size;
    EXPECT_GE(holder.probed.size(), holder.kept_groups()) << size;
    // Eight keepers for each group, and as many groups as instances.
    EXPECT_LE(holder.kept_groups(), 24U) << size;
  }
}

// Guards against a reported group that the holder does not look at, or looks at
// for ever.
TEST(FailoverControl, EvaluatesAReportedGroupForAWhile) {
  Holder holder(250);
  holder.RunFor(milliseconds(1000));
  const std::string group = holder.NameOfAnUnkeptGroup();
  const auto probes = [&holder, &group] {
    return std::count(holder.probed.begin(), holder.probed.end(), group);
  };
  EXPECT_EQ(probes(), 0);
  holder.Report(group);
  holder.RunFor(milliseconds(3000));
  const auto after_report = probes();
  EXPECT_GE(after_report, 3);
  holder.RunFor(milliseconds(10000));
  EXPECT_EQ(probes(), after_report);
}

}  // namespace
}  // namespace ryefold::core::failover
