#include "ryefold/core/group/confirmation.h"

#include <algorithm>
#include <functional>

#include "ryefold/core/group/log.h"

namespace ryefold::core::group {

void Confirmation::SetDatabases(const std::vector<std::string>& names) {
  std::map<std::string, Held> kept;
  for (const std::string& name : names) kept[name] = held_[name];
  held_ = std::move(kept);
}

void Confirmation::Saw(const std::string& database,
                       const DatabaseStatus& status, TimePoint sent) {
  const auto it = held_.find(database);
  if (it == held_.end()) return;
  Held& held = it->second;
  if (status.last > held.last) held.last = status.last;
  if (status.adopted_term > held.adopted_term) {
    held.adopted_term = status.adopted_term;
    held.sent = sent;
  } else if (status.adopted_term == held.adopted_term) {
    held.sent = std::max(held.sent, sent);
  }
  if (status.last.term > newest_last_.term) {
    newest_starts_ = status.term_starts;
    newest_last_ = status.last;
  }
  Raise();
}

void Confirmation::Wrote(const std::string& database,
                         const LogPosition& position) {
  const auto it = held_.find(database);
  if (it == held_.end() || position <= it->second.last) return;
  // A term that is new here is left to the status, which tells its start.
  if (position.term != it->second.last.term) return;
  it->second.last = position;
  Raise();
}

void Confirmation::Raise() {
  const uint64_t term = newest_last_.term;
  std::vector<uint64_t> indexes;
  for (const auto& [name, held] : held_) {
    if (held.last.term == term) indexes.push_back(held.last.index);
  }
  const size_t needed = Majority(held_.size());
  if (term == 0 || indexes.size() < needed) return;
  std::sort(indexes.begin(), indexes.end(), std::greater<>());
  const LogPosition raised{term, indexes[needed - 1]};
  if (raised <= confirmed_) return;
  if (raised.term != confirmed_.term) starts_ = newest_starts_;
  confirmed_ = raised;
}

Verdict Confirmation::Judge(const LogPosition& position) const {
  if (position.term > confirmed_.term) return Verdict::kPending;
  if (position.term == confirmed_.term) {
    return position.index <= confirmed_.index ? Verdict::kKept
                                              : Verdict::kPending;
  }
  return HoldsEntry(confirmed_, starts_, position) ? Verdict::kKept
                                                   : Verdict::kDiscarded;
}

TimePoint Confirmation::VouchedAt(uint64_t term) const {
  std::vector<TimePoint> times;
  for (const auto& [name, held] : held_) {
    if (held.adopted_term == term) times.push_back(held.sent);
  }
  const size_t needed = Majority(held_.size());
  if (times.size() < needed) return TimePoint{};
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1];
}

TimePoint Confirmation::HeardAt(const std::string& database,
                                uint64_t term) const {
  const auto it = held_.find(database);
  if (it == held_.end() || it->second.adopted_term != term) return TimePoint{};
  return it->second.sent;
}

}  // namespace ryefold::core::group
