#include <algorithm>
#include <array>
#include <utility>

#include "json_text.h"
#include "json_value.h"
#include "position_json.h"
#include "ryefold/wire/database_codec.h"

namespace ryefold::wire {
namespace {

constexpr std::string_view kStatusPath = "/v1/status";
constexpr std::string_view kAdoptPath = "/v1/adopt";
constexpr std::string_view kPromotePath = "/v1/promote";
constexpr std::string_view kFollowPath = "/v1/follow";
constexpr std::string_view kSettlePath = "/v1/settle";

constexpr std::string_view kPrimary = "primary";
constexpr std::string_view kReplica = "replica";

constexpr std::array<std::string_view, 5> kSettleStatuses = {
    "done", "fenced", "stale_term", "not_primary", "in_progress"};

/// A call of a type that none of the overloads below takes fails to compile.
template <class... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

void WriteTermStarts(std::string* out,
                     const std::vector<core::TermStart>& starts) {
  *out += '[';
  for (size_t i = 0; i < starts.size(); ++i) {
    if (i > 0) *out += ',';
    ObjectWriter(out)
        .Uint("term", starts[i].term)
        .Uint("index", starts[i].index)
        .Finish();
  }
  *out += ']';
}

void WriteStatus(std::string* out, const core::DatabaseStatus& status) {
  const bool primary = status.role == core::DatabaseRole::kPrimary;
  ObjectWriter writer(out);
  writer.String("database", status.database);
  writer.String("role", primary ? kPrimary : kReplica);
  writer.Uint("adopted_term", status.adopted_term);
  writer.String("proposer", status.proposer);
  WritePosition(&writer, "last", status.last);
  WriteTermStarts(writer.Member("term_starts"), status.term_starts);
  writer.Finish();
}

void ReadTermStarts(Fields* fields, core::DatabaseStatus* status) {
  const Json::Value* starts = fields->Find("term_starts");
  if (starts == nullptr) return;
  if (!starts->isArray()) return fields->Spoil();
  for (const Json::Value& item : *starts) {
    core::TermStart start;
    Fields inner(fields->text(), &item);
    inner.Uint("term", &start.term).Uint("index", &start.index);
    if (!inner.ok()) return fields->Spoil();
    status->term_starts.push_back(start);
  }
}

/// Nothing when the body is no status: one without a name or role would be
/// taken for a replica with an empty log.
std::optional<core::DatabaseStatus> ReadStatus(std::string_view text,
                                               const Json::Value* value) {
  core::DatabaseStatus status;
  Fields fields(text, value);
  std::string role;
  fields.String("database", &status.database).String("role", &role);
  fields.Uint("adopted_term", &status.adopted_term);
  fields.String("proposer", &status.proposer);
  ReadPosition(&fields, "last", &status.last);
  ReadTermStarts(&fields, &status);
  if (!fields.ok() || status.database.empty()) return std::nullopt;
  if (role != kPrimary && role != kReplica) return std::nullopt;
  if (role == kPrimary) status.role = core::DatabaseRole::kPrimary;
  return status;
}

/// Adopt, promote and follow are answered alike.
template <class Answer>
core::ControlAnswer ReadAccepted(const std::string& body,
                                 const Json::Value& root) {
  Answer answer;
  Fields fields(body, &root);
  if (fields.Find("accepted") == nullptr) return {};
  fields.Bool("accepted", &answer.accepted);
  auto status = ReadStatus(body, fields.Find("status"));
  if (!fields.ok() || !status) return {};
  answer.status = *std::move(status);
  return answer;
}

core::ControlAnswer ReadSettleAnswer(const std::string& body,
                                     const Json::Value& root) {
  core::SettleAnswer answer;
  Fields fields(body, &root);
  std::string status;
  fields.String("status", &status).RawObject("result", &answer.result_json);
  ReadPosition(&fields, "position", &answer.position);
  if (!fields.ok()) return {};
  for (size_t i = 0; i < kSettleStatuses.size(); ++i) {
    if (kSettleStatuses[i] != status) continue;
    answer.status = static_cast<core::SettleStatus>(i);
    return answer;
  }
  return {};
}

std::string WriteAccepted(bool accepted, const core::DatabaseStatus& status) {
  std::string out;
  ObjectWriter writer(&out);
  writer.Bool("accepted", accepted);
  WriteStatus(writer.Member("status"), status);
  writer.Finish();
  return out;
}

std::string WriteSettleAnswer(const core::SettleAnswer& answer) {
  std::string out;
  ObjectWriter writer(&out);
  writer.String("status", kSettleStatuses[static_cast<size_t>(answer.status)]);
  if (!answer.result_json.empty()) writer.Raw("result", answer.result_json);
  WritePosition(&writer, "position", answer.position);
  writer.Finish();
  return out;
}

}  // namespace

std::string_view PathOf(const core::ControlCall& call) {
  return std::visit(
      Overloaded{[](const core::StatusCall&) { return kStatusPath; },
                 [](const core::AdoptCall&) { return kAdoptPath; },
                 [](const core::PromoteCall&) { return kPromotePath; },
                 [](const core::FollowCall&) { return kFollowPath; },
                 [](const core::SettleCall&) { return kSettlePath; }},
      call);
}

std::string WriteControlCall(const core::ControlCall& call) {
  std::string out;
  ObjectWriter writer(&out);
  std::visit(
      Overloaded{
          [&](const core::StatusCall& c) {
            writer.Uint("known_term", c.known_term);
            WritePosition(&writer, "known_last", c.known_last);
            writer.Int("wait_ms", c.wait.count());
          },
          [&](const core::AdoptCall& c) {
            writer.Uint("term", c.term).String("proposer", c.proposer);
          },
          [&](const core::PromoteCall& c) {
            writer.Uint("term", c.term).String("proposer", c.proposer);
          },
          [&](const core::FollowCall& c) {
            writer.Uint("term", c.term).String("proposer", c.proposer);
            writer.String("primary", c.primary);
          },
          [&](const core::SettleCall& c) {
            writer.Uint("term", c.term).String("request_id", c.request_id);
            writer.String("workspace", c.workspace);
          }},
      call);
  writer.Finish();
  return out;
}

std::optional<core::ControlCall> ReadControlCall(std::string_view path,
                                                 const std::string& body) {
  Json::Value root;
  if (!ParseJson(body, false, &root, nullptr)) return std::nullopt;
  Fields fields(body, &root);
  core::ControlCall call;
  if (path == kStatusPath) {
    core::StatusCall status;
    uint64_t wait = 0;
    fields.Uint("known_term", &status.known_term).Uint("wait_ms", &wait);
    ReadPosition(&fields, "known_last", &status.known_last);
    constexpr uint64_t kLongestWait = 60000;
    status.wait = std::chrono::milliseconds(std::min(wait, kLongestWait));
    call = status;
  } else if (path == kAdoptPath) {
    core::AdoptCall adopt;
    fields.Uint("term", &adopt.term).String("proposer", &adopt.proposer);
    call = std::move(adopt);
  } else if (path == kPromotePath) {
    core::PromoteCall promote;
    fields.Uint("term", &promote.term).String("proposer", &promote.proposer);
    call = std::move(promote);
  } else if (path == kFollowPath) {
    core::FollowCall follow;
    fields.Uint("term", &follow.term).String("proposer", &follow.proposer);
    fields.String("primary", &follow.primary);
    call = std::move(follow);
  } else if (path == kSettlePath) {
    core::SettleCall settle;
    fields.Uint("term", &settle.term).String("request_id", &settle.request_id);
    fields.String("workspace", &settle.workspace);
    call = std::move(settle);
  } else {
    return std::nullopt;
  }
  if (!fields.ok()) return std::nullopt;
  return call;
}

std::string WriteControlAnswer(const core::ControlAnswer& answer) {
  return std::visit(Overloaded{[](std::monostate) { return std::string("{}"); },
                               [](const core::DatabaseStatus& status) {
                                 std::string out;
                                 WriteStatus(&out, status);
                                 return out;
                               },
                               [](const core::AdoptAnswer& a) {
                                 return WriteAccepted(a.accepted, a.status);
                               },
                               [](const core::RoleAnswer& a) {
                                 return WriteAccepted(a.accepted, a.status);
                               },
                               [](const core::SettleAnswer& a) {
                                 return WriteSettleAnswer(a);
                               }},
                    answer);
}

core::ControlAnswer ReadControlAnswer(const core::ControlCall& call,
                                      const std::string& body) {
  Json::Value root;
  if (!ParseJson(body, false, &root, nullptr)) return {};
  if (std::holds_alternative<core::StatusCall>(call)) {
    auto status = ReadStatus(body, &root);
    if (!status) return {};
    return *std::move(status);
  }
  if (std::holds_alternative<core::AdoptCall>(call)) {
    return ReadAccepted<core::AdoptAnswer>(body, root);
  }
  if (std::holds_alternative<core::SettleCall>(call)) {
    return ReadSettleAnswer(body, root);
  }
  return ReadAccepted<core::RoleAnswer>(body, root);
}

}  // namespace ryefold::wire
