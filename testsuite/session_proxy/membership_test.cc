// Reads and commits at instances that know different databases.

#include <gtest/gtest.h>

#include "testsuite/session_proxy/proxy_fixture.h"

namespace ryefold::testsuite {
namespace {

class MembershipTest : public ProxyTest {
 protected:
  /// Two instances, of which only the first learns of the replica db-d; db-c
  /// receives nothing; db-d becomes the primary and db-a goes on.
  void ReplaceByUnknownDatabase() {
    CreateInstances(2);
    StartSession(0, 1, "primary");
    StartSession(1, 2, "primary");
    EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
    EXPECT_EQ(Read(1, 2), ErrorCode::kNone);
    RunFor(100);
    cluster_.KeepReplacedActive();
    cluster_.AddReplica("db-d");
    hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
    RunFor(300);
    hosts_[1]->SetListStale(true);
    cluster_.database("db-c").detached = true;
    cluster_.Partition("db-a", "db-d");
    cluster_.Promote("db-d");
    hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  }
  /// Returns whether the last executed read of the caller's statement holds the
  /// last commit.
  bool ReadHoldsLastCommit() {
    const auto& executed = cluster_.executed_statements();
    for (auto it = executed.rbegin(); it != executed.rend(); ++it) {
      if (it->text.rfind("READ", 0) != 0) continue;
      const LogPosition newest = cluster_.database("db-d").log.back().position;
      return std::count(it->log.begin(), it->log.end(), newest) > 0;
    }
    return false;
  }
};

// An instance that is cut off knows the replaced primary and a replica that
// receives nothing, not the successor: a read there must not miss a commit that
// another instance has acknowledged.
TEST_F(MembershipTest, ReadsMissNoCommitOfAnUnknownSuccessor) {
  ReplaceByUnknownDatabase();
  const ErrorCode written = Write(0, 1);
  for (int i = 0; i < 20; ++i) {
    const ErrorCode read = Read(1, 2);
    if (written == ErrorCode::kNone && read == ErrorCode::kNone) {
      EXPECT_TRUE(ReadHoldsLastCommit()) << i;
    }
    RunFor(20);
  }
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_FALSE(cluster_.database("db-a").primary);
}

// The same while the other instance does not reach the replaced primary: its
// commits wait until no read can be proved there, and go on once it is gone.
TEST_F(MembershipTest, AcknowledgesNothingBesideAnUnreachablePrimary) {
  ReplaceByUnknownDatabase();
  hosts_[0]->PartitionFrom("db-a");
  for (int i = 0; i < 10; ++i) {
    const ErrorCode written = Write(0, 1);
    const ErrorCode read = Read(1, 2);
    if (written == ErrorCode::kNone && read == ErrorCode::kNone) {
      EXPECT_TRUE(ReadHoldsLastCommit()) << i;
    }
  }
  EXPECT_TRUE(cluster_.database("db-a").primary);
  // The replica receives again, so no witness of the old term is left.
  cluster_.database("db-c").detached = false;
  RunFor(1500);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// The successor's answer to a begin shows the log of the term before: it must
// not pass for that term's leader, or the one that did lead it, which is out of
// reach, would pass for a replica.
TEST_F(MembershipTest, ABeginDoesNotShowWhoLedTheTermBefore) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  cluster_.AddReplica("db-d");
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->proxy()->ProbeGroup(clock_.now(), "group");
  RunFor(200);
  cluster_.KeepReplacedActive();
  hosts_[0]->PartitionFrom("db-b");
  cluster_.Promote("db-b");
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  RunFor(2000);
  hosts_[0]->proxy()->ProbeGroup(clock_.now(), "group");
  RunFor(200);
  cluster_.Partition("db-b", "db-d");
  cluster_.database("db-c").detached = true;
  cluster_.Promote("db-d");
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Execute(0, 1, StatementKind::kRollback, "ROLLBACK"),
            ErrorCode::kNone);
  EXPECT_TRUE(cluster_.database("db-b").primary);
  EXPECT_NE(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->Reconnect();
  hosts_[0]->BreakConnections();
  RunFor(1500);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// An order to step down finds a pause that waits for a connection of the same
// database: the pause must still be sent, or a promotion could lose commits.
TEST_F(MembershipTest, AnOrderToStepDownDoesNotDisplaceAPause) {
  constexpr uint64_t kPauseTerm = 5;
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->proxy()->ProbeGroup(clock_.now(), "group");
  RunFor(100);
  cluster_.Promote("db-b");
  // All connections to the old primary are busy until the new one has
  // committed.
  FakeDatabase& old = cluster_.database("db-a");
  old.min_work = old.max_work = milliseconds(70);
  old.max_connections = cluster_.connections("db-a");
  cluster_.database("db-b").max_work = cluster_.database("db-b").min_work;
  for (uint32_t i = 0; i < old.max_connections; ++i) {
    hosts_[0]->proxy()->ProbeGroup(clock_.now(), "group");
  }
  hosts_[0]->proxy()->PauseReplication(clock_.now(), "db-a", kPauseTerm);
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  RunFor(400);
  EXPECT_EQ(cluster_.database("db-a").paused_term, kPauseTerm);
}

// Three databases of which one is lost: no commit waits for more than one
// replica, and no order to step down is needed.
TEST_F(MembershipTest, CommitsGoOnAtOnceAfterTheLossOfAPrimary) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  RunFor(50);
  cluster_.Crash("db-a");
  hosts_[0]->BreakConnections();
  cluster_.Promote("db-b");
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  RunFor(100);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
}

}  // namespace
}  // namespace ryefold::testsuite
