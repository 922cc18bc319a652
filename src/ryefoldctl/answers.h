#pragma once

// Answers of the operators' interface, read.

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>

#include "ryefold/settings/catalog.h"
#include "ryefoldctl/client.h"

namespace ryefold::ryefoldctl {

/// Published documents with the versions at which they were seen.
struct Published {
  uint64_t revision = 0;
  settings::Documents texts;
  /// Of deleted keys too, which have no text.
  std::map<std::string, uint64_t> versions;
};

/// False for a body that is not JSON.
bool ParseAnswer(const std::string& body, Json::Value* value);

/// Body of GET /v1/admin/documents, or a file made from it.
bool ReadPublished(const std::string& body, Published* published);

/// Tells on stderr why a call failed; returns the exit code for it.
int ReportFailure(const Reply& reply);

/// Reads a file, telling on stderr when it can't be read.
bool ReadFile(const std::string& path, std::string* text);

}  // namespace ryefold::ryefoldctl
