#pragma once

// Messages of the size and shape that the users' statements have, for the
// benchmarks of the wire.

#include <cstdint>
#include <string>

#include "ryefold/wire/caller_codec.h"
#include "ryefold/wire/database_codec.h"

namespace ryefold::bench {

inline const std::string& CallerBody() {
  static const std::string body =
      R"({"group":"passports-1","workspace":"stoke-training",)"
      R"("sql":"select holder, course, expires from card where id = ?",)"
      R"("params":[48213],"kind":"read","max_age_ms":0,"deadline_ms":2000})";
  return body;
}

inline std::string ResultOf(int64_t rows) {
  std::string result = R"({"columns":["holder","course","expires"],"rows":[)";
  for (int64_t i = 0; i < rows; ++i) {
    if (i > 0) result += ',';
    result += R"(["Priya Nair","Working at height",1893456000])";
  }
  return result + R"(],"changes":0})";
}

inline core::ExecuteCall SampleCall() {
  core::ExecuteCall call;
  call.term = 3;
  call.request_id = "stoke-7f3a91";
  call.workspace = "stoke-training";
  call.sql = "select holder, course, expires from card where id = ?";
  call.params_json = "[48213]";
  return call;
}

inline core::ExecuteAnswer SampleAnswer(int64_t rows) {
  core::ExecuteAnswer answer;
  answer.status = core::ExecuteStatus::kOk;
  answer.result_json = ResultOf(rows);
  answer.position = {3, 99120};
  answer.adopted_term = 3;
  return answer;
}

inline core::StatementRequest SampleRequest(core::TimePoint now) {
  wire::Findings findings;
  return wire::ReadCallerRequest(now, core::Step::kStatement, CallerBody(),
                                 &findings)
      .request;
}

inline std::string Local(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace ryefold::bench
