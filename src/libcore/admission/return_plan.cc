#include "ryefold/core/admission/return_plan.h"

#include <algorithm>

namespace ryefold::core::admission {
namespace {

using std::chrono::milliseconds;

/// Fraction of the drain rate for returning callers; the rest is left to new
/// ones.
constexpr double kRetryShare = 0.5;
constexpr milliseconds kMinDelay{20};
constexpr milliseconds kMaxDelay{10000};
/// Range of the delay while the drain rate is unknown.
constexpr milliseconds kUnmeasuredMin{50};
constexpr milliseconds kUnmeasuredMax{150};

TimePoint::duration ToDuration(double seconds) {
  const double max_seconds =
      std::chrono::duration<double>(2 * kMaxDelay).count();
  return std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(std::min(seconds, max_seconds)));
}

}  // namespace

TimePoint LatestRetry(TimePoint now, TimePoint arrived, TimePoint patience) {
  if (patience == TimePoint()) return TimePoint::max();
  const TimePoint::duration left =
      now < patience ? patience - now : patience - arrived;
  return now + left / 2;
}

milliseconds RetryAfterPlanner::RandomBetween(milliseconds low,
                                              milliseconds high) {
  std::uniform_int_distribution<int64_t> spread(low.count(), high.count());
  return milliseconds(spread(random_));
}

RetryDelay RetryAfterPlanner::NextRetryAfter(TimePoint now,
                                             std::optional<double> rate,
                                             double ahead, TimePoint latest,
                                             TimePoint* last_retry_at) {
  TimePoint planned_until = *last_retry_at;
  const milliseconds planned = NextRetryAfter(now, rate, ahead, &planned_until);
  const RetryDelay retry = Within(now, planned, latest);
  if (!retry.moved_up) *last_retry_at = planned_until;
  return retry;
}

RetryDelay RetryAfterPlanner::Within(TimePoint now, milliseconds delay,
                                     TimePoint latest) {
  if (latest == TimePoint::max() || now + delay <= latest) {
    return {delay, false};
  }
  const auto longest = std::max(
      std::chrono::duration_cast<milliseconds>(latest - now), milliseconds(0));
  return {RandomBetween(longest / 2, longest), true};
}

milliseconds RetryAfterPlanner::NextRetryAfter(TimePoint now,
                                               std::optional<double> rate,
                                               double ahead,
                                               TimePoint* last_retry_at) {
  if (!rate.has_value()) return RandomBetween(kUnmeasuredMin, kUnmeasuredMax);
  const TimePoint drained_at = now + ToDuration(ahead / *rate);
  *last_retry_at = std::max(*last_retry_at, drained_at) +
                   ToDuration(1 / (*rate * kRetryShare));
  *last_retry_at = std::min(*last_retry_at, now + kMaxDelay);
  const auto wait = std::chrono::ceil<milliseconds>(*last_retry_at - now);
  if (wait >= kMaxDelay) return RandomBetween(kMaxDelay / 2, kMaxDelay);
  return std::max(kMinDelay, RandomBetween(wait - wait / 4, wait + wait / 4));
}

}  // namespace ryefold::core::admission
