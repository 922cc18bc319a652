#pragma once

// The three kinds of documents, read into aggregates. Used for operators'
// files and for what the store holds alike.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "ryefold/core/policy.h"
#include "ryefold/wire/document.h"

namespace ryefold::settings {

/// What a template sets, and what a workspace may set anew for itself.
struct Terms {
  uint32_t priority = 0;
  uint32_t weight = 1;
  uint32_t connection_share = 1;
  std::chrono::milliseconds max_age{0};
};

/// A workspace's document before its template is known.
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

Terms ReadTemplate(wire::Reader* reader);
core::GroupSpec ReadGroup(const std::string& name, wire::Reader* reader);
WorkspaceDocument ReadWorkspace(wire::Reader* reader);

/// The template's terms with the workspace's own parameters over them.
Terms Combine(const Terms& base, const WorkspaceDocument& workspace);

/// Connections to each database that workspaces share.
uint32_t UsableConnections(const core::GroupSpec& group);

}  // namespace ryefold::settings
