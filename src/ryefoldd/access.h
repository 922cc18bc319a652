#pragma once

// Who may call: keys of workspaces and the operators' key.

#include <string>
#include <unordered_map>

#include "ryefold/core/policy.h"

namespace ryefold::ryefoldd {

/// Checks `Authorization: Bearer KEY` headers. Remembers keys that were found
/// right, so that the hash is not worked out for every statement; a change of
/// configuration forgets them.
class Access {
 public:
  /// The workspace, if the header carries its key; null for an unknown
  /// workspace or a wrong key alike, so that names can't be probed.
  const core::WorkspaceSpec* Check(const core::Catalog& catalog,
                                   const std::string& workspace,
                                   const std::string& header);

 private:
  uint64_t revision_ = 0;
  std::unordered_map<std::string, std::string> known_;
};

/// Whether the header carries the operators' key; never true for an empty key.
bool IsOperator(const std::string& admin_key, const std::string& header);

}  // namespace ryefold::ryefoldd
