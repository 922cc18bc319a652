#include "ryefold/core/session/watermarks.h"

#include <algorithm>
#include <iterator>

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Marks closer together than this are merged. The lag of a replica is tens of
/// milliseconds, so a finer history would not let more replicas serve a read.
constexpr milliseconds kMinMarkSpacing{25};
/// Maximum length of the history. Exceeds the usual staleness limits of routes;
/// a route with a higher limit is served by the marks that remain.
constexpr milliseconds kMaxHistory{10000};

}  // namespace

void Watermarks::StartTerm(uint64_t term) {
  if (term <= term_) return;
  term_ = term;
  marks_.clear();
}

void Watermarks::Record(TimePoint sent, const LogPosition& position) {
  if (marks_.empty() || position.term > marks_.back().position.term) {
    marks_.clear();
    first_of_term_ = position;
    marks_.push_back({sent, position});
    return;
  }
  Mark& last = marks_.back();
  if (position.term < last.position.term) return;
  first_of_term_ = std::min(first_of_term_, position);
  if (sent <= last.at) return;
  if (marks_.size() > 1 &&
      sent - marks_[marks_.size() - 2].at < kMinMarkSpacing) {
    last = {sent, std::max(position, last.position)};
  } else {
    marks_.push_back({sent, std::max(position, last.position)});
  }
  while (marks_.front().at < sent - kMaxHistory) marks_.pop_front();
}

std::optional<Watermarks::Mark> Watermarks::OldestSince(
    TimePoint not_before) const {
  const auto found = std::lower_bound(
      marks_.begin(), marks_.end(), not_before,
      [](const Mark& mark, TimePoint at) { return mark.at < at; });
  if (found == marks_.end()) return std::nullopt;
  return *found;
}

std::optional<milliseconds> Watermarks::LagBound(
    TimePoint now, const LogPosition& position) const {
  const auto beyond =
      std::upper_bound(marks_.begin(), marks_.end(), position,
                       [](const LogPosition& at, const Mark& mark) {
                         return at < mark.position;
                       });
  if (beyond == marks_.begin()) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(now - std::prev(beyond)->at);
}

LogPosition Watermarks::RequiredPosition(const LogPosition& seen) const {
  if (marks_.empty()) return seen;
  if (seen.term >= std::max(term_, marks_.back().position.term)) return seen;
  return first_of_term_;
}

std::optional<Watermarks::Mark> Watermarks::newest() const {
  if (marks_.empty()) return std::nullopt;
  return marks_.back();
}

}  // namespace ryefold::core::session
