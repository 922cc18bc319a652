#include "ryefold/wire/caller_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "ryefold/wire/document.h"
#include "testsuite/wire_codec/any_message.h"

namespace ryefold::wire {
namespace {

Findings FindingsOf(core::Step step, const std::string& body) {
  Findings findings;
  ReadCallerRequest(kNow, step, body, &findings);
  return findings;
}

TEST(CallerCodec, StatementDefaults) {
  Findings findings;
  const CallerRequest read = ReadCallerRequest(
      kNow, core::Step::kStatement,
      R"({"group":"g","workspace":"w","sql":"select 1"})", &findings);
  EXPECT_TRUE(findings.empty());
  EXPECT_EQ(read.request.kind, core::StatementKind::kRead);
  EXPECT_TRUE(read.request.repeatable);
  EXPECT_EQ(read.request.params_json, "[]");
  EXPECT_EQ(read.request.deadline, kNow + milliseconds(5000));
  EXPECT_FALSE(read.request.max_age.has_value());
  EXPECT_TRUE(read.token.seen.empty());
}

TEST(CallerCodec, WritesAreNotRepeatableUnlessSaid) {
  Findings findings;
  const std::string start =
      R"({"group":"g","workspace":"w","sql":"x","kind":"write")";
  const auto read = [&](const std::string& rest) {
    return ReadCallerRequest(kNow, core::Step::kStatement, start + rest,
                             &findings)
        .request;
  };
  EXPECT_FALSE(read("}").repeatable);
  EXPECT_TRUE(read(R"(,"repeatable":true})").repeatable);
  EXPECT_EQ(read(R"(,"params":[ 1,"]" ]})").params_json, R"([ 1,"]" ])");
  EXPECT_EQ(read(R"(,"max_age_ms":0})").max_age, milliseconds(0));
  EXPECT_TRUE(findings.empty());
}

TEST(CallerCodec, EveryFindingComesAtOnceWithItsPlace) {
  const Findings findings = FindingsOf(core::Step::kStatement,
                                       "{\"workspace\": 7,\n"
                                       "  \"sql\": \"\", \"kind\": \"wrote\",\n"
                                       "  \"params\": {}, \"deadline_ms\": 0,\n"
                                       "  \"sesion\": \"\", \"group\": 5}");
  std::string text;
  for (const Finding& finding : findings) text += ToText(finding) + '\n';
  EXPECT_EQ(text,
            R"(request:4:26: group: is a number (allowed: a string)
request:1:15: workspace: is a number (allowed: a string)
request:3:32: deadline_ms: is out of range (allowed: an integer from 1 to 60000)
request:2:10: sql: is empty (allowed: a string that is not empty)
request:3:13: params: is an object (allowed: an array)
request:2:22: kind: is none of the choices: "wrote" (allowed: read, write)
request:4:13: sesion: is not known, did you mean "session"? )"
            R"((allowed: group, workspace, request_id, deadline_ms, sql, )"
            R"(params, kind, repeatable, transaction, max_age_ms, session)
)");
}

TEST(CallerCodec, BrokenSyntaxIsFoundAtItsPlace) {
  const Findings findings =
      FindingsOf(core::Step::kStatement, "{\"group\": \"g\",\n \"sql\" \"x\"}");
  ASSERT_FALSE(findings.empty());
  EXPECT_EQ(findings[0].line, 2);
  EXPECT_EQ(findings[0].column, 8);
  EXPECT_FALSE(FindingsOf(core::Step::kStatement, "").empty());
  EXPECT_FALSE(FindingsOf(core::Step::kStatement, "[]").empty());
  EXPECT_FALSE(
      FindingsOf(core::Step::kStatement, std::string(100000, '[')).empty());
  EXPECT_FALSE(FindingsOf(core::Step::kBegin,
                          R"({"group":"a","group":"b","workspace":"w"})")
                   .empty());
  EXPECT_FALSE(
      FindingsOf(core::Step::kBegin, R"({"group":"g","workspace":"w"} // c)")
          .empty());
}

TEST(CallerCodec, EndsOfATransactionNeedItsId) {
  const std::string body = R"({"group":"g","workspace":"w"})";
  EXPECT_TRUE(FindingsOf(core::Step::kBegin, body).empty());
  EXPECT_EQ(FindingsOf(core::Step::kCommit, body).size(), 1U);
  EXPECT_EQ(FindingsOf(core::Step::kRollback, body).size(), 1U);
}

TEST(CallerCodec, DamagedSessionIsAFinding) {
  const Findings findings = FindingsOf(
      core::Step::kBegin, R"({"group":"g","workspace":"w","session":"?!"})");
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0].path, "session");
}

TEST(CallerCodec, AnswerTakesInTheResultUntouched) {
  auto answer = StatementAnswer::Done(
      R"({"columns":["a"],"rows":[[1.50]],"changes":0})", {1, 2});
  answer.WithServer("db\"1", true);
  EXPECT_EQ(WriteCallerAnswer(answer, "r\n1", {}),
            R"({"outcome":"done","columns":["a"],"rows":[[1.50]],)"
            R"("changes":0,"request_id":"r\n1","session":")" +
                core::session::Encode({}) +
                R"(","served_by":{"database":"db\"1","replica":true}})");
}

TEST(CallerCodec, StatusFollowsTheOutcome) {
  const auto proof = core::NotRunProof::NeverSent();
  const auto not_run = [&](core::Reason reason) {
    return StatementAnswer::NotRun(proof, reason, milliseconds(70));
  };
  EXPECT_EQ(StatusOf(StatementAnswer::Done("{}", {})), 200);
  EXPECT_EQ(StatusOf(not_run(core::Reason::kOverloaded)), 503);
  EXPECT_EQ(StatusOf(not_run(core::Reason::kSqlError)), 422);
  EXPECT_EQ(StatusOf(StatementAnswer::Unknown(core::Reason::kDeadline)), 504);
  const std::string text =
      WriteCallerAnswer(not_run(core::Reason::kOverloaded), "r", {});
  EXPECT_NE(text.find(R"("outcome":"not_run","request_id":"r")"),
            std::string::npos);
  EXPECT_NE(text.find(R"("reason":"overloaded","retry_after_ms":70)"),
            std::string::npos);
}

RC_GTEST_PROP(CallerCodec, AnyAnswerIsSoundJson, ()) {
  // Read back by the strict reader that callers' bodies go through; it knows
  // none of the members, but syntax is checked first.
  const std::string text =
      WriteCallerAnswer(StatementAnswer::Unknown(core::Reason::kNone, AnyText())
                            .WithTransaction(AnyText())
                            .WithServer(AnyText(), false),
                        AnyText(), {});
  Document document("answer", text, false);
  RC_ASSERT(document.ok());
}

}  // namespace
}  // namespace ryefold::wire
