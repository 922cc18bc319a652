#include "member_list.h"

#include <algorithm>
#include <set>

namespace ryefold::core::configuration {
namespace {

using membership::Member;

/// The platform's list lags by seconds; by then it says the same.
constexpr std::chrono::minutes kNoticeLife{2};
constexpr size_t kRemovalsKept = 4096;

}  // namespace

bool MemberList::Put(uint64_t stamp, const Member& member) {
  removed_.erase(member.name);
  Entry& entry = entries_[member.name];
  if (entry.stamp > 0 && entry.member == member) return false;
  entry.member = member;
  entry.stamp = stamp;
  return true;
}

bool MemberList::Lists(const Member& member) const {
  const auto found = entries_.find(member.name);
  return found != entries_.end() && found->second.member == member;
}

bool MemberList::Remove(uint64_t stamp, const std::string& name) {
  if (entries_.erase(name) == 0) return false;
  removed_[name] = stamp;
  notices_.erase(name);
  return true;
}

void MemberList::Trim() {
  while (removed_.size() > kRemovalsKept) {
    const auto oldest = std::min_element(
        removed_.begin(), removed_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    floor_ = std::max(floor_, oldest->second);
    removed_.erase(oldest);
  }
}

bool MemberList::Replace(uint64_t version, const std::vector<Member>& all) {
  if (version <= version_) return false;
  std::set<std::string> present;
  bool changed = false;
  for (const Member& member : all) {
    present.insert(member.name);
    changed |= Put(version, member);
  }
  std::vector<std::string> gone;
  for (const auto& [name, entry] : entries_) {
    if (!present.contains(name)) gone.push_back(name);
  }
  for (const std::string& name : gone) changed |= Remove(version, name);
  Trim();
  version_ = version;
  return changed;
}

MemberBlock MemberList::Since(uint64_t version) const {
  MemberBlock block;
  block.after = version;
  block.full = version < floor_ || version == 0;
  for (const auto& [name, entry] : entries_) {
    if (block.full || entry.stamp > version) {
      block.changed.push_back(entry.member);
    }
  }
  if (block.full) return block;
  for (const auto& [name, stamp] : removed_) {
    if (stamp > version) block.removed.push_back(name);
  }
  return block;
}

bool MemberList::Merge(uint64_t version, const MemberBlock& block) {
  if (version <= version_) return false;
  if (block.full) return Replace(version, block.changed);
  // Made for a list newer than ours: what lies between would be lost.
  if (block.after > version_) return false;
  bool changed = false;
  for (const Member& member : block.changed) changed |= Put(version, member);
  for (const std::string& name : block.removed) {
    changed |= Remove(version, name);
  }
  Trim();
  version_ = version;
  return changed;
}

bool MemberList::Take(TimePoint now, const Notice& notice) {
  Kept& kept = notices_[notice.member.name];
  if (notice.sequence <= kept.notice.sequence) return false;
  kept.notice = notice;
  kept.until = now + kNoticeLife;
  next_expiry_ = std::min(next_expiry_, kept.until);
  return true;
}

bool MemberList::Expire(TimePoint now) {
  bool changed = false;
  std::erase_if(notices_, [&](const auto& entry) {
    const bool due = entry.second.until <= now;
    changed |= due && !Lists(entry.second.notice.member);
    return due;
  });
  next_expiry_ = TimePoint::max();
  for (const auto& [name, kept] : notices_) {
    next_expiry_ = std::min(next_expiry_, kept.until);
  }
  return changed;
}

std::map<std::string, Member> MemberList::merged() const {
  std::map<std::string, Member> all;
  for (const auto& [name, entry] : entries_) all.emplace(name, entry.member);
  for (const auto& [name, kept] : notices_) all[name] = kept.notice.member;
  return all;
}

}  // namespace ryefold::core::configuration
