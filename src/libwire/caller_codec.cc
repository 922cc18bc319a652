#include "ryefold/wire/caller_codec.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "json_text.h"
#include "ryefold/wire/document.h"

namespace ryefold::wire {
namespace {

constexpr int64_t kDefaultDeadlineMs = 5000;
constexpr int64_t kMaxDeadlineMs = 60000;
constexpr int64_t kMaxAgeMs = int64_t{24} * 3600 * 1000;
/// Longest name or id taken from a caller; these are kept in records and
/// counted by label.
constexpr size_t kMaxName = 128;
constexpr size_t kRead = 0;
constexpr size_t kWrite = 1;

void CheckLength(Reader* reader, std::string_view name,
                 const std::string& text) {
  if (text.size() <= kMaxName) return;
  reader->Report(name, "is too long",
                 "at most " + std::to_string(kMaxName) + " bytes");
}

std::string RequiredName(Reader* reader, std::string_view name) {
  std::string text = reader->RequiredString(name);
  CheckLength(reader, name, text);
  return text;
}

std::string OptionalName(Reader* reader, std::string_view name) {
  std::string text = reader->String(name);
  CheckLength(reader, name, text);
  return text;
}

/// Members that only a statement has.
void ReadStatement(Reader* reader, core::StatementRequest* request) {
  request->sql = reader->RequiredString("sql");
  request->params_json = reader->RawArray("params", "[]");
  const size_t kind = reader->Choice("kind", {"read", "write"}, kRead);
  request->kind =
      kind == kWrite ? core::StatementKind::kWrite : core::StatementKind::kRead;
  request->repeatable = reader->Bool("repeatable", kind == kRead);
  request->transaction = OptionalName(reader, "transaction");
  if (reader->Has("max_age_ms")) {
    request->max_age =
        std::chrono::milliseconds(reader->Int("max_age_ms", 0, 0, kMaxAgeMs));
  }
}

void ReadTransactionEnd(Reader* reader, core::StatementRequest* request) {
  request->kind = core::StatementKind::kWrite;
  if (request->step == core::Step::kBegin) return;
  request->transaction = RequiredName(reader, "transaction");
}

core::session::Token ReadSession(Reader* reader) {
  const std::string text = reader->String("session");
  if (text.empty()) return {};
  std::optional<core::session::Token> token = core::session::Decode(text);
  if (token) return *std::move(token);
  reader->Report("session", "is damaged",
                 "the session of an earlier answer, unchanged");
  return {};
}

std::string_view OutcomeName(core::OutcomeKind kind) {
  switch (kind) {
    case core::OutcomeKind::kDone:
      return "done";
    case core::OutcomeKind::kNotRun:
      return "not_run";
    case core::OutcomeKind::kUnknown:
      break;
  }
  return "unknown";
}

/// What stands between the braces of an object; nothing for other text.
std::string_view Inner(std::string_view object) {
  constexpr std::string_view kSpace = " \t\r\n";
  const size_t open = object.find_first_not_of(kSpace);
  const size_t close = object.find_last_not_of(kSpace);
  if (open == std::string_view::npos || close <= open) return {};
  if (object[open] != '{' || object[close] != '}') return {};
  return object.substr(open + 1, close - open - 1);
}

}  // namespace

CallerRequest ReadCallerRequest(core::TimePoint now, core::Step step,
                                const std::string& body, Findings* findings) {
  CallerRequest read;
  core::StatementRequest& request = read.request;
  request.step = step;
  Document document("request", body, /*comments=*/false);
  Reader reader(&document, findings);
  request.group = OptionalName(&reader, "group");
  request.workspace = RequiredName(&reader, "workspace");
  request.request_id = OptionalName(&reader, "request_id");
  request.deadline =
      now + std::chrono::milliseconds(reader.Int(
                "deadline_ms", kDefaultDeadlineMs, 1, kMaxDeadlineMs));
  if (step == core::Step::kStatement) {
    ReadStatement(&reader, &request);
  } else {
    ReadTransactionEnd(&reader, &request);
  }
  read.token = ReadSession(&reader);
  reader.Finish();
  return read;
}

std::string WriteCallerAnswer(const core::StatementAnswer& answer,
                              const std::string& request_id,
                              const core::session::Token& token) {
  constexpr size_t kRoomForTheRest = 256;
  std::string out;
  out.reserve(answer.result_json().size() + kRoomForTheRest);
  ObjectWriter writer(&out);
  writer.String("outcome", OutcomeName(answer.kind()));
  writer.Members(Inner(answer.result_json()));
  writer.String("request_id", request_id);
  writer.String("session", core::session::Encode(token));
  if (!answer.transaction().empty()) {
    writer.String("transaction", answer.transaction());
  }
  if (answer.reason() != core::Reason::kNone) {
    writer.String("reason", core::ReasonName(answer.reason()));
  }
  if (!answer.detail().empty()) writer.String("detail", answer.detail());
  if (answer.kind() == core::OutcomeKind::kNotRun) {
    writer.Int("retry_after_ms", answer.retry_after().count());
  }
  if (!answer.database().empty()) {
    ObjectWriter server(writer.Member("served_by"));
    server.String("database", answer.database());
    server.Bool("replica", answer.from_replica());
    server.Finish();
  }
  writer.Finish();
  return out;
}

int StatusOf(const core::StatementAnswer& answer) {
  constexpr int kOk = 200;
  constexpr int kUnprocessable = 422;
  constexpr int kUnavailable = 503;
  constexpr int kGatewayTimeout = 504;
  if (answer.reason() == core::Reason::kSqlError) return kUnprocessable;
  switch (answer.kind()) {
    case core::OutcomeKind::kDone:
      return kOk;
    case core::OutcomeKind::kNotRun:
      return kUnavailable;
    case core::OutcomeKind::kUnknown:
      break;
  }
  return kGatewayTimeout;
}

std::string WriteError(const std::string& error, const Findings& findings) {
  std::string out;
  ObjectWriter writer(&out);
  writer.String("error", error);
  writer.Raw("findings", ToJson(findings));
  writer.Finish();
  return out;
}

}  // namespace ryefold::wire
