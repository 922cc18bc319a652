#include "ryefold/core/failover/coordinator.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ryefold::core::failover {
namespace {

using session::DatabaseView;
using session::GroupView;
using std::chrono::milliseconds;

TimePoint At(int64_t ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

struct Order {
  std::string database;
  uint64_t token = 0;
};

class CoordinatorTest : public testing::Test,
                        public PromotionAuthority,
                        public CoordinatorPort {
 protected:
  CoordinatorTest() : coordinator_(CoordinatorTiming(), this, this, nullptr) {
    group_.group = "group";
    group_.primary = "a";
    group_.term = 1;
    for (const char* id : {"a", "b", "c"}) {
      DatabaseView database;
      database.id = id;
      database.primary = std::string(id) == "a";
      database.status.received = {1, 100};
      group_.databases.push_back(database);
    }
  }

  void Promote(const std::string& /*group*/, const std::string& database,
               uint64_t token) override {
    orders_.push_back({database, token});
  }
  void Probe(const std::string& /*group*/) override { ++probes_; }
  void PauseReplication(const std::string& database, uint64_t term) override {
    requested_pauses_[database] = term;
  }
  void ResumeReplication(const std::string& database) override {
    requested_pauses_[database] = 0;
  }
  void Announce(const std::string& /*group*/,
                const std::string& database) override {
    announced_ = database;
  }
  void ReplaceToken(const std::string& /*reason*/) override {
    ++tokens_replaced_;
  }

  /// Evaluates the group every 100 ms; the databases answer except those that
  /// are unreachable or busy.
  void Run(int64_t from, int64_t to, std::optional<uint64_t> token = 7) {
    for (int64_t now = from; now <= to; now += 100) {
      for (DatabaseView& database : group_.databases) {
        if (unreachable_.count(database.id) > 0) continue;
        database.last_contact = At(now);
        if (busy_.count(database.id) > 0) continue;
        database.status_requested_at = At(now);
        const auto pause = requested_pauses_.find(database.id);
        if (pause == requested_pauses_.end()) continue;
        database.status.paused_term = pause->second;
        requested_pauses_.erase(pause);
      }
      coordinator_.EvaluateGroups(At(now), {group_}, token);
    }
  }
  DatabaseView& View(size_t index) { return group_.databases[index]; }

  Coordinator coordinator_;
  GroupView group_;
  std::set<std::string> unreachable_;
  /// Databases that answer, but not to status calls.
  std::set<std::string> busy_;
  /// Term of each pause that a database has not answered; 0 ends one.
  std::map<std::string, uint64_t> requested_pauses_;
  std::vector<Order> orders_;
  std::string announced_;
  int probes_ = 0;
  int tokens_replaced_ = 0;
};

// The primary is alive but partitioned from its replicas. The replica with all
// acknowledged commits is unreachable for a short time; the other, a former
// primary, is far behind. Promoting the latter would discard acknowledged
// commits that the primary still has.
TEST_F(CoordinatorTest, WaitsForAnUnreachableReplicaWhileThePrimaryIsAlive) {
  View(0).status.received = {1, 180};
  View(1).status.received = {1, 100};
  View(2).status.received = {1, 170};
  Run(0, 1000);
  unreachable_.insert("c");
  View(2).responsive = false;
  Run(1100, 6000);
  EXPECT_TRUE(orders_.empty());
  unreachable_.clear();
  View(2).responsive = true;
  Run(6100, 9000);
  ASSERT_FALSE(orders_.empty());
  EXPECT_EQ(orders_.front().database, "c");
}

TEST_F(CoordinatorTest, DoesNotPromoteInAHealthyGroup) {
  Run(0, 20000);
  EXPECT_TRUE(orders_.empty());
  EXPECT_LE(probes_, 21);
}

// The primary stops answering on all connections. Writes fail until another
// database is primary, so one is promoted after 750 ms, and only once.
TEST_F(CoordinatorTest, PromotesAReplicaWhenThePrimaryIsUnreachable) {
  unreachable_.insert("a");
  View(0).unanswered_since = At(0);
  View(0).responsive = false;
  Run(0, 700);
  EXPECT_TRUE(orders_.empty());
  Run(800, 2500);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_NE(orders_[0].database, "a");
  EXPECT_EQ(orders_[0].token, 7U);
}

// Guards against a failover that takes longer since another instance noticed
// the silence of the primary first: its report counts from the beginning of
// that.
TEST_F(CoordinatorTest, CountsAReportedSilenceOnceItHasNoAnswerEither) {
  unreachable_.insert("a");
  View(0).responsive = false;
  View(0).unanswered_since = At(500);
  coordinator_.SilenceReported(At(500), "group", At(0));
  Run(500, 700);
  EXPECT_TRUE(orders_.empty());
  Run(800, 900);
  EXPECT_EQ(orders_.size(), 1U);
}

// Guards against a promotion that only the instance behind a report needs,
// since it alone does not reach the primary.
TEST_F(CoordinatorTest, DoesNotReplaceAPrimaryThatAnswersTheHolder) {
  for (int64_t now = 0; now < 10000; now += 200) {
    coordinator_.SilenceReported(At(now), "group", At(0));
    // One call is always unanswered, for less than its usual time.
    View(0).unanswered_since = At(now);
    Run(now, now + 100);
  }
  EXPECT_TRUE(orders_.empty());
}

// A busy primary answers late, but each answer shows that it is alive. An
// unnecessary promotion would interrupt writes for about a second.
TEST_F(CoordinatorTest, DoesNotReplaceASlowPrimary) {
  for (int64_t now = 0; now < 10000; now += 600) {
    View(0).unanswered_since = At(now);
    View(0).responsive = false;
    Run(now, now + 500);
  }
  EXPECT_TRUE(orders_.empty());
}

// Entries that the new primary has not received are lost, so the replica that
// has received the most is promoted although the other is listed first.
TEST_F(CoordinatorTest, TakesTheMostAdvancedReplica) {
  View(1).status.received = {1, 40};
  View(2).status.received = {1, 90};
  View(0).refusals = 5;
  Run(0, 300);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// The primary is partitioned from its replicas but still answers. Commits are
// not acknowledged, so writes fail until the partition ends or another database
// is promoted.
TEST_F(CoordinatorTest, PromotesAReplicaWhenReplicationStalls) {
  Run(0, 1000);
  View(0).status.received = {1, 130};
  Run(1100, 2400);
  EXPECT_TRUE(orders_.empty());
  Run(2500, 3000);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_NE(orders_[0].database, "a");
}

// One replica still receives entries, which is enough to confirm commits.
TEST_F(CoordinatorTest, DoesNotPromoteWhileOneReplicaReceives) {
  for (uint64_t i = 0; i < 100; ++i) {
    View(0).status.received = {1, 105 + 2 * i};
    View(1).status.received = {1, 104 + 2 * i};
    Run(static_cast<int64_t>(i) * 100, static_cast<int64_t>(i) * 100);
  }
  EXPECT_TRUE(orders_.empty());
}

// The status of one replica is stale: it may receive entries that the others do
// not.
TEST_F(CoordinatorTest, DoesNotPromoteWhileAReplicaStatusIsStale) {
  Run(0, 1000);
  busy_.insert("b");
  View(0).status.received = {1, 130};
  Run(2600, 10000);
  EXPECT_TRUE(orders_.empty());
}

// The replica that has received the most is busy and its status arrives late.
// Promoting the other at once would discard entries that only the busy one has.
TEST_F(CoordinatorTest, WaitsForTheStatusOfABusyReplica) {
  View(1).status.received = {1, 40};
  View(2).status.received = {1, 10};
  busy_.insert("c");
  View(0).refusals = 5;
  Run(0, 300);
  EXPECT_TRUE(orders_.empty());
  busy_.clear();
  View(2).status.received = {1, 90};
  Run(400, 600);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// The replica that has received everything serves all reads and is too busy to
// answer status calls. Its older status and the position in its other answers
// must count as much as the recent status of a replica that is behind.
TEST_F(CoordinatorTest, TakesABusyReplicaThatIsKnownToBeAhead) {
  View(1).status.received = {1, 98};
  View(2).status.received = {1, 114};
  busy_.insert("c");
  View(0).refusals = 5;
  Run(0, 900);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// A replica that never answers status calls must not block the promotion.
TEST_F(CoordinatorTest, WaitsForABusyReplicaOnlyForAWhile) {
  busy_.insert("c");
  View(0).refusals = 5;
  View(2).status.received = {1, 10};
  Run(0, 900);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "b");
}

// This instance is partitioned from all databases. It must not promote a
// replica by its last known status: the replica may have fallen behind since.
TEST_F(CoordinatorTest, DoesNotPromoteWhenNoReplicaAnswers) {
  unreachable_ = {"a", "b", "c"};
  for (DatabaseView& database : group_.databases) {
    database.unanswered_since = At(0);
    database.responsive = false;
  }
  Run(0, 5000);
  EXPECT_TRUE(orders_.empty());
}

TEST_F(CoordinatorTest, DoesNotPromoteWithoutTheDuty) {
  View(0).refusals = 5;
  Run(0, 5000, std::nullopt);
  EXPECT_TRUE(orders_.empty());
}

// The primary drains, for example for an upgrade. A replica that does not drain
// is promoted at once, while the primary still serves.
TEST_F(CoordinatorTest, ReplacesALeavingPrimaryByOneThatStays) {
  View(0).draining = true;
  View(1).draining = true;
  Run(0, 300);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// An unanswered order may be executed seconds later. Repeating it under the
// same token could change the primary a second time.
TEST_F(CoordinatorTest, GetsANewTokenAfterAnOrderWithoutAnswer) {
  View(0).refusals = 5;
  Run(0, 200);
  ASSERT_EQ(orders_.size(), 1U);
  coordinator_.PromotionAnswered(At(1200), "group", 7,
                                 PromotionOutcome::kUnknown);
  EXPECT_EQ(tokens_replaced_, 1);
  // The duty is acquired again with a higher token, and the order is repeated.
  Run(1300, 1300, std::nullopt);
  Run(1400, 1800, 9);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_EQ(orders_[1].token, 9U);
}

TEST_F(CoordinatorTest, AnnouncesAnAcceptedOrder) {
  View(0).refusals = 5;
  Run(0, 200);
  coordinator_.PromotionAnswered(At(250), "group", 7,
                                 PromotionOutcome::kAccepted);
  EXPECT_EQ(announced_, orders_[0].database);
}

// The chosen database stops before it becomes primary. Another one has to be
// promoted soon.
TEST_F(CoordinatorTest, PromotesAnotherWhenTheFirstIsNotRunning) {
  View(0).refusals = 5;
  Run(0, 200);
  coordinator_.PromotionAnswered(At(250), "group", 7,
                                 PromotionOutcome::kNotRunning);
  Run(300, 1000);
  EXPECT_GE(orders_.size(), 2U);
}

// The list of databases names a new primary, which fails before it has reported
// its term. The known statuses predate the promotion: by them the replaced
// primary, whose last entries were discarded, would be promoted again.
TEST_F(CoordinatorTest, IgnoresStatusesFromBeforeAChangeOfThePrimary) {
  View(0).status.received = {1, 118};
  Run(0, 1000);
  group_.primary = "b";
  busy_ = {"a", "c"};
  View(1).refusals = 5;
  Run(1100, 2500);
  EXPECT_TRUE(orders_.empty());
  busy_.clear();
  View(0).status.received = {1, 100};
  View(2).status.received = {2, 101};
  Run(2600, 2800);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// A replaced primary reported positions that the promotion discarded. They must
// not outweigh its present log, which lacks acknowledged entries of the other
// replica.
TEST_F(CoordinatorTest, IgnoresPositionsAppliedBeforeTheTerm) {
  group_.primary = "b";
  group_.term = 2;
  View(0).applied = {1, 118};
  View(2).status.received = {1, 112};
  Run(0, 500);
  View(1).refusals = 5;
  Run(600, 900);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// Both replicas reported the same position before the primary failed; since
// then one has received commits, which were acknowledged. Statuses from before
// the failure would choose the other and discard them.
TEST_F(CoordinatorTest, ChoosesByStatusesRequestedAfterTheFailure) {
  Run(0, 600);
  busy_ = {"b", "c"};
  View(0).refusals = 5;
  Run(700, 900);
  EXPECT_TRUE(orders_.empty());
  busy_.clear();
  View(2).status.received = {1, 150};
  Run(1000, 1200);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// The interval between probes of a healthy group must not delay the statuses
// that the promotion waits for.
TEST_F(CoordinatorTest, ProbesAtOnceWhenThePrimaryFails) {
  Run(0, 200);
  const int probes = probes_;
  View(0).refusals = 1;
  Run(300, 300);
  EXPECT_EQ(probes_, probes + 1);
}

// The primary fails while the replica with the newest commits is unreachable
// for a short time. Promoting the other one would discard acknowledged commits.
// Once the unreachable one has left the list, the other is all that remains.
TEST_F(CoordinatorTest, WaitsForAnUnreachableReplicaUntilItLeavesTheList) {
  View(1).status.received = {1, 100};
  View(2).status.received = {1, 170};
  Run(0, 1000);
  unreachable_ = {"a", "c"};
  View(0).refusals = 5;
  View(2).responsive = false;
  Run(1100, 4000);
  EXPECT_TRUE(orders_.empty());
  group_.databases.pop_back();
  Run(4100, 4300);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "b");
}

// A leaving primary shows that the candidate has received all its commits, so
// an unreachable third database must not delay the change.
TEST_F(CoordinatorTest, PromotesACandidateThatHasAllOfThePrimarysCommits) {
  Run(0, 1000);
  unreachable_ = {"c"};
  View(2).responsive = false;
  View(0).draining = true;
  Run(1100, 1700);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "b");
}

// The order takes effect but its answer is lost. If the instances were not
// notified before, they would acknowledge commits by another replica, and the
// promotion would discard them.
TEST_F(CoordinatorTest, AnnouncesAnOrderBeforeItsAnswer) {
  View(0).refusals = 5;
  Run(0, 200);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(announced_, orders_[0].database);
}

// The rejected order has no effect. Until the announcement is withdrawn,
// commits of the present primary would have to be confirmed by a database that
// is not running.
TEST_F(CoordinatorTest, WithdrawsTheAnnouncementOfARejectedOrder) {
  View(0).draining = true;
  Run(0, 200);
  ASSERT_EQ(orders_.size(), 1U);
  coordinator_.PromotionAnswered(At(250), "group", 7,
                                 PromotionOutcome::kNotRunning);
  EXPECT_EQ(announced_, "");
}

// The primary fails, and the replica with the newest commits reports them but
// is unreachable from then on. The other replica must not be promoted instead.
TEST_F(CoordinatorTest, WaitsForAReplicaThatReportedMoreAfterTheFailure) {
  View(2).status.received = {1, 170};
  Run(0, 1000);
  unreachable_ = {"a"};
  View(0).refusals = 1;
  Run(1100, 1200);
  unreachable_ = {"a", "c"};
  View(0).refusals = 5;
  View(2).responsive = false;
  Run(1300, 4000);
  EXPECT_TRUE(orders_.empty());
}

// A replica answers again after a while, and its status follows a moment later.
// The time spent waiting for the replica to answer must not shorten the wait
// for its status.
TEST_F(CoordinatorTest, WaitsForTheStatusOfAReplicaThatAnswersAgain) {
  Run(0, 1000);
  unreachable_ = {"a", "c"};
  View(0).refusals = 5;
  View(2).responsive = false;
  Run(1100, 3000);
  unreachable_ = {"a"};
  busy_ = {"c"};
  View(2).responsive = true;
  Run(3100, 3300);
  EXPECT_TRUE(orders_.empty());
  busy_.clear();
  View(2).status.received = {1, 170};
  Run(3400, 3500);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// A new holder of the duty finds a primary that has not answered for the
// timeout but is not suspected yet, because it is slow. An unreachable replica
// whose status predates that must not count as read.
TEST_F(CoordinatorTest, ReadsReplicasAfterTheFailureOfASlowPrimary) {
  group_.primary = "b";
  View(0).status_requested_at = At(-900);
  View(0).responsive = false;
  View(0).status.received = {1, 80};
  View(1).unanswered_since = At(-800);
  unreachable_ = {"a", "b"};
  Run(0, 2000);
  EXPECT_TRUE(orders_.empty());
}

// An order without an answer was never executed, and its announcement stays in
// the store. Instances that start later would wait for the announced database
// and report commits as in doubt meanwhile.
TEST_F(CoordinatorTest, WithdrawsAnAnnouncementWithoutEffect) {
  announced_ = "c";
  coordinator_.AnnouncementRead(At(0), "group", "c");
  Run(0, 2000);
  EXPECT_EQ(announced_, "c");
  Run(2100, 2700);
  EXPECT_EQ(announced_, "");
}

// A commit that a replica receives after it was read is lost by the promotion.
TEST_F(CoordinatorTest, OrdersNothingWhileAnotherReplicaReceives) {
  View(0).refusals = 5;
  Run(0, 0);
  EXPECT_TRUE(orders_.empty());
  View(2).status.received = {1, 119};
  Run(100, 300);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// A replica that never confirms the pause must not block the promotion.
TEST_F(CoordinatorTest, WaitsForAPauseOnlyForAWhile) {
  View(0).refusals = 5;
  for (int64_t now = 0; now <= 700; now += 100) {
    requested_pauses_.clear();
    Run(now, now);
  }
  EXPECT_EQ(orders_.size(), 1U);
}

// The time for a pause passes while the replica is unreachable.
TEST_F(CoordinatorTest, PausesAReplicaThatAnswersAgain) {
  Run(0, 1000);
  unreachable_ = {"a"};
  View(0).refusals = 5;
  Run(1100, 1100);
  requested_pauses_.clear();
  unreachable_ = {"a", "c"};
  View(2).responsive = false;
  Run(1200, 3000);
  unreachable_ = {"a"};
  View(2).responsive = true;
  Run(3100, 3100);
  EXPECT_TRUE(orders_.empty());
  Run(3200, 3300);
  EXPECT_EQ(orders_.size(), 1U);
  EXPECT_EQ(View(2).status.paused_term, 2U);
}

// A paused candidate would confirm no commits during a planned change.
TEST_F(CoordinatorTest, LetsTheCandidateOfALivePrimaryCatchUp) {
  View(0).draining = true;
  Run(0, 0);
  View(2).status.received = {1, 105};
  View(1).status.received = {1, 103};
  Run(100, 200);
  EXPECT_TRUE(orders_.empty());
  View(1).status.received = {1, 110};
  Run(300, 300);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "b");
  EXPECT_EQ(View(1).status.paused_term, 0U);
  EXPECT_EQ(View(2).status.paused_term, 2U);
}

// A candidate that no longer receives would block the promotion for good.
TEST_F(CoordinatorTest, PromotesThePausedReplicaIfTheCandidateStaysBehind) {
  View(0).draining = true;
  Run(0, 0);
  View(2).status.received = {1, 105};
  Run(100, 1200);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// A replica that stays paused after a false alarm falls behind for good.
TEST_F(CoordinatorTest, ResumesReplicasWhenThePrimaryRecovers) {
  Run(0, 2500);
  View(0).refusals = 5;
  Run(2600, 2600);
  View(0).refusals = 0;
  Run(2700, 2700);
  EXPECT_EQ(View(2).status.paused_term, 2U);
  Run(2800, 3000);
  EXPECT_EQ(View(2).status.paused_term, 0U);
  EXPECT_TRUE(orders_.empty());
}

// A replica resumed under another holder's order confirms what it discards.
TEST_F(CoordinatorTest, ResumesNoReplicaBeforeTheAnnouncementEnds) {
  coordinator_.AnnouncementRead(At(0), "group", "b");
  View(2).status.paused_term = 2;
  Run(0, 2400);
  EXPECT_EQ(View(2).status.paused_term, 2U);
  Run(2500, 3000);
  EXPECT_EQ(View(2).status.paused_term, 0U);
}

// The same under an own order, before the store delivers its announcement.
TEST_F(CoordinatorTest, ResumesNoReplicaAfterAnOrderWithoutAnswer) {
  View(0).refusals = 5;
  Run(0, 100);
  ASSERT_EQ(orders_.size(), 1U);
  coordinator_.PromotionAnswered(At(300), "group", 7,
                                 PromotionOutcome::kUnknown);
  Run(400, 400, std::nullopt);
  View(0).refusals = 0;
  Run(500, 2500, 9);
  EXPECT_EQ(View(2).status.paused_term, 2U);
  Run(2600, 3200, 9);
  EXPECT_EQ(View(2).status.paused_term, 0U);
}

// A new holder does not know of the order that an earlier one has just sent.
TEST_F(CoordinatorTest, ResumesNoReplicaWhileAnEarlierHoldersOrderMayBeDone) {
  View(2).status.paused_term = 2;
  Run(0, 2500);
  EXPECT_EQ(View(2).status.paused_term, 2U);
  Run(2600, 2700);
  EXPECT_EQ(View(2).status.paused_term, 0U);
}

TEST_F(CoordinatorTest, KeepsTheAnnouncementOfThePrimary) {
  announced_ = "a";
  coordinator_.AnnouncementRead(At(0), "group", "a");
  Run(0, 5000);
  EXPECT_EQ(announced_, "a");
}

}  // namespace
}  // namespace ryefold::core::failover
