#include "ryefoldctl/answers.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "ryefoldctl/commands.h"

namespace ryefold::ryefoldctl {
namespace {

constexpr int kUnauthorized = 401;

}  // namespace

bool ParseAnswer(const std::string& body, Json::Value* value) {
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string problem;
  return reader->parse(body.data(), body.data() + body.size(), value,
                       &problem) &&
         value->isObject();
}

bool ReadPublished(const std::string& body, Published* published) {
  Json::Value value;
  if (!ParseAnswer(body, &value)) return false;
  const Json::Value& documents = value["documents"];
  if (!value["revision"].isUInt64() || !documents.isObject()) return false;
  published->revision = value["revision"].asUInt64();
  for (const std::string& key : documents.getMemberNames()) {
    const Json::Value& entry = documents[key];
    if (!entry["version"].isUInt64() || !entry["text"].isString()) return false;
    published->versions[key] = entry["version"].asUInt64();
    published->texts[key] = entry["text"].asString();
  }
  const Json::Value& deleted = value["deleted"];
  if (!deleted.isObject()) return true;
  for (const std::string& key : deleted.getMemberNames()) {
    if (!deleted[key].isUInt64()) return false;
    published->versions[key] = deleted[key].asUInt64();
  }
  return true;
}

int ReportFailure(const Reply& reply) {
  if (!reply.reached) {
    std::cerr << "ryefoldctl: " << reply.server
              << (reply.lost ? ": the answer was lost\n" : ": no answer\n");
    return kExitUnreachable;
  }
  if (reply.status == kUnauthorized) {
    std::cerr << "ryefoldctl: the operators' key is not accepted\n";
    return kExitUsage;
  }
  std::cerr << "ryefoldctl: " << reply.server << " answered " << reply.status
            << ": " << reply.body << "\n";
  return kExitFindings;
}

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "ryefoldctl: " << path << ": " << std::strerror(errno) << "\n";
    return false;
  }
  std::ostringstream content;
  content << file.rdbuf();
  *text = content.str();
  return true;
}

}  // namespace ryefold::ryefoldctl
