#pragma once

// Settings of one instance: a JSON file with comments (docs/SETTINGS.md).

#include <chrono>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"
#include "ryefold/wire/finding.h"
#include "ryefold/wire/http.h"

namespace ryefold::settings {

/// Identity, addresses and limits of an instance.
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
  /// Peer addresses to try until the platform's list of instances is available.
  std::vector<std::string> seeds;
  /// Key that authorizes operators' calls.
  std::string admin_key;
  /// Limits of the resources that one caller may use.
  wire::HttpLimits http;
  /// Time between reporting "not ready" and refusing connections, in which the
  /// load balancer removes the instance.
  std::chrono::milliseconds drain_notice{1000};
  /// Timing of the failure detector.
  core::group::KeeperTiming keeper;
};

/// Reads settings. Every problem is added to `findings` with its place; the
/// result is valid only if there are none.
InstanceSettings ParseInstanceSettings(const std::string& source,
                                       const std::string& text,
                                       wire::Findings* findings);

/// Returns whether `text` is "ip:port" with a numeric IPv4 address and a port
/// from 1.
bool IsAddress(const std::string& text);

}  // namespace ryefold::settings
