#pragma once

// Operators' documents: templates, groups and workspaces (docs/SETTINGS.md).

#include <map>
#include <string>
#include <string_view>

#include "ryefold/core/policy.h"
#include "ryefold/wire/finding.h"

namespace ryefold::settings {

/// Documents by key ("template/NAME", "group/NAME", "workspace/NAME"), each a
/// JSON object in canonical form: no comments, members in order, no blanks.
using Documents = std::map<std::string, std::string>;

/// Splits an operators' file into documents. `base` holds what is published
/// already: names that the file refers to may stand there. Every problem is
/// added to `findings` with its place in the file.
Documents ParseDocuments(const std::string& source, const std::string& text,
                         const Documents& base, wire::Findings* findings);

/// What the documents amount to. A document that does not resolve is left out
/// and told in `findings`, its key as the source; all others are in force.
core::Catalog Resolve(const Documents& documents, wire::Findings* findings);

/// Lower-case hex of SHA-256 over salt and key.
std::string HashKey(std::string_view salt, std::string_view key);

/// Compares without telling by its time where the two differ.
bool SameKey(std::string_view left, std::string_view right);

}  // namespace ryefold::settings
