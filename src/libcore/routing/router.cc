#include "ryefold/core/routing/router.h"

#include <algorithm>
#include <tuple>

#include "ryefold/core/session/token.h"

namespace ryefold::core::routing {
namespace {

using std::chrono::milliseconds;

/// Shortest wait for a replica. A wait of nothing would make the owner look
/// again in the same instant, over and over.
constexpr milliseconds kLeastWait{1};

/// Term starts of the newest history that any candidate knows. A position is
/// cut back by these for all candidates: a replica that has not yet received
/// the newest term does not know yet what that term discarded.
const std::vector<TermStart>* NewestStarts(
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

bool Fresh(const ReadNeeds& needs, const Candidate& candidate) {
  return candidate.usable && candidate.age <= needs.max_age;
}

bool Holds(const LogPosition& seen, const Candidate& candidate) {
  return session::Covers(candidate.last, candidate.term_starts, seen);
}

/// Whether `a` is to be preferred to `b`, both able to serve.
bool Better(const ReadNeeds& needs, const Candidate& a, const Candidate& b) {
  const bool a_far = a.failure_domain != needs.near;
  const bool b_far = b.failure_domain != needs.near;
  return std::tuple(a.primary, a_far, a.running) <
         std::tuple(b.primary, b_far, b.running);
}

/// When the first fresh replica with a free slot is expected to hold what the
/// session has seen; nothing when none will in time.
std::optional<TimePoint> CatchUp(TimePoint now, const ReadNeeds& needs,
                                 const LogPosition& seen,
                                 const std::vector<Candidate>& candidates) {
  std::optional<TimePoint> first;
  for (const Candidate& candidate : candidates) {
    const auto& expected = candidate.catches_up_at;
    if (candidate.primary || !candidate.has_free_slot) continue;
    if (!Fresh(needs, candidate) || Holds(seen, candidate)) continue;
    // An expectation that has passed was wrong and tells nothing.
    if (!expected.has_value() || *expected <= now) continue;
    if (!first.has_value() || *expected < *first) first = expected;
  }
  if (!first.has_value()) return std::nullopt;
  const TimePoint look_again = std::max(*first, now + kLeastWait);
  if (look_again >= needs.deadline) return std::nullopt;
  return look_again;
}

}  // namespace

Route ChooseForRead(TimePoint now, const ReadNeeds& needs,
                    const std::vector<Candidate>& candidates) {
  const LogPosition seen =
      session::CutBack(needs.seen, *NewestStarts(candidates));
  const Candidate* best = nullptr;
  bool busy = false;
  for (const Candidate& candidate : candidates) {
    if (!Fresh(needs, candidate) || !Holds(seen, candidate)) continue;
    if (!candidate.has_free_slot) {
      busy = true;
      continue;
    }
    if (best == nullptr || Better(needs, candidate, *best)) best = &candidate;
  }
  Route route;
  if (best != nullptr) {
    route.kind = RouteKind::kServe;
    route.database = best->database;
    return route;
  }
  if (const auto at = CatchUp(now, needs, seen, candidates)) {
    route.kind = RouteKind::kWait;
    route.look_again = *at;
    return route;
  }
  route.kind = busy ? RouteKind::kBusy : RouteKind::kNone;
  return route;
}

}  // namespace ryefold::core::routing
