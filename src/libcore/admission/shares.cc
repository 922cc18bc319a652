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
    return entry.share == 0 && entry.held == 0 && entry.wants == 0;
  });
  reserved_ = 0;
  for (const auto& [name, entry] : entries_) {
    if (entry.wants > 0) reserved_ += entry.unmet();
  }
}

const ConnectionShares::Entry& ConnectionShares::Find(
    const std::string& workspace) const {
  static const Entry none;
  const auto found = entries_.find(workspace);
  return found == entries_.end() ? none : found->second;
}

template <class Change>
void ConnectionShares::Apply(const std::string& workspace, Change change) {
  Entry& entry = entries_[workspace];
  if (entry.wants > 0) reserved_ -= entry.unmet();
  change(&entry);
  if (entry.wants > 0) reserved_ += entry.unmet();
  const bool used = entry.share > 0 || entry.held > 0 || entry.wants > 0;
  if (!used) entries_.erase(workspace);
}

/// Within its share a workspace takes any free connection. Beyond its share it
/// borrows only connections that are not reserved for other workspaces.
bool ConnectionShares::Fits(const Entry& entry, uint32_t reserved) const {
  if (total_held_ >= usable_) return false;
  if (entry.unmet() > 0) return true;
  return usable_ - total_held_ > reserved;
}

bool ConnectionShares::MayTake(const std::string& workspace,
                               const std::vector<std::string>& wanted) const {
  uint32_t reserved = 0;
  for (const std::string& name : wanted) {
    if (name != workspace) reserved += Find(name).unmet();
  }
  return Fits(Find(workspace), reserved);
}

// A workspace that has used up its share adds nothing to `reserved_`, so
// `reserved_` covers only other workspaces.
bool ConnectionShares::MayTake(const std::string& workspace) const {
  return Fits(Find(workspace), reserved_);
}

void ConnectionShares::Want(const std::string& workspace) {
  Apply(workspace, [](Entry* entry) { ++entry->wants; });
}

void ConnectionShares::Unwant(const std::string& workspace) {
  Apply(workspace, [](Entry* entry) {
    if (entry->wants > 0) --entry->wants;
  });
}

void ConnectionShares::Take(const std::string& workspace) {
  Apply(workspace, [](Entry* entry) { ++entry->held; });
  ++total_held_;
}

void ConnectionShares::Release(const std::string& workspace) {
  if (held(workspace) == 0) return;
  Apply(workspace, [](Entry* entry) { --entry->held; });
  --total_held_;
}

uint32_t ConnectionShares::held(const std::string& workspace) const {
  return Find(workspace).held;
}

}  // namespace ryefold::core::admission
