#include "ryefold/core/membership/roster.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ryefold::core::membership {
namespace {

/// Maximum number of instances in a cached order.
constexpr size_t kCachedRanks = 16;
/// If more instances have changed, all cached orders are dropped.
constexpr size_t kMaxIncrementalChanges = 32;

uint64_t HashName(const std::string& name) {
  return XXH64(name.data(), name.size(), 0);
}

uint64_t Score(uint64_t group, uint64_t instance) {
  const std::array<uint64_t, 2> hashes = {group, instance};
  return XXH64(hashes.data(), sizeof(hashes), 0);
}

}  // namespace

Roster::Roster(RosterTiming timing) : timing_(timing) {}

void Roster::SetMembers(const std::vector<Member>& members) {
  const std::map<std::string, Member> before = std::move(members_);
  members_.clear();
  instances_.clear();
  databases_.clear();
  for (const Member& member : members) members_[member.name] = member;
  for (const auto& [name, member] : members_) {
    if (member.kind == MemberKind::kInstance) {
      instances_.push_back({&member, HashName(name)});
    } else {
      databases_[member.group].push_back(name);
    }
  }
  std::erase_if(suspicions_, [this](const auto& entry) {
    return !members_.contains(entry.first);
  });
  DropStaleOrders(before);
}

void Roster::DropStaleOrders(const std::map<std::string, Member>& before) {
  std::vector<Candidate> added;
  std::vector<std::string> changed;
  for (const Candidate& candidate : instances_) {
    const auto old = before.find(candidate.member->name);
    if (old != before.end() && old->second == *candidate.member) continue;
    added.push_back(candidate);
    changed.push_back(candidate.member->name);
  }
  for (const auto& [name, member] : before) {
    const bool is_instance = member.kind == MemberKind::kInstance;
    if (is_instance && !members_.contains(name)) changed.push_back(name);
  }
  if (changed.size() > kMaxIncrementalChanges) {
    orders_.clear();
    return;
  }
  std::erase_if(orders_, [&](const auto& entry) {
    const std::string& group = entry.first;
    const Order& order = entry.second;
    const auto in_order = [&](const std::string& name) {
      return std::find(order.names.begin(), order.names.end(), name) !=
             order.names.end();
    };
    return order.names.size() < kCachedRanks ||
           KeeperRegion(group) != order.region ||
           std::any_of(changed.begin(), changed.end(), in_order) ||
           std::any_of(added.begin(), added.end(), [&](const Candidate& each) {
             return IsAffectedBy(group, order, each);
           });
  });
}

bool Roster::IsAffectedBy(const std::string& group, const Order& order,
                          const Candidate& added) const {
  const Member& last = members_.at(order.names.back());
  if (last.state != MemberState::kLive) return true;
  if (added.member->state != MemberState::kLive) return false;
  const uint64_t hash = HashName(group);
  return Score(hash, added.hash) >= Score(hash, HashName(last.name));
}

void Roster::Suspect(TimePoint now, const std::string& instance) {
  Suspicion& suspicion = suspicions_[instance];
  suspicion.duration =
      std::clamp(suspicion.duration * 2, timing_.suspicion_time,
                 timing_.max_suspicion_time);
  suspicion.until = now + suspicion.duration;
}

void Roster::Trust(const std::string& instance) { suspicions_.erase(instance); }

bool Roster::IsSuspected(TimePoint now, const std::string& instance) const {
  const auto found = suspicions_.find(instance);
  return found != suspicions_.end() && found->second.until > now;
}

std::string Roster::KeeperRegion(const std::string& group) const {
  const auto found = databases_.find(group);
  if (found == databases_.end()) return {};
  std::map<std::string, size_t> counts;
  for (const std::string& name : found->second) {
    ++counts[members_.at(name).region];
  }
  // A tie goes to the first region by name, so that all instances agree.
  const auto most = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  const std::string& region = most->first;
  const bool has_live_instance = std::any_of(
      instances_.begin(), instances_.end(), [&](const Candidate& candidate) {
        return candidate.member->region == region &&
               candidate.member->state == MemberState::kLive;
      });
  return has_live_instance ? region : std::string();
}

std::vector<std::string> Roster::ComputeOrder(const std::string& group,
                                              size_t max_count) const {
  struct Scored {
    bool live = false;
    uint64_t score = 0;
    const Member* member = nullptr;
  };
  const std::string region = KeeperRegion(group);
  const uint64_t hash = HashName(group);
  std::vector<Scored> scored;
  scored.reserve(instances_.size());
  for (const Candidate& candidate : instances_) {
    const Member& member = *candidate.member;
    if (!region.empty() && member.region != region) continue;
    scored.push_back({member.state == MemberState::kLive,
                      Score(hash, candidate.hash), &member});
  }
  const size_t count = std::min(max_count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<ptrdiff_t>(count),
                    scored.end(), [](const Scored& a, const Scored& b) {
                      if (a.live != b.live) return a.live;
                      if (a.score != b.score) return a.score > b.score;
                      return a.member->name < b.member->name;
                    });
  std::vector<std::string> names;
  names.reserve(count);
  for (size_t i = 0; i < count; ++i) names.push_back(scored[i].member->name);
  return names;
}

const std::vector<std::string>& Roster::RankOrder(
    const std::string& group) const {
  const auto found = orders_.find(group);
  if (found != orders_.end()) return found->second.names;
  Order& order = orders_[group];
  order.region = KeeperRegion(group);
  order.names = ComputeOrder(group, kCachedRanks);
  return order.names;
}

std::vector<std::string> Roster::RankedInstances(
    TimePoint now, const std::string& group) const {
  std::vector<std::string> names = RankOrder(group);
  if (suspicions_.empty()) return names;
  const auto not_suspected = [&](const std::string& name) {
    return !IsSuspected(now, name);
  };
  if (std::none_of(names.begin(), names.end(), not_suspected)) {
    names = ComputeOrder(group, instances_.size());
  }
  std::stable_partition(names.begin(), names.end(), not_suspected);
  return names;
}

const Member* Roster::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<Member> Roster::DatabasesOf(const std::string& group) const {
  std::vector<Member> databases;
  const auto found = databases_.find(group);
  if (found == databases_.end()) return databases;
  for (const std::string& name : found->second) {
    databases.push_back(members_.at(name));
  }
  return databases;
}

std::vector<Member> Roster::instances() const {
  std::vector<Member> listed;
  for (const Candidate& candidate : instances_) {
    listed.push_back(*candidate.member);
  }
  return listed;
}

}  // namespace ryefold::core::membership
