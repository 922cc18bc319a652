#include "ryefold/core/session/keeper_assignment.h"

#include <algorithm>

namespace ryefold::core::session {

/// Adds the candidate if it ranks among the first. Returns whether it does.
bool KeeperAssignment::Insert(const std::string& group,
                              const Candidate& candidate, Ranking* ranking) {
  ++hash_count_;
  const Rank rank(RendezvousHash(group, candidate.seed), candidate.id);
  std::vector<Rank>& first = ranking->first;
  const bool full = first.size() >= ranking->count;
  if (full && first.back() < rank) return false;
  first.insert(std::upper_bound(first.begin(), first.end(), rank), rank);
  if (full) first.pop_back();
  return true;
}

void KeeperAssignment::RankAll(const std::string& group, Ranking* ranking) {
  ranking->first.clear();
  if (ranking->count == 0) return;
  for (const Candidate& each : candidates_) Insert(group, each, ranking);
}

std::vector<std::string> KeeperAssignment::SetCandidates(
    const std::vector<KeeperCandidate>& candidates) {
  std::map<std::string, CandidateId> previous = std::exchange(ids_, {});
  std::vector<Candidate> joined;
  for (const KeeperCandidate& each : candidates) {
    const auto known = previous.find(each.instance);
    const bool same =
        known != previous.end() &&
        names_.at(known->second).failure_domain == each.failure_domain;
    if (same) {
      ids_.insert(previous.extract(known));
      continue;
    }
    const CandidateId id = ++last_id_;
    ids_[each.instance] = id;
    names_[id] = each;
    joined.push_back({id, RendezvousSeed(each.instance)});
  }
  std::set<CandidateId> left;
  for (const auto& [instance, id] : previous) {
    left.insert(id);
    names_.erase(id);
  }
  std::erase_if(candidates_, [&left](const Candidate& each) {
    return left.count(each.id) > 0;
  });
  candidates_.insert(candidates_.end(), joined.begin(), joined.end());
  std::vector<std::string> changed;
  for (auto& [group, ranking] : rankings_) {
    if (ranking.count == 0) continue;
    const bool lost = std::any_of(
        ranking.first.begin(), ranking.first.end(),
        [&left](const Rank& each) { return left.count(each.second) > 0; });
    bool affected = lost;
    if (lost) {
      RankAll(group, &ranking);
    } else {
      for (const Candidate& each : joined) {
        if (Insert(group, each, &ranking)) affected = true;
      }
    }
    if (affected) changed.push_back(group);
  }
  return changed;
}

bool KeeperAssignment::SetCount(const std::string& group, size_t count) {
  Ranking& ranking = rankings_[group];
  if (ranking.count == count) return false;
  ranking.count = count;
  RankAll(group, &ranking);
  return true;
}

size_t KeeperAssignment::count(const std::string& group) const {
  const auto found = rankings_.find(group);
  return found == rankings_.end() ? 0 : found->second.count;
}

std::vector<KeeperCandidate> KeeperAssignment::keepers(
    const std::string& group) const {
  std::vector<KeeperCandidate> keepers;
  const auto found = rankings_.find(group);
  if (found == rankings_.end()) return keepers;
  for (const Rank& each : found->second.first) {
    keepers.push_back(names_.at(each.second));
  }
  return keepers;
}

}  // namespace ryefold::core::session
