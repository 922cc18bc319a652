// Databases that fail calls which set the state of a session.

#include <gtest/gtest.h>

#include "ryefold/core/session/attempt.h"
#include "ryefold/core/session/connection_session.h"
#include "testsuite/session_proxy/proxy_fixture.h"

namespace ryefold::testsuite {
namespace {

using core::session::AttemptEnd;
using core::session::ConnectionSession;
using core::session::MayRunAgain;
using core::session::Prepared;
using core::session::Variables;

class SessionStateTest : public ProxyTest {
 protected:
  void Set(CallerId caller, const std::string& name, const std::string& value) {
    Statement statement =
        MakeStatement(StatementKind::kSet, "SET " + name + " " + value);
    statement.name = name;
    statement.argument = value;
    SendAndWait(caller, statement);
  }
  void Prepare(CallerId caller, const std::string& name, bool writes) {
    Statement statement = MakeStatement(StatementKind::kPrepare, "PARSE");
    statement.name = name;
    statement.argument = "shape";
    statement.writes = writes;
    SendAndWait(caller, statement);
  }
  ErrorCode ExecutePrepared(CallerId caller, const std::string& name) {
    Statement statement = MakeStatement(StatementKind::kExecute, "EXECUTE");
    statement.name = name;
    statement.argument = "k";
    return SendAndWait(caller, statement);
  }
  ErrorCode SendAndWait(CallerId caller, const Statement& statement) {
    replies_.erase(caller);
    hosts_[0]->proxy()->CallerStatement(
        clock_.now(), caller, "s" + std::to_string(++last_statement_id_),
        statement);
    for (int waited_ms = 0; waited_ms < 1500; waited_ms += 5) {
      if (replies_.count(caller) > 0) return replies_[caller].error;
      RunFor(5);
    }
    return ErrorCode::kTimeout;
  }
  uint32_t TimesCommittedLast() {
    return cluster_.TimesCommitted("s" + std::to_string(last_statement_id_));
  }
  void Fail(const std::set<CallKind>& kinds) {
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      cluster_.database(id).fail_kinds = kinds;
    }
  }
  /// Returns the number of callers' statements that ran without the variable.
  int RunWithout(const std::string& name, const std::string& value) {
    int count = 0;
    for (const ExecutedStatement& each : cluster_.executed_statements()) {
      const auto found = each.variables.find(name);
      const bool own = found != each.variables.end() && found->second == value;
      count += own ? 0 : 1;
    }
    return count;
  }
};

// A database refuses the variable of a session: the write that follows must not
// take effect twice.
TEST_F(SessionStateTest, ARefusedVariableDoesNotRepeatTheWriteBehindIt) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  Set(1, "unit", "7");
  Fail({CallKind::kSet});
  const ErrorCode error = Write(0, 1);
  RunFor(500);
  EXPECT_EQ(error, ErrorCode::kBusy);
  EXPECT_EQ(TimesCommittedLast(), 0U);
  Fail({});
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  RunFor(500);
  EXPECT_EQ(TimesCommittedLast(), 1U);
  EXPECT_EQ(RunWithout("unit", "7"), 0);
}

// The same inside a transaction, whose connection cannot be changed.
TEST_F(SessionStateTest, ARefusedVariableAbortsTheTransaction) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  Set(1, "unit", "7");
  Fail({CallKind::kSet});
  EXPECT_EQ(Write(0, 1), ErrorCode::kAborted);
  EXPECT_EQ(replies_[1].state, TransactionState::kFailed);
  Fail({});
  EXPECT_EQ(Execute(0, 1, StatementKind::kRollback, "ROLLBACK"),
            ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_EQ(RunWithout("unit", "7"), 0);
}

// A transaction must not begin on a connection that refused the session's
// variables.
TEST_F(SessionStateTest, BeginsNoTransactionWithoutItsVariables) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  Set(1, "unit", "7");
  Fail({CallKind::kSet});
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kBusy);
  Fail({});
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_EQ(Execute(0, 1, StatementKind::kCommit, "COMMIT"), ErrorCode::kNone);
  EXPECT_EQ(RunWithout("unit", "7"), 0);
}

// A database refuses to prepare a statement: a caller that was told that it is
// prepared must not hear of an unknown name.
TEST_F(SessionStateTest, ARefusedPreparationIsNoUnknownName) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  Prepare(1, "p", /*writes=*/true);
  Fail({CallKind::kPrepare});
  const ErrorCode single = ExecutePrepared(1, "p");
  EXPECT_TRUE(single == ErrorCode::kBusy || single == ErrorCode::kNone);
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  const ErrorCode inside = ExecutePrepared(1, "p");
  EXPECT_TRUE(inside == ErrorCode::kAborted || inside == ErrorCode::kNone);
}

// A database refuses to end the transaction that proves a read: the next
// statement on that connection must not run inside it.
TEST_F(SessionStateTest, UsesNoConnectionWhoseRollbackWasRefused) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  Fail({CallKind::kRollback});
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  Fail({});
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
    EXPECT_EQ(TimesCommittedLast(), 1U);
    EXPECT_EQ(cluster_.executed_statements().back().transaction, 0U);
  }
}

// A confirmation costs a round trip: statements of a session whose connection
// has its variables must not wait for one.
TEST_F(SessionStateTest, ConfirmsVariablesOnceForEachConnection) {
  CreateInstances(1);
  StartSession(0, 1, "primary");
  Set(1, "unit", "7");
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  EXPECT_EQ(hosts_[0]->proxy()->counters().statements_sent, 20U);
  EXPECT_LE(hosts_[0]->proxy()->counters().session_waits,
            hosts_[0]->opened_connections());
}

TEST(AttemptTest, AWriteRunsAgainOnlyIfItHasNotRun) {
  EXPECT_TRUE(MayRunAgain(/*writes=*/true, AttemptEnd::kNotSent));
  EXPECT_TRUE(MayRunAgain(true, AttemptEnd::kRejected));
  EXPECT_FALSE(MayRunAgain(true, AttemptEnd::kUnusable));
  EXPECT_FALSE(MayRunAgain(true, AttemptEnd::kUnanswered));
  EXPECT_TRUE(MayRunAgain(/*writes=*/false, AttemptEnd::kUnusable));
  EXPECT_TRUE(MayRunAgain(false, AttemptEnd::kUnanswered));
}

void AnswerAll(ConnectionSession* session, bool accepted) {
  while (session->unanswered() > 0) session->OnAnswer(accepted);
}

TEST(ConnectionSessionTest, HoldsOnlyWhatWasConfirmed) {
  ConnectionSession session;
  const Variables one = {{"a", "1"}};
  auto request = session.IssueCalls(one, nullptr, false);
  ASSERT_EQ(request.calls.size(), 1U);
  EXPECT_TRUE(request.confirm_first);
  EXPECT_FALSE(session.HasVariables(one));
  AnswerAll(&session, true);
  EXPECT_TRUE(session.HasVariables(one));
  EXPECT_TRUE(session.IssueCalls(one, nullptr, false).calls.empty());
}

// A refused call may have taken effect, so the value is unknown and neither
// session may rely on it.
TEST(ConnectionSessionTest, ARefusedVariableIsUnknown) {
  ConnectionSession session;
  session.IssueCalls({{"a", "1"}}, nullptr, false);
  AnswerAll(&session, false);
  EXPECT_FALSE(session.HasVariables({{"a", "1"}}));
  EXPECT_FALSE(session.HasVariables({}));
  const auto clean = session.IssueCalls({}, nullptr, false);
  ASSERT_EQ(clean.calls.size(), 1U);
  EXPECT_EQ(clean.calls[0].kind, CallKind::kDiscard);
  AnswerAll(&session, false);
  EXPECT_FALSE(session.HasVariables({}));
  session.IssueCalls({}, nullptr, false);
  AnswerAll(&session, true);
  EXPECT_TRUE(session.HasVariables({}));
}

// A variable that is refused after the others were discarded may be set.
TEST(ConnectionSessionTest, ARefusalAfterADiscardLeavesAnUnknownValue) {
  ConnectionSession session;
  session.IssueCalls({{"b", "2"}}, nullptr, false);
  AnswerAll(&session, true);
  const auto request = session.IssueCalls({{"a", "1"}}, nullptr, false);
  ASSERT_EQ(request.calls.size(), 2U);
  session.OnAnswer(true);
  session.OnAnswer(false);
  EXPECT_FALSE(session.HasVariables({}));
  EXPECT_FALSE(session.HasVariables({{"a", "1"}}));
}

TEST(ConnectionSessionTest, APreparedStatementNeedsNoConfirmation) {
  ConnectionSession session;
  const Prepared prepared{3, true, "shape"};
  const auto request = session.IssueCalls({}, &prepared, false);
  ASSERT_EQ(request.calls.size(), 1U);
  EXPECT_FALSE(request.confirm_first);
  AnswerAll(&session, false);
  EXPECT_FALSE(session.HasPrepared(prepared));
  session.IssueCalls({}, &prepared, false);
  AnswerAll(&session, true);
  EXPECT_TRUE(session.HasPrepared(prepared));
}

}  // namespace
}  // namespace ryefold::testsuite
