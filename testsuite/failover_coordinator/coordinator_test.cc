#include "ryefold/core/failover/coordinator.h"

#include <gtest/gtest.h>

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
  void Announce(const std::string& /*group*/,
                const std::string& database) override {
    announced_ = database;
  }
  void ReplaceToken(const std::string& /*reason*/) override { ++replaced_; }

  /// Lets replicas answer and looks at the group every 100 ms.
  void Play(int64_t from, int64_t to, std::optional<uint64_t> token = 7) {
    for (int64_t now = from; now <= to; now += 100) {
      for (DatabaseView& database : group_.databases) {
        if (silent_.count(database.id) > 0) continue;
        database.last_heard = At(now);
        if (busy_.count(database.id) > 0) continue;
        database.status_asked = At(now);
      }
      coordinator_.Observe(At(now), {group_}, token);
    }
  }
  DatabaseView& View(size_t index) { return group_.databases[index]; }

  Coordinator coordinator_;
  GroupView group_;
  std::set<std::string> silent_;
  /// Answer, but not yet to a status call.
  std::set<std::string> busy_;
  std::vector<Order> orders_;
  std::string announced_;
  int probes_ = 0;
  int replaced_ = 0;
};

// The primary lives and is cut off from its replicas. The one that has received
// all acknowledged commits is silent for a moment, the other is far behind: it
// led before and has just learnt of its successor. Promoting that one would
// discard commits that callers were told are saved, while the primary has them.
TEST_F(CoordinatorTest, WaitsForASilentReplicaWhileThePrimaryLives) {
  View(0).status.received = {1, 180};
  View(1).status.received = {1, 100};
  View(2).status.received = {1, 170};
  Play(0, 1000);
  silent_.insert("c");
  View(2).responsive = false;
  Play(1100, 6000);
  EXPECT_TRUE(orders_.empty());
  silent_.clear();
  View(2).responsive = true;
  Play(6100, 9000);
  ASSERT_FALSE(orders_.empty());
  EXPECT_EQ(orders_.front().database, "c");
}

TEST_F(CoordinatorTest, LeavesAHealthyGroupAlone) {
  Play(0, 20000);
  EXPECT_TRUE(orders_.empty());
  EXPECT_LE(probes_, 21);
}

// The primary falls silent on every connection. Writes fail until another
// leads, so one is named after three quarters of a second, and only once.
TEST_F(CoordinatorTest, NamesAnotherWhenThePrimaryIsSilent) {
  silent_.insert("a");
  View(0).silent_since = At(0);
  View(0).responsive = false;
  Play(0, 700);
  EXPECT_TRUE(orders_.empty());
  Play(800, 2500);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_NE(orders_[0].database, "a");
  EXPECT_EQ(orders_[0].token, 7U);
}

// A busy primary answers late, but it answers: each answer shows that it
// lives. Replacing it would cost a second of writes for nothing.
TEST_F(CoordinatorTest, DoesNotTakeSlownessForLoss) {
  for (int64_t now = 0; now < 10000; now += 600) {
    View(0).silent_since = At(now);
    View(0).responsive = false;
    Play(now, now + 500);
  }
  EXPECT_TRUE(orders_.empty());
}

// What the new primary has not received is lost for good. The replica that has
// received most is taken, although the other is listed first.
TEST_F(CoordinatorTest, TakesTheMostAdvancedReplica) {
  View(1).status.received = {1, 40};
  View(2).status.received = {1, 90};
  View(0).refusals = 5;
  Play(0, 300);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// The primary is cut off from its replicas and goes on answering. Commits are
// not acknowledged, so writes fail for as long as the cut lasts unless another
// leads.
TEST_F(CoordinatorTest, NamesAnotherWhenReplicasReceiveNothing) {
  Play(0, 1000);
  View(0).status.received = {1, 130};
  Play(1100, 2400);
  EXPECT_TRUE(orders_.empty());
  Play(2500, 3000);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_NE(orders_[0].database, "a");
}

// One replica receives; the group can confirm commits with it.
TEST_F(CoordinatorTest, LeavesAGroupAloneWhileOneReplicaReceives) {
  for (uint64_t i = 0; i < 100; ++i) {
    View(0).status.received = {1, 105 + 2 * i};
    View(1).status.received = {1, 104 + 2 * i};
    Play(static_cast<int64_t>(i) * 100, static_cast<int64_t>(i) * 100);
  }
  EXPECT_TRUE(orders_.empty());
}

// The status of one replica is old: it may receive what the others do not.
TEST_F(CoordinatorTest, LeavesAGroupAloneWhileAReplicaIsUnknown) {
  Play(0, 1000);
  busy_.insert("b");
  View(0).status.received = {1, 130};
  Play(2600, 10000);
  EXPECT_TRUE(orders_.empty());
}

// The replica that has received most is busy, and its status comes late. If the
// other were taken at once, whatever only the busy one has would be lost.
TEST_F(CoordinatorTest, WaitsForTheStatusOfABusyReplica) {
  View(1).status.received = {1, 40};
  View(2).status.received = {1, 10};
  busy_.insert("c");
  View(0).refusals = 5;
  Play(0, 300);
  EXPECT_TRUE(orders_.empty());
  busy_.clear();
  View(2).status.received = {1, 90};
  Play(400, 600);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// The replica that has received everything serves all reads and is too busy to
// tell its status. Its older status, and what its answers show, must not count
// for less than the fresh status of one that has received nothing for a while.
TEST_F(CoordinatorTest, TakesABusyReplicaThatIsKnownToBeAhead) {
  View(1).status.received = {1, 98};
  View(2).status.received = {1, 114};
  busy_.insert("c");
  View(0).refusals = 5;
  Play(0, 900);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// A replica that never tells must not keep a group without a primary.
TEST_F(CoordinatorTest, WaitsForABusyReplicaOnlyForAWhile) {
  busy_.insert("c");
  View(0).refusals = 5;
  View(2).status.received = {1, 10};
  Play(0, 900);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "b");
}

// This instance is cut off from everything. It must not name a primary by what
// it knew before: that replica may have missed a lot since.
TEST_F(CoordinatorTest, NamesNobodyWhenNoReplicaAnswers) {
  silent_ = {"a", "b", "c"};
  for (DatabaseView& database : group_.databases) {
    database.silent_since = At(0);
    database.responsive = false;
  }
  Play(0, 5000);
  EXPECT_TRUE(orders_.empty());
}

TEST_F(CoordinatorTest, NamesNobodyWithoutTheDuty) {
  View(0).refusals = 5;
  Play(0, 5000, std::nullopt);
  EXPECT_TRUE(orders_.empty());
}

// The primary announces that it leaves, for instance for a new version. Its
// successor is named at once, while it still serves.
TEST_F(CoordinatorTest, ReplacesALeavingPrimaryByOneThatStays) {
  View(0).draining = true;
  View(1).draining = true;
  Play(0, 300);
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_EQ(orders_[0].database, "c");
}

// An order got no answer and may be carried out seconds later. Repeating it
// under the same token could turn the group round a second time.
TEST_F(CoordinatorTest, GetsANewTokenAfterAnOrderWithoutAnswer) {
  View(0).refusals = 5;
  Play(0, 200);
  ASSERT_EQ(orders_.size(), 1U);
  coordinator_.PromotionAnswered(At(1200), "group", 7,
                                 PromotionOutcome::kUnknown);
  EXPECT_EQ(replaced_, 1);
  // The duty comes back under a higher token, and the order is given again.
  Play(1300, 1300, std::nullopt);
  Play(1400, 1800, 9);
  ASSERT_EQ(orders_.size(), 2U);
  EXPECT_EQ(orders_[1].token, 9U);
}

TEST_F(CoordinatorTest, TellsTheOthersOfAnAcceptedOrder) {
  View(0).refusals = 5;
  Play(0, 200);
  coordinator_.PromotionAnswered(At(250), "group", 7,
                                 PromotionOutcome::kAccepted);
  EXPECT_EQ(announced_, orders_[0].database);
}

// The one that was named ends before it leads. Another has to be named soon.
TEST_F(CoordinatorTest, NamesAnotherWhenTheFirstIsNotRunning) {
  View(0).refusals = 5;
  Play(0, 200);
  coordinator_.PromotionAnswered(At(250), "group", 7,
                                 PromotionOutcome::kNotRunning);
  Play(300, 1000);
  EXPECT_GE(orders_.size(), 2U);
}

}  // namespace
}  // namespace ryefold::core::failover
