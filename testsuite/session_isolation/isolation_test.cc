// Instances that cannot reach any other instance, and instances whose peers
// have failed, in virtual time with 200 instances.

#include "ryefold/core/session/isolation.h"

#include <gtest/gtest.h>

#include "testsuite/support/session/checked_callers.h"

namespace ryefold::testsuite {
namespace {

using core::session::IsolationDetector;

constexpr uint32_t kInstances = 200;
/// Connection limit of a database; fewer than one per instance.
constexpr uint32_t kConnectionLimit = 117;
/// Maximum time in which an instance detects that it is cut off. A load
/// balancer that removes an instance after two failed checks then does so
/// within three seconds.
constexpr milliseconds kMaxDetectionTime{1000};
/// Maximum time of an immediate rejection; shorter than any message delay.
constexpr milliseconds kImmediate{5};

class IsolationTest : public testing::Test, public CallerListener {
 protected:
  IsolationTest() : cluster_(&clock_, 5) {
    fleet_.connection_limit = kConnectionLimit;
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      cluster_.database(id).max_connections = kConnectionLimit;
    }
    for (uint32_t i = 0; i < kInstances; ++i) {
      const std::string domain(1, static_cast<char>('a' + i % 5));
      hosts_.push_back(std::make_unique<InstanceHost>(
          &clock_, &cluster_, this, "i" + std::to_string(i), domain, &fleet_));
    }
    for (const auto& host : hosts_) {
      host->proxy()->SetInstances(clock_.now(), host->name(),
                                  fleet_.candidates);
    }
    Run(milliseconds(200));
    for (CallerId caller = 1; caller <= kInstances; ++caller) {
      HostOf(caller).proxy()->CallerStarted(clock_.now(), caller, "primary");
    }
  }

  InstanceHost& HostOf(CallerId caller) { return *hosts_[caller - 1]; }
  bool IsKeeper(CallerId caller) {
    return HostOf(caller).proxy()->groups(clock_.now()).front().is_keeper;
  }
  void Run(milliseconds span) { clock_.RunUntil(clock_.now() + span); }

  void OnReply(CallerId caller, const Reply& reply) override {
    answers_[caller] = {reply.error, clock_.now() - sent_at_[caller]};
  }
  void OnClosed(CallerId /*caller*/, ErrorCode /*error*/) override {}

  void Send(CallerId caller, StatementKind kind, const std::string& text) {
    answers_.erase(caller);
    sent_at_[caller] = clock_.now();
    has_sent_.insert(caller);
    HostOf(caller).proxy()->CallerStatement(clock_.now(), caller,
                                            "s" + std::to_string(++last_id_),
                                            MakeStatement(kind, text));
  }
  /// Each caller with no outstanding statement sends a new one with a
  /// probability of 2 % every 50 ms; `check` is called with each answer.
  template <class Check>
  void SendReads(milliseconds span, const Check& check) {
    const TimePoint end = clock_.now() + span;
    while (clock_.now() < end) {
      for (CallerId caller = 1; caller <= kInstances; ++caller) {
        const bool first = sent_at_.count(caller) == 0;
        const auto answer = answers_.find(caller);
        if (!first && answer == answers_.end()) continue;
        if (!first) check(caller, sent_at_[caller], answer->second);
        // Limits the load to what the group can serve.
        if (random_() % 50 != 0) {
          answers_.erase(caller);
          sent_at_.erase(caller);
          continue;
        }
        Send(caller, StatementKind::kRead, "READ k");
      }
      Run(milliseconds(50));
    }
  }

  struct Answer {
    ErrorCode error = ErrorCode::kNone;
    std::chrono::nanoseconds latency{0};
  };

  VirtualClock clock_;
  FakeCluster cluster_;
  FakeFleet fleet_;
  std::vector<std::unique_ptr<InstanceHost>> hosts_;
  std::map<CallerId, TimePoint> sent_at_;
  std::set<CallerId> has_sent_;
  std::map<CallerId, Answer> answers_;
  std::mt19937_64 random_{7};
  uint64_t last_id_ = 0;
};

// A quarter of the instances is partitioned from all others while callers still
// reach them. Such an instance cannot serve any caller: it must reject
// statements immediately rather than at their deadline, and report itself as
// not ready. After the partition heals it must become ready without a statement
// of a caller.
TEST_F(IsolationTest, RefusesAtOnceWhenCutOffFromAllOthers) {
  SendReads(milliseconds(500), [](CallerId, TimePoint, const Answer&) {});
  for (CallerId caller = 4; caller <= kInstances; caller += 4) {
    if (!IsKeeper(caller)) fleet_.partitioned.insert(HostOf(caller).name());
  }
  const TimePoint partitioned_at = clock_.now();
  size_t refused = 0;
  size_t delayed = 0;
  has_sent_.clear();
  SendReads(milliseconds(4000), [&](CallerId caller, TimePoint sent_at,
                                    const Answer& answer) {
    if (fleet_.partitioned.count(HostOf(caller).name()) == 0) {
      EXPECT_EQ(answer.error, ErrorCode::kNone) << "not cut off: " << caller;
      return;
    }
    if (sent_at < partitioned_at) return;
    EXPECT_LE(answer.latency, kMaxDetectionTime);
    if (HostOf(caller).proxy()->ready()) return;
    ++refused;
    delayed += answer.latency > kImmediate ? 1 : 0;
  });
  Run(kMaxDetectionTime);
  EXPECT_GT(refused, 50U);
  // Statements in flight when their instance detected the partition.
  EXPECT_LE(delayed, 2 * fleet_.partitioned.size());
  for (CallerId caller = 1; caller <= kInstances; ++caller) {
    // An instance without any statement cannot detect the partition.
    const bool is_partitioned =
        fleet_.partitioned.count(HostOf(caller).name()) > 0;
    EXPECT_EQ(HostOf(caller).proxy()->ready(),
              !is_partitioned || has_sent_.count(caller) == 0)
        << caller;
  }
  fleet_.partitioned.clear();
  Run(milliseconds(400));
  for (const auto& host : hosts_) EXPECT_TRUE(host->proxy()->ready());
  const TimePoint healed_at = clock_.now();
  SendReads(milliseconds(500),
            [&](CallerId, TimePoint sent_at, const Answer& answer) {
              if (sent_at < healed_at) return;
              EXPECT_EQ(answer.error, ErrorCode::kNone);
            });
}

// Half of the instances lose power. The others must keep serving: each failed
// keeper that is tried costs a statement a tenth of a second, no write is left
// in doubt by a keeper that never received it, and no instance considers itself
// cut off for longer than until its next probes.
TEST_F(IsolationTest, KeepsServingWhenHalfOfTheFleetFails) {
  SendReads(milliseconds(500), [](CallerId, TimePoint, const Answer&) {});
  for (CallerId caller = 2; caller <= kInstances; caller += 2) {
    fleet_.partitioned.insert(HostOf(caller).name());
  }
  const TimePoint failed_at = clock_.now();
  size_t in_time = 0;
  size_t all = 0;
  SendReads(milliseconds(3000),
            [&](CallerId caller, TimePoint sent_at, const Answer& answer) {
              if (caller % 2 == 0 || sent_at < failed_at) return;
              ++all;
              in_time += answer.error == ErrorCode::kNone &&
                                 answer.latency < milliseconds(400)
                             ? 1
                             : 0;
            });
  EXPECT_GT(all, 80U);
  EXPECT_GE(in_time, all * 95 / 100);
  Run(milliseconds(300));
  for (CallerId caller = 1; caller <= kInstances; caller += 2) {
    EXPECT_TRUE(HostOf(caller).proxy()->ready()) << caller;
  }
}

// A partition leaves some instances with the databases but without any
// reachable keeper of the group. They must serve their callers over connections
// of their own, without exceeding the databases' connection limits.
TEST_F(IsolationTest, UsesOwnConnectionsWithoutAReachableKeeper) {
  SendReads(milliseconds(500), [](CallerId, TimePoint, const Answer&) {});
  for (CallerId caller = 1; caller <= kInstances; ++caller) {
    if (IsKeeper(caller)) fleet_.partitioned.insert(HostOf(caller).name());
  }
  const TimePoint partitioned_at = clock_.now();
  size_t served = 0;
  size_t all = 0;
  SendReads(milliseconds(3000),
            [&](CallerId caller, TimePoint sent_at, const Answer& answer) {
              if (sent_at < partitioned_at || IsKeeper(caller)) return;
              ++all;
              served += answer.error == ErrorCode::kNone ? 1 : 0;
            });
  EXPECT_GT(all, 100U);
  EXPECT_GE(served, all * 95 / 100);
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    EXPECT_LE(cluster_.connections(id), kConnectionLimit * 3 / 4) << id;
  }
  // These connections are closed once a keeper is reachable again.
  fleet_.partitioned.clear();
  Run(milliseconds(2500));
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    EXPECT_LE(cluster_.connections(id), 16U) << id;
  }
}

// A keeper freezes while it runs a read. The caller must get an answer through
// another keeper well before its deadline.
TEST_F(IsolationTest, RetriesAtAnotherKeeperWhenOneFreezes) {
  CallerId caller = 1;
  while (IsKeeper(caller)) ++caller;
  Send(caller, StatementKind::kRead, "READ k");
  Run(milliseconds(2));
  for (CallerId other = 1; other <= kInstances; ++other) {
    // The keeper that runs the statement.
    if (IsKeeper(other) && HostOf(other).proxy()->callers() > 1) {
      fleet_.partitioned.insert(HostOf(other).name());
    }
  }
  ASSERT_EQ(fleet_.partitioned.size(), 1U);
  Run(milliseconds(600));
  ASSERT_EQ(answers_.count(caller), 1U);
  EXPECT_EQ(answers_[caller].error, ErrorCode::kNone);
}

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  names.reserve(count);
  for (int i = 0; i < count; ++i) names.push_back("i" + std::to_string(i));
  return names;
}

TEST(Isolation, OneResponseClearsCutOff) {
  IsolationDetector isolation;
  isolation.SetPeers(Names(20));
  const TimePoint heard{std::chrono::seconds(100)};
  isolation.RecordResponse(heard);
  const TimePoint sent_at = heard + milliseconds(1);
  EXPECT_TRUE(isolation.TakeDueProbes(sent_at).empty());
  isolation.RecordTimeout("i1", sent_at);
  isolation.RecordTimeout("i2", sent_at);
  int transitions = 0;
  for (const std::string& probed : isolation.TakeDueProbes(sent_at)) {
    transitions += isolation.RecordTimeout(probed, sent_at) ? 1 : 0;
  }
  EXPECT_EQ(transitions, 1);
  EXPECT_TRUE(isolation.cut_off());
  EXPECT_FALSE(
      isolation.TakeDueProbes(sent_at + std::chrono::seconds(1)).empty());
  EXPECT_TRUE(isolation.RecordResponse(sent_at));
  EXPECT_FALSE(isolation.cut_off());
  EXPECT_TRUE(
      isolation.TakeDueProbes(sent_at + std::chrono::seconds(2)).empty());
}

// Statements to the same few failed keepers time out repeatedly. This is no
// evidence about the rest of the fleet, which the probes check.
TEST(Isolation, TimeoutsOfKeepersAloneDoNotCutOff) {
  IsolationDetector isolation;
  isolation.SetPeers(Names(50));
  for (int i = 0; i < 100; ++i) {
    const std::string keeper = "i" + std::to_string(i % 10);
    EXPECT_FALSE(
        isolation.RecordTimeout(keeper, TimePoint(milliseconds(i + 1))));
  }
  EXPECT_FALSE(isolation.cut_off());
}

// Ten instances are probed at once from the minority side of a partition. One
// responds after a millisecond; the timeouts of the nine others follow a tenth
// of a second later. If they outweighed the response, the instance would reject
// callers that it could serve through the one reachable peer.
TEST(Isolation, TimeoutsOlderThanAResponseDoNotCount) {
  IsolationDetector isolation;
  isolation.SetPeers(Names(10));
  const TimePoint sent_at{std::chrono::seconds(100)};
  isolation.RecordResponse(sent_at + milliseconds(1));
  for (const std::string& other : Names(10)) {
    EXPECT_FALSE(isolation.RecordTimeout(other, sent_at));
  }
  EXPECT_FALSE(isolation.cut_off());
}

// An instance without peers cannot be cut off.
TEST(Isolation, AloneIsNotCutOff) {
  IsolationDetector isolation;
  isolation.SetPeers({});
  EXPECT_FALSE(isolation.RecordTimeout("gone", TimePoint(milliseconds(1))));
  EXPECT_TRUE(isolation.TakeDueProbes(TimePoint()).empty());
}

}  // namespace
}  // namespace ryefold::testsuite
