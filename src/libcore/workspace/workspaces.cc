#include "ryefold/core/workspace/workspaces.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::workspace {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
/// Number of hexadecimal digits in a fingerprint.
constexpr int kFingerprintDigits = 8;
constexpr int kDigitBits = 4;
constexpr int kWordBits = 64;

}  // namespace

std::string Fingerprint(const KeyDigest& digest) {
  std::string text;
  for (int digit = 1; digit <= kFingerprintDigits; ++digit) {
    const uint64_t shifted = digest.high >> (kWordBits - digit * kDigitBits);
    text += kHexDigits[shifted % kHexDigits.size()];
  }
  return text;
}

bool Workspaces::Replace(const WorkspaceTable& table) {
  std::map<std::string, WorkspaceRef> by_name;
  KeyMap by_key;
  for (const auto& [name, workspace] : table.workspaces) {
    const auto known = by_name_.find(name);
    const bool same = known != by_name_.end() && *known->second == workspace;
    WorkspaceRef ref =
        same ? known->second : std::make_shared<const Workspace>(workspace);
    for (const KeyDigest& key : workspace.keys) by_key.emplace(key, ref);
    by_name.emplace(name, std::move(ref));
  }
  const bool dropped =
      std::any_of(by_key_.begin(), by_key_.end(), [&by_key](const auto& entry) {
        const auto found = by_key.find(entry.first);
        return found == by_key.end() ||
               found->second->name != entry.second->name;
      });
  const bool newly_required = table.keys_required && !keys_required_;
  keys_required_ = table.keys_required;
  by_name_ = std::move(by_name);
  by_key_ = std::move(by_key);
  return dropped || newly_required;
}

Identity Workspaces::Identify(bool public_route, const KeyDigest& key) const {
  if (public_route || !keys_required_) return {true, nullptr};
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) return {false, nullptr};
  return {true, found->second};
}

bool Workspaces::KeyBelongsTo(const KeyDigest& key,
                              const std::string& workspace) const {
  if (!keys_required_) return true;
  const auto found = by_key_.find(key);
  return found != by_key_.end() && found->second->name == workspace;
}

WorkspaceRef Workspaces::Find(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

}  // namespace ryefold::core::workspace
