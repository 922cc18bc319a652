#include "testsuite/standins/lib/log_codec.h"

#include <algorithm>
#include <utility>

#include "testsuite/standins/lib/json.h"

namespace ryefold::standins {
namespace {

constexpr std::string_view kLogStatusNames[] = {"ok", "stale_term",
                                                "not_primary", "mismatch"};

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

}  // namespace

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
  out.append(kLogStatusNames[static_cast<size_t>(answer.status)])
      .append("\",\"term\":");
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
