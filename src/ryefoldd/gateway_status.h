#pragma once

// What a gateway knows, for operators: `GET /status` beside its metrics.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "ryefold/core/session/proxy.h"
#include "ryefold/core/types.h"
#include "ryefoldd/workspace_status.h"

namespace ryefold::ryefoldd {

struct GatewayStatus {
  std::string instance;
  bool ready = false;
  bool draining = false;
  uint64_t config_version = 0;
  size_t callers = 0;
  /// Instance that changes in the store are heard from; empty: the store.
  std::string relay;
  /// Store revision that has been read.
  uint64_t as_of = 0;
  /// Since what was read was last known to be all there is.
  std::chrono::milliseconds copy_age{0};
  /// Instances that wait for news from here.
  size_t listeners = 0;
  /// Who orders promotions, as far as is known here.
  std::string duty_holder;
  /// All instances by name.
  std::vector<std::string> instances;
  std::vector<core::session::GroupView> groups;
  std::vector<WorkspaceStatus> workspaces;
};

std::string ToJson(core::TimePoint now, const GatewayStatus& status);

}  // namespace ryefold::ryefoldd
