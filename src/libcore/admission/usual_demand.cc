#include "ryefold/core/admission/usual_demand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ryefold::core::admission {
namespace {

/// Time in which a count fades to a third. Longer than a burst of some seconds
/// and than the pauses between callers of a small workspace, short enough to
/// follow the day.
constexpr double kFadeSeconds = 30;
/// Weights are told in parts of this many of all that arrives.
constexpr double kParts = 100;
/// Least part of a workspace, in `kParts`: one that has just come is not known
/// yet, and must not be refused everything for it.
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
