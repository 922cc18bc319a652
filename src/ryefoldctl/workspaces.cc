// The command on workspaces: what several gateways together know of each.

#include <json/json.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "ryefoldctl/answers.h"
#include "ryefoldctl/commands.h"
#include "ryefoldctl/table.h"

namespace ryefold::ryefoldctl {
namespace {

constexpr int kOk = 200;
/// Rows of the table; `--json` has them all.
constexpr size_t kMostRows = 40;

struct Row {
  std::string workspace;
  double rate = 0;
  bool limited = false;
  uint64_t allowed = 0;
  uint64_t over_limit = 0;
  uint64_t unknown = 0;
  uint64_t connections = 0;
  std::string keys;
};

void Count(const Json::Value& status, std::map<std::string, Row>* rows) {
  for (const Json::Value& each : status["workspaces"]) {
    Row& row = (*rows)[each["workspace"].asString()];
    row.workspace = each["workspace"].asString();
    row.limited = each["limited"].asBool();
    row.rate = each["rate"].asDouble();
    row.allowed += each["allowed"].asUInt64();
    row.over_limit += each["over_limit"].asUInt64();
    row.unknown += each["limit_unknown"].asUInt64();
    row.connections += each["connections"].asUInt64();
    row.keys.clear();
    for (const Json::Value& key : each["keys"]) {
      if (!row.keys.empty()) row.keys += ",";
      row.keys += key.asString();
    }
  }
}

std::vector<Row> WorstFirst(const std::map<std::string, Row>& rows) {
  std::vector<Row> sorted;
  sorted.reserve(rows.size());
  for (const auto& [name, row] : rows) sorted.push_back(row);
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Row& a, const Row& b) {
                     const uint64_t refused_a = a.over_limit + a.unknown;
                     const uint64_t refused_b = b.over_limit + b.unknown;
                     if (refused_a != refused_b) return refused_a > refused_b;
                     return a.allowed > b.allowed;
                   });
  return sorted;
}

Json::Value ToJson(const Row& row) {
  Json::Value value;
  value["workspace"] = row.workspace;
  value["limited"] = row.limited;
  value["rate"] = row.rate;
  value["allowed"] = static_cast<Json::UInt64>(row.allowed);
  value["over_limit"] = static_cast<Json::UInt64>(row.over_limit);
  value["limit_unknown"] = static_cast<Json::UInt64>(row.unknown);
  value["connections"] = static_cast<Json::UInt64>(row.connections);
  value["keys"] = row.keys;
  return value;
}

void Print(const std::vector<Row>& rows) {
  Table table({"WORKSPACE", "RATE", "ALLOWED", "OVER LIMIT", "LIMIT UNKNOWN",
               "CONNECTIONS", "KEYS"});
  for (size_t i = 0; i < std::min(rows.size(), kMostRows); ++i) {
    const Row& row = rows[i];
    table.Add(
        {row.workspace,
         row.limited ? std::to_string(static_cast<uint64_t>(row.rate)) : "none",
         std::to_string(row.allowed), std::to_string(row.over_limit),
         std::to_string(row.unknown), std::to_string(row.connections),
         row.keys});
  }
  table.Print(&std::cout);
  if (rows.size() > kMostRows) {
    std::cout << rows.size() - kMostRows << " more; --json has them all\n";
  }
}

}  // namespace

int Workspaces(const Invocation& invocation, Client* client) {
  std::map<std::string, Row> rows;
  int code = kExitOk;
  for (const std::string& server : invocation.servers) {
    const Reply reply = client->GetFrom(server, "/status");
    Json::Value status;
    if (reply.reached && reply.status == kOk &&
        ParseAnswer(reply.body, &status)) {
      Count(status, &rows);
    } else {
      std::cerr << "ryefoldctl: " << server << " does not answer\n";
      code = kExitUnreachable;
    }
  }
  const std::vector<Row> sorted = WorstFirst(rows);
  if (invocation.json) {
    Json::Value all(Json::arrayValue);
    for (const Row& row : sorted) all.append(ToJson(row));
    std::cout << all << "\n";
  } else {
    Print(sorted);
  }
  return code;
}

}  // namespace ryefold::ryefoldctl
