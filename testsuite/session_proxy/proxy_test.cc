// Single failures in virtual time, and what callers get.

#include <gtest/gtest.h>

#include "testsuite/session_proxy/proxy_fixture.h"

namespace ryefold::testsuite {
namespace {

// An entry names a database of a group that no configuration knows. Nothing may
// be sent to its address, which may be anybody's, until it is configured.
TEST_F(ProxyTest, PassesOverDatabasesOfUnknownGroups) {
  Make(1);
  const uint32_t opened = hosts_[0]->opened();
  Roster roster = TestRoster(cluster_);
  roster["db-x"] = roster["db-b"];
  roster["db-x"].id = "db-x";
  roster["db-x"].group = "elsewhere";
  hosts_[0]->proxy()->OnRoster(clock_.now(), roster);
  EXPECT_EQ(hosts_[0]->opened(), opened);
  EXPECT_EQ(hosts_[0]->proxy()->groups(clock_.now()).size(), 1U);
  RouteTable table = TestRoutes(21);
  table.version = 2;
  table.groups["elsewhere"] = table.groups["group"];
  hosts_[0]->proxy()->OnRoutes(clock_.now(), table);
  EXPECT_EQ(hosts_[0]->proxy()->groups(clock_.now()).size(), 2U);
}

// A replica starts again with an empty log, under the id that it had, while the
// other receives nothing. What it had received before must not make it the
// successor, nor confirm what it does not hold any more: the next loss of the
// primary would take commits that callers were told are saved.
TEST_F(ProxyTest, ForgetsWhatARebornReplicaHadReceived) {
  Make(1);
  Start(0, 1, "primary");
  cluster_.database("db-c").deaf = true;
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").deaf = true;
  cluster_.StartAnew("db-b");
  hosts_[0]->BreakConnections();
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  const auto view = hosts_[0]->proxy()->groups(clock_.now()).front();
  for (const auto& database : view.databases) {
    if (database.id != "db-b") continue;
    EXPECT_EQ(database.status.received, LogPosition());
    EXPECT_EQ(database.applied, LogPosition());
    // Unknown is not nothing: a choice of successor has to wait for its answer.
    EXPECT_EQ(database.status_requested_at, TimePoint());
  }
  Run(300);
  EXPECT_EQ(Write(0, 1), ErrorCode::kInDoubt);
}

// The primary starts again under its id and has lost its log; nobody has been
// promoted yet. It must not be taken for the primary any more, or callers would
// read that nothing was ever booked.
TEST_F(ProxyTest, TakesNoRebornPrimaryForOne) {
  Make(1);
  Start(0, 1, "primary");
  Start(0, 2, "session");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.StartAnew("db-a");
  hosts_[0]->BreakConnections();
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  EXPECT_EQ(hosts_[0]->proxy()->groups(clock_.now()).front().primary, "");
  EXPECT_NE(Read(0, 1), ErrorCode::kNone);
  cluster_.Promote("db-b");
  hosts_[0]->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
  Run(500);
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// A primary is dark: connections to it are neither accepted nor refused, and
// each attempt is given up after a second. Its loss must show after one
// silence, not begin anew with each attempt: callers wait for the successor
// meanwhile.
TEST_F(ProxyTest, SilenceOutlastsAnOpeningThatIsGivenUp) {
  Make(1);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-a").up = false;
  hosts_[0]->CutFrom("db-a");
  hosts_[0]->BreakConnections();
  Run(2500);
  const auto view = hosts_[0]->proxy()->groups(clock_.now()).front();
  for (const auto& database : view.databases) {
    if (database.id != "db-a") continue;
    EXPECT_NE(database.unanswered_since, TimePoint());
    EXPECT_GT(clock_.now() - database.unanswered_since, milliseconds(2000));
  }
}

// The path from one instance to the primary is gone, while the other instances
// reach it. Callers of the first must be able to write all the same, and no
// promotion is needed for it.
TEST_F(ProxyTest, WritesThroughAnotherInstanceWhenOnlyThisOneIsCutOff) {
  Make(3);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->CutFrom("db-a");
  // The first statement finds out; what became of it stays open.
  Write(0, 1);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
    EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  }
  EXPECT_EQ(cluster_.primary(), "db-a");
}

// One instance has lost its paths to both replicas, so that it cannot see
// whether commits are received, while all databases reach each other and the
// other instances reach them all. Its callers must be able to write through
// another instance rather than be refused for as long as the cut lasts.
TEST_F(ProxyTest, WritesThroughAnotherInstanceWhenOnlyThisOneSeesNoReplica) {
  Make(3);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->CutFrom("db-b");
  hosts_[0]->CutFrom("db-c");
  // The first statement finds out; what became of it stays open.
  Write(0, 1);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Write(0, 1), ErrorCode::kNone) << i;
}

// The primary is lost for all. Asking every other instance for each statement
// would multiply the load just when the group is in trouble.
TEST_F(ProxyTest, AsksAroundSeldomWhenThePrimaryIsLostForAll) {
  Make(6);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  for (const auto& host : hosts_) host->CutFrom("db-a");
  Write(0, 1);
  const uint64_t before = fleet_.forwarded;
  for (int i = 0; i < 20; ++i) Write(0, 1);
  EXPECT_LE(fleet_.forwarded - before, 60U);
}

// The replicas receive nothing any more while the primary goes on. Whoever is
// told now that a write is saved finds it gone when the primary is lost. The
// first caller learns that the outcome is open; once that is known, others are
// told at once that their write has not run, and when to come back.
TEST_F(ProxyTest, AcknowledgesNoCommitThatNoReplicaHasReceived) {
  Make(1);
  Start(0, 1, "primary");
  Start(0, 2, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").deaf = true;
  cluster_.database("db-c").deaf = true;
  EXPECT_EQ(Write(0, 1), ErrorCode::kInDoubt);
  const TimePoint before = clock_.now();
  EXPECT_EQ(Write(0, 1), ErrorCode::kBusy);
  EXPECT_EQ(Ask(0, 2, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 2), ErrorCode::kNone);
  EXPECT_EQ(Ask(0, 2, StatementKind::kCommit, "COMMIT"), ErrorCode::kAborted);
  EXPECT_LT(clock_.now() - before, milliseconds(200));
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").deaf = false;
  Run(300);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_EQ(Ask(0, 2, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 2), ErrorCode::kNone);
  EXPECT_EQ(Ask(0, 2, StatementKind::kCommit, "COMMIT"), ErrorCode::kNone);
}

// Both replicas are lost for good while writes are turned away on their
// account. Nobody is left who could be promoted, so the primary's word is all
// there is and enough; a group must not refuse writes for ever.
TEST_F(ProxyTest, LetsWritesInAgainWhenNoReplicaIsLeft) {
  Make(1);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.Crash("db-b");
  cluster_.Crash("db-c");
  hosts_[0]->BreakConnections();
  Write(0, 1);
  EXPECT_EQ(Write(0, 1), ErrorCode::kBusy);
  Roster alone = TestRoster(cluster_);
  alone.erase("db-b");
  alone.erase("db-c");
  hosts_[0]->proxy()->OnRoster(clock_.now(), alone);
  Run(3000);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// The databases' entries lapse while the store is away and come back later. The
// replicas are there all the while, and one of them would be promoted; what
// none has received is not to be acknowledged because the list is empty.
TEST_F(ProxyTest, CountsReplicasWhoseEntriesHaveLapsed) {
  Make(1);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").deaf = true;
  cluster_.database("db-c").deaf = true;
  hosts_[0]->proxy()->OnRoster(clock_.now(), Roster());
  EXPECT_EQ(Write(0, 1), ErrorCode::kInDoubt);
}

// Replicas receive nothing for seconds while reads keep them busy. Each
// question takes a slot that a read could have; asked again as soon as an
// answer has come, they would be asked hundreds of times a second by every
// instance.
TEST_F(ProxyTest, AsksReplicasThatReceiveNothingAtASlowPace) {
  Make(1);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-b").deaf = true;
  cluster_.database("db-c").deaf = true;
  for (CallerId caller = 2; caller < 8; ++caller) Start(0, caller, "bounded");
  Send(0, 1, StatementKind::kWrite, "WRITE k v");
  const uint32_t before = hosts_[0]->status_calls();
  for (int step = 0; step < 60; ++step) {
    for (CallerId caller = 2; caller < 8; ++caller) {
      Send(0, caller, StatementKind::kRead, "READ k");
    }
    Run(50);
  }
  EXPECT_LE(hosts_[0]->status_calls() - before, 75U);
}

// A route moves to another group while one of its callers is in a transaction.
// The commit still runs at the old group's primary; what its answer shows must
// not be taken for a proof about the new group, whose callers would then be
// sent to a database of the old one.
TEST_F(ProxyTest, KeepsATransactionUnderTheRouteThatItBeganWith) {
  Make(1);
  Start(0, 1, "primary");
  EXPECT_EQ(Ask(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  RouteTable routes = TestRoutes(21);
  routes.version = 2;
  routes.routes["primary"].group = "other";
  routes.groups["other"].connection_limit = 21;
  hosts_[0]->proxy()->OnRoutes(clock_.now(), routes);
  EXPECT_EQ(Ask(0, 1, StatementKind::kCommit, "COMMIT"), ErrorCode::kNone);
  for (const core::session::GroupView& group :
       hosts_[0]->proxy()->groups(clock_.now())) {
    if (group.group != "other") continue;
    EXPECT_EQ(group.primary, "");
  }
  // The other group has no database, so the next transaction is turned away.
  EXPECT_EQ(Ask(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kBusy);
}

// All instances lose power at once, and the databases count their connections
// for three seconds more. The restarted instances must find enough left to
// serve, so all of them together hold no more than about half in steady state.
TEST_F(ProxyTest, LeavesConnectionsForARestartedFleet) {
  Make(8);
  for (size_t host = 0; host < 8; ++host) {
    for (CallerId n = 0; n < 4; ++n) {
      const CallerId caller = 10 * (host + 1) + n;
      Start(host, caller, n % 2 == 0 ? "session" : "primary");
      Send(host, caller, StatementKind::kRead, "READ k");
    }
  }
  Run(3000);
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    EXPECT_LE(cluster_.connections(id), 11U) << id;
  }
}

// Sixty instances lose power and start at one moment, before databases that
// take fewer connections than there are instances. If each opened one before it
// knew who keeps the group, databases would spend their first half second on
// letting them in and turning them away, and callers would wait for it.
TEST_F(ProxyTest, OnlyKeepersOpenConnectionsWhenAFleetStarts) {
  constexpr uint32_t kInstances = 60;
  fleet_.connection_limit = 53;
  Make(kInstances);
  uint32_t before = 0;
  for (const auto& host : hosts_) before += host->opened();
  for (const auto& host : hosts_) host->Restart();
  Run(300);
  uint32_t opened = 0;
  for (const auto& host : hosts_) opened += host->opened();
  const size_t keepers = core::session::KeeperCount(53, kInstances);
  EXPECT_LE(opened - before, 3 * keepers);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// A partition holds up a statement on its way to the keeper of its transaction.
// The caller is told that the transaction has failed and begins another at the
// same keeper; then the partition heals and the old statement arrives. It must
// not run inside the new transaction.
TEST_F(ProxyTest, ALateStatementFindsItsTransactionGone) {
  constexpr uint32_t kInstances = 60;
  fleet_.connection_limit = 53;
  Make(kInstances);
  size_t entry = 0;
  while (hosts_[entry]->proxy()->groups(clock_.now()).front().is_keeper) {
    ++entry;
  }
  Start(entry, 1, "primary");
  ASSERT_EQ(Ask(entry, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  ASSERT_EQ(Read(entry, 1), ErrorCode::kNone);
  const auto late = fleet_.last_forwarded;
  const std::string keeper = fleet_.last_keeper;
  ASSERT_EQ(Ask(entry, 1, StatementKind::kRollback, "ROLLBACK"),
            ErrorCode::kNone);
  // Callers spread over keepers by what is under way; one has the same keeper.
  do {
    Ask(entry, 1, StatementKind::kRollback, "ROLLBACK");
    ASSERT_EQ(Ask(entry, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  } while (fleet_.last_keeper != keeper);
  std::optional<ErrorCode> answer;
  fleet_.instances.at(keeper)->Adopt(
      late, [&answer](const Reply& reply) { answer = reply.error; });
  Run(100);
  EXPECT_EQ(answer, ErrorCode::kAborted);
  EXPECT_EQ(Read(entry, 1), ErrorCode::kNone);
}

// A fleet starts, and the instances read the store one after the other within
// half a second. Those that are first let callers in, whose statements go to
// keepers that know no databases yet. They can be served as soon as these do,
// and must not be turned away: other instances have the same keepers.
TEST_F(ProxyTest, StatementsWaitForKeepersThatStart) {
  constexpr uint32_t kInstances = 60;
  fleet_.connection_limit = 53;
  Make(kInstances);
  for (size_t host = 1; host < hosts_.size(); ++host) {
    hosts_[host]->RestartWithoutStore(milliseconds(400));
  }
  hosts_[0]->Restart();
  Run(5);
  EXPECT_TRUE(hosts_[0]->proxy()->ready());
  EXPECT_FALSE(hosts_[1]->proxy()->ready());
  Start(0, 1, "bounded");
  const TimePoint asked = clock_.now();
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  EXPECT_LT(clock_.now() - asked, milliseconds(600));
}

// The same while the store does not answer the keepers at all: the statement is
// refused when its route's time is over, and its caller told that it has not
// run.
TEST_F(ProxyTest, StatementsDoNotWaitForKeepersForGood) {
  constexpr uint32_t kInstances = 60;
  fleet_.connection_limit = 53;
  Make(kInstances);
  for (size_t host = 1; host < hosts_.size(); ++host) {
    hosts_[host]->RestartWithoutStore(milliseconds(60000));
  }
  hosts_[0]->Restart();
  Run(5);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kBusy);
}

// The same under load, when no connection is idle: a fourth of a database's
// connections for each of eight instances would be twice as many as it takes,
// and the last to ask, or to restart, would find none.
TEST_F(ProxyTest, HoldsFewConnectionsUnderLoad) {
  Make(8);
  for (size_t host = 0; host < 8; ++host) {
    for (CallerId n = 0; n < 12; ++n) {
      Start(host, 100 * (host + 1) + n, n % 2 == 0 ? "bounded" : "primary");
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
    Run(25);
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      EXPECT_LE(cluster_.connections(id), 16U) << id;
    }
  }
}

// A transaction waits for its caller; an instance is told to drain. The caller
// may finish within its time, and a session at rest is ended at once.
TEST_F(ProxyTest, DrainsWithoutCuttingATransaction) {
  Make(1);
  Start(0, 1, "primary");
  Start(0, 2, "primary");
  EXPECT_EQ(Ask(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->proxy()->Drain(clock_.now(), clock_.now() + milliseconds(3000),
                            clock_.now() + milliseconds(5000));
  EXPECT_EQ(hosts_[0]->proxy()->callers(), 1U);
  EXPECT_EQ(Ask(0, 1, StatementKind::kCommit, "COMMIT"), ErrorCode::kNone);
  Run(200);
  EXPECT_TRUE(hosts_[0]->proxy()->drained());
}

// A caller begins a transaction, writes, and falls silent. Its connection, one
// of a few, must come back; the caller learns that nothing was kept.
TEST_F(ProxyTest, EndsTransactionsThatRestTooLong) {
  Make(1);
  Start(0, 1, "primary");
  EXPECT_EQ(Ask(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  Run(3500);
  EXPECT_EQ(Ask(0, 1, StatementKind::kCommit, "COMMIT"), ErrorCode::kAborted);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
}

// The answer to a read is lost on the way; the connection stays open and
// silent. The read is asked elsewhere long before its time is over.
TEST_F(ProxyTest, AsksElsewhereWhenAReadIsNotAnswered) {
  Make(1);
  Start(0, 1, "session");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  hosts_[0]->SilenceConnections();
  EXPECT_EQ(Ask(0, 1, StatementKind::kRead, "READ k", 700), ErrorCode::kNone);
}

// The answer to a commit is lost. It may have happened, so neither success nor
// a promise may be told.
TEST_F(ProxyTest, TellsDoubtWhenACommitIsNotAnswered) {
  Make(1);
  Start(0, 1, "primary");
  EXPECT_EQ(Ask(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  hosts_[0]->SilenceConnections();
  EXPECT_EQ(Ask(0, 1, StatementKind::kCommit, "COMMIT"), ErrorCode::kInDoubt);
}

// Nobody leads and nobody is about to. A write that cannot be served is told
// so by the end of its goal, not at its deadline.
TEST_F(ProxyTest, RefusesWritesInTimeWhileNobodyLeads) {
  Make(1);
  Start(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.Crash("db-a");
  hosts_[0]->BreakConnections();
  EXPECT_EQ(Ask(0, 1, StatementKind::kWrite, "WRITE k v", 450),
            ErrorCode::kBusy);
}

}  // namespace
}  // namespace ryefold::testsuite
