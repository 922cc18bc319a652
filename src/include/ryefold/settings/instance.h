#pragma once

// Settings of one instance: a JSON file with comments (docs/SETTINGS.md).

#include <chrono>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"
#include "ryefold/wire/finding.h"
#include "ryefold/wire/http.h"

namespace ryefold::settings {

/// Who an instance is, where it listens, whom it calls, and its limits.
struct InstanceSettings {
  /// Unique among all instances.
  std::string name;
  std::string failure_domain;
  std::string region;
  /// "ip:port" for callers and operators.
  std::string caller_address;
  /// "ip:port" for other instances.
  std::string peer_address;
  /// Addresses of the platform's key-value service, tried in turn.
  std::vector<std::string> platform;
  /// Peer addresses to try while the platform's list is not known.
  std::vector<std::string> seeds;
  /// Key that operators' calls carry.
  std::string admin_key;
  /// Bounds on what one caller may make the instance hold.
  wire::HttpLimits http;
  /// Time between "not ready" and refusing connections, for the balancer.
  std::chrono::milliseconds drain_notice{1000};
  /// Failure detection.
  core::group::KeeperTiming keeper;
};

/// Reads settings; every problem is added to `findings` with its place, and
/// the result is only good for use when there is none.
InstanceSettings ParseInstanceSettings(const std::string& source,
                                       const std::string& text,
                                       wire::Findings* findings);

/// Whether `text` is "ip:port" with a numeric IPv4 address and a port from 1.
bool IsAddress(const std::string& text);

}  // namespace ryefold::settings
