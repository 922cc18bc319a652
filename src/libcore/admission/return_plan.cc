#include "ryefold/core/admission/return_plan.h"

#include <algorithm>

namespace ryefold::core::admission {
namespace {

using std::chrono::milliseconds;

/// Fraction of the drain rate for returning callers; the rest is left to new
/// ones.
constexpr double kReturnShare = 0.5;
constexpr milliseconds kSoonest{20};
constexpr milliseconds kLatest{10000};
/// Range of the delay while the drain rate is unknown.
constexpr milliseconds kUnmeasuredLow{50};
constexpr milliseconds kUnmeasuredHigh{150};

TimePoint::duration Seconds(double seconds) {
  const double most = std::chrono::duration<double>(2 * kLatest).count();
  return std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(std::min(seconds, most)));
}

}  // namespace

milliseconds ReturnPlan::Between(milliseconds low, milliseconds high) {
  std::uniform_int_distribution<int64_t> spread(low.count(), high.count());
  return milliseconds(spread(random_));
}

milliseconds ReturnPlan::Next(TimePoint now, std::optional<double> rate,
                              double ahead, TimePoint* promised) {
  if (!rate.has_value()) return Between(kUnmeasuredLow, kUnmeasuredHigh);
  const TimePoint drained = now + Seconds(ahead / *rate);
  *promised =
      std::max(*promised, drained) + Seconds(1 / (*rate * kReturnShare));
  *promised = std::min(*promised, now + kLatest);
  const auto wait = std::chrono::ceil<milliseconds>(*promised - now);
  if (wait >= kLatest) return Between(kLatest / 2, kLatest);
  return std::max(kSoonest, Between(wait - wait / 4, wait + wait / 4));
}

}  // namespace ryefold::core::admission
