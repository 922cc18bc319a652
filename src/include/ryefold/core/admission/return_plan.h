#pragma once

// When refused callers are told to come back.

#include <chrono>
#include <optional>
#include <random>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// Gives each refused caller a time of its own, so that they come back no
/// faster than part of the drain rate. If all were told the same time, they
/// would return as one crowd, be refused as one crowd, and keep a group
/// saturated long after the cause is gone.
class ReturnPlan {
 public:
  explicit ReturnPlan(uint64_t seed) : random_(seed) {}

  /// `rate` is what the caller's class gets served a second, `ahead` how many
  /// wait before it. `promised` is the class's own: until when callers have
  /// been told to come back.
  std::chrono::milliseconds Next(TimePoint now, std::optional<double> rate,
                                 double ahead, TimePoint* promised);

 private:
  std::chrono::milliseconds Between(std::chrono::milliseconds low,
                                    std::chrono::milliseconds high);

  std::mt19937_64 random_;
};

}  // namespace ryefold::core::admission
