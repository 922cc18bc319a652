#include "ryefold/core/limits/retry_schedule.h"

#include <algorithm>
#include <cmath>

namespace ryefold::core::limits {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Fraction of the rate for retries.
constexpr double kRetryShare = 0.5;
/// A shorter delay would arrive before a token does.
constexpr milliseconds kMinDelay{20};
/// Rate below which the plan has no places. Prevents an overflow of intervals.
constexpr double kLeastRate = 0.01;
/// Fraction of the golden ratio: its multiples modulo 1 are spread evenly for
/// every number of them.
constexpr double kGoldenFraction = 0.6180339887498949;

}  // namespace

RetryTimes RetrySchedule::Plan(TimePoint now, uint32_t count, double rate,
                               milliseconds longest) {
  const uint32_t callers = std::max(count, 1U);
  if (rate >= kLeastRate) {
    const auto interval = duration_cast<microseconds>(
        std::chrono::duration<double>(1 / (rate * kRetryShare)));
    const TimePoint first_at = std::max(next_at_, now + kMinDelay);
    const TimePoint end = first_at + interval * callers;
    if (end - interval <= now + longest) {
      next_at_ = end;
      return {std::chrono::floor<milliseconds>(first_at - now), interval,
              /*is_spread=*/false};
    }
  }
  const microseconds interval = microseconds(longest) / 2 / callers;
  const double place = std::fmod(kGoldenFraction * ++spread_count_, 1.0);
  const auto offset = duration_cast<milliseconds>(interval * place);
  return {longest - longest / 2 + offset, interval, /*is_spread=*/true};
}

}  // namespace ryefold::core::limits
