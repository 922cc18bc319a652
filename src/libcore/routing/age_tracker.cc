#include <algorithm>

#include "ryefold/core/routing/router.h"

namespace ryefold::core::routing {
namespace {

using std::chrono::milliseconds;

/// Error allowed when samples are dropped: one eighth of the age, but at least
/// the unit of ages.
constexpr int kErrorDivisor = 8;
constexpr milliseconds kMinError{1};

/// Minimum age of data that the primary is known to be past. A read with
/// max_age 0 must not get data that is known to be stale.
constexpr milliseconds kMinStaleAge{1};

}  // namespace

void AgeTracker::RecordPrimary(TimePoint now, const LogPosition& last) {
  if (!samples_.empty() && last < samples_.back().position) {
    // The answer is late; a newer position of the primary is known.
    return;
  }
  if (!samples_.empty() && last == samples_.back().position) {
    samples_.back().last_seen = std::max(samples_.back().last_seen, now);
    return;
  }
  samples_.push_back(Sample{last, now});
  if (samples_.size() > kMaxSamples) ThinSamples(now);
}

milliseconds AgeTracker::AgeBound(TimePoint now, const LogPosition& last,
                                  TimePoint confirmed) const {
  // The first sample past `last`. The one before it shows the last time at
  // which the primary was known not to be past `last`.
  const auto past =
      std::upper_bound(samples_.begin(), samples_.end(), last,
                       [](const LogPosition& p, const Sample& sample) {
                         return p < sample.position;
                       });
  if (past == samples_.begin()) return kUnknownAge;
  TimePoint current_at = confirmed;
  milliseconds min_age{0};
  if (past != samples_.end()) {
    const TimePoint not_past_at = std::prev(past)->last_seen;
    current_at = std::min(confirmed, not_past_at);
    if (not_past_at <= now) min_age = kMinStaleAge;
  }
  if (current_at >= now) return min_age;
  return std::max(std::chrono::ceil<milliseconds>(now - current_at), min_age);
}

/// Drops each sample whose neighbours are close to each other relative to their
/// age. The age of its positions then counts from the sample before, so it is
/// rounded up.
void AgeTracker::ThinSamples(TimePoint now) {
  std::vector<Sample> kept;
  kept.reserve(samples_.size());
  kept.push_back(samples_.front());
  for (size_t i = 1; i + 1 < samples_.size(); ++i) {
    const TimePoint next = samples_[i + 1].last_seen;
    const auto max_gap =
        std::max<TimePoint::duration>(kMinError, (now - next) / kErrorDivisor);
    if (next - kept.back().last_seen > max_gap) kept.push_back(samples_[i]);
  }
  kept.push_back(samples_.back());
  // The samples cover too long a time for the allowed error: drop the oldest.
  const size_t excess =
      kept.size() > kMaxSamples / 2 ? kept.size() - kMaxSamples / 2 : 0;
  kept.erase(kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(excess));
  samples_ = std::move(kept);
}

}  // namespace ryefold::core::routing
