// Concurrency limit by additive increase and multiplicative decrease.

#include "adaptive_limit.h"

namespace ryefold::core::admission {
namespace {

/// Ratio of response times up to which the level grows, and the part of a step
/// that each response adds.
constexpr double kIncreaseBelow = 1.6;
constexpr double kStepPerResponse = 0.25;
/// Ratios above which the level shrinks, and by which factor. The first is
/// somewhat above that of a queue as long as the number of slots.
constexpr double kDecreaseAbove = 2.4;
constexpr double kDecreaseFactor = 0.7;
constexpr double kFastDecreaseAbove = 4;
constexpr double kFastDecreaseFactor = 0.5;

class AdditiveLimit : public AdaptiveLimit {
 protected:
  double Adjust(double level, double ratio, double step,
                bool may_decrease) override {
    if (ratio < kIncreaseBelow) return level + step * kStepPerResponse;
    if (ratio <= kDecreaseAbove || !may_decrease) return level;
    return level *
           (ratio > kFastDecreaseAbove ? kFastDecreaseFactor : kDecreaseFactor);
  }
};

}  // namespace

std::unique_ptr<ConcurrencyLimit> MakeAdditiveLimit() {
  return std::make_unique<AdditiveLimit>();
}

}  // namespace ryefold::core::admission
