#include "ryefold/core/routing/router.h"

#include <algorithm>
#include <tuple>

#include "ryefold/core/session/token.h"

namespace ryefold::core::routing {
namespace {

using std::chrono::milliseconds;

/// Minimum wait for a replica. With a wait of 0 the caller would route the read
/// again immediately, in a busy loop.
constexpr milliseconds kMinWait{1};

/// Returns the term starts of the candidate with the newest term. They limit
/// the session's position for all candidates, because a replica that has not
/// received the newest term yet lacks the information which entries that term
/// discarded.
const std::vector<TermStart>* NewestTermStarts(
    const std::vector<Candidate>& candidates) {
  static const std::vector<TermStart> none;
  const std::vector<TermStart>* newest = &none;
  for (const Candidate& candidate : candidates) {
    const auto& starts = candidate.term_starts;
    if (starts.empty()) continue;
    if (newest->empty() || newest->back().term < starts.back().term) {
      newest = &starts;
    }
  }
  return newest;
}

bool IsFresh(const ReadRequirements& needs, const Candidate& candidate) {
  return candidate.usable && candidate.age <= needs.max_age;
}

bool IsCoveredBy(const LogPosition& seen, const Candidate& candidate) {
  return session::Covers(candidate.last, candidate.term_starts, seen);
}

/// Returns whether `a` is preferred to `b`, given that both can serve the read.
bool IsBetter(const ReadRequirements& needs, const Candidate& a,
              const Candidate& b) {
  const bool a_far = a.failure_domain != needs.near_domain;
  const bool b_far = b.failure_domain != needs.near_domain;
  return std::tuple(a.primary, a_far, a.running) <
         std::tuple(b.primary, b_far, b.running);
}

/// Returns when the first fresh replica with a free slot is expected to reach
/// the session's position. Returns nullopt if none is expected to before the
/// deadline.
std::optional<TimePoint> NextCatchUp(TimePoint now,
                                     const ReadRequirements& needs,
                                     const LogPosition& seen,
                                     const std::vector<Candidate>& candidates) {
  std::optional<TimePoint> first;
  for (const Candidate& candidate : candidates) {
    const auto& expected = candidate.catches_up_at;
    if (candidate.primary || !candidate.has_free_slot) continue;
    if (!IsFresh(needs, candidate) || IsCoveredBy(seen, candidate)) continue;
    // An estimate in the past was wrong and is ignored.
    if (!expected.has_value() || *expected <= now) continue;
    if (!first.has_value() || *expected < *first) first = expected;
  }
  if (!first.has_value()) return std::nullopt;
  const TimePoint retry_at = std::max(*first, now + kMinWait);
  if (retry_at >= needs.deadline) return std::nullopt;
  return retry_at;
}

}  // namespace

Route ChooseReadRoute(TimePoint now, const ReadRequirements& needs,
                      const std::vector<Candidate>& candidates) {
  const LogPosition seen =
      session::LimitToExisting(needs.seen, *NewestTermStarts(candidates));
  const Candidate* best = nullptr;
  bool busy = false;
  for (const Candidate& candidate : candidates) {
    if (!IsFresh(needs, candidate) || !IsCoveredBy(seen, candidate)) continue;
    if (!candidate.has_free_slot) {
      busy = true;
      continue;
    }
    if (best == nullptr || IsBetter(needs, candidate, *best)) best = &candidate;
  }
  Route route;
  if (best != nullptr) {
    route.kind = RouteKind::kServe;
    route.database = best->database;
    return route;
  }
  if (const auto at = NextCatchUp(now, needs, seen, candidates)) {
    route.kind = RouteKind::kWait;
    route.retry_at = *at;
    return route;
  }
  route.kind = busy ? RouteKind::kBusy : RouteKind::kNone;
  return route;
}

}  // namespace ryefold::core::routing
