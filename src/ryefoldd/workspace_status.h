#pragma once

// What a gateway knows of the workspaces that it serves, for operators.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ryefold/core/limits/granted_limiter.h"
#include "ryefold/core/session/proxy.h"

namespace ryefold::ryefoldd {

struct WorkspaceStatus {
  std::string workspace;
  uint32_t priority = 0;
  /// Operations a second and at once; 0 with `limited` false.
  bool limited = false;
  double rate = 0;
  double burst = 0;
  /// Operations at this instance since its start.
  core::limits::LimitUsage usage;
  /// Connections to databases that this instance holds for it.
  uint32_t connections = 0;
  /// Short forms of its keys' digests.
  std::vector<std::string> keys;
};

/// All configured workspaces, those refused most often first.
std::vector<WorkspaceStatus> WorkspaceStatuses(
    const core::session::Proxy& proxy,
    const std::map<std::string, core::limits::LimitUsage>& usage);

}  // namespace ryefold::ryefoldd
