#include <algorithm>

#include "ryefold/core/admission/queue.h"

namespace ryefold::core::admission {

ConnectionShares::ConnectionShares(
    const std::vector<WorkspacePolicy>& workspaces, uint32_t usable) {
  SetPolicies(workspaces, usable);
}

void ConnectionShares::SetPolicies(
    const std::vector<WorkspacePolicy>& workspaces, uint32_t usable) {
  usable_ = usable;
  for (auto& [name, entry] : entries_) entry.share = 0;
  for (const WorkspacePolicy& policy : workspaces) {
    entries_[policy.workspace].share = policy.connection_share;
  }
  std::erase_if(entries_, [](const auto& item) {
    const Entry& entry = item.second;
    return entry.share == 0 && entry.held == 0 && entry.waiting_requests == 0;
  });
  reserved_ = 0;
  for (const auto& [name, entry] : entries_) {
    if (entry.waiting_requests > 0) reserved_ += entry.unused_share();
  }
}

const ConnectionShares::Entry& ConnectionShares::FindEntry(
    const std::string& workspace) const {
  static const Entry none;
  const auto found = entries_.find(workspace);
  return found == entries_.end() ? none : found->second;
}

template <class Change>
void ConnectionShares::Update(const std::string& workspace, Change change) {
  Entry& entry = entries_[workspace];
  if (entry.waiting_requests > 0) reserved_ -= entry.unused_share();
  change(&entry);
  if (entry.waiting_requests > 0) reserved_ += entry.unused_share();
  const bool used =
      entry.share > 0 || entry.held > 0 || entry.waiting_requests > 0;
  if (!used) entries_.erase(workspace);
}

/// Within its share a workspace takes any free connection. Beyond its share it
/// borrows only connections that are not reserved for other workspaces.
bool ConnectionShares::IsGrantable(const Entry& entry,
                                   uint32_t reserved) const {
  if (total_held_ >= usable_) return false;
  if (entry.unused_share() > 0) return true;
  return usable_ - total_held_ > reserved;
}

bool ConnectionShares::CanAcquire(
    const std::string& workspace,
    const std::vector<std::string>& contending) const {
  uint32_t reserved = 0;
  for (const std::string& name : contending) {
    if (name != workspace) reserved += FindEntry(name).unused_share();
  }
  return IsGrantable(FindEntry(workspace), reserved);
}

// A workspace that has used up its share adds nothing to `reserved_`, so
// `reserved_` covers only other workspaces.
bool ConnectionShares::CanAcquire(const std::string& workspace) const {
  return IsGrantable(FindEntry(workspace), reserved_);
}

void ConnectionShares::AddWaiting(const std::string& workspace) {
  Update(workspace, [](Entry* entry) { ++entry->waiting_requests; });
}

void ConnectionShares::RemoveWaiting(const std::string& workspace) {
  Update(workspace, [](Entry* entry) {
    if (entry->waiting_requests > 0) --entry->waiting_requests;
  });
}

void ConnectionShares::Acquire(const std::string& workspace) {
  Update(workspace, [](Entry* entry) { ++entry->held; });
  ++total_held_;
}

void ConnectionShares::Release(const std::string& workspace) {
  if (held(workspace) == 0) return;
  Update(workspace, [](Entry* entry) { --entry->held; });
  --total_held_;
}

uint32_t ConnectionShares::held(const std::string& workspace) const {
  return FindEntry(workspace).held;
}

}  // namespace ryefold::core::admission
