#pragma once

// Detects failing groups at the instances that use them and reports them to the
// holder of the duty, which would otherwise have to watch every database of the
// fleet by itself.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ryefold/core/event.h"
#include "ryefold/core/failover/group_health.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/core/types.h"

namespace ryefold::core::failover {

/// A group that may need the holder of the duty.
struct GroupReport {
  std::string group;
  /// Time for which the primary has left calls unanswered; 0 if it has not.
  std::chrono::milliseconds silence{0};
};

class GroupMonitorPort {
 public:
  virtual ~GroupMonitorPort() = default;
  /// Requests the status of all databases of the group.
  virtual void Probe(const std::string& group) = 0;
  /// Sends the reports to the holder of the duty. If they do not arrive,
  /// `GroupMonitor::ReportsFailed` is called, never before this call returns.
  virtual void SendReports(const std::vector<GroupReport>& reports) = 0;
};

struct MonitorTiming {
  /// Interval between probes of a healthy group by all its keepers together,
  /// which take turns. Bounds how late the failure of an idle primary is seen.
  std::chrono::milliseconds probe_interval{1000};
  /// Interval between probes by one instance that suspects the primary.
  std::chrono::milliseconds suspected_probe_interval{150};
  /// Silence of a primary from which it is reported: half of that after which
  /// it is replaced, so that the holder can confirm it meanwhile.
  std::chrono::milliseconds max_silence{375};
  /// Maximum status age for the detection of a replication stall.
  std::chrono::milliseconds max_status_age{1500};
  /// Time without progress of replication from which it is reported. Longer
  /// than the usual lag of busy replicas.
  std::chrono::milliseconds stall_time{400};
  /// Interval between reports while the trouble lasts: a third of the time for
  /// which the holder evaluates a reported group.
  std::chrono::milliseconds report_interval{1000};
  /// Delay before a report that did not arrive is sent again.
  std::chrono::milliseconds retry_delay{150};
};

class GroupMonitor {
 public:
  /// `seed` spreads the probes of a group's keepers.
  GroupMonitor(MonitorTiming timing, uint64_t seed, GroupMonitorPort* port,
               EventSink* events);

  /// Evaluates the groups that this instance keeps or uses, and forgets others.
  void Evaluate(TimePoint now, const std::vector<session::GroupView>& groups);
  /// The last reports did not arrive.
  void ReportsFailed(TimePoint now);
  /// Another instance holds the duty and knows of no report yet.
  void HolderChanged(TimePoint now);

 private:
  struct GroupState {
    TimePoint next_probe_at;
    TimePoint next_report_at;
    ReplicationProgress replication;
    /// Why the group was reported last; empty while it is healthy.
    std::string trouble;
  };
  void EvaluateGroup(TimePoint now, const session::GroupView& group,
                     std::vector<GroupReport>* reports);
  void ProbeIfDue(TimePoint now, const session::GroupView& group,
                  GroupState* state);
  std::string TroubleOf(TimePoint now, const session::GroupView& group,
                        const GroupState& state) const;
  void ReportAllBy(TimePoint when);

  const MonitorTiming timing_;
  const uint64_t seed_;
  GroupMonitorPort* port_;
  EventSink* events_;
  std::map<std::string, GroupState> groups_;
};

}  // namespace ryefold::core::failover
