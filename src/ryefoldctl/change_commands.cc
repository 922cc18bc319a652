// Commands about changes: validate, diff, publish, drain.

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

#include "ryefold/settings/catalog.h"
#include "ryefold/wire/finding.h"
#include "ryefoldctl/commands.h"
#include "ryefoldctl/documents.h"

namespace ryefold::ryefoldctl {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr std::chrono::milliseconds kRetryPause{500};

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << "ryefoldctl: cannot read " << path << "\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void PrintFindings(const wire::Findings& findings, bool json) {
  if (json) {
    std::cout << wire::ToJson(findings) << "\n";
    return;
  }
  for (const wire::Finding& finding : findings) {
    std::cerr << wire::ToText(finding) << "\n";
  }
}

/// Reads all files that the command names. False after telling what is wrong.
bool ReadWanted(const Invocation& invocation, const Present& present,
                settings::Documents* wanted, int* code) {
  wire::Findings findings;
  for (const std::string& path : invocation.arguments) {
    const auto text = ReadFile(path);
    if (!text) {
      *code = kExitUsage;
      return false;
    }
    // Files may refer to one another, and to what is published already.
    settings::Documents base = present.texts();
    for (const auto& [key, document] : *wanted) base[key] = document;
    wanted->merge(settings::ParseDocuments(path, *text, base, &findings));
  }
  if (findings.empty()) return true;
  PrintFindings(findings, invocation.json);
  *code = kExitFindings;
  return false;
}

/// What the operator has seen: a file made by `show --json`, or what is there
/// now.
int ReadBase(const Invocation& invocation, Client* client, Present* present) {
  Json::Value body;
  if (!invocation.base_file.empty()) {
    const auto text = ReadFile(invocation.base_file);
    if (!text) return kExitUsage;
    body = ParseJson(*text).value_or(Json::Value());
  } else {
    Response response;
    const int code = Fetch(client, "", &response);
    if (code != kExitOk) return code;
    body = response.body;
  }
  const auto read = ReadPresent(body);
  if (!read) {
    std::cerr << "ryefoldctl: not a list of documents as show --json prints\n";
    return kExitUsage;
  }
  *present = *read;
  return kExitOk;
}

std::string NewChangeId() {
  std::random_device random;
  std::string id;
  for (int i = 0; i < 4; ++i) {
    constexpr std::string_view kHex = "0123456789abcdef";
    for (uint32_t bits = random(), n = 0; n < 8; ++n, bits >>= 4) {
      id += kHex[bits & 0xF];
    }
  }
  return id;
}

void PrintPlan(const std::vector<PlannedEdit>& edits, bool json) {
  if (json) {
    Json::Value list(Json::arrayValue);
    for (const PlannedEdit& edit : edits) {
      Json::Value entry;
      entry["key"] = edit.key;
      entry["base_version"] = Json::UInt64(edit.base_version);
      entry["text"] = edit.text ? Json::Value(*edit.text) : Json::Value();
      list.append(entry);
    }
    std::cout << ToText(list) << "\n";
    return;
  }
  for (const PlannedEdit& edit : edits) {
    const char* sign = edit.kind == EditKind::kAdd      ? "+"
                       : edit.kind == EditKind::kChange ? "~"
                                                        : "-";
    std::cout << sign << " " << edit.key << " (version " << edit.base_version
              << ")" << (edit.text ? " " + *edit.text : "") << "\n";
  }
  if (edits.empty()) std::cout << "nothing differs\n";
}

Json::Value BodyOf(const Invocation& invocation, const std::string& id,
                   const std::vector<PlannedEdit>& edits) {
  Json::Value body;
  body["change_id"] = id;
  body["author"] = invocation.author;
  body["changes"] = Json::arrayValue;
  for (const PlannedEdit& edit : edits) {
    Json::Value entry;
    entry["key"] = edit.key;
    entry["base_version"] = Json::UInt64(edit.base_version);
    entry["text"] = edit.text ? Json::Value(*edit.text) : Json::Value();
    body["changes"].append(entry);
  }
  return body;
}

/// A key that was deleted keeps a version that the list does not show. If all
/// conflicts are of such keys, absent then and now, they are taken over.
bool TakeDeleted(Client* client, const Json::Value& conflicts,
                 std::vector<PlannedEdit>* edits) {
  Response response;
  if (Fetch(client, "", &response) != kExitOk) return false;
  const auto present = ReadPresent(response.body);
  if (!present || conflicts.empty()) return false;
  const settings::Documents texts = present->texts();
  for (const Json::Value& conflict : conflicts) {
    const std::string key = conflict["key"].asString();
    if (conflict["seen"].asUInt64() != 0 || texts.contains(key)) return false;
    for (PlannedEdit& edit : *edits) {
      if (edit.key == key) edit.base_version = conflict["present"].asUInt64();
    }
  }
  return true;
}

void PrintConflicts(const Json::Value& body, bool json) {
  if (json) {
    std::cout << ToText(body) << "\n";
    return;
  }
  for (const Json::Value& conflict : body["conflicts"]) {
    std::cerr << "conflict: " << conflict["key"].asString()
              << " was seen at version " << conflict["seen"].asString()
              << " and is at " << conflict["present"].asString() << "\n";
  }
  std::cerr << "nothing of the change is in force; look again with "
               "`ryefoldctl diff`\n";
}

/// Repeats the change, by its id, until an instance tells what became of it.
int Send(const Invocation& invocation, Client* client,
         std::vector<PlannedEdit> edits, Response* response) {
  const std::string id = NewChangeId();
  bool taken_over = false;
  bool unsettled = false;
  while (!client->expired()) {
    *response =
        client->Post("/v1/admin/publish", BodyOf(invocation, id, edits));
    unsettled = unsettled || response->lost;
    if (response->status == kOk) return kExitOk;
    if (response->status == kConflict) {
      const Json::Value& conflicts = response->body["conflicts"];
      if (!taken_over && TakeDeleted(client, conflicts, &edits)) {
        taken_over = true;
        continue;
      }
      PrintConflicts(response->body, invocation.json);
      return kExitFindings;
    }
    if (response->status >= kBadRequest && response->status < kConflict) {
      const int code = Explain(*response);
      return response->status == kBadRequest ? kExitFindings : code;
    }
    unsettled = unsettled || response->status > 503;
    std::this_thread::sleep_for(kRetryPause);
  }
  if (!unsettled) return Explain(*response);
  std::cerr << "ryefoldctl: not known whether change " << id
            << " was taken; look with `ryefoldctl history`\n";
  return kExitTimeout;
}

}  // namespace

int Validate(const Invocation& invocation) {
  if (invocation.arguments.empty()) {
    std::cerr << "ryefoldctl: validate takes one or more files\n";
    return kExitUsage;
  }
  Present present;
  if (!invocation.access.servers.empty() || !invocation.base_file.empty()) {
    Client client(invocation.access);
    const int code = ReadBase(invocation, &client, &present);
    if (code != kExitOk) return code;
  }
  settings::Documents wanted;
  int code = kExitOk;
  if (!ReadWanted(invocation, present, &wanted, &code)) return code;
  if (invocation.json) {
    std::cout << "[]\n";
  } else {
    std::cout << wanted.size() << " documents, no findings\n";
  }
  return kExitOk;
}

int Diff(const Invocation& invocation) {
  Client client(invocation.access);
  Present present;
  int code = ReadBase(invocation, &client, &present);
  if (code != kExitOk) return code;
  settings::Documents wanted;
  if (!ReadWanted(invocation, present, &wanted, &code)) return code;
  PrintPlan(Plan(present, wanted, invocation.deleted), invocation.json);
  return kExitOk;
}

int Publish(const Invocation& invocation) {
  if (invocation.arguments.empty() && invocation.deleted.empty()) {
    std::cerr << "ryefoldctl: publish takes files or --delete\n";
    return kExitUsage;
  }
  Client client(invocation.access);
  Present present;
  int code = ReadBase(invocation, &client, &present);
  if (code != kExitOk) return code;
  settings::Documents wanted;
  if (!ReadWanted(invocation, present, &wanted, &code)) return code;
  const auto edits = Plan(present, wanted, invocation.deleted);
  if (edits.empty()) {
    std::cout << (invocation.json ? "{\"changes\":0}" : "nothing differs")
              << "\n";
    return kExitOk;
  }
  Response response;
  code = Send(invocation, &client, edits, &response);
  if (code != kExitOk) return code;
  if (invocation.json) {
    std::cout << ToText(response.body) << "\n";
  } else {
    std::cout << "accepted as revision " << response.body["revision"].asString()
              << " (" << edits.size() << " documents), held by "
              << response.body["held_by"].asString() << " of "
              << response.body["instances"].asString() << " instances\n";
  }
  if (!invocation.wait) return kExitOk;
  return WaitFor(&client, response.body["revision"].asUInt64(),
                 invocation.json);
}

int Drain(const Invocation& invocation) {
  if (invocation.arguments.size() != 1) {
    std::cerr << "ryefoldctl: drain takes one instance\n";
    return kExitUsage;
  }
  Client client(invocation.access);
  Json::Value body;
  body["instance"] = invocation.arguments.front();
  const Response response = client.Post("/v1/admin/drain", body);
  if (response.status != kOk) return Explain(response);
  if (invocation.json) {
    std::cout << ToText(response.body) << "\n";
  } else {
    std::cout << invocation.arguments.front() << " is draining\n";
  }
  return kExitOk;
}

}  // namespace ryefold::ryefoldctl
