#include "ryefold/wire/database_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "testsuite/wire_codec/any_message.h"

namespace ryefold::wire {
namespace {

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

}  // namespace
}  // namespace ryefold::wire
