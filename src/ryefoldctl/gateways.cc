// The command on gateways: what one, or each of several, knows.

#include <json/json.h>

#include <iostream>
#include <vector>

#include "ryefoldctl/answers.h"
#include "ryefoldctl/commands.h"
#include "ryefoldctl/table.h"

namespace ryefold::ryefoldctl {
namespace {

constexpr int kOk = 200;

std::string StateOf(const Json::Value& status) {
  if (status["draining"].asBool()) return "draining";
  return status["ready"].asBool() ? "ready" : "not ready";
}

void PrintInstances(const std::vector<Json::Value>& statuses) {
  Table table({"INSTANCE", "STATE", "CONFIGURATION", "CALLERS", "HEARS FROM",
               "REVISION", "LISTENERS", "DUTY HOLDER", "INSTANCES"});
  for (const Json::Value& status : statuses) {
    const std::string relay = status["relay"].asString();
    table.Add({status["instance"].asString(), StateOf(status),
               std::to_string(status["config_version"].asUInt64()),
               std::to_string(status["callers"].asUInt64()),
               relay.empty() ? "store" : relay,
               std::to_string(status["as_of"].asUInt64()),
               std::to_string(status["listeners"].asUInt64()),
               status["duty_holder"].asString(),
               std::to_string(status["instances"].size())});
  }
  table.Print(&std::cout);
}

void PrintGroups(const std::vector<Json::Value>& statuses) {
  Table table({"INSTANCE", "GROUP", "TERM", "WRITES", "WAITING", "DATABASE",
               "ROLE", "RECEIVED", "CONNECTIONS"});
  for (const Json::Value& status : statuses) {
    for (const Json::Value& group : status["groups"]) {
      for (const Json::Value& database : group["databases"]) {
        std::string role = database["primary"].asBool() ? "primary" : "replica";
        if (!database["responsive"].asBool()) role += ", silent";
        if (database["draining"].asBool()) role += ", leaving";
        table.Add({status["instance"].asString(), group["group"].asString(),
                   std::to_string(group["term"].asUInt64()),
                   group["writes_held"].asBool() ? "held" : "let in",
                   std::to_string(group["waiting"].asUInt64()),
                   database["database"].asString(), role,
                   database["received"].asString(),
                   std::to_string(database["connections"].asUInt())});
      }
    }
  }
  table.Print(&std::cout);
}

}  // namespace

int Gateways(const Invocation& invocation, Client* client) {
  std::vector<Json::Value> statuses;
  int code = kExitOk;
  for (const std::string& server : invocation.servers) {
    const Reply reply = client->GetFrom(server, "/status");
    Json::Value status;
    if (reply.reached && reply.status == kOk &&
        ParseAnswer(reply.body, &status)) {
      statuses.push_back(status);
    } else {
      std::cerr << "ryefoldctl: " << server << " does not answer\n";
      code = kExitUnreachable;
    }
  }
  if (invocation.json) {
    Json::Value all(Json::arrayValue);
    for (const Json::Value& status : statuses) all.append(status);
    std::cout << all << "\n";
    return code;
  }
  PrintInstances(statuses);
  std::cout << "\n";
  PrintGroups(statuses);
  return code;
}

}  // namespace ryefold::ryefoldctl
