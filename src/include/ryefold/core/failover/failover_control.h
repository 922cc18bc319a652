#pragma once

// One instance's part in failover: it monitors the groups that it uses, and
// while it holds the duty, evaluates its own and those that others report.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/event.h"
#include "ryefold/core/failover/coordinator.h"
#include "ryefold/core/failover/group_monitor.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/core/types.h"

namespace ryefold::core::failover {

class FailoverControl {
 public:
  /// All arguments outlive it. `seed` differs between instances.
  FailoverControl(uint64_t seed, PromotionAuthority* authority,
                  CoordinatorPort* port, GroupMonitorPort* monitor_port,
                  EventSink* events);

  /// To be called several times within the shortest time that counts as a
  /// failure. `token` is the fencing token of the duty; nullopt while this
  /// instance does not hold it.
  void Evaluate(TimePoint now, const session::Proxy& proxy,
                std::optional<uint64_t> token);

  /// Takes reports of another instance. Only the holder of the duty does.
  /// Returns whether a group was not known to be in trouble, so that it should
  /// be evaluated soon.
  bool ReportsReceived(TimePoint now, const std::vector<GroupReport>& reports);
  void ReportsFailed(TimePoint now) { monitor_.ReportsFailed(now); }
  void HolderChanged(TimePoint now) { monitor_.HolderChanged(now); }

  Coordinator& coordinator() { return coordinator_; }
  const Coordinator& coordinator() const { return coordinator_; }

 private:
  std::vector<session::GroupView> GroupsToCoordinate(
      TimePoint now, const session::Proxy& proxy,
      std::vector<session::GroupView> active);

  Coordinator coordinator_;
  GroupMonitor monitor_;
  /// Reported groups, and until when they are evaluated.
  std::map<std::string, TimePoint> reported_until_;
};

}  // namespace ryefold::core::failover
