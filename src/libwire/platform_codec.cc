#include "ryefold/wire/platform_codec.h"

#include <json/json.h>

#include <chrono>
#include <memory>
#include <utility>

namespace ryefold::wire {
namespace {

using namespace core::configuration;  // NOLINT(google-build-using-namespace)
using core::membership::Member;
using core::membership::MemberKind;
using core::membership::MemberState;

constexpr int kOk = 200;
constexpr int kConflict = 409;

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

/// The object in `text`; nothing when there is none.
std::optional<Json::Value> Parse(const std::string& text) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  const char* begin = text.data();
  const bool ok = reader->parse(begin, begin + text.size(), &value, nullptr);
  if (!ok || !value.isObject()) return std::nullopt;
  return value;
}

std::string Text(const Json::Value& object, const char* name) {
  const Json::Value& value = object[name];
  return value.isString() ? value.asString() : std::string();
}

uint64_t Number(const Json::Value& object, const char* name) {
  const Json::Value& value = object[name];
  return value.isUInt64() ? value.asUInt64() : 0;
}

std::optional<std::string> OptionalText(const Json::Value& object) {
  if (!object["text"].isString()) return std::nullopt;
  return object["text"].asString();
}

int64_t Seconds(std::chrono::sys_seconds time) {
  return time.time_since_epoch().count();
}

std::chrono::sys_seconds Time(const Json::Value& object) {
  const Json::Value& value = object["time"];
  const int64_t seconds = value.isInt64() ? value.asInt64() : 0;
  return std::chrono::sys_seconds(std::chrono::seconds(seconds));
}

Json::Value ToJson(const Change& change) {
  Json::Value object;
  object["change_id"] = change.change_id;
  object["author"] = change.author;
  object["time"] = static_cast<Json::Int64>(Seconds(change.time));
  object["edits"] = Json::arrayValue;
  for (const Edit& edit : change.edits) {
    Json::Value entry;
    entry["key"] = edit.key;
    entry["base_version"] = static_cast<Json::UInt64>(edit.base_version);
    if (edit.text) entry["text"] = *edit.text;
    object["edits"].append(entry);
  }
  return object;
}

std::optional<Change> ToChange(const Json::Value& object) {
  Change change;
  change.change_id = Text(object, "change_id");
  change.author = Text(object, "author");
  change.time = Time(object);
  if (!object["edits"].isArray()) return std::nullopt;
  for (const Json::Value& entry : object["edits"]) {
    if (!entry.isObject()) return std::nullopt;
    change.edits.push_back({Text(entry, "key"), Number(entry, "base_version"),
                            OptionalText(entry)});
  }
  if (change.change_id.empty() || change.edits.empty()) return std::nullopt;
  return change;
}

Json::Value ToJson(const SnapshotPointer& pointer) {
  Json::Value object;
  object["revision"] = static_cast<Json::UInt64>(pointer.revision);
  object["prefix"] = pointer.prefix;
  object["parts"] = static_cast<Json::UInt64>(pointer.parts);
  object["trimmed"] = static_cast<Json::UInt64>(pointer.trimmed);
  return object;
}

SnapshotPointer ToPointer(const Json::Value& object) {
  return {Number(object, "revision"), Text(object, "prefix"),
          Number(object, "parts"), Number(object, "trimmed")};
}

Json::Value ToJson(const SnapshotPart& part) {
  Json::Value object;
  object["documents"] = Json::arrayValue;
  for (const Document& document : part.documents) {
    Json::Value entry;
    entry["key"] = document.key;
    entry["version"] = static_cast<Json::UInt64>(document.version);
    if (document.text) entry["text"] = *document.text;
    entry["change_id"] = document.change_id;
    entry["author"] = document.author;
    entry["time"] = static_cast<Json::Int64>(Seconds(document.time));
    object["documents"].append(entry);
  }
  return object;
}

std::optional<SnapshotPart> ToPart(const Json::Value& object) {
  SnapshotPart part;
  if (!object["documents"].isArray()) return std::nullopt;
  for (const Json::Value& entry : object["documents"]) {
    if (!entry.isObject()) return std::nullopt;
    part.documents.push_back({Text(entry, "key"), Number(entry, "version"),
                              OptionalText(entry), Text(entry, "change_id"),
                              Text(entry, "author"), Time(entry)});
  }
  return part;
}

Json::Value ToJson(const Member& member) {
  const bool instance = member.kind == MemberKind::kInstance;
  Json::Value object;
  object["name"] = member.name;
  object["kind"] = instance ? "instance" : "database";
  object["address"] = member.address;
  if (!member.peer_address.empty()) {
    object["peer_address"] = member.peer_address;
  }
  if (!member.group.empty()) object["group"] = member.group;
  object["failure_domain"] = member.failure_domain;
  object["region"] = member.region;
  object["state"] = member.state == MemberState::kLive ? "live" : "leaving";
  return object;
}

Member ToMember(const Json::Value& object) {
  Member member;
  member.name = Text(object, "name");
  member.address = Text(object, "address");
  member.peer_address = Text(object, "peer_address");
  member.group = Text(object, "group");
  member.failure_domain = Text(object, "failure_domain");
  member.region = Text(object, "region");
  if (Text(object, "kind") == "database") member.kind = MemberKind::kDatabase;
  if (Text(object, "state") == "leaving") member.state = MemberState::kLeaving;
  return member;
}

std::optional<StoreAnswer> ReadValue(const std::string& key, int status,
                                     const Json::Value& body) {
  if (status != kOk || !body["version"].isUInt64()) return std::nullopt;
  StoreRead read;
  read.version = body["version"].asUInt64();
  // What can't be read is treated as emptied: the version still counts.
  if (auto value = ReadStoreValue(key, Text(body, "value"))) {
    read.value = std::move(*value);
  }
  return read;
}

std::optional<StoreAnswer> ReadPut(int status, const Json::Value& body) {
  if (status != kOk && status != kConflict) return std::nullopt;
  if (!body["version"].isUInt64()) return std::nullopt;
  return StorePutDone{status == kOk, body["version"].asUInt64()};
}

std::optional<StoreAnswer> ReadInstances(uint64_t known, int status,
                                         const Json::Value& body) {
  if (status != kOk || !body["version"].isUInt64()) return std::nullopt;
  StoreInstancesRead read;
  read.version = body["version"].asUInt64();
  read.unchanged = known != 0 && read.version == known;
  if (read.unchanged) return read;
  if (!body["instances"].isArray()) return std::nullopt;
  for (const Json::Value& entry : body["instances"]) {
    if (entry.isObject()) read.members.push_back(ToMember(entry));
  }
  return read;
}

}  // namespace

std::string WriteStoreValue(const StoreValue& value) {
  if (const auto* change = std::get_if<Change>(&value)) {
    return Write(ToJson(*change));
  }
  if (const auto* pointer = std::get_if<SnapshotPointer>(&value)) {
    return Write(ToJson(*pointer));
  }
  if (const auto* part = std::get_if<SnapshotPart>(&value)) {
    return Write(ToJson(*part));
  }
  return {};
}

std::optional<StoreValue> ReadStoreValue(std::string_view key,
                                         const std::string& text) {
  if (text.empty()) return StoreValue();
  const auto object = Parse(text);
  if (!object) return std::nullopt;
  if (key == SnapshotKey()) return ToPointer(*object);
  if (key.starts_with(SnapshotKey())) {
    auto part = ToPart(*object);
    if (!part) return std::nullopt;
    return StoreValue(std::move(*part));
  }
  auto change = ToChange(*object);
  if (!change) return std::nullopt;
  return StoreValue(std::move(*change));
}

PlatformCall WriteStoreRequest(const StoreRequest& request) {
  Json::Value body;
  if (const auto* get = std::get_if<StoreGet>(&request)) {
    body["key"] = get->key;
    return {"POST", "/v1/get", Write(body)};
  }
  if (const auto* watch = std::get_if<StoreWatch>(&request)) {
    body["key"] = watch->key;
    body["after"] = static_cast<Json::UInt64>(watch->after);
    body["wait_ms"] = static_cast<Json::Int64>(watch->wait.count());
    return {"POST", "/v1/watch", Write(body)};
  }
  if (const auto* put = std::get_if<StorePut>(&request)) {
    body["key"] = put->key;
    body["value"] = WriteStoreValue(put->value);
    body["expect"] = static_cast<Json::UInt64>(put->expect);
    return {"POST", "/v1/put", Write(body)};
  }
  const uint64_t known = std::get<StoreInstances>(request).known_version;
  std::string path = "/v1/instances";
  if (known > 0) path += "?known=" + std::to_string(known);
  return {"GET", path, {}};
}

std::optional<StoreAnswer> ReadStoreAnswer(const StoreRequest& request,
                                           int status,
                                           const std::string& body) {
  const auto object = Parse(body);
  if (!object) return std::nullopt;
  if (const auto* get = std::get_if<StoreGet>(&request)) {
    return ReadValue(get->key, status, *object);
  }
  if (const auto* watch = std::get_if<StoreWatch>(&request)) {
    return ReadValue(watch->key, status, *object);
  }
  if (std::holds_alternative<StorePut>(request)) {
    return ReadPut(status, *object);
  }
  return ReadInstances(std::get<StoreInstances>(request).known_version, status,
                       *object);
}

std::string WriteInstances(uint64_t version, const std::vector<Member>& all) {
  Json::Value body;
  body["version"] = static_cast<Json::UInt64>(version);
  body["instances"] = Json::arrayValue;
  for (const Member& member : all) body["instances"].append(ToJson(member));
  return Write(body);
}

}  // namespace ryefold::wire
