#pragma once

// From operators' documents and the platform's list to what is in force.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "ryefold/core/configuration/document.h"
#include "ryefold/core/membership/instance.h"
#include "ryefold/core/policy.h"
#include "ryefold/wire/finding.h"

namespace ryefold::ryefoldd {

/// Builds catalogs. Remembers the addresses of databases: the platform's list
/// lags and may omit one wrongly, and a group's document, not the list, says
/// which databases a group has.
class CatalogView {
 public:
  /// Resolves the documents and fills in what the list says of the databases.
  /// Findings tell of documents that do not resolve; those are left out.
  std::shared_ptr<const core::Catalog> Build(
      uint64_t revision,
      const std::map<std::string, core::configuration::Document>& documents,
      const std::vector<core::membership::Member>& members,
      wire::Findings* findings);

 private:
  void Learn(const std::vector<core::membership::Member>& members);

  std::map<std::string, core::DatabaseSpec> known_;
};

}  // namespace ryefold::ryefoldd
