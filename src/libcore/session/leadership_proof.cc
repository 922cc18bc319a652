#include "ryefold/core/session/leadership_proof.h"

#include <algorithm>
#include <functional>

namespace ryefold::core::session {
namespace {

/// Maximum number of claims that wait for a proof. At one begin per millisecond
/// this covers a quarter of a second, many times the response time of a
/// witness.
constexpr size_t kMaxClaims = 256;

}  // namespace

size_t WitnessesNeeded(size_t databases, size_t copies) {
  if (databases < 2) return 0;
  const size_t needed = databases > copies ? databases - copies : 0;
  return std::max<size_t>(needed, 1);
}

bool ExcludesOlderTerms(uint64_t term,
                        const std::vector<MemberEvidence>& others,
                        bool list_current) {
  size_t possible_witnesses = 0;
  size_t possible_primaries = 0;
  for (const MemberEvidence& each : others) {
    if (each.term >= term) continue;
    ++possible_witnesses;
    if (!each.replica) ++possible_primaries;
  }
  // A primary is no witness of its own.
  return possible_primaries == 0 || (possible_witnesses <= 1 && list_current);
}

bool LeadershipProof::RecordClaim(const std::string& leader, uint64_t term,
                                  TimePoint sent, const LogPosition& position) {
  if (term < term_) return false;
  if (term > term_) claims_.clear();
  term_ = term;
  leader_ = leader;
  if (claims_.size() == kMaxClaims) claims_.erase(claims_.begin());
  claims_.push_back({sent, position});
  return true;
}

void LeadershipProof::RecordWitness(const std::string& database,
                                    TimePoint asked, uint64_t term) {
  WitnessReport& report = reports_[database];
  if (asked < report.asked) return;
  report = {asked, term};
}

void LeadershipProof::DiscardEvidence(const std::string& database) {
  reports_.erase(database);
  if (database != leader_) return;
  leader_.clear();
  claims_.clear();
}

TimePoint LeadershipProof::ProvedUntil(const std::vector<std::string>& others,
                                       size_t needed) const {
  if (needed == 0) return TimePoint::max();
  std::vector<TimePoint> asked;
  for (const std::string& id : others) {
    const auto found = reports_.find(id);
    if (found == reports_.end() || found->second.term != term_) continue;
    asked.push_back(found->second.asked);
  }
  if (asked.size() < needed) return TimePoint();
  std::sort(asked.begin(), asked.end(), std::greater<>());
  return asked[needed - 1];
}

std::vector<Watermarks::Mark> LeadershipProof::TakeClaims(TimePoint until) {
  const auto first_unproved = std::stable_partition(
      claims_.begin(), claims_.end(),
      [until](const Watermarks::Mark& claim) { return claim.at <= until; });
  std::vector<Watermarks::Mark> proved(claims_.begin(), first_unproved);
  claims_.erase(claims_.begin(), first_unproved);
  std::sort(proved.begin(), proved.end(),
            [](const Watermarks::Mark& a, const Watermarks::Mark& b) {
              return a.at < b.at;
            });
  return proved;
}

}  // namespace ryefold::core::session
