#pragma once

// Assigns shards of the limits to instances. Used by the one instance that
// writes the table.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "ryefold/core/limits/shards.h"
#include "ryefold/core/types.h"

namespace ryefold::core::limits {

class ShardAssigner {
 public:
  /// Sets the registered instances.
  void SetInstances(TimePoint now, const std::vector<ShardOwner>& instances);
  /// Sets the table read from the store; nullopt if the store holds none.
  void SetTable(TimePoint now, const std::optional<ShardTable>& table);

  /// Returns the table to write in place of the current one, or nullopt if no
  /// change is due. Only one instance may write, and only in place of the table
  /// passed to `SetTable`.
  std::optional<ShardTable> NextTable(TimePoint now) const;

 private:
  std::vector<ShardOwner> instances_;
  TimePoint instances_since_;
  std::optional<ShardTable> table_;
  TimePoint table_since_;
  bool table_known_ = false;
  /// Owners that are not registered, and since when.
  std::map<ShardOwner, TimePoint> absent_since_;

  void UpdateAbsentOwners(TimePoint now);
};

}  // namespace ryefold::core::limits
