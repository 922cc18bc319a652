#include "ryefoldctl/documents.h"

namespace ryefold::ryefoldctl {

settings::Documents Present::texts() const {
  settings::Documents texts;
  for (const auto& [key, document] : documents) {
    if (document.text) texts[key] = *document.text;
  }
  return texts;
}

std::optional<Present> ReadPresent(const Json::Value& body) {
  if (!body.isObject() || !body["revision"].isUInt64() ||
      !body["documents"].isObject()) {
    return std::nullopt;
  }
  Present present;
  present.revision = body["revision"].asUInt64();
  for (const std::string& key : body["documents"].getMemberNames()) {
    const Json::Value& entry = body["documents"][key];
    if (!entry.isObject() || !entry["version"].isUInt64()) return std::nullopt;
    Published& document = present.documents[key];
    document.version = entry["version"].asUInt64();
    if (entry["text"].isString()) document.text = entry["text"].asString();
  }
  return present;
}

std::vector<PlannedEdit> Plan(const Present& present,
                              const settings::Documents& wanted,
                              const std::vector<std::string>& deleted) {
  std::vector<PlannedEdit> edits;
  for (const auto& [key, text] : wanted) {
    const auto found = present.documents.find(key);
    const bool known = found != present.documents.end();
    if (known && found->second.text == text) continue;
    const bool there = known && found->second.text.has_value();
    edits.push_back({there ? EditKind::kChange : EditKind::kAdd, key,
                     known ? found->second.version : 0, text});
  }
  for (const std::string& key : deleted) {
    const auto found = present.documents.find(key);
    if (found == present.documents.end() || !found->second.text) continue;
    edits.push_back(
        {EditKind::kDelete, key, found->second.version, std::nullopt});
  }
  return edits;
}

}  // namespace ryefold::ryefoldctl
