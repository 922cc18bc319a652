#include "ryefold/core/mirror/change_log.h"

#include <xxhash.h>

#include <algorithm>

namespace ryefold::core::mirror {
namespace {

/// Removed keys kept in the history. Replacing a whole fleet removes one key
/// for each instance and database; beyond this bound, all entries are sent
/// again.
constexpr size_t kMaxRemovedKeys = 4000;
/// Values of at least this many bytes are sent as a difference from an earlier
/// one. A smaller value takes about one packet either way.
constexpr size_t kMinDeltaValueBytes = 1024;
/// Earlier values kept for each key: as many as may change between two reads of
/// an instance that has just switched to another source.
constexpr size_t kMaxVersionsPerKey = 4;

uint64_t HashEntry(const Entry& entry) {
  return XXH64(entry.key.data(), entry.key.size(), entry.revision);
}

}  // namespace

std::string_view ReadErrorName(ReadError error) {
  switch (error) {
    case ReadError::kUnreachable:
      return "unreachable";
    case ReadError::kHistoryCompacted:
      return "history_compacted";
    case ReadError::kUnreadable:
      return "unreadable";
    case ReadError::kNotCurrent:
      return "not_current";
  }
  return "unreadable";
}

void ChangeLog::Reset(EntryMap entries, uint64_t as_of) {
  recorded_at_.clear();
  by_recorded_.clear();
  removed_.clear();
  versions_.clear();
  entries_ = std::move(entries);
  as_of_ = as_of;
  history_from_ = as_of;
  digest_ = 0;
  for (const auto& [key, entry] : entries_) digest_ += HashEntry(entry);
}

void ChangeLog::RecordChange(const std::string& key, uint64_t at) {
  const auto found = recorded_at_.find(key);
  if (found != recorded_at_.end()) by_recorded_.erase({found->second, key});
  recorded_at_[key] = at;
  by_recorded_.emplace(at, key);
}

void ChangeLog::SaveVersion(const Entry& old) {
  if (old.value.size() < kMinDeltaValueBytes) return;
  const auto recorded = recorded_at_.find(old.key);
  Version version;
  version.revision = old.revision;
  version.recorded_at =
      recorded == recorded_at_.end() ? history_from_ : recorded->second;
  version.value = std::make_shared<const std::string>(old.value);
  std::deque<Version>& kept = versions_[old.key];
  kept.push_back(std::move(version));
  if (kept.size() > kMaxVersionsPerKey) kept.pop_front();
}

void ChangeLog::Apply(const std::vector<Entry>& changes, uint64_t as_of) {
  const uint64_t before = as_of_;
  as_of_ = std::max(as_of_, as_of);
  for (const Entry& change : changes) {
    const uint64_t at = change.revision > before ? change.revision : as_of_;
    const auto existing = entries_.find(change.key);
    if (!change.deleted) {
      if (existing != entries_.end()) {
        SaveVersion(existing->second);
        digest_ -= HashEntry(existing->second);
      }
      digest_ += HashEntry(change);
      entries_[change.key] = change;
      RecordChange(change.key, at);
    } else if (existing != entries_.end()) {
      Remove(existing, at);
    }
  }
  while (removed_.size() > kMaxRemovedKeys) {
    history_from_ = std::max(history_from_, removed_.begin()->first);
    removed_.erase(removed_.begin());
  }
}

void ChangeLog::Remove(EntryMap::iterator entry, uint64_t at) {
  const std::string key = entry->first;
  digest_ -= HashEntry(entry->second);
  entries_.erase(entry);
  versions_.erase(key);
  const auto recorded = recorded_at_.find(key);
  if (recorded != recorded_at_.end()) {
    by_recorded_.erase({recorded->second, key});
    recorded_at_.erase(recorded);
  }
  removed_.emplace(at, key);
}

Change ChangeLog::MakeChange(const Entry& entry, uint64_t after) const {
  Change change;
  change.entry = entry;
  const auto kept = versions_.find(entry.key);
  if (kept == versions_.end()) return change;
  for (const Version& version : kept->second) {
    if (version.recorded_at > after) break;
    change.base = version.value;
    change.base_revision = version.revision;
  }
  return change;
}

std::optional<std::vector<Change>> ChangeLog::ChangesSince(
    uint64_t after) const {
  if (after < history_from_) return std::nullopt;
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
  for (auto it = by_recorded_.lower_bound({after + 1, ""});
       it != by_recorded_.end(); ++it) {
    changes.push_back(MakeChange(entries_.at(it->second), after));
  }
  return changes;
}

std::vector<Change> ChangeLog::AllChanges() const {
  std::vector<Change> changes;
  changes.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) changes.push_back({entry, {}, 0});
  return changes;
}

}  // namespace ryefold::core::mirror
