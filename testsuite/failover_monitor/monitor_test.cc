// Groups that are monitored by the instances that use them and reported to the
// holder of the duty.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "ryefold/core/failover/group_monitor.h"
#include "ryefold/wire/report_codec.h"

namespace ryefold::core::failover {
namespace {

using session::DatabaseView;
using session::GroupView;
using std::chrono::milliseconds;

constexpr milliseconds kPace{100};
constexpr size_t kKeepers = 8;

/// A group whose primary and replicas have answered at `now`.
GroupView HealthyGroup(TimePoint now, const std::string& name) {
  GroupView group;
  group.group = name;
  group.primary = name + "-a";
  group.term = 3;
  group.keepers = kKeepers;
  for (const char* suffix : {"-a", "-b", "-c"}) {
    DatabaseView database;
    database.id = name + suffix;
    database.last_contact = now;
    database.status.primary = database.id == group.primary;
    database.status.term = 3;
    database.status.received = {3, 10};
    database.status_requested_at = now;
    group.databases.push_back(database);
  }
  return group;
}

/// A monitor in virtual time with all that it sends.
class Monitor : public GroupMonitorPort {
 public:
  explicit Monitor(uint64_t seed)
      : monitor_(MonitorTiming(), seed, this, nullptr) {}

  void Probe(const std::string& /*group*/) override { ++probes; }
  void SendReports(const std::vector<GroupReport>& sent) override {
    for (const GroupReport& each : sent) reports.push_back(each);
  }
  GroupMonitor* operator->() { return &monitor_; }

  size_t probes = 0;
  std::vector<GroupReport> reports;

 private:
  GroupMonitor monitor_;
};

class MonitorTest : public testing::Test {
 protected:
  /// Evaluates the group that `make` returns for each moment.
  template <class MakeGroup>
  void RunFor(milliseconds duration, const MakeGroup& make) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += kPace) monitor_->Evaluate(now_, {make()});
  }
  GroupView Healthy() const { return HealthyGroup(now_, "g"); }
  GroupView Silent(TimePoint since) const {
    GroupView group = Healthy();
    group.databases[0].unanswered_since = since;
    return group;
  }

  TimePoint now_{std::chrono::hours(1)};
  Monitor monitor_{1};
};

// Guards against probes that grow with the number of keepers, and against
// messages between instances while nothing is wrong.
TEST_F(MonitorTest, KeepersTogetherProbeAHealthyGroupOnceASecond) {
  std::vector<std::unique_ptr<Monitor>> keepers;
  for (size_t i = 0; i < kKeepers; ++i) {
    keepers.push_back(std::make_unique<Monitor>(i));
  }
  constexpr milliseconds kDuration{80000};
  for (const TimePoint end = now_ + kDuration; now_ < end; now_ += kPace) {
    for (const auto& keeper : keepers) {
      (*keeper)->Evaluate(now_, {HealthyGroup(now_, "g")});
    }
  }
  size_t probes = 0;
  for (const auto& keeper : keepers) {
    probes += keeper->probes;
    EXPECT_TRUE(keeper->reports.empty());
  }
  EXPECT_NEAR(static_cast<double>(probes), kDuration / milliseconds(1000), 8);
}

// Guards against a lost primary that nobody tells the holder of the duty about.
TEST_F(MonitorTest, ReportsASilentPrimaryWithTheTimeOfItsSilence) {
  RunFor(milliseconds(2000), [this] { return Healthy(); });
  const TimePoint since = now_;
  RunFor(milliseconds(500), [this, since] { return Silent(since); });
  ASSERT_EQ(monitor_.reports.size(), 1U);
  EXPECT_EQ(monitor_.reports[0].group, "g");
  EXPECT_EQ(monitor_.reports[0].silence, milliseconds(400));
  RunFor(milliseconds(3000), [this, since] { return Silent(since); });
  EXPECT_EQ(monitor_.reports.size(), 4U);
  RunFor(milliseconds(3000), [this] { return Healthy(); });
  EXPECT_EQ(monitor_.reports.size(), 4U);
}

// Guards against a report that is lost together with its receiver.
TEST_F(MonitorTest, ReportsAgainAfterAFailureAndToANewHolder) {
  const TimePoint since = now_;
  RunFor(milliseconds(500), [this, since] { return Silent(since); });
  ASSERT_EQ(monitor_.reports.size(), 1U);
  monitor_->ReportsFailed(now_);
  RunFor(milliseconds(300), [this, since] { return Silent(since); });
  EXPECT_EQ(monitor_.reports.size(), 2U);
  monitor_->HolderChanged(now_);
  RunFor(kPace, [this, since] { return Silent(since); });
  EXPECT_EQ(monitor_.reports.size(), 3U);
}

// Guards against planned changes, partitions of a primary from its replicas,
// and replicas left paused that the holder of the duty never hears of.
TEST_F(MonitorTest, ReportsWhatOnlyTheHolderCanMend) {
  struct Case {
    const char* name;
    void (*change)(GroupView* group);
  };
  const Case cases[] = {
      {"draining",
       [](GroupView* group) { group->databases[0].draining = true; }},
      {"no primary", [](GroupView* group) { group->primary.clear(); }},
      {"refused", [](GroupView* group) { group->databases[0].refusals = 1; }},
      {"stalled",
       [](GroupView* group) {
         group->databases[0].status.received.index = 11;
       }},
      {"paused",
       [](GroupView* group) { group->databases[1].status.paused_term = 4; }}};
  for (const Case& each : cases) {
    SCOPED_TRACE(each.name);
    RunFor(milliseconds(2000), [this] { return Healthy(); });
    const size_t before = monitor_.reports.size();
    RunFor(milliseconds(700), [this, &each] {
      GroupView group = Healthy();
      each.change(&group);
      return group;
    });
    EXPECT_EQ(monitor_.reports.size(), before + 1);
  }
}

// Guards against a report from every keeper of every group while a fleet starts
// before its databases.
TEST_F(MonitorTest, DoesNotReportAGroupWithoutDatabases) {
  RunFor(milliseconds(5000), [this] {
    GroupView group = Healthy();
    group.primary.clear();
    group.databases.clear();
    return group;
  });
  EXPECT_TRUE(monitor_.reports.empty());
}

// Guards against reports of a group whose replicas are only a little behind.
TEST_F(MonitorTest, DoesNotReportTheUsualLag) {
  uint64_t index = 10;
  RunFor(milliseconds(10000), [this, &index] {
    GroupView group = Healthy();
    ++index;
    group.databases[0].status.received.index = index;
    group.databases[1].status.received.index = index - 1;
    return group;
  });
  EXPECT_TRUE(monitor_.reports.empty());
}

// Guards against reports of other versions or programs that end the process.
TEST(GroupReports, SurviveTheWire) {
  const std::vector<GroupReport> sent = {{"g", milliseconds(400)},
                                         {"h", milliseconds(0)}};
  const auto read = wire::ReadGroupReports(wire::WriteGroupReports(sent));
  ASSERT_TRUE(read.has_value());
  ASSERT_EQ(read->size(), 2U);
  EXPECT_EQ((*read)[0].group, "g");
  EXPECT_EQ((*read)[0].silence, milliseconds(400));
  EXPECT_FALSE(wire::ReadGroupReports("\x01\x02").has_value());
  EXPECT_FALSE(
      wire::ReadGroupReports(wire::WriteGroupReports({{"g", milliseconds(-1)}}))
          .has_value());
}

}  // namespace
}  // namespace ryefold::core::failover
