// Commands on the fleet: wait, status, drain.

#include <json/json.h>
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <thread>
#include <vector>

#include "ryefoldctl/answers.h"
#include "ryefoldctl/commands.h"
#include "ryefoldctl/table.h"

namespace ryefold::ryefoldctl {
namespace {

using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr std::chrono::milliseconds kPoll{250};

/// Rewrites one line on a terminal; says nothing elsewhere.
void Progress(const std::string& text) {
  if (isatty(STDERR_FILENO) != 0) std::cerr << "\r\033[K" << text;
}

uint64_t RevisionToWaitFor(const Invocation& invocation, Client* client,
                           Reply* reply) {
  if (invocation.revision > 0) return invocation.revision;
  *reply = client->Get("/v1/admin/documents?prefix=none");
  Published published;
  if (!reply->reached || reply->status != kOk) return 0;
  ReadPublished(reply->body, &published);
  return published.revision;
}

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string JoinNames(const Json::Value& list) {
  std::string text;
  for (const Json::Value& name : list) {
    text += (text.empty() ? "" : ", ") + name.asString();
  }
  return text;
}

/// Statuses of every instance that the first one lists.
std::vector<Json::Value> Fleet(const Json::Value& first, Client* client,
                               std::vector<std::string>* silent) {
  std::vector<Json::Value> statuses = {first};
  for (const Json::Value& member : first["members"]) {
    if (member["kind"].asString() != "instance") continue;
    if (member["name"] == first["instance"]) continue;
    const Reply reply =
        client->GetFrom(member["address"].asString(), "/v1/admin/status");
    Json::Value status;
    if (reply.status == kOk && ParseAnswer(reply.body, &status)) {
      statuses.push_back(status);
    } else {
      silent->push_back(member["name"].asString());
    }
  }
  return statuses;
}

void PrintInstances(const std::vector<Json::Value>& statuses,
                    const std::vector<std::string>& silent) {
  Table table({"INSTANCE", "STATE", "REVISION", "KEEPS", "STORE"});
  for (const Json::Value& status : statuses) {
    std::string state = status["ready"].asBool() ? "ready" : "not ready";
    if (status["leaving"].asBool()) state = "leaving";
    table.Add({status["instance"].asString(), state,
               std::to_string(status["revision"].asUInt64()),
               JoinNames(status["duties"]),
               status["watching"].asBool() ? "watches" : ""});
  }
  for (const std::string& name : silent) table.Add({name, "no answer"});
  table.Print(&std::cout);
}

void PrintGroups(const std::vector<Json::Value>& statuses) {
  Table table({"GROUP", "KEEPER", "PRIMARY", "TERM", "QUEUED", "DATABASE",
               "ROLE", "LAG", "CONNECTIONS"});
  for (const Json::Value& status : statuses) {
    for (const Json::Value& keeper : status["keepers"]) {
      for (const Json::Value& database : keeper["databases"]) {
        std::string role = database["role"].asString();
        if (!database["reachable"].asBool()) role = "lost";
        if (database["leaving"].asBool()) role += ", leaving";
        table.Add({keeper["group"].asString(), status["instance"].asString(),
                   keeper["primary"].asString(),
                   std::to_string(keeper["term"].asUInt64()),
                   std::to_string(keeper["queued"].asUInt()),
                   database["database"].asString(), role,
                   std::to_string(database["lag_ms"].asInt64()) + " ms",
                   std::to_string(database["connections"].asUInt())});
      }
    }
  }
  table.Print(&std::cout);
}

}  // namespace

int Wait(const Invocation& invocation, Client* client) {
  Reply reply;
  const uint64_t revision = RevisionToWaitFor(invocation, client, &reply);
  if (revision == 0) return ReportFailure(reply);
  Json::Value answer;
  do {
    reply = client->Get("/v1/admin/force?revision=" + std::to_string(revision));
    const bool read = reply.status == kOk && ParseAnswer(reply.body, &answer);
    if (read &&
        answer["in_force"].asUInt64() >= answer["instances"].asUInt64()) {
      Progress("");
      std::cout << (invocation.json
                        ? reply.body
                        : "revision " + std::to_string(revision) +
                              " is in force on all " +
                              std::to_string(answer["instances"].asUInt64()) +
                              " instances")
                << "\n";
      return kExitOk;
    }
    Progress("revision " + std::to_string(revision) + ": in force on " +
             std::to_string(answer["in_force"].asUInt64()) + " of " +
             std::to_string(answer["instances"].asUInt64()));
    std::this_thread::sleep_for(kPoll);
  } while (steady_clock::now() < invocation.deadline);
  Progress("");
  if (!reply.reached) return ReportFailure(reply);
  std::cerr << "ryefoldctl: revision " << revision << " is not in force on "
            << JoinNames(answer["missing"]) << "\n";
  return kExitTimeout;
}

int Status(const Invocation& invocation, Client* client) {
  const Reply reply = client->Get("/v1/admin/status");
  Json::Value first;
  if (!reply.reached || reply.status != kOk ||
      !ParseAnswer(reply.body, &first)) {
    return ReportFailure(reply);
  }
  std::vector<std::string> silent;
  const std::vector<Json::Value> statuses = Fleet(first, client, &silent);
  if (invocation.json) {
    Json::Value all(Json::arrayValue);
    for (const Json::Value& status : statuses) all.append(status);
    std::cout << ToText(all) << "\n";
    return kExitOk;
  }
  PrintInstances(statuses, silent);
  std::cout << "\n";
  PrintGroups(statuses);
  for (const Json::Value& problem : first["unresolved"]) {
    std::cout << "not in force: " << problem.asString() << "\n";
  }
  return kExitOk;
}

int Drain(const Invocation& invocation, Client* client) {
  if (invocation.arguments.size() != 1) {
    std::cerr << "ryefoldctl: drain takes the name of one instance\n";
    return kExitUsage;
  }
  Json::Value body;
  body["instance"] = invocation.arguments[0];
  const std::string text = ToText(body);
  Reply reply = client->Post("/v1/admin/drain", text);
  Json::Value answer;
  if (reply.status == kMisdirected && ParseAnswer(reply.body, &answer)) {
    reply =
        client->PostTo(answer["address"].asString(), "/v1/admin/drain", text);
  }
  if (!reply.reached || reply.status != kOk) return ReportFailure(reply);
  if (invocation.json) {
    std::cout << reply.body << "\n";
  } else {
    std::cout << invocation.arguments[0] << " finishes its requests and ends\n";
  }
  return kExitOk;
}

}  // namespace ryefold::ryefoldctl
