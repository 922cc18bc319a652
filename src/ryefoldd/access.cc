#include "ryefoldd/access.h"

#include <string_view>

#include "ryefold/settings/catalog.h"

namespace ryefold::ryefoldd {
namespace {

constexpr std::string_view kBearer = "Bearer ";

std::string_view KeyOf(std::string_view header) {
  if (header.substr(0, kBearer.size()) != kBearer) return {};
  return header.substr(kBearer.size());
}

}  // namespace

const core::WorkspaceSpec* Access::Check(const core::Catalog& catalog,
                                         const std::string& workspace,
                                         const std::string& header) {
  if (catalog.revision != revision_) {
    known_.clear();
    revision_ = catalog.revision;
  }
  const std::string_view key = KeyOf(header);
  const auto found = catalog.workspaces.find(workspace);
  if (key.empty() || found == catalog.workspaces.end()) return nullptr;
  const auto known = known_.find(workspace);
  if (known != known_.end() && settings::KeysEqual(known->second, key)) {
    return &found->second;
  }
  const core::WorkspaceSpec& spec = found->second;
  if (!settings::KeysEqual(settings::HashKey(spec.key_salt, key),
                           spec.key_hash)) {
    return nullptr;
  }
  known_[workspace] = std::string(key);
  return &spec;
}

bool IsOperator(const std::string& admin_key, const std::string& header) {
  const std::string_view key = KeyOf(header);
  return !admin_key.empty() && settings::KeysEqual(admin_key, key);
}

}  // namespace ryefold::ryefoldd
