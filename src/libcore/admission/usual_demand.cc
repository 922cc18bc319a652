#include "ryefold/core/admission/usual_demand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ryefold::core::admission {
namespace {

/// Decay time constant. Longer than bursts of a few seconds and than the pauses
/// between requests of a small workspace, short enough to follow changes over a
/// day.
constexpr double kDecaySeconds = 30;
/// Weights are fractions of all arrivals in units of 1/kWeightScale.
constexpr double kWeightScale = 100;
/// Minimum weight. Without it all requests of a new workspace, whose demand is
/// not measured yet, would be refused.
constexpr double kMinWeight = 5;

}  // namespace

double DemandEstimator::Decayed(const Count& count, TimePoint now) {
  const double elapsed_seconds =
      std::chrono::duration<double>(now - count.updated_at).count();
  return count.count *
         std::exp(-std::max(elapsed_seconds, 0.0) / kDecaySeconds);
}

void DemandEstimator::RecordArrival(TimePoint now,
                                    const std::string& workspace) {
  for (Count* count : {&counts_[workspace], &total_}) {
    count->count = Decayed(*count, now) + 1;
    count->updated_at = now;
  }
}

uint32_t DemandEstimator::weight(TimePoint now,
                                 const std::string& workspace) const {
  const auto found = counts_.find(workspace);
  const double total = Decayed(total_, now);
  if (found == counts_.end() || total <= 0) {
    return static_cast<uint32_t>(kMinWeight);
  }
  const double part = Decayed(found->second, now) / total * kWeightScale;
  return static_cast<uint32_t>(std::max(std::round(part), kMinWeight));
}

}  // namespace ryefold::core::admission
