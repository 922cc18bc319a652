#pragma once

// Operators' documents: templates, groups and workspaces (docs/SETTINGS.md).

#include <map>
#include <string>
#include <string_view>

#include "ryefold/core/policy.h"
#include "ryefold/wire/finding.h"

namespace ryefold::settings {

/// Documents by key ("template/NAME", "group/NAME", "workspace/NAME"), each a
/// JSON object in canonical form: no comments, members sorted, no white space.
using Documents = std::map<std::string, std::string>;

/// Splits an operators' file into documents. `base` holds the published
/// documents, whose names the file may refer to. Every problem is added to
/// `findings` with its place in the file.
Documents ParseDocuments(const std::string& source, const std::string& text,
                         const Documents& base, wire::Findings* findings);

/// Returns the catalog that the documents define. An invalid document is left
/// out and reported in `findings` with its key as the source; all others are in
/// force.
core::Catalog Resolve(const Documents& documents, wire::Findings* findings);

/// Returns the lower-case hex SHA-256 of the salt followed by the key.
std::string HashKey(std::string_view salt, std::string_view key);

/// Compares two keys in time that does not depend on where they differ.
bool KeysEqual(std::string_view left, std::string_view right);

}  // namespace ryefold::settings
