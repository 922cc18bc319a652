#include "ryefold/core/group/health.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::group {
namespace {

/// Reset, refused reconnect and one refused re-check make a database lost. A
/// process that died says so by resets at once, where waiting for the silence
/// of a frozen one would cost its callers more than a second.
constexpr int kRefusalsToLose = 3;
constexpr std::chrono::milliseconds kRecheckAfter{50};
/// Pause before polling a lost database again.
constexpr std::chrono::milliseconds kLostPollEvery{200};

}  // namespace

void Health::SetDatabases(TimePoint now,
                          const std::vector<std::string>& names) {
  std::map<std::string, Watch> kept;
  for (const std::string& name : names) {
    const auto it = watches_.find(name);
    if (it != watches_.end()) {
      kept.insert(*it);
      continue;
    }
    Watch watch;
    watch.poll_at = now;
    watch.silent_until = now + timing_.lost_after;
    kept.emplace(name, watch);
  }
  watches_ = std::move(kept);
}

std::vector<StatusDue> Health::TakeDue(TimePoint now) {
  std::vector<StatusDue> due;
  for (auto& [name, watch] : watches_) {
    if (watch.in_flight || watch.poll_at > now) continue;
    watch.in_flight = true;
    StatusCall call;
    const bool wait = watch.known && !watch.doubted && watch.refusals == 0;
    if (wait) {
      call.known_term = watch.status.adopted_term;
      call.known_last = watch.status.last;
      call.wait = timing_.status_wait;
    }
    due.push_back({name, call, now + call.wait + timing_.status_grace});
  }
  return due;
}

void Health::Answered(TimePoint now, const std::string& database,
                      const DatabaseStatus& status, bool waited) {
  const auto it = watches_.find(database);
  if (it == watches_.end()) return;
  Watch& watch = it->second;
  // Answers to two calls can cross: an older one must not take back a term.
  if (!watch.known || status.adopted_term >= watch.status.adopted_term) {
    watch.status = status;
  }
  watch.known = true;
  watch.doubted = false;
  watch.refusals = 0;
  watch.silent_until = now + timing_.lost_after;
  if (!waited) return;
  watch.in_flight = false;
  watch.poll_at = now;
}

void Health::Failed(TimePoint now, const std::string& database, bool refused) {
  const auto it = watches_.find(database);
  if (it == watches_.end()) return;
  Watch& watch = it->second;
  watch.in_flight = false;
  watch.poll_at = now;
  if (!refused) return;
  ++watch.refusals;
  if (watch.refusals >= kRefusalsToLose) {
    watch.poll_at = now + kLostPollEvery;
  } else if (watch.refusals > 1) {
    watch.poll_at = now + kRecheckAfter;
  }
}

void Health::Doubt(TimePoint now, const std::string& database) {
  const auto it = watches_.find(database);
  if (it == watches_.end() || it->second.doubted) return;
  it->second.doubted = true;
  if (it->second.in_flight) {
    probes_.push_back(database);
  } else {
    it->second.poll_at = now;
  }
}

std::vector<std::string> Health::TakeProbes() {
  return std::exchange(probes_, {});
}

bool Health::lost(TimePoint now, const std::string& database) const {
  const Watch* watch = Find(database);
  if (watch == nullptr) return true;
  return watch->refusals >= kRefusalsToLose || watch->silent_until <= now;
}

bool Health::reachable(TimePoint now, const std::string& database) const {
  const Watch* watch = Find(database);
  return watch != nullptr && watch->known && !lost(now, database);
}

bool Health::doubted(const std::string& database) const {
  const Watch* watch = Find(database);
  return watch == nullptr || watch->doubted;
}

const DatabaseStatus* Health::status(const std::string& database) const {
  const Watch* watch = Find(database);
  return watch != nullptr && watch->known ? &watch->status : nullptr;
}

bool Health::settled(TimePoint now) const {
  return std::all_of(watches_.begin(), watches_.end(),
                     [this, now](const auto& entry) {
                       return entry.second.known || lost(now, entry.first);
                     });
}

TimePoint Health::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [name, watch] : watches_) {
    if (!watch.in_flight) next = std::min(next, watch.poll_at);
    if (watch.silent_until > now) next = std::min(next, watch.silent_until);
  }
  return next;
}

const Health::Watch* Health::Find(const std::string& database) const {
  const auto it = watches_.find(database);
  return it == watches_.end() ? nullptr : &it->second;
}

}  // namespace ryefold::core::group
