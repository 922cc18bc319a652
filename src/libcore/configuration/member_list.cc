#include "member_list.h"

#include <algorithm>
#include <set>

namespace ryefold::core::configuration {
namespace {

using membership::Member;

/// Far longer than the lag of the platform's list, which is a matter of
/// seconds.
constexpr std::chrono::minutes kNoticeLifetime{2};
constexpr size_t kMaxRemovals = 4096;

}  // namespace

bool MemberList::Put(uint64_t change_version, const Member& member) {
  removed_.erase(member.name);
  Entry& entry = entries_[member.name];
  if (entry.change_version > 0 && entry.member == member) return false;
  entry.member = member;
  entry.change_version = change_version;
  return true;
}

bool MemberList::IsListed(const Member& member) const {
  const auto found = entries_.find(member.name);
  return found != entries_.end() && found->second.member == member;
}

bool MemberList::Remove(uint64_t change_version, const std::string& name) {
  if (entries_.erase(name) == 0) return false;
  removed_[name] = change_version;
  notices_.erase(name);
  return true;
}

void MemberList::TrimRemovals() {
  while (removed_.size() > kMaxRemovals) {
    const auto oldest = std::min_element(
        removed_.begin(), removed_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    trimmed_through_ = std::max(trimmed_through_, oldest->second);
    removed_.erase(oldest);
  }
}

bool MemberList::Replace(uint64_t version, const std::vector<Member>& members) {
  if (version <= version_) return false;
  std::set<std::string> present;
  bool changed = false;
  for (const Member& member : members) {
    present.insert(member.name);
    changed |= Put(version, member);
  }
  std::vector<std::string> removed;
  for (const auto& [name, entry] : entries_) {
    if (!present.contains(name)) removed.push_back(name);
  }
  for (const std::string& name : removed) changed |= Remove(version, name);
  TrimRemovals();
  version_ = version;
  return changed;
}

MemberBlock MemberList::ChangesSince(uint64_t version) const {
  MemberBlock block;
  block.after = version;
  block.full = version < trimmed_through_ || version == 0;
  for (const auto& [name, entry] : entries_) {
    if (block.full || entry.change_version > version) {
      block.changed.push_back(entry.member);
    }
  }
  if (block.full) return block;
  for (const auto& [name, change_version] : removed_) {
    if (change_version > version) block.removed.push_back(name);
  }
  return block;
}

bool MemberList::Merge(uint64_t version, const MemberBlock& block) {
  if (version <= version_) return false;
  if (block.full) return Replace(version, block.changed);
  // The block applies to a newer list than the local one; the changes in
  // between would be lost.
  if (block.after > version_) return false;
  bool changed = false;
  for (const Member& member : block.changed) changed |= Put(version, member);
  for (const std::string& name : block.removed) {
    changed |= Remove(version, name);
  }
  TrimRemovals();
  version_ = version;
  return changed;
}

bool MemberList::ApplyNotice(TimePoint now, const Notice& notice) {
  ActiveNotice& item = notices_[notice.member.name];
  if (notice.sequence <= item.notice.sequence) return false;
  item.notice = notice;
  item.expires_at = now + kNoticeLifetime;
  next_expiry_ = std::min(next_expiry_, item.expires_at);
  return true;
}

bool MemberList::ExpireNotices(TimePoint now) {
  bool changed = false;
  std::erase_if(notices_, [&](const auto& entry) {
    const bool due = entry.second.expires_at <= now;
    changed |= due && !IsListed(entry.second.notice.member);
    return due;
  });
  next_expiry_ = TimePoint::max();
  for (const auto& [name, item] : notices_) {
    next_expiry_ = std::min(next_expiry_, item.expires_at);
  }
  return changed;
}

std::map<std::string, Member> MemberList::MergedMembers() const {
  std::map<std::string, Member> merged;
  for (const auto& [name, entry] : entries_) merged.emplace(name, entry.member);
  for (const auto& [name, item] : notices_) merged[name] = item.notice.member;
  return merged;
}

}  // namespace ryefold::core::configuration
