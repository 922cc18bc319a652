#include "ryefoldd/admin_codec.h"

#include <json/json.h>

#include <chrono>
#include <memory>
#include <utility>

namespace ryefold::ryefoldd {
namespace {

using core::configuration::Change;
using core::configuration::Edit;

constexpr size_t kMaxNameBytes = 200;

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool Parse(const std::string& body, Json::Value* value, std::string* problem) {
  Json::CharReaderBuilder builder;
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(body.data(), body.data() + body.size(), value,
                         problem);
  } catch (const Json::Exception& error) {
    // jsoncpp throws on nesting beyond its stack limit.
    *problem = error.what();
    return false;
  }
}

void Report(wire::Findings* findings, const std::string& path,
            const std::string& problem, const std::string& allowed) {
  findings->push_back({"request", 0, 0, path, problem, allowed});
}

Edit ReadEdit(const Json::Value& value, const std::string& path,
              wire::Findings* findings) {
  Edit edit;
  if (!value.isObject()) {
    Report(findings, path, "not an object", "an object");
    return edit;
  }
  const Json::Value& key = value["key"];
  if (key.isString() && !key.asString().empty() &&
      key.asString().size() <= kMaxNameBytes) {
    edit.key = key.asString();
  } else {
    Report(findings, path + ".key", "missing or not a name",
           "text of 1 to 200 bytes");
  }
  const Json::Value& base = value["base_version"];
  if (base.isUInt64()) {
    edit.base_version = base.asUInt64();
  } else {
    Report(findings, path + ".base_version", "missing or not a number",
           "the version that was seen, 0 for a new key");
  }
  const Json::Value& text = value["text"];
  if (text.isString()) {
    edit.text = text.asString();
  } else if (!text.isNull() || !value.isMember("text")) {
    Report(findings, path + ".text", "missing or of a wrong type",
           "text, or null to delete");
  }
  return edit;
}

Json::Value Number(uint64_t value) {
  return Json::Value(static_cast<Json::UInt64>(value));
}

Json::Value Names(const std::vector<std::string>& names) {
  Json::Value list(Json::arrayValue);
  for (const std::string& name : names) list.append(name);
  return list;
}

Json::Value Seconds(std::chrono::sys_seconds time) {
  return Number(static_cast<uint64_t>(time.time_since_epoch().count()));
}

Json::Value OfDatabase(const core::group::DatabaseView& database) {
  Json::Value value;
  value["database"] = database.database;
  value["reachable"] = database.reachable;
  value["role"] = database.primary ? "primary" : "replica";
  value["leaving"] = database.leaving;
  value["adopted_term"] = Number(database.adopted_term);
  value["last_term"] = Number(database.last.term);
  value["last_index"] = Number(database.last.index);
  value["lag_ms"] = static_cast<Json::Int64>(database.lag.count());
  value["connections"] = database.connections;
  value["running"] = database.running;
  return value;
}

Json::Value OfKeeper(const core::group::KeeperView& keeper) {
  Json::Value value;
  value["group"] = keeper.group;
  value["primary"] = keeper.primary;
  value["term"] = Number(keeper.term);
  value["stepping_down"] = keeper.stepping_down;
  value["queued"] = keeper.queued;
  value["unconfirmed"] = keeper.unconfirmed;
  value["failovers"] = Number(keeper.failovers);
  value["reads_replica"] = Number(keeper.reads_replica);
  value["reads_primary"] = Number(keeper.reads_primary);
  value["writes"] = Number(keeper.writes);
  value["refused"] = Number(keeper.refused);
  value["databases"] = Json::Value(Json::arrayValue);
  for (const core::group::DatabaseView& database : keeper.databases) {
    value["databases"].append(OfDatabase(database));
  }
  return value;
}

Json::Value OfMember(const core::membership::Member& member) {
  using core::membership::MemberKind;
  using core::membership::MemberState;
  Json::Value value;
  value["name"] = member.name;
  value["kind"] =
      member.kind == MemberKind::kInstance ? "instance" : "database";
  value["state"] = member.state == MemberState::kLive ? "live" : "leaving";
  value["address"] = member.address;
  value["failure_domain"] = member.failure_domain;
  value["region"] = member.region;
  if (!member.group.empty()) value["group"] = member.group;
  return value;
}

}  // namespace

PublishCall ReadPublish(const std::string& body, wire::Findings* findings) {
  PublishCall call;
  Change& change = call.change;
  Json::Value value;
  std::string problem;
  if (!Parse(body, &value, &problem) || !value.isObject()) {
    Report(findings, "", "not a JSON object: " + problem, "an object");
    return call;
  }
  const Json::Value& id = value["change_id"];
  if (id.isString() && !id.asString().empty() &&
      id.asString().size() <= kMaxNameBytes) {
    change.change_id = id.asString();
  } else {
    Report(findings, "change_id", "missing or not a name",
           "text of 1 to 200 bytes, new for each change");
  }
  const Json::Value& repeat = value["repeat"];
  if (repeat.isBool()) {
    call.repeat = repeat.asBool();
  } else if (!repeat.isNull()) {
    Report(findings, "repeat", "of a wrong type", "true or false");
  }
  if (value["author"].isString()) change.author = value["author"].asString();
  change.time = std::chrono::floor<std::chrono::seconds>(
      std::chrono::system_clock::now());
  const Json::Value& changes = value["changes"];
  if (!changes.isArray() || changes.empty()) {
    Report(findings, "changes", "missing or empty", "a list of changes");
    return call;
  }
  for (Json::ArrayIndex i = 0; i < changes.size(); ++i) {
    const std::string path = "changes[" + std::to_string(i) + "]";
    change.edits.push_back(ReadEdit(changes[i], path, findings));
  }
  return call;
}

std::string ReadDrain(const std::string& body) {
  Json::Value value;
  std::string problem;
  if (!Parse(body, &value, &problem) || !value.isObject()) return {};
  if (!value["instance"].isString()) return {};
  return value["instance"].asString();
}

std::string WriteDocuments(
    uint64_t revision,
    const std::map<std::string, core::configuration::Document>& documents,
    const std::string& prefix) {
  Json::Value value;
  value["revision"] = Number(revision);
  value["documents"] = Json::Value(Json::objectValue);
  value["deleted"] = Json::Value(Json::objectValue);
  for (const auto& [key, document] : documents) {
    if (key.compare(0, prefix.size(), prefix) != 0) continue;
    if (!document.text) {
      // A deleted key keeps its version: who publishes it anew has to name it,
      // or every attempt would be a conflict with the deletion.
      value["deleted"][key] = Number(document.version);
      continue;
    }
    Json::Value& entry = value["documents"][key];
    entry["version"] = Number(document.version);
    entry["text"] = *document.text;
    entry["author"] = document.author;
    entry["time"] = Seconds(document.time);
  }
  return ToText(value);
}

std::string WritePublished(const core::configuration::PublishDone& done) {
  Json::Value value;
  value["revision"] = Number(done.revision);
  value["held_by"] = Number(done.held_by);
  value["instances"] = Number(done.instances);
  if (!done.conflicts.empty()) {
    value["error"] = "changed by somebody else since it was read";
    for (const core::configuration::Conflict& conflict : done.conflicts) {
      Json::Value entry;
      entry["key"] = conflict.key;
      entry["seen"] = Number(conflict.seen);
      entry["present"] = Number(conflict.present);
      value["conflicts"].append(entry);
    }
  }
  return ToText(value);
}

std::string WriteForce(const core::configuration::InForceDone& done) {
  Json::Value value;
  value["revision"] = Number(done.revision);
  value["in_force"] = Number(done.in_force);
  value["instances"] = Number(done.instances);
  value["missing"] = Names(done.missing);
  return ToText(value);
}

std::string WriteHistory(const core::configuration::HistoryDone& done) {
  Json::Value value;
  value["complete"] = done.complete;
  value["entries"] = Json::Value(Json::arrayValue);
  for (const core::configuration::HistoryEntry& step : done.entries) {
    Json::Value entry;
    entry["version"] = Number(step.version);
    entry["base_version"] = Number(step.base_version);
    entry["change_id"] = step.change_id;
    entry["author"] = step.author;
    entry["time"] = Seconds(step.time);
    entry["text"] = step.text ? Json::Value(*step.text) : Json::Value();
    value["entries"].append(entry);
  }
  return ToText(value);
}

std::string WriteStatus(const InstanceStatus& status) {
  Json::Value value;
  value["instance"] = status.instance;
  value["leaving"] = status.leaving;
  value["ready"] = status.node.ready;
  value["revision"] = Number(status.node.revision);
  value["list_version"] = Number(status.node.list_version);
  value["watching"] = status.node.watching;
  value["store_calls"] = Number(status.node.store_calls);
  value["store_failures"] = Number(status.node.store_failures);
  value["peer_calls"] = Number(status.node.peer_calls);
  value["peer_failures"] = Number(status.node.peer_failures);
  value["duties"] = Names(status.duties);
  value["watched"] = Names(status.watched);
  value["members"] = Json::Value(Json::arrayValue);
  for (const core::membership::Member& member : status.members) {
    value["members"].append(OfMember(member));
  }
  value["keepers"] = Json::Value(Json::arrayValue);
  for (const core::group::KeeperView& keeper : status.keepers) {
    value["keepers"].append(OfKeeper(keeper));
  }
  value["unresolved"] = Json::Value(Json::arrayValue);
  for (const wire::Finding& finding : status.unresolved) {
    value["unresolved"].append(wire::ToText(finding));
  }
  return ToText(value);
}

}  // namespace ryefold::ryefoldd
