#pragma once

// Parsers for the three kinds of documents, in operators' files and in the
// store.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "ryefold/core/policy.h"
#include "ryefold/wire/document.h"

namespace ryefold::settings {

/// Parameters that a template sets and a workspace may override.
struct WorkspaceParameters {
  uint32_t priority = 0;
  uint32_t weight = 1;
  uint32_t connection_share = 1;
  std::chrono::milliseconds max_age{0};
};

/// A workspace's document before its template is applied.
struct WorkspaceDocument {
  std::string template_name;
  std::string group;
  std::string key_hash;
  std::string key_salt;
  std::optional<uint32_t> priority;
  std::optional<uint32_t> weight;
  std::optional<uint32_t> connection_share;
  std::optional<std::chrono::milliseconds> max_age;
};

WorkspaceParameters ReadTemplate(wire::Reader* reader);
core::GroupSpec ReadGroup(const std::string& name, wire::Reader* reader);
WorkspaceDocument ReadWorkspace(wire::Reader* reader);

/// Returns the template's parameters, overridden by the workspace's own.
WorkspaceParameters ApplyOverrides(const WorkspaceParameters& base,
                                   const WorkspaceDocument& workspace);

/// Returns the number of connections to each database that workspaces share.
uint32_t UsableConnections(const core::GroupSpec& group);

}  // namespace ryefold::settings
