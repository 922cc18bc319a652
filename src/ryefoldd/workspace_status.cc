#include "ryefoldd/workspace_status.h"

#include <algorithm>
#include <utility>

namespace ryefold::ryefoldd {

std::vector<WorkspaceStatus> WorkspaceStatuses(
    const core::session::Proxy& proxy,
    const std::map<std::string, core::limits::LimitUsage>& usage) {
  const std::map<std::string, uint32_t> held = proxy.connections_by_workspace();
  std::vector<WorkspaceStatus> statuses;
  for (const auto& [name, workspace] : proxy.workspaces().all()) {
    WorkspaceStatus status;
    status.workspace = name;
    status.priority = workspace->priority;
    status.limited = workspace->limit.has_value();
    if (status.limited) {
      status.rate = workspace->limit->rate;
      status.burst = workspace->limit->burst;
    }
    const auto used = usage.find(name);
    if (used != usage.end()) status.usage = used->second;
    const auto connections = held.find(name);
    if (connections != held.end()) status.connections = connections->second;
    for (const core::workspace::KeyDigest& key : workspace->keys) {
      status.keys.push_back(core::workspace::Fingerprint(key));
    }
    statuses.push_back(std::move(status));
  }
  std::stable_sort(statuses.begin(), statuses.end(),
                   [](const WorkspaceStatus& a, const WorkspaceStatus& b) {
                     if (a.usage.over_limit != b.usage.over_limit) {
                       return a.usage.over_limit > b.usage.over_limit;
                     }
                     return a.usage.allowed > b.usage.allowed;
                   });
  return statuses;
}

}  // namespace ryefold::ryefoldd
