#pragma once

// A copy of the store's keys that remembers when each was found changed, so
// that other instances can be given what is new to them.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/mirror/entry.h"

namespace ryefold::core::mirror {

/// An entry for another instance. Large values change by little, so the one
/// that the instance has is named, to be told apart from.
struct Change {
  Entry entry;
  /// Value and revision that the other side holds; none when it has none that
  /// is still known here.
  std::shared_ptr<const std::string> base;
  uint64_t base_revision = 0;
};

class ChangeLog {
 public:
  /// Replaces everything; nothing older can be told apart any more.
  void Reset(EntryMap entries, uint64_t as_of);
  /// Takes in what a read up to `as_of` has found changed.
  void Apply(const std::vector<Entry>& changes, uint64_t as_of);

  /// What differs from the copy of an instance that has read up to `after`;
  /// nothing when that is too long ago to tell.
  std::optional<std::vector<Change>> Since(uint64_t after) const;
  /// Every entry there is.
  std::vector<Change> All() const;

  const EntryMap& entries() const { return entries_; }
  uint64_t as_of() const { return as_of_; }
  /// The same for two logs that hold the same keys at the same revisions.
  uint64_t digest() const { return digest_; }

 private:
  struct Version {
    uint64_t revision = 0;
    uint64_t found_at = 0;
    std::shared_ptr<const std::string> value;
  };
  void KeepVersion(const Entry& old);
  void Found(const std::string& key, uint64_t at);
  void Remove(EntryMap::iterator entry, uint64_t at);
  Change ChangeOf(const Entry& entry, uint64_t after) const;

  EntryMap entries_;
  /// Revision at which the key's last change was found: the change's own, or
  /// that of the read when an earlier read had missed the change.
  std::map<std::string, uint64_t> found_at_;
  std::set<std::pair<uint64_t, std::string>> by_found_;
  /// Keys that are gone, by when that was found.
  std::set<std::pair<uint64_t, std::string>> removed_;
  std::map<std::string, std::deque<Version>> versions_;
  uint64_t as_of_ = 0;
  /// Sum of the entries' hashes, so that one entry can be exchanged.
  uint64_t digest_ = 0;
  /// Differences are known from this revision on.
  uint64_t known_from_ = 0;
};

}  // namespace ryefold::core::mirror
