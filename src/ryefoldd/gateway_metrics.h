#pragma once

// Counters and histograms of an instance that serves interactive sessions.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "ryefold/core/limits/allowance_ledger.h"
#include "ryefold/core/session/proxy.h"
#include "ryefoldd/workspace_status.h"

namespace ryefold::ryefoldd {

/// One thread. Latency by workspace (route) and by priority class.
class GatewayMetrics : public core::session::AnswerObserver {
 public:
  GatewayMetrics();
  ~GatewayMetrics() override;

  void OnAnswer(const core::session::Route& route,
                core::session::ErrorCode outcome,
                std::chrono::microseconds latency) override;

  /// Takes the present state, before the page is asked for.
  void Update(const std::vector<core::session::GroupView>& groups,
              const core::session::ProxyCounters& counters, size_t callers,
              uint64_t route_version, uint64_t lines_left_out,
              uint64_t store_calls, std::chrono::milliseconds copy_age);
  /// Takes the workspaces, the most refused first. Only so many have series of
  /// their own.
  void UpdateWorkspaces(const std::vector<WorkspaceStatus>& workspaces);
  void UpdateLimitAdvances(
      const core::limits::AllowanceLedger::AdvanceCounters& advances);
  /// Takes what this instance did as an owner of parts of limits.
  void UpdateLimits(const core::limits::LedgerCounters& counters);
  /// The page in Prometheus' text form.
  std::string Text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::ryefoldd
