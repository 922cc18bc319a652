#include "ryefoldd/catalog_view.h"

#include <utility>

#include "ryefold/settings/catalog.h"

namespace ryefold::ryefoldd {

using core::membership::Member;
using core::membership::MemberKind;
using core::membership::MemberState;

void CatalogView::Learn(const std::vector<Member>& members) {
  for (const Member& member : members) {
    if (member.kind != MemberKind::kDatabase) continue;
    core::DatabaseSpec& database = known_[member.name];
    database.database = member.name;
    database.address = member.address;
    database.failure_domain = member.failure_domain;
    database.leaving = member.state == MemberState::kLeaving;
  }
}

std::shared_ptr<const core::Catalog> CatalogView::Build(
    uint64_t revision,
    const std::map<std::string, core::configuration::Document>& documents,
    const std::vector<Member>& members, wire::Findings* findings) {
  Learn(members);
  std::map<std::string, std::string> texts;
  for (const auto& [key, document] : documents) {
    if (document.text) texts[key] = *document.text;
  }
  auto catalog =
      std::make_shared<core::Catalog>(settings::Resolve(texts, findings));
  catalog->revision = revision;
  for (auto& [name, group] : catalog->groups) {
    for (core::DatabaseSpec& database : group.databases) {
      const auto known = known_.find(database.database);
      // A database that the list omits keeps the address it was last seen
      // with: taking the omission for a removal would close the connections
      // of a healthy database whenever the list is wrong.
      if (known != known_.end()) database = known->second;
    }
  }
  return catalog;
}

}  // namespace ryefold::ryefoldd
