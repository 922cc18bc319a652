#pragma once

// Settings of an instance that serves interactive sessions: a JSON file with
// comments (docs/SETTINGS.md).

#include <chrono>
#include <string>

#include "ryefold/wire/finding.h"

namespace ryefold::settings {

struct GatewaySettings {
  /// Unique among all instances.
  std::string name;
  std::string failure_domain;
  /// "ip:port" for callers' sessions.
  std::string session_address;
  /// "ip:port" for other instances; empty: no instance forwards statements
  /// here.
  std::string peer_address;
  /// "ip:port" for the load balancer's readiness probe; also serves /metrics.
  std::string ready_address;
  /// "ip:port" for metrics; empty: on the ready address only.
  std::string metrics_address;
  /// "ip:port" of the platform's key-value store.
  std::string store_address;
  /// "ip:port" of the platform's interface that promotes databases.
  std::string promotion_address;
  /// The whole fleet starts for the first time.
  bool first_start = false;
  /// Time from the request to stop until the process is killed.
  std::chrono::milliseconds stop_grace{6000};
  /// Where a commit must be stored before it is acknowledged: "replica", so
  /// that no single failure loses it, or "primary".
  std::string confirm_commits = "replica";
  /// What the shares of a priority class count: "requests" or "work".
  std::string queue_shares = "requests";
  /// How the keeper of a forwarded statement is chosen: "in_flight", by the
  /// statements of this instance in flight, or "expected_wait", by what keepers
  /// report.
  std::string keeper_choice = "in_flight";
  /// Order in which operations are admitted while a workspace exceeds its rate
  /// limit: "arrival" or "priority" (of their routes).
  std::string limit_order = "arrival";
  /// How many statements may be in flight at a database: a "fixed" number for
  /// each slot, or an "adaptive" one.
  std::string database_concurrency = "fixed";
  /// Maximum number of statement lines logged per second.
  uint32_t log_lines = 150;
  /// After a restart, workspaces' limits start with an advance.
  bool restart_allowance = false;
};

/// Reads settings. Every problem is added to `findings` with its place; the
/// result is valid only if there are none.
GatewaySettings ParseGatewaySettings(const std::string& source,
                                     const std::string& text,
                                     wire::Findings* findings);

}  // namespace ryefold::settings
