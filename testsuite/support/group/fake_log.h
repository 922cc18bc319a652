#pragma once

// The log of a fake database, with an index of its records and fences.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::test {

enum class EntryKind : uint8_t { kTermStart, kWrite, kFence };

struct LogEntry {
  uint64_t term = 0;
  EntryKind kind = EntryKind::kWrite;
  /// Workspace and request id; for a transaction, those of its commit.
  std::string key;
  /// The SQL texts of the entry's writes.
  std::vector<std::string> values;
};

class FakeLog {
 public:
  core::LogPosition last() const {
    if (entries_.empty()) return {};
    return {entries_.back().term, entries_.size()};
  }

  const std::vector<core::TermStart>& term_starts() const {
    return term_starts_;
  }

  core::LogPosition Append(LogEntry entry) {
    entries_.push_back(std::move(entry));
    IndexEntry(entries_.size() - 1);
    return last();
  }

  /// Removes all entries after the first `size`.
  void Truncate(size_t size) {
    entries_.resize(std::min(size, entries_.size()));
    records_.clear();
    values_.clear();
    term_starts_.clear();
    for (size_t i = 0; i < entries_.size(); ++i) IndexEntry(i);
  }

  /// Returns the entries after the first `from`.
  std::vector<LogEntry> Tail(size_t from) const {
    return {entries_.begin() + static_cast<std::ptrdiff_t>(from),
            entries_.end()};
  }

  /// Returns the number of entries in common with a log that has the same first
  /// `from` entries, followed by `tail`.
  size_t CommonWith(size_t from, const std::vector<LogEntry>& tail) const {
    size_t common = from;
    while (common < entries_.size() && common - from < tail.size() &&
           entries_[common].term == tail[common - from].term) {
      ++common;
    }
    return common;
  }

  /// Returns the index, from 0, of the write or fence with this key; nullopt if
  /// there is none.
  std::optional<size_t> Find(const std::string& key) const {
    const auto it = records_.find(key);
    if (it == records_.end()) return std::nullopt;
    return it->second;
  }
  bool Contains(const std::string& value) const {
    return values_.contains(value);
  }
  int CountOf(const std::string& value) const {
    const auto it = values_.find(value);
    return it == values_.end() ? 0 : it->second;
  }
  core::LogPosition PositionOf(size_t index) const {
    return {entries_[index].term, index + 1};
  }
  const std::vector<LogEntry>& entries() const { return entries_; }

 private:
  void IndexEntry(size_t i) {
    const LogEntry& entry = entries_[i];
    if (term_starts_.empty() || term_starts_.back().term != entry.term) {
      term_starts_.push_back({entry.term, i + 1});
    }
    if (!entry.key.empty()) records_.emplace(entry.key, i);
    for (const std::string& value : entry.values) ++values_[value];
  }

  std::vector<LogEntry> entries_;
  std::map<std::string, size_t> records_;
  std::map<std::string, int> values_;
  std::vector<core::TermStart> term_starts_;
};

}  // namespace ryefold::test
