#include "ryefold/core/group/confirmation.h"

#include <algorithm>
#include <functional>

#include "ryefold/core/group/log.h"

namespace ryefold::core::group {

void ConfirmationTracker::SetDatabases(const std::vector<std::string>& names) {
  std::map<std::string, DatabaseRecord> retained;
  for (const std::string& name : names) retained[name] = databases_[name];
  databases_ = std::move(retained);
}

void ConfirmationTracker::RecordStatus(const std::string& database,
                                       const DatabaseStatus& status,
                                       TimePoint sent) {
  const auto it = databases_.find(database);
  if (it == databases_.end()) return;
  DatabaseRecord& record = it->second;
  if (status.last > record.last) record.last = status.last;
  if (status.adopted_term > record.adopted_term) {
    record.adopted_term = status.adopted_term;
    record.last_contact = sent;
  } else if (status.adopted_term == record.adopted_term) {
    record.last_contact = std::max(record.last_contact, sent);
  }
  if (status.last.term > newest_last_.term) {
    newest_starts_ = status.term_starts;
    newest_last_ = status.last;
  }
  AdvanceConfirmed();
}

void ConfirmationTracker::RecordWrite(const std::string& database,
                                      const LogPosition& position) {
  const auto it = databases_.find(database);
  if (it == databases_.end() || position <= it->second.last) return;
  // The start of a new term is known only from a status, not from a write.
  if (position.term != it->second.last.term) return;
  it->second.last = position;
  AdvanceConfirmed();
}

void ConfirmationTracker::AdvanceConfirmed() {
  const uint64_t term = newest_last_.term;
  std::vector<uint64_t> indexes;
  for (const auto& [name, record] : databases_) {
    if (record.last.term == term) indexes.push_back(record.last.index);
  }
  const size_t needed = Majority(databases_.size());
  if (term == 0 || indexes.size() < needed) return;
  std::sort(indexes.begin(), indexes.end(), std::greater<>());
  const LogPosition advanced{term, indexes[needed - 1]};
  if (advanced <= confirmed_) return;
  if (advanced.term != confirmed_.term) confirmed_starts_ = newest_starts_;
  confirmed_ = advanced;
}

LogEntryState ConfirmationTracker::ClassifyEntry(
    const LogPosition& position) const {
  if (position.term > confirmed_.term) return LogEntryState::kPending;
  if (position.term == confirmed_.term) {
    return position.index <= confirmed_.index ? LogEntryState::kConfirmed
                                              : LogEntryState::kPending;
  }
  return HoldsEntry(confirmed_, confirmed_starts_, position)
             ? LogEntryState::kConfirmed
             : LogEntryState::kDiscarded;
}

TimePoint ConfirmationTracker::TermConfirmedAt(uint64_t term) const {
  std::vector<TimePoint> times;
  for (const auto& [name, record] : databases_) {
    if (record.adopted_term == term) times.push_back(record.last_contact);
  }
  const size_t needed = Majority(databases_.size());
  if (times.size() < needed) return TimePoint{};
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1];
}

TimePoint ConfirmationTracker::LastContactAt(const std::string& database,
                                             uint64_t term) const {
  const auto it = databases_.find(database);
  if (it == databases_.end() || it->second.adopted_term != term) {
    return TimePoint{};
  }
  return it->second.last_contact;
}

}  // namespace ryefold::core::group
