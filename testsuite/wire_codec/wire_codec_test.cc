#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "ryefold/wire/caller_codec.h"
#include "ryefold/wire/database_codec.h"
#include "ryefold/wire/document.h"
#include "ryefold/wire/peer_codec.h"

namespace ryefold::wire {
namespace {

using core::ExecuteAnswer;
using core::ExecuteCall;
using core::StatementAnswer;
using core::StatementRequest;
using std::chrono::milliseconds;

constexpr core::TimePoint kNow{std::chrono::hours(5)};

core::LogPosition AnyPosition() {
  return {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>()};
}

std::string AnyText() { return *rc::gen::arbitrary<std::string>(); }

template <class Enum>
Enum AnyOf(Enum last) {
  return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

core::Step AnyStep() { return AnyOf(core::Step::kRollback); }
core::StatementKind AnyKind() { return AnyOf(core::StatementKind::kWrite); }

StatementRequest AnyRequest() {
  StatementRequest request;
  request.request_id = AnyText();
  request.group = AnyText();
  request.workspace = AnyText();
  request.step = AnyStep();
  request.kind = AnyKind();
  request.repeatable = *rc::gen::arbitrary<bool>();
  request.sql = AnyText();
  request.params_json = AnyText();
  request.transaction = AnyText();
  if (*rc::gen::arbitrary<bool>()) {
    request.max_age = milliseconds(*rc::gen::inRange(0, 1000000));
  }
  request.seen = AnyPosition();
  request.deadline = kNow + milliseconds(*rc::gen::inRange(0, 60000));
  return request;
}

StatementAnswer AnyAnswer() {
  const core::Reason reason = AnyOf(core::Reason::kNotReady);
  const milliseconds retry(*rc::gen::inRange(0, 100000));
  std::vector<StatementAnswer> kinds = {
      StatementAnswer::Done(AnyText(), AnyPosition()),
      StatementAnswer::NotRun(core::NotRunProof::NeverSent(), reason, retry,
                              AnyText()),
      StatementAnswer::Unknown(reason, AnyText())};
  StatementAnswer answer = *rc::gen::elementOf(kinds);
  answer.WithSeen(AnyPosition());
  answer.WithTransaction(AnyText());
  answer.WithServer(AnyText(), *rc::gen::arbitrary<bool>());
  return answer;
}

/// `text` with one byte changed, one cut out, or its end cut off.
std::string Damage(std::string text) {
  if (text.empty()) return "x";
  const auto at = *rc::gen::inRange<size_t>(0, text.size());
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      text[at] = *rc::gen::arbitrary<char>();
      break;
    case 1:
      text.erase(at, 1);
      break;
    default:
      text.resize(at);
  }
  return text;
}

// ---- between instances ----

RC_GTEST_PROP(PeerCodec, RequestsComeBackAsTheyWent, ()) {
  const StatementRequest sent = AnyRequest();
  // The receiver's clock has nothing to do with the sender's.
  const core::TimePoint there = kNow + std::chrono::hours(77);
  const auto got = ReadPeerRequest(there, WritePeerRequest(kNow, sent));
  RC_ASSERT(got.has_value());
  RC_ASSERT(got->request_id == sent.request_id);
  RC_ASSERT(got->group == sent.group);
  RC_ASSERT(got->workspace == sent.workspace);
  RC_ASSERT(got->step == sent.step);
  RC_ASSERT(got->kind == sent.kind);
  RC_ASSERT(got->repeatable == sent.repeatable);
  RC_ASSERT(got->sql == sent.sql);
  RC_ASSERT(got->params_json == sent.params_json);
  RC_ASSERT(got->transaction == sent.transaction);
  RC_ASSERT(got->max_age == sent.max_age);
  RC_ASSERT(got->seen == sent.seen);
  RC_ASSERT(got->deadline - there == sent.deadline - kNow);
}

RC_GTEST_PROP(PeerCodec, AnswersComeBackAsTheyWent, ()) {
  const StatementAnswer sent = AnyAnswer();
  const auto got = ReadPeerAnswer(WritePeerAnswer(sent));
  RC_ASSERT(got.has_value());
  RC_ASSERT(got->kind() == sent.kind());
  RC_ASSERT(got->reason() == sent.reason());
  RC_ASSERT(got->detail() == sent.detail());
  RC_ASSERT(got->result_json() == sent.result_json());
  RC_ASSERT(got->retry_after() == sent.retry_after());
  RC_ASSERT(got->seen() == sent.seen());
  RC_ASSERT(got->transaction() == sent.transaction());
  RC_ASSERT(got->database() == sent.database());
  RC_ASSERT(got->from_replica() == sent.from_replica());
}

RC_GTEST_PROP(PeerCodec, SettleComesBackAsItWent, ()) {
  const core::SettleRequest sent{AnyText(), AnyText(), AnyText(),
                                 kNow + milliseconds(5)};
  const auto got = ReadPeerSettle(kNow, WritePeerSettle(kNow, sent));
  RC_ASSERT(got.has_value());
  RC_ASSERT(got->request_id == sent.request_id);
  RC_ASSERT(got->group == sent.group);
  RC_ASSERT(got->workspace == sent.workspace);
  RC_ASSERT(got->deadline == sent.deadline);
}

RC_GTEST_PROP(PeerCodec, DamagedBodiesNeverCrash, ()) {
  ReadPeerRequest(kNow, Damage(WritePeerRequest(kNow, AnyRequest())));
  ReadPeerAnswer(Damage(WritePeerAnswer(AnyAnswer())));
  ReadPeerRequest(kNow, AnyText());
  ReadPeerAnswer(AnyText());
  ReadPeerSettle(kNow, AnyText());
}

// A deadline that has passed must not wrap round to one far ahead.
TEST(PeerCodec, PassedDeadlineStaysPassed) {
  StatementRequest request;
  request.deadline = kNow - std::chrono::hours(1);
  const auto got = ReadPeerRequest(kNow, WritePeerRequest(kNow, request));
  ASSERT_TRUE(got.has_value());
  EXPECT_EQ(got->deadline, kNow);
}

// While a fleet is being replaced, a newer instance sends keys that an older
// one does not know, and an older one leaves out what a newer one expects.
TEST(PeerCodec, OtherVersionsAreUnderstood) {
  // {"new": [1, {"deep": true}], "id": "r1", "w": "ws"}
  const std::string newer = std::string("\x83\xa3new\x92\x01\x81\xa4") +
                            "deep\xc3\xa2id\xa2r1\xa1w" + "\xa2ws";
  const auto got = ReadPeerRequest(kNow, newer);
  ASSERT_TRUE(got.has_value());
  EXPECT_EQ(got->request_id, "r1");
  EXPECT_EQ(got->workspace, "ws");
  EXPECT_EQ(got->params_json, "[]");
  EXPECT_EQ(got->kind, core::StatementKind::kRead);
  EXPECT_FALSE(got->max_age.has_value());
  EXPECT_EQ(got->deadline, kNow);
}

// An answer that lost its outcome, or has one of a later version, must not be
// read as any of the three: each of them would be a claim.
TEST(PeerCodec, AnswerWithoutAKnownOutcomeIsRefused) {
  EXPECT_FALSE(ReadPeerAnswer("\x80").has_value());
  EXPECT_FALSE(ReadPeerAnswer("\x81\xa3out\xa5maybe").has_value());
  EXPECT_TRUE(ReadPeerAnswer("\x81\xa3out\xa4"
                             "done")
                  .has_value());
}

TEST(PeerCodec, UnknownStepOrKindIsRefused) {
  EXPECT_FALSE(ReadPeerRequest(kNow, "\x81\xa2st\x04").has_value());
  EXPECT_FALSE(ReadPeerRequest(kNow, "\x81\xa1k\x02").has_value());
  EXPECT_TRUE(ReadPeerRequest(kNow, "\x81\xa1k\x01").has_value());
}

TEST(PeerCodec, DeepNestingIsRefused) {
  std::string deep = "\x81\xa3new";
  deep.append(100000, '\x91');
  deep += '\x01';
  EXPECT_FALSE(ReadPeerRequest(kNow, deep).has_value());
}

// ---- databases ----

RC_GTEST_PROP(DatabaseCodec, CallsComeBackAsTheyWent, ()) {
  const ExecuteCall sent{*rc::gen::arbitrary<uint64_t>(),
                         AnyStep(),
                         AnyKind(),
                         AnyText(),
                         AnyText(),
                         *rc::gen::arbitrary<bool>(),
                         AnyText(),
                         R"([1, "a\"]", {"k": [null]} ])"};
  const auto got = ReadExecuteCall(PathOf(sent), WriteExecuteCall(sent));
  RC_ASSERT(got.has_value());
  RC_ASSERT(got->term == sent.term);
  RC_ASSERT(got->step == sent.step);
  RC_ASSERT(got->kind == sent.kind);
  RC_ASSERT(got->request_id == sent.request_id);
  RC_ASSERT(got->workspace == sent.workspace);
  RC_ASSERT(got->record == sent.record);
  RC_ASSERT(got->sql == sent.sql);
  RC_ASSERT(got->params_json == sent.params_json);
}

RC_GTEST_PROP(DatabaseCodec, AnswersComeBackAsTheyWent, ()) {
  const ExecuteAnswer sent{AnyOf(core::ExecuteStatus::kBadCall),
                           AnyText(),
                           R"({"columns":["a"], "rows":[["}"],[1.50]]})",
                           AnyPosition(),
                           *rc::gen::arbitrary<bool>(),
                           *rc::gen::arbitrary<uint64_t>()};
  const auto got = ReadExecuteAnswer(WriteExecuteAnswer(sent));
  RC_ASSERT(got.has_value());
  RC_ASSERT(got->status == sent.status);
  RC_ASSERT(got->error == sent.error);
  RC_ASSERT(got->result_json == sent.result_json);
  RC_ASSERT(got->position == sent.position);
  RC_ASSERT(got->from_record == sent.from_record);
  RC_ASSERT(got->adopted_term == sent.adopted_term);
}

core::DatabaseStatus AnyStatus() {
  core::DatabaseStatus status;
  status.database = 'd' + AnyText();
  status.role = AnyOf(core::DatabaseRole::kPrimary);
  status.adopted_term = *rc::gen::arbitrary<uint64_t>();
  status.proposer = AnyText();
  status.last = AnyPosition();
  const int terms = *rc::gen::inRange(0, 4);
  for (int i = 0; i < terms; ++i) {
    const core::LogPosition start = AnyPosition();
    status.term_starts.push_back({start.term, start.index});
  }
  return status;
}

void AssertSame(const core::DatabaseStatus& a, const core::DatabaseStatus& b) {
  RC_ASSERT(a.database == b.database);
  RC_ASSERT(a.role == b.role);
  RC_ASSERT(a.adopted_term == b.adopted_term);
  RC_ASSERT(a.proposer == b.proposer);
  RC_ASSERT(a.last == b.last);
  RC_ASSERT(a.term_starts == b.term_starts);
}

template <class Call>
Call ThroughTheWire(const Call& call) {
  const auto got = ReadControlCall(PathOf(call), WriteControlCall(call));
  RC_ASSERT(got.has_value());
  RC_ASSERT(std::holds_alternative<Call>(*got));
  return std::get<Call>(*got);
}

RC_GTEST_PROP(DatabaseCodec, ControlCallsComeBackAsTheyWent, ()) {
  const auto term = *rc::gen::arbitrary<uint64_t>();
  const std::string name = AnyText();
  const core::StatusCall status{term, AnyPosition(), milliseconds(300)};
  const core::StatusCall got = ThroughTheWire(status);
  RC_ASSERT(got.known_term == term);
  RC_ASSERT(got.known_last == status.known_last);
  RC_ASSERT(got.wait == status.wait);
  RC_ASSERT(ThroughTheWire(core::AdoptCall{term, name}).term == term);
  RC_ASSERT(ThroughTheWire(core::PromoteCall{term, name}).proposer == name);
  RC_ASSERT(ThroughTheWire(core::FollowCall{term, "p", name}).primary == name);
  RC_ASSERT(ThroughTheWire(core::SettleCall{term, name, "w"}).request_id ==
            name);
}

RC_GTEST_PROP(DatabaseCodec, ControlAnswersComeBackAsTheyWent, ()) {
  const core::DatabaseStatus status = AnyStatus();
  const auto got =
      ReadControlAnswer(core::StatusCall{}, WriteControlAnswer(status));
  AssertSame(std::get<core::DatabaseStatus>(got), status);
  const auto adopt = ReadControlAnswer(
      core::AdoptCall{}, WriteControlAnswer(core::AdoptAnswer{true, status}));
  RC_ASSERT(std::get<core::AdoptAnswer>(adopt).accepted);
  AssertSame(std::get<core::AdoptAnswer>(adopt).status, status);
  const auto role = ReadControlAnswer(
      core::FollowCall{}, WriteControlAnswer(core::RoleAnswer{false, status}));
  RC_ASSERT(!std::get<core::RoleAnswer>(role).accepted);
  const core::SettleAnswer settle{AnyOf(core::SettleStatus::kInProgress),
                                  R"({"changes":1})", AnyPosition()};
  const auto settled =
      ReadControlAnswer(core::SettleCall{}, WriteControlAnswer(settle));
  RC_ASSERT(std::get<core::SettleAnswer>(settled).status == settle.status);
  RC_ASSERT(std::get<core::SettleAnswer>(settled).position == settle.position);
}

RC_GTEST_PROP(DatabaseCodec, DamagedBodiesNeverCrash, ()) {
  ReadExecuteCall("/v1/execute", Damage(WriteExecuteCall(ExecuteCall{})));
  ReadExecuteAnswer(Damage(WriteExecuteAnswer(ExecuteAnswer{})));
  const std::string status = Damage(WriteControlAnswer(AnyStatus()));
  ReadControlAnswer(core::StatusCall{}, status);
  ReadControlAnswer(core::SettleCall{}, status);
  ReadExecuteAnswer(AnyText());
}

TEST(DatabaseCodec, OtherVersionsAreUnderstood) {
  const auto answer =
      ReadExecuteAnswer(R"({"status":"ok","new":{"deep":[1]}})");
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, core::ExecuteStatus::kOk);
  EXPECT_EQ(answer->position, core::LogPosition());
}

// A database's answer arrives damaged. Taken for "ok" it would acknowledge a
// write that never ran; taken for a refusal it would call one not run that did.
TEST(DatabaseCodec, AnswersThatSayNothingSoundAreRefused) {
  for (const char* body :
       {"", "null", "[]", "{}", "\"ok\"", R"({"status":"fine"})",
        R"({"status":1})", R"({"status":"ok")", R"({"status":"ok"}x)",
        R"({"status":"ok","status":"fenced"})",
        R"({"status":"ok","result":[1]})",
        R"({"status":"ok","result":{"rows":[}]})",
        R"({"status":"ok","result":{"rows":["]}})",
        R"({"status":"ok","result":{},"result":{}})",
        R"({"status":"ok","result":{}}})", R"({"status":"ok","result":{})",
        R"({"status":"ok","position":{"term":-1}})",
        R"({"status":"ok","position":7})",
        R"({"status":"ok","from_record":"yes"})"}) {
    EXPECT_FALSE(ReadExecuteAnswer(body).has_value()) << body;
  }
  const std::string deep = R"({"status":"ok","result":{"rows":)" +
                           std::string(100000, '[') + std::string(100000, ']') +
                           "}}";
  EXPECT_FALSE(ReadExecuteAnswer(deep).has_value());
}

TEST(DatabaseCodec, ResultIsTheMemberOfThatNameOnly) {
  const auto result_in = [](const std::string& body) {
    const auto answer = ReadExecuteAnswer(body);
    return answer.has_value() ? answer->result_json : "refused";
  };
  EXPECT_EQ(result_in(R"( {"error":"result", "new":{"result":{"a":1}},)"
                      R"( "status":"ok" , "result" : {"b\"}":[{}, 2 ]} } )"),
            R"({"b\"}":[{}, 2 ]})");
  EXPECT_EQ(result_in(R"({"status":"ok","new":["result",{"result":{}}]})"), "");
  EXPECT_EQ(result_in(R"({"status":"ok","\u0072esult":{"c":1}})"),
            R"({"c":1})");
}

// Whatever a damaged answer's result holds, put into a caller's answer it must
// not end that early and forge the members that follow.
RC_GTEST_PROP(DatabaseCodec, DamagedResultStaysAnObject, ()) {
  ExecuteAnswer sent;
  sent.status = core::ExecuteStatus::kOk;
  sent.result_json = Damage(R"({"rows":[["}\"",{"a":[]}]],"changes":0})");
  const auto got = ReadExecuteAnswer(WriteExecuteAnswer(sent));
  if (!got.has_value()) return;
  const std::string& result = got->result_json;
  RC_ASSERT(result.empty() || result.front() == '{');
  RC_ASSERT(result.empty() || result.back() == '}');
}

TEST(DatabaseCodec, CallOnAnotherPathIsRefused) {
  ExecuteCall call;
  call.step = core::Step::kCommit;
  const std::string body = WriteExecuteCall(call);
  EXPECT_TRUE(ReadExecuteCall("/v1/commit", body).has_value());
  EXPECT_FALSE(ReadExecuteCall("/v1/execute", body).has_value());
  EXPECT_FALSE(ReadExecuteCall("/v1/other", body).has_value());
  EXPECT_FALSE(ReadControlCall("/v1/other", "{}").has_value());
}

TEST(DatabaseCodec, StatusWithoutNameOrRoleIsNone) {
  for (const char* body :
       {"{}", R"({"database":"d1"})", R"({"database":"d1","role":"witness"})",
        R"({"role":"replica"})"}) {
    const auto answer = ReadControlAnswer(core::StatusCall{}, body);
    EXPECT_TRUE(std::holds_alternative<std::monostate>(answer)) << body;
  }
}

// ---- callers ----

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
