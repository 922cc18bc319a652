#pragma once

// Documents as instances hold them, and what publishing a file would change.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/settings/catalog.h"
#include "ryefoldctl/client.h"

namespace ryefold::ryefoldctl {

struct Published {
  uint64_t version = 0;
  /// Nothing for a deleted key.
  std::optional<std::string> text;
};

/// Everything in force at one revision.
struct Present {
  uint64_t revision = 0;
  std::map<std::string, Published> documents;

  /// Without deleted keys, as the parser takes them.
  settings::Documents texts() const;
};

/// Reads the answer of /v1/admin/documents, or a file that holds one.
std::optional<Present> ReadPresent(const Json::Value& body);

enum class EditKind : uint8_t { kAdd, kChange, kDelete };

struct PlannedEdit {
  EditKind kind = EditKind::kAdd;
  std::string key;
  uint64_t base_version = 0;
  std::optional<std::string> text;
};

/// Edits that bring `wanted` about: keys that differ, and `deleted` ones that
/// are there. Keys that the file does not name stay as they are.
std::vector<PlannedEdit> Plan(const Present& present,
                              const settings::Documents& wanted,
                              const std::vector<std::string>& deleted);

}  // namespace ryefold::ryefoldctl
