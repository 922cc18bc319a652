// Instances that reach no other, and instances whose others are gone, in
// virtual time with 200 instances.

#include "ryefold/core/session/isolation.h"

#include <gtest/gtest.h>

#include "testsuite/support/session/checked_callers.h"

namespace ryefold::testsuite {
namespace {

using core::session::Isolation;

constexpr uint32_t kInstances = 200;
/// Connections that a database takes, fewer than there are instances.
constexpr uint32_t kConnectionLimit = 117;
/// What an instance may need to find out that it is cut off, so that a balancer
/// which needs two misses takes it out after three seconds at the latest.
constexpr milliseconds kFindOut{1000};
/// A refusal at once: no time for any message.
constexpr milliseconds kAtOnce{5};

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
  bool Kept(CallerId caller) {
    return HostOf(caller).proxy()->groups(clock_.now()).front().is_keeper;
  }
  void Run(milliseconds span) { clock_.RunUntil(clock_.now() + span); }

  void OnReply(CallerId caller, const Reply& reply) override {
    answers_[caller] = {reply.error, clock_.now() - asked_[caller]};
  }
  void OnClosed(CallerId /*caller*/, ErrorCode /*error*/) override {}

  void Ask(CallerId caller, StatementKind kind, const std::string& text) {
    answers_.erase(caller);
    asked_[caller] = clock_.now();
    asked_of_.insert(caller);
    HostOf(caller).proxy()->CallerStatement(clock_.now(), caller,
                                            "s" + std::to_string(++last_id_),
                                            MakeStatement(kind, text));
  }
  /// Every caller whose last statement is answered asks again each 50 ms;
  /// `check` sees each answer.
  template <class Check>
  void AskAround(milliseconds span, const Check& check) {
    const TimePoint end = clock_.now() + span;
    while (clock_.now() < end) {
      for (CallerId caller = 1; caller <= kInstances; ++caller) {
        const bool first = asked_.count(caller) == 0;
        const auto answer = answers_.find(caller);
        if (!first && answer == answers_.end()) continue;
        if (!first) check(caller, asked_[caller], answer->second);
        // Not more than the group serves.
        if (random_() % 50 != 0) {
          answers_.erase(caller);
          asked_.erase(caller);
          continue;
        }
        Ask(caller, StatementKind::kRead, "READ k");
      }
      Run(milliseconds(50));
    }
  }

  struct Answer {
    ErrorCode error = ErrorCode::kNone;
    std::chrono::nanoseconds took{0};
  };

  VirtualClock clock_;
  FakeCluster cluster_;
  FakeFleet fleet_;
  std::vector<std::unique_ptr<InstanceHost>> hosts_;
  std::map<CallerId, TimePoint> asked_;
  std::set<CallerId> asked_of_;
  std::map<CallerId, Answer> answers_;
  std::mt19937_64 random_{7};
  uint64_t last_id_ = 0;
};

// A fourth of the instances is partitioned from all others, while callers still
// reach them. Such an instance can serve nobody: its callers must be told so at
// once, rather than at the end of their time, and the balancer must hear that
// it is not ready. When the partition heals it serves again by itself, without
// any caller having had to try.
TEST_F(IsolationTest, RefusesAtOnceWhenCutOffFromAllOthers) {
  AskAround(milliseconds(500), [](CallerId, TimePoint, const Answer&) {});
  for (CallerId caller = 4; caller <= kInstances; caller += 4) {
    if (!Kept(caller)) fleet_.partitioned.insert(HostOf(caller).name());
  }
  const TimePoint cut_at = clock_.now();
  size_t refused = 0;
  size_t waited = 0;
  asked_of_.clear();
  AskAround(milliseconds(4000), [&](CallerId caller, TimePoint asked,
                                    const Answer& answer) {
    if (fleet_.partitioned.count(HostOf(caller).name()) == 0) {
      EXPECT_EQ(answer.error, ErrorCode::kNone) << "not cut off: " << caller;
      return;
    }
    if (asked < cut_at) return;
    EXPECT_LE(answer.took, kFindOut);
    if (HostOf(caller).proxy()->ready()) return;
    ++refused;
    waited += answer.took > kAtOnce ? 1 : 0;
  });
  Run(kFindOut);
  EXPECT_GT(refused, 50U);
  // Those that were under way as their instance found out.
  EXPECT_LE(waited, 2 * fleet_.partitioned.size());
  for (CallerId caller = 1; caller <= kInstances; ++caller) {
    // One that nobody asked anything of has nothing to notice.
    const bool parted = fleet_.partitioned.count(HostOf(caller).name()) > 0;
    EXPECT_EQ(HostOf(caller).proxy()->ready(),
              !parted || asked_of_.count(caller) == 0)
        << caller;
  }
  fleet_.partitioned.clear();
  Run(milliseconds(400));
  for (const auto& host : hosts_) EXPECT_TRUE(host->proxy()->ready());
  const TimePoint healed_at = clock_.now();
  AskAround(milliseconds(500),
            [&](CallerId, TimePoint asked, const Answer& answer) {
              if (asked < healed_at) return;
              EXPECT_EQ(answer.error, ErrorCode::kNone);
            });
}

// Half of the instances lose power. The others must go on: a statement for a
// keeper that is gone costs its caller a tenth of a second for each that is
// tried, no write is left in doubt by a keeper that never got it, and nobody
// takes himself for the one who is cut off for longer than the next probe.
TEST_F(IsolationTest, ServesOnWhenHalfOfTheFleetIsGone) {
  AskAround(milliseconds(500), [](CallerId, TimePoint, const Answer&) {});
  for (CallerId caller = 2; caller <= kInstances; caller += 2) {
    fleet_.partitioned.insert(HostOf(caller).name());
  }
  const TimePoint gone_at = clock_.now();
  size_t in_time = 0;
  size_t all = 0;
  AskAround(milliseconds(3000), [&](CallerId caller, TimePoint asked,
                                    const Answer& answer) {
    if (caller % 2 == 0 || asked < gone_at) return;
    ++all;
    in_time +=
        answer.error == ErrorCode::kNone && answer.took < milliseconds(400) ? 1
                                                                            : 0;
  });
  EXPECT_GT(all, 80U);
  EXPECT_GE(in_time, all * 95 / 100);
  Run(milliseconds(300));
  for (CallerId caller = 1; caller <= kInstances; caller += 2) {
    EXPECT_TRUE(HostOf(caller).proxy()->ready()) << caller;
  }
}

// A partition leaves some instances with the databases but without any keeper
// of the group. Their callers must be served all the same, by connections of
// their own, and the databases must not be asked for more than they take.
TEST_F(IsolationTest, RunsStatementsAloneWithoutAKeeperInReach) {
  AskAround(milliseconds(500), [](CallerId, TimePoint, const Answer&) {});
  for (CallerId caller = 1; caller <= kInstances; ++caller) {
    if (Kept(caller)) fleet_.partitioned.insert(HostOf(caller).name());
  }
  const TimePoint cut_at = clock_.now();
  size_t served = 0;
  size_t all = 0;
  AskAround(milliseconds(3000),
            [&](CallerId caller, TimePoint asked, const Answer& answer) {
              if (asked < cut_at || Kept(caller)) return;
              ++all;
              served += answer.error == ErrorCode::kNone ? 1 : 0;
            });
  EXPECT_GT(all, 100U);
  EXPECT_GE(served, all * 95 / 100);
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    EXPECT_LE(cluster_.connections(id), kConnectionLimit * 3 / 4) << id;
  }
  // Once a keeper is in reach again the connections go.
  fleet_.partitioned.clear();
  Run(milliseconds(2500));
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    EXPECT_LE(cluster_.connections(id), 16U) << id;
  }
}

// A keeper stands still while it runs a read. The caller gets the answer of
// another one, well before the keeper's silence would have used up its time.
TEST_F(IsolationTest, AsksAnotherKeeperWhenOneFallsSilentMidway) {
  CallerId caller = 1;
  while (Kept(caller)) ++caller;
  Ask(caller, StatementKind::kRead, "READ k");
  Run(milliseconds(2));
  for (CallerId other = 1; other <= kInstances; ++other) {
    // Whichever keeper has it.
    if (Kept(other) && HostOf(other).proxy()->callers() > 1) {
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

TEST(Isolation, OneAnswerEndsTheBelief) {
  Isolation isolation;
  isolation.SetOthers(Names(20));
  const TimePoint heard{std::chrono::seconds(100)};
  isolation.Heard(heard);
  const TimePoint asked = heard + milliseconds(1);
  EXPECT_TRUE(isolation.ProbesDue(asked).empty());
  isolation.Silent("i1", asked);
  isolation.Silent("i2", asked);
  int told = 0;
  for (const std::string& probed : isolation.ProbesDue(asked)) {
    told += isolation.Silent(probed, asked) ? 1 : 0;
  }
  EXPECT_EQ(told, 1);
  EXPECT_TRUE(isolation.cut_off());
  EXPECT_FALSE(isolation.ProbesDue(asked + std::chrono::seconds(1)).empty());
  EXPECT_TRUE(isolation.Heard(asked));
  EXPECT_FALSE(isolation.cut_off());
  EXPECT_TRUE(isolation.ProbesDue(asked + std::chrono::seconds(2)).empty());
}

// The keepers that statements go to are gone, the same ones over and over. That
// says nothing about the rest of the fleet, which the probes ask.
TEST(Isolation, TheSilenceOfKeepersIsNotThatOfAll) {
  Isolation isolation;
  isolation.SetOthers(Names(50));
  for (int i = 0; i < 100; ++i) {
    const std::string keeper = "i" + std::to_string(i % 10);
    EXPECT_FALSE(isolation.Silent(keeper, TimePoint(milliseconds(i + 1))));
  }
  EXPECT_FALSE(isolation.cut_off());
}

// Ten instances are asked at once on the smaller side of a partition. One
// answers after a millisecond; that the nine others have not answered shows a
// tenth of a second later and must not outweigh it, or the instance would turn
// callers away whom it could serve through the one.
TEST(Isolation, SilencesOlderThanAnAnswerDoNotCount) {
  Isolation isolation;
  isolation.SetOthers(Names(10));
  const TimePoint asked{std::chrono::seconds(100)};
  isolation.Heard(asked + milliseconds(1));
  for (const std::string& other : Names(10)) {
    EXPECT_FALSE(isolation.Silent(other, asked));
  }
  EXPECT_FALSE(isolation.cut_off());
}

// An instance alone in its fleet has nobody to be cut off from.
TEST(Isolation, AloneIsNotCutOff) {
  Isolation isolation;
  isolation.SetOthers({});
  EXPECT_FALSE(isolation.Silent("gone", TimePoint(milliseconds(1))));
  EXPECT_TRUE(isolation.ProbesDue(TimePoint()).empty());
}

}  // namespace
}  // namespace ryefold::testsuite
