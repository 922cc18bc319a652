#pragma once

// Operators' calls and answers in JSON (docs/OPERATORS.md).

#include <map>
#include <string>
#include <vector>

#include "ryefold/core/configuration/node.h"
#include "ryefold/core/group/keeper.h"
#include "ryefold/core/membership/instance.h"
#include "ryefold/wire/finding.h"

namespace ryefold::ryefoldd {

/// Body of POST /v1/admin/publish.
struct PublishCall {
  core::configuration::Change change;
  /// This change id was sent before, with unknown outcome.
  bool repeat = false;
};

/// Findings tell what is wrong with the body.
PublishCall ReadPublish(const std::string& body, wire::Findings* findings);

/// Instance named by the body of POST /v1/admin/drain, empty when unreadable.
std::string ReadDrain(const std::string& body);

std::string WriteDocuments(
    uint64_t revision,
    const std::map<std::string, core::configuration::Document>& documents,
    const std::string& prefix);
std::string WritePublished(const core::configuration::PublishDone& done);
std::string WriteForce(const core::configuration::InForceDone& done);
std::string WriteHistory(const core::configuration::HistoryDone& done);

/// What GET /v1/admin/status tells of one instance.
struct InstanceStatus {
  std::string instance;
  bool leaving = false;
  core::configuration::NodeView node;
  std::vector<core::membership::Member> members;
  std::vector<core::group::KeeperView> keepers;
  std::vector<std::string> duties;
  std::vector<std::string> watched;
  wire::Findings unresolved;
};
std::string WriteStatus(const InstanceStatus& status);

}  // namespace ryefold::ryefoldd
