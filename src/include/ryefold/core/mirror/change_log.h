#pragma once

// A copy of the store's keys with a change history, from which the changes
// since a revision can be sent to other instances.

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

/// An entry to send to another instance. Successive values of a large entry
/// differ little, so it may be encoded as a difference from a base value.
struct Change {
  Entry entry;
  /// Value and revision that the receiver holds. Null when it holds none, or
  /// when its value is no longer in the history.
  std::shared_ptr<const std::string> base;
  uint64_t base_revision = 0;
};

class ChangeLog {
 public:
  /// Replaces all entries and discards the history.
  void Reset(EntryMap entries, uint64_t as_of);
  /// Applies the changes found by a read up to revision `as_of`.
  void Apply(const std::vector<Entry>& changes, uint64_t as_of);

  /// Returns the changes since revision `after`. Returns nullopt if the history
  /// does not reach back that far.
  std::optional<std::vector<Change>> ChangesSince(uint64_t after) const;
  /// Returns all entries, without base values.
  std::vector<Change> AllChanges() const;

  const EntryMap& entries() const { return entries_; }
  uint64_t as_of() const { return as_of_; }
  /// Returns a digest that is equal for two logs with the same keys at the same
  /// revisions.
  uint64_t digest() const { return digest_; }

 private:
  struct Version {
    uint64_t revision = 0;
    uint64_t recorded_at = 0;
    std::shared_ptr<const std::string> value;
  };
  void SaveVersion(const Entry& old);
  void RecordChange(const std::string& key, uint64_t at);
  void Remove(EntryMap::iterator entry, uint64_t at);
  Change MakeChange(const Entry& entry, uint64_t after) const;

  EntryMap entries_;
  /// Revision under which the key's last change is recorded: the change's own,
  /// or that of the later read which found the change after an earlier read had
  /// missed it.
  std::map<std::string, uint64_t> recorded_at_;
  std::set<std::pair<uint64_t, std::string>> by_recorded_;
  /// Removed keys, by the revision under which the removal is recorded.
  std::set<std::pair<uint64_t, std::string>> removed_;
  std::map<std::string, std::deque<Version>> versions_;
  uint64_t as_of_ = 0;
  /// Sum of the entries' hashes, which allows updates one entry at a time.
  uint64_t digest_ = 0;
  /// First revision that the history covers.
  uint64_t history_from_ = 0;
};

}  // namespace ryefold::core::mirror
