#include "ryefold/core/mirror/change_log.h"

#include <xxhash.h>

#include <algorithm>

namespace ryefold::core::mirror {
namespace {

/// Removed keys that are remembered. A fleet that is replaced whole removes
/// one for each instance and database; beyond, everything is told anew.
constexpr size_t kMostRemoved = 4000;
/// Values from this size on are told as a difference to an earlier one. A
/// smaller one is sent in about one packet either way.
constexpr size_t kLeastBase = 1024;
/// Earlier values kept of one key: as many as may change between two reads of
/// an instance that has just changed its source.
constexpr size_t kMostVersions = 4;

uint64_t HashOf(const Entry& entry) {
  return XXH64(entry.key.data(), entry.key.size(), entry.revision);
}

}  // namespace

std::string_view ReadErrorName(ReadError error) {
  switch (error) {
    case ReadError::kUnreachable:
      return "unreachable";
    case ReadError::kHistoryGone:
      return "history_gone";
    case ReadError::kUnreadable:
      return "unreadable";
    case ReadError::kNotCurrent:
      return "not_current";
  }
  return "unreadable";
}

void ChangeLog::Reset(EntryMap entries, uint64_t as_of) {
  found_at_.clear();
  by_found_.clear();
  removed_.clear();
  versions_.clear();
  entries_ = std::move(entries);
  as_of_ = as_of;
  known_from_ = as_of;
  digest_ = 0;
  for (const auto& [key, entry] : entries_) digest_ += HashOf(entry);
}

void ChangeLog::Found(const std::string& key, uint64_t at) {
  const auto known = found_at_.find(key);
  if (known != found_at_.end()) by_found_.erase({known->second, key});
  found_at_[key] = at;
  by_found_.emplace(at, key);
}

void ChangeLog::KeepVersion(const Entry& old) {
  if (old.value.size() < kLeastBase) return;
  const auto found = found_at_.find(old.key);
  Version version;
  version.revision = old.revision;
  version.found_at = found == found_at_.end() ? known_from_ : found->second;
  version.value = std::make_shared<const std::string>(old.value);
  std::deque<Version>& kept = versions_[old.key];
  kept.push_back(std::move(version));
  if (kept.size() > kMostVersions) kept.pop_front();
}

void ChangeLog::Apply(const std::vector<Entry>& changes, uint64_t as_of) {
  const uint64_t before = as_of_;
  as_of_ = std::max(as_of_, as_of);
  for (const Entry& change : changes) {
    const uint64_t at = change.revision > before ? change.revision : as_of_;
    const auto known = entries_.find(change.key);
    if (!change.deleted) {
      if (known != entries_.end()) {
        KeepVersion(known->second);
        digest_ -= HashOf(known->second);
      }
      digest_ += HashOf(change);
      entries_[change.key] = change;
      Found(change.key, at);
    } else if (known != entries_.end()) {
      Remove(known, at);
    }
  }
  while (removed_.size() > kMostRemoved) {
    known_from_ = std::max(known_from_, removed_.begin()->first);
    removed_.erase(removed_.begin());
  }
}

void ChangeLog::Remove(EntryMap::iterator entry, uint64_t at) {
  const std::string key = entry->first;
  digest_ -= HashOf(entry->second);
  entries_.erase(entry);
  versions_.erase(key);
  const auto found = found_at_.find(key);
  if (found != found_at_.end()) {
    by_found_.erase({found->second, key});
    found_at_.erase(found);
  }
  removed_.emplace(at, key);
}

Change ChangeLog::ChangeOf(const Entry& entry, uint64_t after) const {
  Change change;
  change.entry = entry;
  const auto kept = versions_.find(entry.key);
  if (kept == versions_.end()) return change;
  for (const Version& version : kept->second) {
    if (version.found_at > after) break;
    change.base = version.value;
    change.base_revision = version.revision;
  }
  return change;
}

std::optional<std::vector<Change>> ChangeLog::Since(uint64_t after) const {
  if (after < known_from_) return std::nullopt;
  std::vector<Change> changes;
  for (auto it = removed_.lower_bound({after + 1, ""}); it != removed_.end();
       ++it) {
    if (entries_.count(it->second) > 0) continue;
    Change change;
    change.entry.key = it->second;
    change.entry.revision = it->first;
    change.entry.deleted = true;
    changes.push_back(std::move(change));
  }
  for (auto it = by_found_.lower_bound({after + 1, ""}); it != by_found_.end();
       ++it) {
    changes.push_back(ChangeOf(entries_.at(it->second), after));
  }
  return changes;
}

std::vector<Change> ChangeLog::All() const {
  std::vector<Change> changes;
  changes.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) changes.push_back({entry, {}, 0});
  return changes;
}

}  // namespace ryefold::core::mirror
