#include "testsuite/standins/lib/database_json.h"

#include <algorithm>
#include <utility>

#include "testsuite/standins/lib/json.h"

namespace ryefold::standins {
namespace {

constexpr std::string_view kExecuteStatusNames[] = {
    "ok", "sql_error", "stale_term", "not_primary", "fenced", "bad_call"};
constexpr std::string_view kSettleStatusNames[] = {
    "done", "fenced", "stale_term", "not_primary", "in_progress"};
constexpr std::string_view kLogStatusNames[] = {"ok", "stale_term",
                                                "not_primary", "mismatch"};

template <class Status, size_t kCount>
std::string_view NameOf(Status status,
                        const std::string_view (&names)[kCount]) {
  return names[static_cast<size_t>(status)];
}

std::optional<core::Step> StepOf(std::string_view path) {
  if (path == "/v1/execute") return core::Step::kStatement;
  if (path == "/v1/begin") return core::Step::kBegin;
  if (path == "/v1/commit") return core::Step::kCommit;
  if (path == "/v1/rollback") return core::Step::kRollback;
  return std::nullopt;
}

void AppendTermStarts(std::string* out,
                      const std::vector<core::TermStart>& starts) {
  out->push_back('[');
  for (size_t i = 0; i < starts.size(); ++i) {
    if (i > 0) out->push_back(',');
    AppendPosition(out, {starts[i].term, starts[i].index});
  }
  out->push_back(']');
}

std::vector<core::TermStart> TermStartsOf(const Json::Value& object) {
  std::vector<core::TermStart> starts;
  for (const Json::Value& start : object["term_starts"]) {
    starts.push_back({UintOf(start, "term"), UintOf(start, "index")});
  }
  return starts;
}

std::optional<Entry> ReadEntry(const Json::Value& value,
                               std::string_view body) {
  const auto kind = EntryKindFromName(StringOf(value, "kind"));
  if (!kind) return std::nullopt;
  Entry entry;
  entry.position = {UintOf(value, "term"), UintOf(value, "index")};
  entry.kind = *kind;
  entry.workspace = StringOf(value, "workspace");
  entry.request_id = StringOf(value, "request_id");
  entry.record = BoolOf(value, "record");
  entry.written =
      core::TimePoint(std::chrono::microseconds(UintOf(value, "written_us")));
  for (const Json::Value& statement : value["statements"]) {
    entry.statements.push_back(
        {StringOf(statement, "sql"), RawText(statement["params"], body)});
  }
  entry.result_json = RawText(value["result"], body);
  entry.json = RawText(value, body);
  return entry;
}

// What every proposal says.
template <class Call>
std::optional<Call> ReadProposal(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object || !(*object)["term"].isUInt64()) return std::nullopt;
  Call call;
  call.term = UintOf(*object, "term");
  call.proposer = StringOf(*object, "proposer");
  return call;
}

}  // namespace

std::optional<core::ExecuteCall> ReadExecuteCall(std::string_view path,
                                                 std::string_view body) {
  const auto step = StepOf(path);
  const auto object = ParseObject(body);
  if (!step || !object || !(*object)["term"].isUInt64()) return std::nullopt;
  core::ExecuteCall call;
  call.step = *step;
  call.term = (*object)["term"].asUInt64();
  const std::string kind = StringOf(*object, "kind");
  if (kind != "read" && kind != "write") return std::nullopt;
  call.kind =
      kind == "read" ? core::StatementKind::kRead : core::StatementKind::kWrite;
  call.request_id = StringOf(*object, "request_id");
  call.workspace = StringOf(*object, "workspace");
  call.record = BoolOf(*object, "record");
  call.sql = StringOf(*object, "sql");
  const Json::Value& params = (*object)["params"];
  if (params.isArray()) {
    call.params_json = RawText(params, body);
  } else if (!params.isNull()) {
    return std::nullopt;
  }
  return call;
}

std::string ToJson(const core::ExecuteAnswer& answer) {
  std::string out;
  out.reserve(answer.result_json.size() + 200);
  out.append("{\"status\":\"")
      .append(NameOf(answer.status, kExecuteStatusNames))
      .append("\",\"error\":");
  AppendString(&out, answer.error);
  out.append(",\"result\":")
      .append(answer.result_json.empty() ? "{}" : answer.result_json);
  out.append(",\"position\":");
  AppendPosition(&out, answer.position);
  out.append(",\"from_record\":").append(answer.from_record ? "true" : "false");
  out.append(",\"adopted_term\":");
  AppendUint(&out, answer.adopted_term);
  out.push_back('}');
  return out;
}

std::optional<core::StatusCall> ReadStatusCall(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object) return std::nullopt;
  core::StatusCall call;
  call.known_term = UintOf(*object, "known_term");
  call.known_last = PositionOf(*object, "known_last");
  call.wait = std::chrono::milliseconds(UintOf(*object, "wait_ms"));
  return call;
}

std::optional<core::AdoptCall> ReadAdoptCall(std::string_view body) {
  return ReadProposal<core::AdoptCall>(body);
}

std::optional<core::PromoteCall> ReadPromoteCall(std::string_view body) {
  return ReadProposal<core::PromoteCall>(body);
}

std::optional<core::FollowCall> ReadFollowCall(std::string_view body) {
  auto call = ReadProposal<core::FollowCall>(body);
  if (call) call->primary = StringOf(*ParseObject(body), "primary");
  return call;
}

std::optional<core::SettleCall> ReadSettleCall(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object || !(*object)["term"].isUInt64()) return std::nullopt;
  core::SettleCall call;
  call.term = UintOf(*object, "term");
  call.request_id = StringOf(*object, "request_id");
  call.workspace = StringOf(*object, "workspace");
  if (call.request_id.empty()) return std::nullopt;
  return call;
}

std::string ToJson(const core::DatabaseStatus& status) {
  std::string out = "{\"database\":";
  AppendString(&out, status.database);
  const bool primary = status.role == core::DatabaseRole::kPrimary;
  out.append(",\"role\":").append(primary ? "\"primary\"" : "\"replica\"");
  out.append(",\"adopted_term\":");
  AppendUint(&out, status.adopted_term);
  out.append(",\"proposer\":");
  AppendString(&out, status.proposer);
  out.append(",\"last\":");
  AppendPosition(&out, status.last);
  out.append(",\"term_starts\":");
  AppendTermStarts(&out, status.term_starts);
  out.push_back('}');
  return out;
}

std::string AcceptedToJson(bool accepted, const core::DatabaseStatus& status) {
  std::string out = accepted ? "{\"accepted\":true" : "{\"accepted\":false";
  return out.append(",\"status\":").append(ToJson(status)).append("}");
}

std::string ToJson(const core::SettleAnswer& answer) {
  std::string out = "{\"status\":\"";
  out.append(NameOf(answer.status, kSettleStatusNames));
  out.append("\",\"result\":")
      .append(answer.result_json.empty() ? "{}" : answer.result_json);
  out.append(",\"position\":");
  AppendPosition(&out, answer.position);
  out.push_back('}');
  return out;
}

std::string ToJson(const LogCall& call) {
  std::string out = "{\"term\":";
  AppendUint(&out, call.term);
  out.append(",\"database\":");
  AppendString(&out, call.database);
  out.append(",\"after\":");
  AppendPosition(&out, call.after);
  out.append(",\"lag_ms\":");
  AppendInt(&out, call.lag.count());
  out.append(",\"wait_ms\":");
  AppendInt(&out, call.wait.count());
  out.push_back('}');
  return out;
}

std::optional<LogCall> ReadLogCall(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object || !(*object)["term"].isUInt64()) return std::nullopt;
  LogCall call;
  call.term = UintOf(*object, "term");
  call.database = StringOf(*object, "database");
  call.after = PositionOf(*object, "after");
  call.lag = std::chrono::milliseconds(UintOf(*object, "lag_ms"));
  call.wait = std::chrono::milliseconds(UintOf(*object, "wait_ms"));
  return call;
}

std::string ToJson(const LogAnswer& answer, const Log& log) {
  std::string out = "{\"status\":\"";
  out.append(NameOf(answer.status, kLogStatusNames)).append("\",\"term\":");
  AppendUint(&out, answer.term);
  out.append(",\"last\":");
  AppendPosition(&out, answer.last);
  out.append(",\"term_starts\":");
  AppendTermStarts(&out, answer.term_starts);
  out.append(",\"entries\":[");
  for (uint64_t i = 0; i < answer.count; ++i) {
    if (i > 0) out.push_back(',');
    out.append(log.entries()[answer.first - 1 + i].json);
  }
  out.append("]}");
  return out;
}

std::optional<ShippedLog> ReadLogAnswer(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object) return std::nullopt;
  const std::string status = StringOf(*object, "status");
  const auto* name =
      std::find(std::begin(kLogStatusNames), std::end(kLogStatusNames), status);
  if (name == std::end(kLogStatusNames)) return std::nullopt;
  ShippedLog shipped;
  shipped.answer.status = static_cast<LogStatus>(name - kLogStatusNames);
  shipped.answer.term = UintOf(*object, "term");
  shipped.answer.last = PositionOf(*object, "last");
  shipped.answer.term_starts = TermStartsOf(*object);
  for (const Json::Value& value : (*object)["entries"]) {
    auto entry = ReadEntry(value, body);
    if (!entry) return std::nullopt;
    shipped.entries.push_back(*std::move(entry));
  }
  return shipped;
}

}  // namespace ryefold::standins
