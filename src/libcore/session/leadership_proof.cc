#include "ryefold/core/session/leadership_proof.h"

#include <algorithm>
#include <functional>

namespace ryefold::core::session {
namespace {

/// Claims that wait for a proof at most. At one begin a millisecond this is a
/// quarter of a second, many times what a witness takes to answer.
constexpr size_t kMaxClaims = 256;

}  // namespace

size_t WitnessesNeeded(size_t databases, size_t copies) {
  if (databases < 2) return 0;
  const size_t needed = databases > copies ? databases - copies : 0;
  return std::max<size_t>(needed, 1);
}

bool LeadershipProof::Claimed(const std::string& leader, uint64_t term,
                              TimePoint sent, const LogPosition& position) {
  if (term < term_) return false;
  if (term > term_) claims_.clear();
  term_ = term;
  leader_ = leader;
  if (claims_.size() == kMaxClaims) claims_.erase(claims_.begin());
  claims_.push_back({sent, position});
  return true;
}

void LeadershipProof::Told(const std::string& database, TimePoint asked,
                           uint64_t term) {
  Knowledge& knowledge = told_[database];
  if (asked < knowledge.asked) return;
  knowledge = {asked, term};
}

void LeadershipProof::Forget(const std::string& database) {
  told_.erase(database);
  if (database != leader_) return;
  leader_.clear();
  claims_.clear();
}

TimePoint LeadershipProof::ProvedUntil(const std::vector<std::string>& others,
                                       size_t needed) const {
  if (needed == 0) return TimePoint::max();
  std::vector<TimePoint> asked;
  for (const std::string& id : others) {
    const auto found = told_.find(id);
    if (found == told_.end() || found->second.term != term_) continue;
    asked.push_back(found->second.asked);
  }
  if (asked.size() < needed) return TimePoint();
  std::sort(asked.begin(), asked.end(), std::greater<>());
  return asked[needed - 1];
}

std::vector<Watermarks::Mark> LeadershipProof::TakeClaims(TimePoint until) {
  const auto first_late = std::stable_partition(
      claims_.begin(), claims_.end(),
      [until](const Watermarks::Mark& claim) { return claim.at <= until; });
  std::vector<Watermarks::Mark> proved(claims_.begin(), first_late);
  claims_.erase(claims_.begin(), first_late);
  std::sort(proved.begin(), proved.end(),
            [](const Watermarks::Mark& a, const Watermarks::Mark& b) {
              return a.at < b.at;
            });
  return proved;
}

}  // namespace ryefold::core::session
