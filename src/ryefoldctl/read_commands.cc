// Commands that only look: show, history, status, wait.

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <thread>

#include "ryefoldctl/commands.h"
#include "ryefoldctl/documents.h"
#include "ryefoldctl/table.h"

namespace ryefold::ryefoldctl {
namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr std::chrono::milliseconds kPollInterval{500};
constexpr size_t kTextShown = 60;

std::string TimeText(const Json::Value& seconds) {
  const auto time = static_cast<std::time_t>(seconds.asInt64());
  std::tm parts{};
  gmtime_r(&time, &parts);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%SZ", &parts);
  return text;
}

std::string Shown(const Json::Value& text) {
  if (!text.isString()) return "(deleted)";
  std::string shown = text.asString();
  if (shown.size() > kTextShown) shown = shown.substr(0, kTextShown) + "...";
  return shown;
}

void PrintKeepers(const Json::Value& status) {
  Table groups({"GROUP", "PRIMARY", "TERM", "QUEUED", "FAILOVERS"});
  Table databases({"DATABASE", "ROLE", "REACHABLE", "LAG MS", "CONNECTIONS"});
  for (const Json::Value& keeper : status["keepers"]) {
    groups.Add({keeper["group"].asString(), keeper["primary"].asString(),
                keeper["term"].asString(), keeper["queued"].asString(),
                keeper["failovers"].asString()});
    for (const Json::Value& database : keeper["databases"]) {
      databases.Add(
          {database["database"].asString(), database["role"].asString(),
           database["reachable"].asBool() ? "yes" : "NO",
           database["lag_ms"].asString(), database["connections"].asString()});
    }
  }
  if (status["keepers"].empty()) return;
  std::cout << "\nkept by " << status["instance"].asString() << ":\n"
            << groups.ToText() << "\n"
            << databases.ToText();
}

void PrintProgress(const Json::Value& body, bool last) {
  if (isatty(STDERR_FILENO) == 0) return;
  std::cerr << "\rrevision " << body["revision"].asString() << " in force on "
            << body["in_force"].asString() << " of "
            << body["instances"].asString() << "   " << (last ? "\n" : "")
            << std::flush;
}

}  // namespace

int Explain(const Response& response) {
  if (response.status == 0) {
    std::cerr << "ryefoldctl: no instance answered\n";
    return kExitUnreachable;
  }
  std::cerr << "ryefoldctl: " << response.server << ": status "
            << response.status;
  if (response.body.isObject() && response.body["error"].isString()) {
    std::cerr << ": " << response.body["error"].asString();
  }
  std::cerr << "\n";
  return response.status == kUnauthorized ? kExitUsage : kExitUnreachable;
}

int Fetch(Client* client, const std::string& prefix, Response* response) {
  *response = client->Get("/v1/admin/documents?prefix=" + Escape(prefix));
  return response->status == kOk ? kExitOk : Explain(*response);
}

int Show(const Invocation& invocation) {
  Client client(invocation.access);
  const std::string prefix =
      invocation.arguments.empty() ? "" : invocation.arguments.front();
  Response response;
  const int code = Fetch(&client, prefix, &response);
  if (code != kExitOk) return code;
  if (invocation.json) {
    std::cout << ToText(response.body) << "\n";
    return kExitOk;
  }
  Table table({"KEY", "VERSION", "AUTHOR", "TEXT"});
  for (const auto& key : response.body["documents"].getMemberNames()) {
    const Json::Value& document = response.body["documents"][key];
    table.Add({key, document["version"].asString(),
               document["author"].asString(), Shown(document["text"])});
  }
  std::cout << "revision " << response.body["revision"].asString() << "\n"
            << table.ToText();
  return kExitOk;
}

int History(const Invocation& invocation) {
  if (invocation.arguments.size() != 1) {
    std::cerr << "ryefoldctl: history takes one key\n";
    return kExitUsage;
  }
  Client client(invocation.access);
  const Response response = client.Get("/v1/admin/history?key=" +
                                       Escape(invocation.arguments.front()));
  if (response.status != kOk) return Explain(response);
  if (invocation.json) {
    std::cout << ToText(response.body) << "\n";
    return kExitOk;
  }
  Table table({"VERSION", "TIME", "AUTHOR", "CHANGE", "TEXT"});
  for (const Json::Value& entry : response.body["entries"]) {
    table.Add({entry["version"].asString(), TimeText(entry["time"]),
               entry["author"].asString(), entry["change_id"].asString(),
               Shown(entry["text"])});
  }
  std::cout << table.ToText();
  if (!response.body["complete"].asBool()) {
    std::cout << "(older entries exist or the store did not answer)\n";
  }
  return kExitOk;
}

int WaitFor(Client* client, uint64_t revision, bool json) {
  const std::string path =
      "/v1/admin/force?revision=" + std::to_string(revision);
  Response response;
  while (!client->expired()) {
    response = client->Get(path);
    if (response.status != kOk && response.status != 0) {
      return Explain(response);
    }
    const bool done =
        response.status == kOk && response.body["in_force"].asUInt64() >=
                                      response.body["instances"].asUInt64();
    if (response.status == kOk) PrintProgress(response.body, done);
    if (done) {
      if (json) std::cout << ToText(response.body) << "\n";
      return kExitOk;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  if (response.status == 0) return Explain(response);
  std::cerr << "\nryefoldctl: timed out; in force on "
            << response.body["in_force"].asString() << " of "
            << response.body["instances"].asString() << ", missing:";
  for (const Json::Value& name : response.body["missing"]) {
    std::cerr << " " << name.asString();
  }
  std::cerr << "\n";
  if (json) std::cout << ToText(response.body) << "\n";
  return kExitTimeout;
}

int Wait(const Invocation& invocation) {
  const bool number =
      invocation.arguments.size() == 1 &&
      !invocation.arguments.front().empty() &&
      std::all_of(invocation.arguments.front().begin(),
                  invocation.arguments.front().end(),
                  [](unsigned char c) { return std::isdigit(c) != 0; });
  if (!number) {
    std::cerr << "ryefoldctl: wait takes one revision\n";
    return kExitUsage;
  }
  Client client(invocation.access);
  const uint64_t revision =
      std::strtoull(invocation.arguments.front().c_str(), nullptr, 10);
  return WaitFor(&client, revision, invocation.json);
}

int Status(const Invocation& invocation) {
  Json::Value all(Json::arrayValue);
  Response last;
  // Each instance tells of itself, so each server named is asked.
  for (const std::string& server : invocation.access.servers) {
    Access access = invocation.access;
    access.servers = {server};
    last = Client(access).Get("/v1/admin/status");
    if (last.status == kOk) {
      all.append(last.body);
    } else {
      Explain(last);
    }
  }
  if (all.empty()) return Explain(last);
  if (invocation.json) {
    std::cout << ToText(all) << "\n";
    return kExitOk;
  }
  Table instances({"INSTANCE", "READY", "STATE", "REVISION", "WATCHES STORE",
                   "GROUPS KEPT"});
  for (const Json::Value& status : all) {
    instances.Add({status["instance"].asString(),
                   status["ready"].asBool() ? "yes" : "NO",
                   status["leaving"].asBool() ? "leaving" : "live",
                   status["revision"].asString(),
                   status["watching"].asBool() ? "yes" : "no",
                   std::to_string(status["duties"].size())});
  }
  std::cout << instances.ToText();
  for (const Json::Value& status : all) PrintKeepers(status);
  Table members({"MEMBER", "KIND", "STATE", "ADDRESS", "FAILURE DOMAIN"});
  for (const Json::Value& member : all[0]["members"]) {
    members.Add({member["name"].asString(), member["kind"].asString(),
                 member["state"].asString(), member["address"].asString(),
                 member["failure_domain"].asString()});
  }
  std::cout << "\nmembers as " << all[0]["instance"].asString()
            << " knows them:\n"
            << members.ToText();
  return kExitOk;
}

}  // namespace ryefold::ryefoldctl
