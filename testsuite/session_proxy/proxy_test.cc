// Single failures in virtual time and the replies that callers get.

#include <gtest/gtest.h>

#include "testsuite/session_proxy/proxy_fixture.h"

namespace ryefold::testsuite {
namespace {

// The roster lists a database of a group that is not configured. The proxy must
// not connect to its address, which may belong to another service, until the
// group is configured.
TEST_F(ProxyTest, IgnoresDatabasesOfUnknownGroups) {
  CreateInstances(1);
  const uint32_t opened = hosts_[0]->opened_connections();
  Roster roster = TestRoster(cluster_);
  roster["db-x"] = roster["db-b"];
  roster["db-x"].id = "db-x";
  roster["db-x"].group = "elsewhere";
  hosts_[0]->proxy()->OnRoster(clock_.now(), roster);
  EXPECT_EQ(hosts_[0]->opened_connections(), opened);
  EXPECT_EQ(hosts_[0]->proxy()->groups(clock_.now()).size(), 1U);
  RouteTable table = TestRoutes(21);
  table.version = 2;
  table.groups["elsewhere"] = table.groups["group"];
  hosts_[0]->proxy()->OnRoutes(clock_.now(), table);
  EXPECT_EQ(hosts_[0]->proxy()->groups(clock_.now()).size(), 2U);
}

// A replica restarts under its id with an empty log while replication to the
// other replica is stopped. The position that it had received before must not
// make it the successor or confirm commits: the next loss of the primary would
// lose acknowledged commits.
TEST_F(ProxyTest, DiscardsReceivedPositionOfARestartedReplica) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  cluster_.database("db-c").detached = true;
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").detached = true;
  cluster_.RestartEmpty("db-b");
  hosts_[0]->BreakConnections();
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  const auto view = hosts_[0]->proxy()->groups(clock_.now()).front();
  for (const auto& database : view.databases) {
    if (database.id != "db-b") continue;
    EXPECT_EQ(database.status.received, LogPosition());
    EXPECT_EQ(database.applied, LogPosition());
    // The position is unknown, not empty: an election has to wait for a status.
    EXPECT_EQ(database.status_requested_at, TimePoint());
  }
  RunFor(300);
  EXPECT_EQ(Write(0, 1), ErrorCode::kInDoubt);
}

// The primary restarts under its id with an empty log, and no database has been
// promoted yet. The proxy must not use it as the primary: callers would read
// empty data.
TEST_F(ProxyTest, DoesNotUseAPrimaryRestartedWithEmptyState) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  StartSession(0, 2, "session");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.RestartEmpty("db-a");
  hosts_[0]->BreakConnections();
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  EXPECT_EQ(hosts_[0]->proxy()->groups(clock_.now()).front().primary, "");
  EXPECT_NE(Read(0, 1), ErrorCode::kNone);
  cluster_.Promote("db-b");
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  RunFor(500);
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// The primary neither accepts nor refuses connections, and each attempt times
// out after one second. The time without contact must continue across attempts:
// if each attempt restarted it, failover would be delayed and callers would
// wait.
TEST_F(ProxyTest, TimeWithoutContactSpansConnectAttempts) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-a").up = false;
  hosts_[0]->PartitionFrom("db-a");
  hosts_[0]->BreakConnections();
  RunFor(2500);
  const auto view = hosts_[0]->proxy()->groups(clock_.now()).front();
  for (const auto& database : view.databases) {
    if (database.id != "db-a") continue;
    EXPECT_NE(database.unanswered_since, TimePoint());
    EXPECT_GT(clock_.now() - database.unanswered_since, milliseconds(2000));
  }
}

// One instance cannot reach the primary, while the other instances can. Its
// callers must still be able to write, without a promotion.
TEST_F(ProxyTest, WritesThroughAnotherInstanceWhenOnlyThisOneIsCutOff) {
  CreateInstances(3);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->PartitionFrom("db-a");
  // The first statement detects the failure; its outcome is not checked.
  Write(0, 1);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
    EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  }
  EXPECT_EQ(cluster_.primary(), "db-a");
}

// One instance cannot reach either replica and so cannot confirm commits, while
// the databases reach each other and all other instances reach the databases.
// Its callers must be able to write through another instance instead of being
// refused until the partition heals.
TEST_F(ProxyTest, WritesThroughAnotherInstanceWhenOnlyThisOneSeesNoReplica) {
  CreateInstances(3);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->PartitionFrom("db-b");
  hosts_[0]->PartitionFrom("db-c");
  // The first statement detects the failure; its outcome is not checked.
  Write(0, 1);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Write(0, 1), ErrorCode::kNone) << i;
}

// No instance can reach the primary. Forwarding each statement to every other
// instance would multiply the load during the outage.
TEST_F(ProxyTest, LimitsForwardingWhenNoInstanceReachesThePrimary) {
  CreateInstances(6);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  for (const auto& host : hosts_) host->PartitionFrom("db-a");
  Write(0, 1);
  const uint64_t before = fleet_.forwarded_count;
  for (int i = 0; i < 20; ++i) Write(0, 1);
  EXPECT_LE(fleet_.forwarded_count - before, 60U);
}

// Replication to both replicas stops while the primary keeps running. A write
// acknowledged now would be lost with the primary. The first caller gets
// INDOUBT; later writes are refused at once as not executed, with a retry time.
TEST_F(ProxyTest, AcknowledgesNoCommitThatNoReplicaHasReceived) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  StartSession(0, 2, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").detached = true;
  cluster_.database("db-c").detached = true;
  EXPECT_EQ(Write(0, 1), ErrorCode::kInDoubt);
  const TimePoint before = clock_.now();
  EXPECT_EQ(Write(0, 1), ErrorCode::kBusy);
  EXPECT_EQ(Execute(0, 2, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 2), ErrorCode::kNone);
  EXPECT_EQ(Execute(0, 2, StatementKind::kCommit, "COMMIT"),
            ErrorCode::kAborted);
  EXPECT_LT(clock_.now() - before, milliseconds(200));
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").detached = false;
  RunFor(300);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_EQ(Execute(0, 2, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 2), ErrorCode::kNone);
  EXPECT_EQ(Execute(0, 2, StatementKind::kCommit, "COMMIT"), ErrorCode::kNone);
}

// A replica has received a commit but the other one, which lacks it, is
// promoted. The new primary accepts a begin before it reports its term. What
// the first replica received no longer counts: the promotion discarded it.
TEST_F(ProxyTest, AcknowledgesNoCommitThatTheNewPrimaryLacks) {
  StartTwoCallersAndWrite();
  cluster_.database("db-c").detached = true;
  cluster_.database("db-c").extra_latency = milliseconds(600);
  hosts_[0]->proxy()->ExpectPrimary(clock_.now(), "group", "db-c");
  Send(0, 1, StatementKind::kWrite, "WRITE k v");
  RunFor(200);
  ASSERT_EQ(replies_.count(1), 0U);
  cluster_.Promote("db-c");
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  EXPECT_EQ(Execute(0, 2, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  RunFor(1200);
  ASSERT_EQ(replies_.count(1), 1U);
  EXPECT_EQ(replies_[1].error, ErrorCode::kInDoubt);
}

class TwoPromotionsTest : public ProxyTest {
 protected:
  /// Makes a commit on db-a that all replicas but `first` receive, promotes
  /// `first` and announces `second`. The reply to caller 1 is in `replies_`
  /// afterwards.
  void CommitBeforeTwoPromotions(const std::string& first,
                                 const std::string& second) {
    CreateInstances(1);
    StartSession(0, 1, "primary");
    EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
    RunFor(50);
    cluster_.database(first).detached = true;
    hosts_[0]->proxy()->ExpectPrimary(clock_.now(), "group", first);
    Send(0, 1, StatementKind::kWrite, "WRITE k v");
    RunFor(200);
    ASSERT_EQ(replies_.count(1), 0U);
    cluster_.Promote(first);
    hosts_[0]->proxy()->ExpectPrimary(clock_.now(), "group", second);
    RunFor(1200);
    ASSERT_EQ(replies_.count(1), 1U);
  }
};

// The old primary is promoted again soon after it was replaced. Its log was
// rolled back in between, so it no longer holds a commit that it made before.
TEST_F(TwoPromotionsTest, AcknowledgesNoCommitThatTheFirstDiscarded) {
  CommitBeforeTwoPromotions("db-b", "db-a");
  EXPECT_EQ(replies_[1].error, ErrorCode::kInDoubt);
}

// The replica that had received a commit is promoted after another one that had
// not. What it reported before the first promotion does not count.
TEST_F(TwoPromotionsTest, AcknowledgesNoCommitByAnOldReportOfTheSecond) {
  CommitBeforeTwoPromotions("db-b", "db-c");
  EXPECT_EQ(replies_[1].error, ErrorCode::kInDoubt);
}

// A replaced primary that still accepts calls is about to be promoted again,
// and this instance has not heard of the primary in between. A begin that the
// old one accepts does not show that the promotion took effect: commits of the
// one in between are still going to be discarded.
TEST_F(ProxyTest, AwaitsAPromotionUntilItsTermIsReported) {
  StartTwoCallersAndWrite();
  cluster_.KeepReplacedActive();
  cluster_.Partition("db-a", "db-b");
  cluster_.Partition("db-a", "db-c");
  cluster_.Promote("db-b");
  hosts_[0]->proxy()->ExpectPrimary(clock_.now(), "group", "db-a");
  EXPECT_EQ(Execute(0, 2, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  hosts_[0]->proxy()->ProbeGroup(clock_.now(), "group");
  RunFor(200);
  ASSERT_EQ(hosts_[0]->proxy()->groups(clock_.now()).front().primary, "db-b");
  EXPECT_EQ(Write(0, 1), ErrorCode::kInDoubt);
}

// Both replicas are lost permanently while writes are refused for lack of a
// confirming replica. With no replica left to promote, a commit on the primary
// is sufficient; the group must not refuse writes forever.
TEST_F(ProxyTest, AcceptsWritesAgainWhenNoReplicaIsLeft) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.Crash("db-b");
  cluster_.Crash("db-c");
  hosts_[0]->BreakConnections();
  Write(0, 1);
  EXPECT_EQ(Write(0, 1), ErrorCode::kBusy);
  Roster roster_without_replicas = TestRoster(cluster_);
  roster_without_replicas.erase("db-b");
  roster_without_replicas.erase("db-c");
  hosts_[0]->proxy()->OnRoster(clock_.now(), roster_without_replicas);
  RunFor(3000);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// The databases' registrations expire during a store outage, while the replicas
// keep running and could be promoted. An empty roster must not make the proxy
// acknowledge commits that no replica has received.
TEST_F(ProxyTest, CountsReplicasWhoseRegistrationsHaveExpired) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").detached = true;
  cluster_.database("db-c").detached = true;
  hosts_[0]->proxy()->OnRoster(clock_.now(), Roster());
  EXPECT_EQ(Write(0, 1), ErrorCode::kInDoubt);
}

// Replicas receive nothing for seconds while they execute reads. Each status
// call takes a slot from a read; without a pause between calls, every instance
// would send hundreds of status calls per second.
TEST_F(ProxyTest, PollsReplicasThatReceiveNothingAtALowRate) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").detached = true;
  cluster_.database("db-c").detached = true;
  for (CallerId c = 2; c < 8; ++c) StartSession(0, c, "bounded");
  Send(0, 1, StatementKind::kWrite, "WRITE k v");
  const uint32_t before = hosts_[0]->status_calls();
  for (int step = 0; step < 60; ++step) {
    for (CallerId caller = 2; caller < 8; ++caller) {
      Send(0, caller, StatementKind::kRead, "READ k");
    }
    RunFor(50);
  }
  EXPECT_LE(hosts_[0]->status_calls() - before, 75U);
}

// A route moves to another group while one of its callers is in a transaction.
// The commit still runs on the old group's primary. Its reply must not count as
// proof of the new group's primary, or callers of the new group would be sent
// to a database of the old one.
TEST_F(ProxyTest, KeepsATransactionOnTheRouteThatItBeganWith) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  RouteTable routes = TestRoutes(21);
  routes.version = 2;
  routes.routes["primary"].group = "other";
  routes.groups["other"].connection_limit = 21;
  hosts_[0]->proxy()->OnRoutes(clock_.now(), routes);
  EXPECT_EQ(Execute(0, 1, StatementKind::kCommit, "COMMIT"), ErrorCode::kNone);
  for (const core::session::GroupView& group :
       hosts_[0]->proxy()->groups(clock_.now())) {
    if (group.group != "other") continue;
    EXPECT_EQ(group.primary, "");
  }
  // The other group has no database, so the next transaction is refused.
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kBusy);
}

// All instances lose power at once, and the databases count their connections
// for three more seconds. The instances together must hold no more than about
// half of the limit in steady state, so that restarted instances can connect.
TEST_F(ProxyTest, LeavesConnectionsForARestartedFleet) {
  CreateInstances(8);
  for (size_t host = 0; host < 8; ++host) {
    for (CallerId n = 0; n < 4; ++n) {
      const CallerId caller = 10 * (host + 1) + n;
      StartSession(host, caller, n % 2 == 0 ? "session" : "primary");
      Send(host, caller, StatementKind::kRead, "READ k");
    }
  }
  RunFor(3000);
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    EXPECT_LE(cluster_.connections(id), 11U) << id;
  }
}

// Sixty instances restart at the same time, with databases that accept fewer
// connections than there are instances. If each instance connected before the
// keepers of the group are determined, databases would spend the first half
// second accepting and refusing connections while callers wait.
TEST_F(ProxyTest, OnlyKeepersOpenConnectionsWhenAFleetStarts) {
  constexpr uint32_t kInstances = 60;
  fleet_.connection_limit = 53;
  CreateInstances(kInstances);
  uint32_t before = 0;
  for (const auto& host : hosts_) before += host->opened_connections();
  for (const auto& host : hosts_) host->Restart();
  RunFor(300);
  uint32_t opened = 0;
  for (const auto& host : hosts_) opened += host->opened_connections();
  const size_t keepers = core::session::KeeperCount(53, kInstances);
  EXPECT_LE(opened - before, 3 * keepers);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// A partition delays a forwarded statement of a transaction. The caller ends
// the failed transaction and begins another at the same keeper; then the
// partition heals and the old statement arrives. It must not run inside the new
// transaction.
TEST_F(ProxyTest, ALateStatementDoesNotRunInANewTransaction) {
  constexpr uint32_t kInstances = 60;
  fleet_.connection_limit = 53;
  CreateInstances(kInstances);
  size_t entry = 0;
  while (hosts_[entry]->proxy()->groups(clock_.now()).front().is_keeper) {
    ++entry;
  }
  StartSession(entry, 1, "primary");
  ASSERT_EQ(Execute(entry, 1, StatementKind::kBegin, "BEGIN"),
            ErrorCode::kNone);
  ASSERT_EQ(Read(entry, 1), ErrorCode::kNone);
  const auto late_statement = fleet_.last_forwarded;
  const std::string keeper = fleet_.last_forward_keeper;
  ASSERT_EQ(Execute(entry, 1, StatementKind::kRollback, "ROLLBACK"),
            ErrorCode::kNone);
  // The keeper is chosen by load; repeat until it is the same one.
  do {
    Execute(entry, 1, StatementKind::kRollback, "ROLLBACK");
    ASSERT_EQ(Execute(entry, 1, StatementKind::kBegin, "BEGIN"),
              ErrorCode::kNone);
  } while (fleet_.last_forward_keeper != keeper);
  std::optional<ErrorCode> result;
  fleet_.instances.at(keeper)->Adopt(
      late_statement, [&result](const Reply& reply) { result = reply.error; });
  RunFor(100);
  EXPECT_EQ(result, ErrorCode::kAborted);
  EXPECT_EQ(Read(entry, 1), ErrorCode::kNone);
}

// The instances of a fleet start and read the store at different times within
// half a second. The first ones accept callers, whose statements go to keepers
// that have not read the store yet. Such statements must wait instead of being
// refused: every other instance would forward to the same keepers.
TEST_F(ProxyTest, StatementsWaitForKeepersThatStart) {
  constexpr uint32_t kInstances = 60;
  fleet_.connection_limit = 53;
  CreateInstances(kInstances);
  for (size_t host = 1; host < hosts_.size(); ++host) {
    hosts_[host]->RestartWithStoreDelay(milliseconds(400));
  }
  hosts_[0]->Restart();
  RunFor(5);
  EXPECT_TRUE(hosts_[0]->proxy()->ready());
  EXPECT_FALSE(hosts_[1]->proxy()->ready());
  StartSession(0, 1, "bounded");
  const TimePoint sent_at = clock_.now();
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  EXPECT_LT(clock_.now() - sent_at, milliseconds(600));
}

// The same, but the store does not answer the keepers at all: the statement is
// refused as not executed when its route's timeout expires.
TEST_F(ProxyTest, StatementsDoNotWaitForKeepersForever) {
  constexpr uint32_t kInstances = 60;
  fleet_.connection_limit = 53;
  CreateInstances(kInstances);
  for (size_t host = 1; host < hosts_.size(); ++host) {
    hosts_[host]->RestartWithStoreDelay(milliseconds(60000));
  }
  hosts_[0]->Restart();
  RunFor(5);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kBusy);
}

// Under load no connection is idle. If each of eight instances held a quarter
// of a database's connections, they would need twice its limit, and the last
// instance to connect or to restart would be refused.
TEST_F(ProxyTest, HoldsFewConnectionsUnderLoad) {
  CreateInstances(8);
  for (size_t host = 0; host < 8; ++host) {
    for (CallerId n = 0; n < 12; ++n) {
      StartSession(host, 100 * (host + 1) + n,
                   n % 2 == 0 ? "bounded" : "primary");
    }
  }
  for (int step = 0; step < 40; ++step) {
    for (size_t host = 0; host < 8; ++host) {
      for (CallerId n = 0; n < 12; ++n) {
        const CallerId caller = 100 * (host + 1) + n;
        if (step == 0 || replies_.count(caller) > 0) {
          Send(host, caller, StatementKind::kRead, "READ k");
        }
      }
    }
    RunFor(25);
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      EXPECT_LE(cluster_.connections(id), 16U) << id;
    }
  }
}

// An instance drains while a transaction is open. The caller may finish it
// within the drain time, and an idle session is closed at once.
TEST_F(ProxyTest, DrainsWithoutAbortingATransaction) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  StartSession(0, 2, "primary");
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->proxy()->Drain(clock_.now(), clock_.now() + milliseconds(3000),
                            clock_.now() + milliseconds(5000));
  EXPECT_EQ(hosts_[0]->proxy()->callers(), 1U);
  EXPECT_EQ(Execute(0, 1, StatementKind::kCommit, "COMMIT"), ErrorCode::kNone);
  RunFor(200);
  EXPECT_TRUE(hosts_[0]->proxy()->drained());
}

// Guards against sessions that never rest, which would keep a drain from
// ending.
TEST_F(ProxyTest, BeginsNoOperationWhileItDrains) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  Send(0, 1, StatementKind::kWrite, "WRITE k v");
  hosts_[0]->proxy()->Drain(clock_.now(), clock_.now() + milliseconds(3000),
                            clock_.now() + milliseconds(5000));
  while (replies_.count(1) == 0) RunFor(1);
  EXPECT_EQ(replies_[1].error, ErrorCode::kNone);
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kBusy);
  StartSession(0, 2, "primary");
  EXPECT_FALSE(hosts_[0]->accepted(2));
  RunFor(60);
  EXPECT_TRUE(hosts_[0]->proxy()->drained());
}

// Guards against denying a commit that may have taken effect, at a drain's end.
TEST_F(ProxyTest, AnswersWhatIsPendingAtTheEndOfADrain) {
  CreateInstances(1);
  for (CallerId caller = 1; caller <= 4; ++caller) {
    StartSession(0, caller, "primary");
  }
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_EQ(Execute(0, 2, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 2), ErrorCode::kNone);
  hosts_[0]->StallConnections();
  Send(0, 1, StatementKind::kCommit, "COMMIT");
  Send(0, 2, StatementKind::kWrite, "WRITE k v");
  Send(0, 3, StatementKind::kWrite, "WRITE k v");
  hosts_[0]->proxy()->Drain(clock_.now(), clock_.now() + milliseconds(100),
                            clock_.now() + milliseconds(200));
  RunFor(260);
  ASSERT_EQ(replies_.count(1) + replies_.count(2) + replies_.count(3), 3U);
  EXPECT_EQ(replies_[1].error, ErrorCode::kInDoubt);
  EXPECT_EQ(replies_[2].error, ErrorCode::kTimeout);
  EXPECT_NE(replies_[3].error, ErrorCode::kNone);
  EXPECT_TRUE(hosts_[0]->proxy()->drained());
}

// A caller begins a transaction, writes, and sends nothing else. The database
// connection, one of a few, must be released, and the caller must get ABORTED.
TEST_F(ProxyTest, RollsBackIdleTransactions) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  RunFor(3500);
  EXPECT_EQ(Execute(0, 1, StatementKind::kCommit, "COMMIT"),
            ErrorCode::kAborted);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// The reply to a read is lost while the connection stays open. The read must be
// retried on another database well before its deadline.
TEST_F(ProxyTest, RetriesAnUnansweredReadOnAnotherDatabase) {
  CreateInstances(1);
  StartSession(0, 1, "session");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  hosts_[0]->StallConnections();
  EXPECT_EQ(Execute(0, 1, StatementKind::kRead, "READ k", 700),
            ErrorCode::kNone);
}

// The reply to a commit is lost. The commit may have been applied, so the proxy
// must report neither success nor an error that guarantees no effect.
TEST_F(ProxyTest, ReportsInDoubtWhenACommitIsNotAnswered) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->StallConnections();
  EXPECT_EQ(Execute(0, 1, StatementKind::kCommit, "COMMIT"),
            ErrorCode::kInDoubt);
}

// The group has no primary and no promotion is in progress. A write must be
// refused within the route's latency goal rather than at its deadline.
TEST_F(ProxyTest, RefusesWritesWithinTheGoalWithoutAPrimary) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.Crash("db-a");
  hosts_[0]->BreakConnections();
  EXPECT_EQ(Execute(0, 1, StatementKind::kWrite, "WRITE k v", 450),
            ErrorCode::kBusy);
}

}  // namespace
}  // namespace ryefold::testsuite
