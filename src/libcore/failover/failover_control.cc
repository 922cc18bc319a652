#include "ryefold/core/failover/failover_control.h"

#include <set>
#include <utility>

namespace ryefold::core::failover {
namespace {

using session::GroupView;
using std::chrono::milliseconds;

/// Time for which a reported group is evaluated. Covers several reports, some
/// of which may be lost, and the time of a promotion.
constexpr milliseconds kReportLifetime{3000};

}  // namespace

FailoverControl::FailoverControl(uint64_t seed, PromotionAuthority* authority,
                                 CoordinatorPort* port,
                                 GroupMonitorPort* monitor_port,
                                 EventSink* events)
    : coordinator_(CoordinatorTiming(), authority, port, events),
      monitor_(MonitorTiming(), seed, monitor_port, events) {}

/// A group without keepers is kept by all instances, also by the holder of the
/// duty, which needs no reports of it.
void FailoverControl::Evaluate(TimePoint now, const session::Proxy& proxy,
                               std::optional<uint64_t> token) {
  std::vector<GroupView> active = proxy.active_groups(now);
  std::vector<GroupView> monitored;
  for (const GroupView& each : active) {
    const bool coordinated = token.has_value() && each.is_keeper;
    if (each.keepers > 0 && !coordinated) monitored.push_back(each);
  }
  monitor_.Evaluate(now, monitored);
  if (!token.has_value()) {
    reported_until_.clear();
    coordinator_.EvaluateGroups(now, {}, token);
    return;
  }
  coordinator_.EvaluateGroups(
      now, GroupsToCoordinate(now, proxy, std::move(active)), token);
}

/// Returns the groups that this instance keeps, those that were reported, and
/// those with something in progress.
std::vector<GroupView> FailoverControl::GroupsToCoordinate(
    TimePoint now, const session::Proxy& proxy, std::vector<GroupView> active) {
  std::vector<GroupView> chosen;
  std::set<std::string> others;
  std::erase_if(reported_until_,
                [now](const auto& each) { return now >= each.second; });
  for (const auto& [name, until] : reported_until_) others.insert(name);
  for (const std::string& name : coordinator_.OpenGroups(now)) {
    others.insert(name);
  }
  for (GroupView& each : active) {
    if (!each.is_keeper) continue;
    others.erase(each.group);
    chosen.push_back(std::move(each));
  }
  for (const std::string& name : others) {
    std::optional<GroupView> group = proxy.group(now, name);
    if (group.has_value()) chosen.push_back(std::move(*group));
  }
  return chosen;
}

bool FailoverControl::ReportsReceived(TimePoint now,
                                      const std::vector<GroupReport>& reports) {
  bool any_new = false;
  for (const GroupReport& report : reports) {
    any_new |= reported_until_.count(report.group) == 0;
    reported_until_[report.group] = now + kReportLifetime;
    if (report.silence > milliseconds(0)) {
      coordinator_.SilenceReported(now, report.group, now - report.silence);
    }
  }
  return any_new;
}

}  // namespace ryefold::core::failover
