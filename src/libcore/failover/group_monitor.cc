#include "ryefold/core/failover/group_monitor.h"

#include <algorithm>
#include <functional>

namespace ryefold::core::failover {

using session::DatabaseView;
using session::GroupView;
using std::chrono::milliseconds;

GroupMonitor::GroupMonitor(MonitorTiming timing, uint64_t seed,
                           GroupMonitorPort* port, EventSink* events)
    : timing_(timing), seed_(seed), port_(port), events_(events) {}

void GroupMonitor::Evaluate(TimePoint now,
                            const std::vector<GroupView>& groups) {
  std::vector<GroupReport> reports;
  std::map<std::string, GroupState> previous = std::exchange(groups_, {});
  for (const GroupView& group : groups) {
    const auto known = previous.find(group.group);
    GroupState& state = groups_[group.group];
    if (known != previous.end()) {
      state = std::move(known->second);
    } else {
      const uint64_t turn = (std::hash<std::string>()(group.group) ^ seed_) %
                            std::max<size_t>(group.keepers, 1);
      state.next_probe_at =
          now + timing_.probe_interval * static_cast<int64_t>(turn + 1);
    }
    EvaluateGroup(now, group, &reports);
  }
  if (!reports.empty()) port_->SendReports(reports);
}

void GroupMonitor::EvaluateGroup(TimePoint now, const GroupView& group,
                                 std::vector<GroupReport>* reports) {
  GroupState& state = groups_[group.group];
  state.replication.Update(now, group, timing_.max_status_age);
  const std::string trouble = TroubleOf(now, group, state);
  const DatabaseView* primary = FindPrimary(group);
  milliseconds silence{0};
  if (primary != nullptr && primary->unanswered_since != TimePoint()) {
    silence = std::chrono::duration_cast<milliseconds>(
        now - primary->unanswered_since);
  }
  if (trouble != state.trouble) {
    Event(events_, EventPriority::kState,
          trouble.empty() ? "group_healthy" : "group_troubled")
        .Add("group", group.group)
        .Add("primary", group.primary)
        .Add("reason", trouble.empty() ? state.trouble : trouble)
        .Add("silence", silence);
    state.next_report_at = now;
    state.trouble = trouble;
  }
  ProbeIfDue(now, group, &state);
  if (trouble.empty() || now < state.next_report_at) return;
  state.next_report_at = now + timing_.report_interval;
  reports->push_back({group.group, silence});
}

/// Returns why the holder of the duty has to look at the group; empty if it
/// does not.
std::string GroupMonitor::TroubleOf(TimePoint now, const GroupView& group,
                                    const GroupState& state) const {
  // While a fleet starts, the databases are not known yet to anybody.
  if (group.databases.empty()) return "";
  const DatabaseView* primary = FindPrimary(group);
  if (primary == nullptr) return "no primary";
  if (primary->draining) return "primary is draining";
  if (SeemsToFail(now, primary, timing_.max_silence)) {
    return "primary unresponsive";
  }
  const TimePoint stalled_since = state.replication.stalled_since();
  if (stalled_since != TimePoint() &&
      now - stalled_since >= timing_.stall_time) {
    return "replication stalled";
  }
  const bool paused = std::any_of(
      group.databases.begin(), group.databases.end(),
      [](const DatabaseView& each) { return each.status.paused_term > 0; });
  return paused ? "replica paused" : "";
}

void GroupMonitor::ProbeIfDue(TimePoint now, const GroupView& group,
                              GroupState* state) {
  const bool suspected = !state->trouble.empty() ||
                         state->replication.stalled_since() != TimePoint();
  const milliseconds interval =
      suspected ? timing_.suspected_probe_interval
                : timing_.probe_interval *
                      static_cast<int64_t>(std::max<size_t>(group.keepers, 1));
  const TimePoint latest = now + interval;
  state->next_probe_at = std::min(state->next_probe_at, latest);
  if (now < state->next_probe_at) return;
  state->next_probe_at = latest;
  port_->Probe(group.group);
}

void GroupMonitor::ReportAllBy(TimePoint when) {
  for (auto& [name, state] : groups_) {
    state.next_report_at = std::min(state.next_report_at, when);
  }
}

void GroupMonitor::ReportsFailed(TimePoint now) {
  ReportAllBy(now + timing_.retry_delay);
}

void GroupMonitor::HolderChanged(TimePoint now) { ReportAllBy(now); }

}  // namespace ryefold::core::failover
