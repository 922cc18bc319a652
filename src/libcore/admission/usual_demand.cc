#include "ryefold/core/admission/usual_demand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ryefold::core::admission {
namespace {

/// Decay time constant. Longer than bursts of a few seconds and than the pauses
/// between requests of a small workspace, short enough to follow changes over a
/// day.
constexpr double kFadeSeconds = 30;
/// Weights are fractions of all arrivals in units of 1/kWeightScale.
constexpr double kParts = 100;
/// Minimum weight. Without it all requests of a new workspace, whose demand is
/// not measured yet, would be refused.
constexpr double kLeastPart = 5;

}  // namespace

double UsualDemand::Faded(const Count& count, TimePoint now) {
  const double passed = std::chrono::duration<double>(now - count.at).count();
  return count.count * std::exp(-std::max(passed, 0.0) / kFadeSeconds);
}

void UsualDemand::Arrived(TimePoint now, const std::string& workspace) {
  for (Count* count : {&counts_[workspace], &all_}) {
    count->count = Faded(*count, now) + 1;
    count->at = now;
  }
}

uint32_t UsualDemand::weight(TimePoint now,
                             const std::string& workspace) const {
  const auto found = counts_.find(workspace);
  const double all = Faded(all_, now);
  if (found == counts_.end() || all <= 0) {
    return static_cast<uint32_t>(kLeastPart);
  }
  const double part = Faded(found->second, now) / all * kParts;
  return static_cast<uint32_t>(std::max(std::round(part), kLeastPart));
}

}  // namespace ryefold::core::admission
