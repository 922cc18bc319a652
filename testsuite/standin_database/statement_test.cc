// Statements, transactions, records and fences.

#include "testsuite/standin_database/fixture.h"

namespace ryefold::standins {
namespace {

using core::ExecuteStatus;
using core::SettleStatus;
using core::Step;

// The answer to a payment is lost on its way, and the caller sends the payment
// again. Without the record it would be paid twice.
TEST_F(Group, ARepeatIsAnsweredFromTheRecord) {
  const auto call = WriteCall(a_, "pay", "INSERT INTO t VALUES (1, 'pay')");
  const auto first = Run(&a_, kFirst, call);
  const core::LogPosition last = a_.status().last;
  ASSERT_TRUE(Insert(&a_, "other"));
  const auto second = Run(&a_, kSecond, call);
  EXPECT_TRUE(second->from_record);
  EXPECT_EQ(second->result_json, first->result_json);
  EXPECT_EQ(second->position, last);
  EXPECT_EQ(Rows(&a_),
            R"({"columns":["n"],"rows":[["pay"],["other"]],"changes":0})");
}

// As above, and the primary dies in between: the replica that is promoted has
// the record too, because it is part of the entry.
TEST_F(Group, TheRecordIsShippedWithItsWrite) {
  ASSERT_TRUE(Insert(&a_, "pay"));
  const core::LogPosition paid = a_.status().last;
  Pull(&a_, &b_);
  Promote(2, &b_, &c_);
  const auto again =
      Run(&b_, kFirst, WriteCall(b_, "pay", "INSERT INTO t VALUES (1, 'pay')"));
  EXPECT_TRUE(again->from_record);
  EXPECT_EQ(again->position, paid);
}

TEST_F(Group, IdsOfTwoWorkspacesAreApart) {
  ASSERT_TRUE(Insert(&a_, "same"));
  auto call = WriteCall(a_, "same", "INSERT INTO t VALUES (1, 'theirs')");
  call.workspace = "assessors";
  EXPECT_FALSE(Run(&a_, kFirst, call)->from_record);
}

// A keeper freezes with a write in hand, and the caller is told that it was not
// run. When the keeper wakes and sends the write after all, the fence keeps
// that answer true.
TEST_F(Group, AFencedIdNeverRuns) {
  const auto fence = a_.Settle(now_, {1, "late", "gates"});
  EXPECT_EQ(fence.status, SettleStatus::kFenced);
  EXPECT_EQ(fence.position, a_.status().last);
  auto call = WriteCall(a_, "late", "INSERT INTO t VALUES (1, 'late')");
  EXPECT_EQ(StatusOf(&a_, kFirst, call), ExecuteStatus::kFenced);
  call.record = false;
  EXPECT_EQ(StatusOf(&a_, kFirst, call), ExecuteStatus::kFenced);
  Pull(&a_, &b_);
  Promote(2, &b_, &c_);
  call.term = 2;
  EXPECT_EQ(StatusOf(&b_, kFirst, call), ExecuteStatus::kFenced);
  EXPECT_EQ(a_.Settle(now_, {1, "late", "gates"}).position, fence.position);
}

TEST_F(Group, SettleTellsWhatWasDone) {
  ASSERT_TRUE(Insert(&a_, "done"));
  const auto answer = a_.Settle(now_, {1, "done", "gates"});
  EXPECT_EQ(answer.status, SettleStatus::kDone);
  EXPECT_EQ(answer.position, a_.status().last);
  EXPECT_EQ(b_.Settle(now_, {1, "done", "gates"}).status,
            SettleStatus::kNotPrimary);
  ASSERT_TRUE(a_.Adopt({2, "keeper"}).accepted);
  EXPECT_EQ(a_.Settle(now_, {1, "done", "gates"}).status,
            SettleStatus::kStaleTerm);
}

// Somebody asks what became of a write while it still runs. A fence at that
// moment would be written beside a write that is about to succeed.
TEST_F(Group, SettleOfARunningStatementIsInProgress) {
  const auto call = WriteCall(a_, "slow", "INSERT INTO t VALUES (1, 'slow')");
  a_.NoteReceived(kFirst, call);
  EXPECT_EQ(a_.Settle(now_, {1, "slow", "gates"}).status,
            SettleStatus::kInProgress);
  ASSERT_EQ(StatusOf(&a_, kFirst, call), ExecuteStatus::kOk);
  a_.NoteAnswered(kFirst);
  EXPECT_EQ(a_.Settle(now_, {1, "slow", "gates"}).status, SettleStatus::kDone);
}

TEST_F(Group, AnErrorOfTheEngineChangesNothing) {
  const core::LogPosition before = a_.status().last;
  const auto answer =
      Run(&a_, kFirst, WriteCall(a_, "bad", "INSERT INTO nowhere VALUES (1)"));
  EXPECT_EQ(answer->status, ExecuteStatus::kSqlError);
  EXPECT_FALSE(answer->error.empty());
  EXPECT_EQ(a_.status().last, before);
  EXPECT_EQ(a_.Settle(now_, {1, "bad", "gates"}).status, SettleStatus::kFenced);
}

TEST_F(Group, StatementsThatWouldStepOutsideAreRefused) {
  for (const char* sql :
       {"BEGIN", "COMMIT", "PRAGMA user_version", "ATTACH ':memory:' AS x",
        "DELETE FROM standin_records", "DROP TABLE standin_records",
        "SELECT 1; SELECT 2"}) {
    const auto answer = Run(&a_, kFirst, WriteCall(a_, "x", sql));
    EXPECT_EQ(answer->status, ExecuteStatus::kSqlError) << sql;
  }
  auto read = WriteCall(a_, "x", "DELETE FROM t");
  read.kind = core::StatementKind::kRead;
  EXPECT_EQ(StatusOf(&a_, kFirst, read), ExecuteStatus::kSqlError);
}

// Two transactions of two callers are open at once. A read that saw rows of the
// other one would show, for instance, a card renewed that was never paid for.
TEST_F(Group, NobodyElseSeesUncommittedRows) {
  const std::string before = Rows(&a_);
  Run(&a_, kFirst, StepCall(a_, Step::kBegin, "begin"));
  ASSERT_TRUE(Insert(&a_, "mine"));
  EXPECT_NE(Rows(&a_, kFirst).find("mine"), std::string::npos);
  EXPECT_EQ(Rows(&a_, kSecond), before);
  Run(&a_, kFirst, StepCall(a_, Step::kRollback, "rollback"));
  EXPECT_EQ(Rows(&a_, kFirst), before);
}

TEST_F(Group, ACommitIsOneEntryWithItsRecord) {
  const uint64_t before = a_.status().last.index;
  Run(&a_, kFirst, StepCall(a_, Step::kBegin, "begin"));
  ASSERT_TRUE(Insert(&a_, "one"));
  ASSERT_TRUE(Insert(&a_, "two"));
  EXPECT_EQ(a_.status().last.index, before);
  const auto commit = StepCall(a_, Step::kCommit, "commit");
  const auto answer = Run(&a_, kFirst, commit);
  EXPECT_EQ(answer->status, ExecuteStatus::kOk);
  EXPECT_EQ(answer->position.index, before + 1);
  const auto again = Run(&a_, kSecond, commit);
  EXPECT_TRUE(again->from_record);
  EXPECT_EQ(again->position, answer->position);
  Pull(&a_, &b_);
  EXPECT_EQ(Rows(&a_), Rows(&b_));
  EXPECT_EQ(a_.status().last.index, before + 1);
}

TEST_F(Group, TheFirstWriterMakesOthersWait) {
  int freed = 0;
  a_.OnWriterFree([&freed] { ++freed; });
  Run(&a_, kFirst, StepCall(a_, Step::kBegin, "begin"));
  ASSERT_TRUE(Insert(&a_, "mine"));
  const auto other = WriteCall(a_, "other", "INSERT INTO t VALUES (2, 'o')");
  EXPECT_FALSE(Run(&a_, kSecond, other).has_value());
  EXPECT_EQ(freed, 0);
  Run(&a_, kFirst, StepCall(a_, Step::kCommit, "commit"));
  EXPECT_EQ(freed, 1);
  EXPECT_EQ(StatusOf(&a_, kSecond, other), ExecuteStatus::kOk);
}

// The keeper dies in the middle of a transaction and its connection closes.
// What was written has to go, and the lock with it, or no write would ever run
// again.
TEST_F(Group, AClosedConnectionRollsItsTransactionBack) {
  const std::string before = Rows(&a_);
  Run(&a_, kFirst, StepCall(a_, Step::kBegin, "begin"));
  ASSERT_TRUE(Insert(&a_, "mine"));
  a_.Close(kFirst);
  EXPECT_EQ(Rows(&a_, kSecond), before);
  const auto other = WriteCall(a_, "other", "INSERT INTO t VALUES (2, 'o')");
  EXPECT_EQ(StatusOf(&a_, kSecond, other), ExecuteStatus::kOk);
}

// A primary is replaced while a transaction is open on it, and later promoted
// again. The rest of the transaction must not run by itself as if it had never
// been part of one.
TEST_F(Group, ATransactionDoesNotOutliveItsTerm) {
  Run(&a_, kFirst, StepCall(a_, Step::kBegin, "begin"));
  ASSERT_TRUE(Insert(&a_, "first-half"));
  ASSERT_TRUE(a_.Adopt({2, "keeper"}).accepted);
  ASSERT_TRUE(a_.Promote(now_, {2, "keeper"}).accepted);
  const core::LogPosition before = a_.status().last;
  const auto rest = WriteCall(a_, "rest", "INSERT INTO t VALUES (1, 'rest')");
  EXPECT_EQ(StatusOf(&a_, kFirst, rest), ExecuteStatus::kBadCall);
  EXPECT_EQ(StatusOf(&a_, kFirst, StepCall(a_, Step::kCommit, "end")),
            ExecuteStatus::kBadCall);
  EXPECT_EQ(a_.status().last, before);
  EXPECT_EQ(Rows(&a_).find("half"), std::string::npos);
}

TEST_F(Group, ParametersAreBoundByType) {
  auto call = WriteCall(a_, "types", "INSERT INTO t VALUES (?, ?)");
  call.params_json = R"([2.5, "it's \"quoted\" \u00e9\n"])";
  ASSERT_EQ(StatusOf(&a_, kFirst, call), ExecuteStatus::kOk);
  auto read = Call(1, core::StatementKind::kRead, "", "SELECT id, n FROM t");
  EXPECT_EQ(Run(&a_, kFirst, read)->result_json,
            "{\"columns\":[\"id\",\"n\"],\"rows\":[[2.5,"
            "\"it's \\\"quoted\\\" \xc3\xa9\\u000a\"]],\"changes\":0}");
  call.params_json = "[1]";
  call.request_id = "few";
  EXPECT_EQ(StatusOf(&a_, kFirst, call), ExecuteStatus::kSqlError);
}

}  // namespace
}  // namespace ryefold::standins
