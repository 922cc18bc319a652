// Commands on documents: validate, diff, publish, delete, show, history.

#include <json/json.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

#include "ryefoldctl/answers.h"
#include "ryefoldctl/commands.h"
#include "ryefoldctl/table.h"

namespace ryefold::ryefoldctl {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnknownOutcome = 504;
/// A lost answer is settled by sending the same change id again.
constexpr int kSettleTries = 5;
constexpr std::chrono::milliseconds kSettlePause{300};

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string FreshChangeId() {
  std::random_device random;
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x%08x", random(), random(),
                random());
  return text.data();
}

void PrintFindings(const Invocation& invocation,
                   const wire::Findings& findings) {
  if (invocation.json) {
    std::cout << wire::ToJson(findings) << "\n";
    return;
  }
  for (const wire::Finding& finding : findings) {
    std::cerr << wire::ToText(finding) << "\n";
  }
}

/// What is published: from the servers, or from the file the operator named
/// as the state seen.
int FetchPublished(const Invocation& invocation, Client* client,
                   Published* published) {
  std::string body;
  if (!invocation.base.empty()) {
    if (!ReadFile(invocation.base, &body)) return kExitUsage;
  } else {
    const Reply reply = client->Get("/v1/admin/documents");
    if (!reply.reached || reply.status != kOk) return ReportFailure(reply);
    body = reply.body;
  }
  if (ReadPublished(body, published)) return kExitOk;
  std::cerr << "ryefoldctl: documents that cannot be read\n";
  return kExitFindings;
}

/// The file's documents, checked against what is published.
int ReadOperatorsFile(const Invocation& invocation, const Published& published,
                      settings::Documents* documents) {
  if (invocation.arguments.size() != 1) {
    std::cerr << "ryefoldctl: " << invocation.command << " takes one file\n";
    return kExitUsage;
  }
  const std::string& path = invocation.arguments[0];
  std::string text;
  if (!ReadFile(path, &text)) return kExitUsage;
  wire::Findings findings;
  *documents = settings::ParseDocuments(path, text, published.texts, &findings);
  if (findings.empty()) return kExitOk;
  PrintFindings(invocation, findings);
  return kExitFindings;
}

/// What is published, and the file checked against it.
int ReadBoth(const Invocation& invocation, Client* client, Published* published,
             settings::Documents* documents) {
  const int code = FetchPublished(invocation, client, published);
  if (code != kExitOk) return code;
  return ReadOperatorsFile(invocation, *published, documents);
}

/// Documents of the file that differ from what is published.
settings::Documents Changed(const settings::Documents& documents,
                            const Published& published) {
  settings::Documents changed;
  for (const auto& [key, text] : documents) {
    const auto present = published.texts.find(key);
    if (present != published.texts.end() && present->second == text) continue;
    changed[key] = text;
  }
  return changed;
}

Json::Value EditOf(const std::string& key, const Published& published,
                   Json::Value text) {
  Json::Value edit;
  const auto version = published.versions.find(key);
  edit["key"] = key;
  edit["base_version"] = static_cast<Json::UInt64>(
      version == published.versions.end() ? 0 : version->second);
  edit["text"] = std::move(text);
  return edit;
}

void PrintConflicts(const Json::Value& answer) {
  for (const Json::Value& conflict : answer["conflicts"]) {
    std::cerr << "conflict: " << conflict["key"].asString()
              << " was seen at version " << conflict["seen"].asUInt64()
              << " and is at version " << conflict["present"].asUInt64()
              << " now; nothing was changed\n";
  }
}

int ReportPublished(const Invocation& invocation, const Reply& reply) {
  Json::Value answer;
  if (!ParseAnswer(reply.body, &answer)) return ReportFailure(reply);
  if (invocation.json) std::cout << reply.body << "\n";
  if (reply.status == kConflict) {
    PrintConflicts(answer);
    return kExitFindings;
  }
  if (reply.status != kOk) return ReportFailure(reply);
  if (!invocation.json) {
    std::cout << "accepted: revision " << answer["revision"].asUInt64()
              << ", held by " << answer["held_by"].asUInt64() << " of "
              << answer["instances"].asUInt64() << " instances\n";
  }
  return kExitOk;
}

int Send(const Invocation& invocation, Client* client, Json::Value edits) {
  Json::Value body;
  body["change_id"] = FreshChangeId();
  body["author"] = invocation.author;
  body["changes"] = std::move(edits);
  Reply reply;
  for (int i = 0; i < kSettleTries; ++i) {
    body["repeat"] = i > 0;
    reply = client->Post("/v1/admin/publish", ToText(body));
    const bool settled = reply.reached && reply.status != kUnknownOutcome;
    if (settled) return ReportPublished(invocation, reply);
    const bool never_sent = !reply.reached && !reply.lost;
    if (never_sent && i == 0) return ReportFailure(reply);
    // The change may be in the store although nobody could tell us. Another
    // attempt with the same id finds it there instead of adding it twice.
    std::cerr << "ryefoldctl: outcome not known yet, asking again\n";
    std::this_thread::sleep_for(kSettlePause);
  }
  std::cerr << "ryefoldctl: the change " << body["change_id"].asString()
            << " may or may not be accepted; see `ryefoldctl history`\n";
  return kExitTimeout;
}

}  // namespace

int Validate(const Invocation& invocation, Client* client) {
  Published published;
  // Without a server only what stands in the file itself can be referred to.
  if (!invocation.servers.empty() || !invocation.base.empty()) {
    const int code = FetchPublished(invocation, client, &published);
    if (code != kExitOk) return code;
  }
  settings::Documents documents;
  const int code = ReadOperatorsFile(invocation, published, &documents);
  if (code != kExitOk) return code;
  if (invocation.json) {
    std::cout << "[]\n";
  } else {
    std::cout << "no findings in " << documents.size() << " documents\n";
  }
  return kExitOk;
}

int Diff(const Invocation& invocation, Client* client) {
  Published published;
  settings::Documents documents;
  const int code = ReadBoth(invocation, client, &published, &documents);
  if (code != kExitOk) return code;
  Json::Value list(Json::arrayValue);
  for (const auto& [key, text] : Changed(documents, published)) {
    const auto present = published.texts.find(key);
    const bool fresh = present == published.texts.end();
    if (!invocation.json) {
      std::cout << (fresh ? "+ " : "~ ") << key << "\n";
      if (!fresh) std::cout << "  - " << present->second << "\n";
      std::cout << "  + " << text << "\n";
      continue;
    }
    Json::Value entry = EditOf(key, published, text);
    entry["present"] = fresh ? Json::Value() : Json::Value(present->second);
    list.append(entry);
  }
  if (invocation.json) std::cout << ToText(list) << "\n";
  return kExitOk;
}

int Publish(const Invocation& invocation, Client* client) {
  Published published;
  settings::Documents documents;
  const int code = ReadBoth(invocation, client, &published, &documents);
  if (code != kExitOk) return code;
  Json::Value edits(Json::arrayValue);
  for (const auto& [key, text] : Changed(documents, published)) {
    edits.append(EditOf(key, published, text));
  }
  if (edits.empty()) {
    std::cout << "nothing differs from what is published\n";
    return kExitOk;
  }
  return Send(invocation, client, std::move(edits));
}

int Delete(const Invocation& invocation, Client* client) {
  Published published;
  const int code = FetchPublished(invocation, client, &published);
  if (code != kExitOk) return code;
  if (invocation.arguments.empty()) {
    std::cerr << "ryefoldctl: delete takes one or more keys\n";
    return kExitUsage;
  }
  Json::Value edits(Json::arrayValue);
  settings::Documents rest = published.texts;
  for (const std::string& key : invocation.arguments) {
    if (rest.erase(key) == 0) {
      std::cerr << "ryefoldctl: no document " << key << "\n";
      return kExitFindings;
    }
    edits.append(EditOf(key, published, Json::Value()));
  }
  wire::Findings findings;
  settings::Resolve(rest, &findings);
  if (!findings.empty()) {
    std::cerr << "ryefoldctl: other documents still need what is deleted\n";
    PrintFindings(invocation, findings);
    return kExitFindings;
  }
  return Send(invocation, client, std::move(edits));
}

int Show(const Invocation& invocation, Client* client) {
  const std::string prefix =
      invocation.arguments.empty() ? "" : invocation.arguments[0];
  const Reply reply = client->Get("/v1/admin/documents?prefix=" + prefix);
  if (!reply.reached || reply.status != kOk) return ReportFailure(reply);
  if (invocation.json) {
    std::cout << reply.body << "\n";
    return kExitOk;
  }
  Published published;
  if (!ReadPublished(reply.body, &published)) return ReportFailure(reply);
  std::cout << "revision " << published.revision << "\n";
  Table table({"DOCUMENT", "VERSION", "TEXT"});
  for (const auto& [key, text] : published.texts) {
    table.Add({key, std::to_string(published.versions[key]), text});
  }
  table.Print(&std::cout);
  return kExitOk;
}

int History(const Invocation& invocation, Client* client) {
  if (invocation.arguments.size() != 1) {
    std::cerr << "ryefoldctl: history takes one key\n";
    return kExitUsage;
  }
  const Reply reply =
      client->Get("/v1/admin/history?key=" + invocation.arguments[0]);
  if (!reply.reached || reply.status != kOk) return ReportFailure(reply);
  if (invocation.json) {
    std::cout << reply.body << "\n";
    return kExitOk;
  }
  Json::Value answer;
  if (!ParseAnswer(reply.body, &answer)) return ReportFailure(reply);
  Table table({"VERSION", "TIME", "AUTHOR", "CHANGE", "TEXT"});
  for (const Json::Value& entry : answer["entries"]) {
    const bool deleted = entry["text"].isNull();
    table.Add({std::to_string(entry["version"].asUInt64()),
               std::to_string(entry["time"].asUInt64()),
               entry["author"].asString(), entry["change_id"].asString(),
               deleted ? "(deleted)" : entry["text"].asString()});
  }
  table.Print(&std::cout);
  if (!answer["complete"].asBool()) std::cout << "older entries exist\n";
  return answer["entries"].empty() ? kExitFindings : kExitOk;
}

}  // namespace ryefold::ryefoldctl
