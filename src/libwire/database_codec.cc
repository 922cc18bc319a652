#include "ryefold/wire/database_codec.h"

#include <array>
#include <utility>

#include "json_cut.h"
#include "json_text.h"
#include "json_value.h"
#include "position_json.h"

namespace ryefold::wire {
namespace {

constexpr std::string_view kExecutePath = "/v1/execute";
constexpr std::string_view kBeginPath = "/v1/begin";
constexpr std::string_view kCommitPath = "/v1/commit";
constexpr std::string_view kRollbackPath = "/v1/rollback";
constexpr std::string_view kResult = "result";

/// Names of an enum's values, in the order of the values.
template <size_t kCount>
using Names = std::array<std::string_view, kCount>;

constexpr Names<4> kSteps = {"statement", "begin", "commit", "rollback"};
constexpr Names<2> kKinds = {"read", "write"};
constexpr Names<6> kExecuteStatuses = {"ok",          "sql_error", "stale_term",
                                       "not_primary", "fenced",    "bad_call"};

template <class Enum, size_t kCount>
std::string_view NameOf(const Names<kCount>& names, Enum value) {
  return names[static_cast<size_t>(value)];
}

/// Reads a name into `out`; a missing one leaves the default, an unknown one
/// spoils the whole.
template <class Enum, size_t kCount>
void ReadName(Fields* fields, std::string_view member,
              const Names<kCount>& names, Enum* out) {
  std::string text;
  if (fields->Find(member) == nullptr) return;
  fields->String(member, &text);
  for (size_t i = 0; i < kCount; ++i) {
    if (names[i] != text) continue;
    *out = static_cast<Enum>(i);
    return;
  }
  fields->Spoil();
}

}  // namespace

std::string_view PathOf(const core::ExecuteCall& call) {
  switch (call.step) {
    case core::Step::kStatement:
      return kExecutePath;
    case core::Step::kBegin:
      return kBeginPath;
    case core::Step::kCommit:
      return kCommitPath;
    case core::Step::kRollback:
      break;
  }
  return kRollbackPath;
}

std::string WriteExecuteCall(const core::ExecuteCall& call) {
  constexpr size_t kRoomForTheRest = 192;
  std::string out;
  out.reserve(call.sql.size() + call.params_json.size() + kRoomForTheRest);
  ObjectWriter writer(&out);
  writer.Uint("term", call.term);
  writer.String("step", NameOf(kSteps, call.step));
  writer.String("kind", NameOf(kKinds, call.kind));
  writer.String("request_id", call.request_id);
  writer.String("workspace", call.workspace);
  writer.Bool("record", call.record);
  writer.String("sql", call.sql);
  writer.Raw("params", call.params_json);
  writer.Finish();
  return out;
}

std::optional<core::ExecuteCall> ReadExecuteCall(std::string_view path,
                                                 const std::string& body) {
  core::ExecuteCall call;
  Json::Value root;
  if (!ParseJson(body, false, &root, nullptr)) return std::nullopt;
  Fields fields(body, &root);
  ReadName(&fields, "step", kSteps, &call.step);
  ReadName(&fields, "kind", kKinds, &call.kind);
  fields.Uint("term", &call.term).String("request_id", &call.request_id);
  fields.String("workspace", &call.workspace).Bool("record", &call.record);
  fields.String("sql", &call.sql).RawArray("params", &call.params_json);
  // The path decides; a body that says otherwise is a mix-up of two calls.
  if (fields.Find("step") == nullptr) {
    constexpr Names<4> kPaths = {kExecutePath, kBeginPath, kCommitPath,
                                 kRollbackPath};
    for (size_t i = 0; i < kPaths.size(); ++i) {
      if (kPaths[i] == path) call.step = static_cast<core::Step>(i);
    }
  }
  if (!fields.ok() || PathOf(call) != path) return std::nullopt;
  return call;
}

std::string WriteExecuteAnswer(const core::ExecuteAnswer& answer) {
  constexpr size_t kRoomForTheRest = 160;
  std::string out;
  out.reserve(answer.result_json.size() + kRoomForTheRest);
  ObjectWriter writer(&out);
  writer.String("status", NameOf(kExecuteStatuses, answer.status));
  if (!answer.error.empty()) writer.String("error", answer.error);
  if (!answer.result_json.empty()) writer.Raw("result", answer.result_json);
  WritePosition(&writer, "position", answer.position);
  writer.Bool("from_record", answer.from_record);
  writer.Uint("adopted_term", answer.adopted_term);
  writer.Finish();
  return out;
}

std::optional<core::ExecuteAnswer> ReadExecuteAnswer(const std::string& body) {
  core::ExecuteAnswer answer;
  // Rows pass through as text; parsed, they would cost many times the rest.
  const CutObject cut = CutMember(body, kResult);
  const std::string_view text = cut.member.empty() ? body : cut.rest;
  Json::Value root;
  if (!ParseJson(text, false, &root, nullptr)) return std::nullopt;
  Fields fields(text, &root);
  // Without a status nothing is known about what ran.
  if (fields.Find("status") == nullptr) return std::nullopt;
  ReadName(&fields, "status", kExecuteStatuses, &answer.status);
  fields.String("error", &answer.error);
  if (cut.member.empty()) fields.RawObject(kResult, &answer.result_json);
  ReadPosition(&fields, "position", &answer.position);
  fields.Bool("from_record", &answer.from_record);
  fields.Uint("adopted_term", &answer.adopted_term);
  if (!fields.ok()) return std::nullopt;
  if (!cut.member.empty()) answer.result_json = cut.member;
  return answer;
}

}  // namespace ryefold::wire
