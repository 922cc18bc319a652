// Concurrency limit by the gradient of the response time.

#include <algorithm>

#include "adaptive_limit.h"

namespace ryefold::core::admission {
namespace {

/// Ratio of response times that is no reason to reduce the level: the queue
/// inside the database that keeps its slots in use between two statements.
constexpr double kTolerance = 1.5;
constexpr double kMinGradient = 0.5;
/// Weight of one response. Lower than that of a response in the ratio, so that
/// a queue shows before the sharers have filled it.
constexpr double kWeight = 0.1;

class GradientLimit : public AdaptiveLimit {
 protected:
  double Adjust(double level, double ratio, double step,
                bool /*may_decrease*/) override {
    const double gradient = std::clamp(kTolerance / ratio, kMinGradient, 1.0);
    const double target = level * gradient + step;
    return level + (target - level) * kWeight;
  }
};

}  // namespace

std::unique_ptr<ConcurrencyLimit> MakeGradientLimit() {
  return std::make_unique<GradientLimit>();
}

}  // namespace ryefold::core::admission
