#pragma once

// Counters and histograms of the daemon, in Prometheus' text form.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"
#include "ryefold/core/outcome.h"

namespace ryefold::ryefoldd {

/// Thread-safe; shared by all tasks of the daemon.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// One answer to a caller: latency by workspace and by priority class,
  /// counted by outcome and reason. `workspace` must be a configured one: a
  /// name that a caller made up would grow the page without bound.
  void Answered(const std::string& workspace, uint32_t priority,
                const core::StatementAnswer& answer,
                std::chrono::microseconds latency);

  /// A statement left the keeper's queue after waiting this long.
  void Dequeued(const std::string& workspace, uint32_t priority,
                std::chrono::microseconds waited);

  /// A body, key or address that was turned away, by HTTP status.
  void Rejected(int status);

  /// A task failed and was restarted.
  void TaskRestarted(const std::string& task);

  /// Present state of the keepers of this instance.
  void Keepers(const std::vector<core::group::KeeperView>& views);

  /// Open connections of callers.
  void CallerConnections(size_t open);

  /// Revision in force and whether the instance is ready.
  void Configuration(uint64_t revision, bool ready);

  /// Control traffic to peers and calls to the platform.
  void ControlBytes(uint64_t sent, uint64_t received);
  void StoreCall(const std::string& kind, bool answered);

  /// The page for GET /metrics.
  std::string Text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::ryefoldd
