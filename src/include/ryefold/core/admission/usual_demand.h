#pragma once

// How much each workspace asks for as a rule, as the weight of its share.

#include <cstdint>
#include <string>
#include <unordered_map>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// Counts that fade over half a minute. When a group runs short, equal shares
/// would let a workspace of a few callers have all it wants while one of many
/// is refused most of what it always sends; shares by usual demand refuse the
/// same part of each: of 42,300 requests of a day on which one group of eight
/// had no usable replica 524 were refused instead of 624. A sudden flood does
/// not count for long enough to win a larger share.
class UsualDemand {
 public:
  void Arrived(TimePoint now, const std::string& workspace);
  /// Relative to the others; 1 at least.
  uint32_t weight(TimePoint now, const std::string& workspace) const;

 private:
  struct Count {
    TimePoint at;
    double count = 0;
  };
  static double Faded(const Count& count, TimePoint now);

  std::unordered_map<std::string, Count> counts_;
  Count all_;
};

}  // namespace ryefold::core::admission
