#include "ryefold/core/group/health.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::group {
namespace {

/// A reset, a refused reconnect and one refused re-check make a database lost.
/// A crashed process refuses connections at once; waiting for `lost_after`, as
/// for a frozen one, would extend the outage by more than a second.
constexpr int kRefusalsUntilLost = 3;
constexpr std::chrono::milliseconds kRefusedRetryDelay{50};
/// Poll interval of a lost database.
constexpr std::chrono::milliseconds kLostPollInterval{200};

}  // namespace

void HealthMonitor::SetDatabases(TimePoint now,
                                 const std::vector<std::string>& names) {
  std::map<std::string, MonitoredDatabase> retained;
  for (const std::string& name : names) {
    const auto it = databases_.find(name);
    if (it != databases_.end()) {
      retained.insert(*it);
      continue;
    }
    MonitoredDatabase monitored;
    monitored.next_poll = now;
    monitored.lost_at = now + timing_.lost_after;
    retained.emplace(name, monitored);
  }
  databases_ = std::move(retained);
}

std::vector<DueStatusCall> HealthMonitor::TakeDueCalls(TimePoint now) {
  std::vector<DueStatusCall> due;
  for (auto& [name, monitored] : databases_) {
    if (monitored.in_flight || monitored.next_poll > now) continue;
    monitored.in_flight = true;
    StatusCall call;
    const bool can_wait = monitored.has_status && !monitored.suspected &&
                          monitored.consecutive_refusals == 0;
    if (can_wait) {
      call.known_term = monitored.status.adopted_term;
      call.known_last = monitored.status.last;
      call.wait = timing_.status_wait;
    }
    due.push_back({name, call, now + call.wait + timing_.status_grace});
  }
  return due;
}

void HealthMonitor::RecordStatus(TimePoint now, const std::string& database,
                                 const DatabaseStatus& status, bool long_poll) {
  const auto it = databases_.find(database);
  if (it == databases_.end()) return;
  MonitoredDatabase& monitored = it->second;
  // Answers to two calls can arrive out of order; an older one must not revert
  // the term.
  if (!monitored.has_status ||
      status.adopted_term >= monitored.status.adopted_term) {
    monitored.status = status;
  }
  monitored.has_status = true;
  monitored.suspected = false;
  monitored.consecutive_refusals = 0;
  monitored.lost_at = now + timing_.lost_after;
  if (!long_poll) return;
  monitored.in_flight = false;
  monitored.next_poll = now;
}

void HealthMonitor::RecordFailure(TimePoint now, const std::string& database,
                                  bool refused) {
  const auto it = databases_.find(database);
  if (it == databases_.end()) return;
  MonitoredDatabase& monitored = it->second;
  monitored.in_flight = false;
  monitored.next_poll = now;
  if (!refused) return;
  ++monitored.consecutive_refusals;
  if (monitored.consecutive_refusals >= kRefusalsUntilLost) {
    monitored.next_poll = now + kLostPollInterval;
  } else if (monitored.consecutive_refusals > 1) {
    monitored.next_poll = now + kRefusedRetryDelay;
  }
}

void HealthMonitor::MarkSuspected(TimePoint now, const std::string& database) {
  const auto it = databases_.find(database);
  if (it == databases_.end() || it->second.suspected) return;
  it->second.suspected = true;
  if (it->second.in_flight) {
    probes_.push_back(database);
  } else {
    it->second.next_poll = now;
  }
}

std::vector<std::string> HealthMonitor::TakeProbes() {
  return std::exchange(probes_, {});
}

bool HealthMonitor::IsLost(TimePoint now, const std::string& database) const {
  const MonitoredDatabase* monitored = Find(database);
  if (monitored == nullptr) return true;
  return monitored->consecutive_refusals >= kRefusalsUntilLost ||
         monitored->lost_at <= now;
}

bool HealthMonitor::IsReachable(TimePoint now,
                                const std::string& database) const {
  const MonitoredDatabase* monitored = Find(database);
  return monitored != nullptr && monitored->has_status &&
         !IsLost(now, database);
}

bool HealthMonitor::IsSuspected(const std::string& database) const {
  const MonitoredDatabase* monitored = Find(database);
  return monitored == nullptr || monitored->suspected;
}

const DatabaseStatus* HealthMonitor::status(const std::string& database) const {
  const MonitoredDatabase* monitored = Find(database);
  return monitored != nullptr && monitored->has_status ? &monitored->status
                                                       : nullptr;
}

bool HealthMonitor::HasAssessedAll(TimePoint now) const {
  return std::all_of(
      databases_.begin(), databases_.end(), [this, now](const auto& entry) {
        return entry.second.has_status || IsLost(now, entry.first);
      });
}

TimePoint HealthMonitor::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [name, monitored] : databases_) {
    if (!monitored.in_flight) next = std::min(next, monitored.next_poll);
    if (monitored.lost_at > now) next = std::min(next, monitored.lost_at);
  }
  return next;
}

const HealthMonitor::MonitoredDatabase* HealthMonitor::Find(
    const std::string& database) const {
  const auto it = databases_.find(database);
  return it == databases_.end() ? nullptr : &it->second;
}

}  // namespace ryefold::core::group
