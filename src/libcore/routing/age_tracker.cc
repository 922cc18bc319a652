#include <algorithm>

#include "ryefold/core/routing/router.h"

namespace ryefold::core::routing {
namespace {

using std::chrono::milliseconds;

/// Error allowed when marks are thinned out: an eighth of the age, but no
/// less than the unit in which ages are given.
constexpr int kErrorFraction = 8;
constexpr milliseconds kLeastError{1};

/// Least age of a database that the primary is known to be past. A read that
/// accepts age 0 must not get data that is known to be old.
constexpr milliseconds kLeastAge{1};

}  // namespace

void AgeTracker::PrimaryAt(TimePoint now, const LogPosition& last) {
  if (!marks_.empty() && last < marks_.back().position) {
    // A late answer; where the primary is now is known better.
    return;
  }
  if (!marks_.empty() && last == marks_.back().position) {
    marks_.back().last_known = std::max(marks_.back().last_known, now);
    return;
  }
  marks_.push_back(Mark{last, now});
  if (marks_.size() > kMaxMarks) Thin(now);
}

milliseconds AgeTracker::AgeAt(TimePoint now, const LogPosition& last,
                               TimePoint confirmed) const {
  // The first mark past `last`; the one before it is the latest proof that
  // the primary had nothing more than `last`.
  const auto past = std::upper_bound(
      marks_.begin(), marks_.end(), last,
      [](const LogPosition& p, const Mark& mark) { return p < mark.position; });
  if (past == marks_.begin()) return kUnknownAge;
  TimePoint current_at = confirmed;
  milliseconds least{0};
  if (past != marks_.end()) {
    const TimePoint not_past_at = std::prev(past)->last_known;
    current_at = std::min(confirmed, not_past_at);
    if (not_past_at <= now) least = kLeastAge;
  }
  if (current_at >= now) return least;
  return std::max(std::chrono::ceil<milliseconds>(now - current_at), least);
}

/// Drops each mark between two others that are close to each other for their
/// age. Positions it spoke for then count from the mark before: older.
void AgeTracker::Thin(TimePoint now) {
  std::vector<Mark> kept;
  kept.reserve(marks_.size());
  kept.push_back(marks_.front());
  for (size_t i = 1; i + 1 < marks_.size(); ++i) {
    const TimePoint next = marks_[i + 1].last_known;
    const auto allowed = std::max<TimePoint::duration>(
        kLeastError, (now - next) / kErrorFraction);
    if (next - kept.back().last_known > allowed) kept.push_back(marks_[i]);
  }
  kept.push_back(marks_.back());
  // Marks reach back further than the fraction allows for: forget the oldest.
  const size_t excess =
      kept.size() > kMaxMarks / 2 ? kept.size() - kMaxMarks / 2 : 0;
  kept.erase(kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(excess));
  marks_ = std::move(kept);
}

}  // namespace ryefold::core::routing
