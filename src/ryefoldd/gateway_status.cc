#include "ryefoldd/gateway_status.h"

#include <json/json.h>

#include <chrono>

namespace ryefold::ryefoldd {
namespace {

using core::session::DatabaseView;
using core::session::GroupView;
using std::chrono::milliseconds;

/// Milliseconds since `then`; null when it never was.
Json::Value Age(core::TimePoint now, core::TimePoint then) {
  if (then == core::TimePoint()) return Json::nullValue;
  return static_cast<Json::Int64>(
      std::chrono::duration_cast<milliseconds>(now - then).count());
}

Json::Value ToValue(core::TimePoint now, const DatabaseView& database) {
  Json::Value value;
  value["database"] = database.id;
  value["failure_domain"] = database.failure_domain;
  value["primary"] = database.primary;
  value["draining"] = database.draining;
  value["responsive"] = database.responsive;
  value["heard_ms_ago"] = Age(now, database.last_contact);
  value["received"] = ToText(database.status.received);
  value["status_ms_ago"] = Age(now, database.status_requested_at);
  value["connections"] = database.connections;
  value["in_flight"] = database.in_flight;
  value["in_flight_limit"] = database.in_flight_limit;
  return value;
}

Json::Value ToValue(core::TimePoint now, const GroupView& group) {
  Json::Value value;
  value["group"] = group.group;
  value["primary"] = group.primary;
  value["term"] = static_cast<Json::UInt64>(group.term);
  value["waiting"] = static_cast<Json::UInt64>(group.waiting);
  value["kept"] = group.is_keeper;
  value["writes_held"] = group.writes_held;
  value["databases"] = Json::arrayValue;
  for (const DatabaseView& database : group.databases) {
    value["databases"].append(ToValue(now, database));
  }
  return value;
}

Json::Value ToValue(const WorkspaceStatus& workspace) {
  Json::Value value;
  value["workspace"] = workspace.workspace;
  value["priority"] = workspace.priority;
  value["limited"] = workspace.limited;
  value["rate"] = workspace.rate;
  value["burst"] = workspace.burst;
  value["allowed"] = static_cast<Json::UInt64>(workspace.usage.allowed);
  value["over_limit"] = static_cast<Json::UInt64>(workspace.usage.over_limit);
  value["limit_unknown"] =
      static_cast<Json::UInt64>(workspace.usage.unanswered);
  value["connections"] = workspace.connections;
  value["keys"] = Json::arrayValue;
  for (const std::string& key : workspace.keys) value["keys"].append(key);
  return value;
}

}  // namespace

std::string ToJson(core::TimePoint now, const GatewayStatus& status) {
  Json::Value value;
  value["instance"] = status.instance;
  value["ready"] = status.ready;
  value["draining"] = status.draining;
  value["config_version"] = static_cast<Json::UInt64>(status.config_version);
  value["callers"] = static_cast<Json::UInt64>(status.callers);
  value["relay"] = status.relay;
  value["as_of"] = static_cast<Json::UInt64>(status.as_of);
  value["copy_age_ms"] = static_cast<Json::Int64>(status.copy_age.count());
  value["listeners"] = static_cast<Json::UInt64>(status.listeners);
  value["duty_holder"] = status.duty_holder;
  value["instances"] = Json::arrayValue;
  for (const std::string& name : status.instances) {
    value["instances"].append(name);
  }
  value["groups"] = Json::arrayValue;
  for (const GroupView& group : status.groups) {
    value["groups"].append(ToValue(now, group));
  }
  value["workspaces"] = Json::arrayValue;
  for (const WorkspaceStatus& workspace : status.workspaces) {
    value["workspaces"].append(ToValue(workspace));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace ryefold::ryefoldd
