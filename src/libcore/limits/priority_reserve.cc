#include "ryefold/core/limits/priority_reserve.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ryefold::core::limits {
namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the arrival estimates. Excess demand lasts for 5 to 8 s, so
/// that a longer one would react too late; a shorter one follows single
/// arrivals.
constexpr Seconds kMemory{1};
/// Time for which the reserve covers the arrivals of more important
/// operations.
constexpr Seconds kReservedSpan{0.25};
/// Arrivals per second below which a priority counts as absent, so that a
/// single arrival does not keep a whole token for longer than 3 s.
constexpr double kLeastRate = 0.05;

double CountedRate(double arrivals) {
  const double rate = arrivals / kMemory.count();
  return rate < kLeastRate ? 0 : rate;
}

}  // namespace

double PriorityReserve::DecayFactor(TimePoint now) const {
  if (now <= decayed_at_) return 1;
  return std::exp(-(Seconds(now - decayed_at_) / kMemory));
}

void PriorityReserve::RecordArrivals(TimePoint now, uint32_t priority,
                                     uint32_t count) {
  const double factor = DecayFactor(now);
  for (double& arrivals : arrivals_) arrivals *= factor;
  decayed_at_ = std::max(decayed_at_, now);
  arrivals_.at(PriorityLevel(priority)) += count;
}

double PriorityReserve::TotalRate(TimePoint now) const {
  return RateBefore(now, kPriorityLevels);
}

double PriorityReserve::RateBefore(TimePoint now, uint32_t priority) const {
  const double factor = DecayFactor(now);
  return std::accumulate(
      arrivals_.begin(),
      arrivals_.begin() + std::min(priority, kPriorityLevels), 0.0,
      [factor](double sum, double arrivals) {
        return sum + CountedRate(arrivals * factor);
      });
}

double PriorityReserve::Reserve(TimePoint now, uint32_t priority, double rate,
                                double capacity) const {
  // Arrivals within the memory vary by the square root of their number; twice
  // that is rarely exceeded. A smaller margin refuses operations of small
  // workspaces that are below their limit.
  const double expected = rate * kMemory.count();
  const double exceeding = expected + 2 * std::sqrt(expected);
  if (TotalRate(now) * kMemory.count() <= exceeding) return 0;
  const double reserve =
      std::ceil(RateBefore(now, priority) * kReservedSpan.count());
  return std::clamp(std::floor(capacity) - 1, 0.0, reserve);
}

}  // namespace ryefold::core::limits
