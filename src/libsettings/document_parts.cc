#include "document_parts.h"

#include <set>

namespace ryefold::settings {
namespace {

using std::chrono::milliseconds;
using wire::Reader;

constexpr int64_t kLowestPriority = 15;
constexpr int64_t kMaxWeight = 1000;
constexpr int64_t kMaxConnections = 10000;
constexpr int64_t kMaxAgeMs = 86400000;
constexpr size_t kHashDigits = 64;
constexpr size_t kMinSaltBytes = 8;

uint32_t ReadCount(Reader* reader, std::string_view name,
                   uint32_t default_value, int64_t min, int64_t max) {
  return static_cast<uint32_t>(reader->Int(name, default_value, min, max));
}

std::optional<uint32_t> ReadOverride(Reader* reader, std::string_view name,
                                     int64_t min, int64_t max) {
  if (!reader->Has(name)) return std::nullopt;
  return static_cast<uint32_t>(reader->Int(name, min, min, max));
}

void ReadParameters(Reader* reader, WorkspaceDocument* workspace) {
  workspace->priority = ReadOverride(reader, "priority", 0, kLowestPriority);
  workspace->weight = ReadOverride(reader, "weight", 1, kMaxWeight);
  workspace->connection_share =
      ReadOverride(reader, "connection_share", 1, kMaxConnections);
  if (reader->Has("max_age_ms")) {
    workspace->max_age =
        milliseconds(reader->Int("max_age_ms", 0, 0, kMaxAgeMs));
  }
  reader->Finish();
}

void CheckDatabases(Reader* reader, const std::vector<std::string>& databases) {
  const std::set<std::string> unique(databases.begin(), databases.end());
  if (unique.size() != databases.size()) {
    reader->Report("databases", "a database is named twice", "distinct names");
  }
  // One, three and five databases are useful sizes. With two, the loss of
  // either stops writes, since a majority is both; two and four are allowed but
  // tolerate no more failures than one and three.
  if (databases.empty()) {
    reader->Report("databases", "is missing or empty", "1 to 15 names");
  }
}

}  // namespace

WorkspaceParameters ReadTemplate(Reader* reader) {
  WorkspaceParameters parameters;
  parameters.priority = ReadCount(reader, "priority", 0, 0, kLowestPriority);
  parameters.weight = ReadCount(reader, "weight", 1, 1, kMaxWeight);
  parameters.connection_share =
      ReadCount(reader, "connection_share", 1, 1, kMaxConnections);
  parameters.max_age = milliseconds(reader->Int("max_age_ms", 0, 0, kMaxAgeMs));
  reader->Finish();
  return parameters;
}

core::GroupSpec ReadGroup(const std::string& name, Reader* reader) {
  core::GroupSpec group;
  group.group = name;
  const std::vector<std::string> databases = reader->Strings("databases");
  CheckDatabases(reader, databases);
  for (const std::string& database : databases) {
    core::DatabaseSpec spec;
    spec.database = database;
    group.databases.push_back(spec);
  }
  group.slots = ReadCount(reader, "slots", group.slots, 1, kMaxConnections);
  group.connection_limit = ReadCount(
      reader, "connection_limit", group.connection_limit, 2, kMaxConnections);
  group.connection_reserve =
      ReadCount(reader, "connection_reserve", group.connection_reserve, 0,
                kMaxConnections);
  group.connect_time = milliseconds(
      reader->Int("connect_ms", group.connect_time.count(), 0, 60000));
  group.queue_limit =
      ReadCount(reader, "queue_limit", group.queue_limit, 1, 1000000);
  if (group.connection_reserve >= group.connection_limit) {
    reader->Report("connection_reserve", "leaves no connection for callers",
                   "less than connection_limit");
  }
  reader->Finish();
  return group;
}

WorkspaceDocument ReadWorkspace(Reader* reader) {
  WorkspaceDocument workspace;
  workspace.template_name = reader->RequiredString("template");
  workspace.group = reader->RequiredString("group");
  workspace.key_hash = reader->RequiredString("key_hash");
  workspace.key_salt = reader->RequiredString("key_salt");
  const bool hex = workspace.key_hash.find_first_not_of("0123456789abcdef") ==
                   std::string::npos;
  if (!hex || workspace.key_hash.size() != kHashDigits) {
    reader->Report("key_hash", "not a hash",
                   "64 lower-case hex digits, SHA-256 of salt and key");
  }
  if (workspace.key_salt.size() < kMinSaltBytes) {
    reader->Report("key_salt", "too short", "8 bytes or more");
  }
  reader->Object("parameters", [&workspace](Reader* parameters) {
    ReadParameters(parameters, &workspace);
  });
  reader->Finish();
  return workspace;
}

WorkspaceParameters ApplyOverrides(const WorkspaceParameters& base,
                                   const WorkspaceDocument& workspace) {
  WorkspaceParameters parameters = base;
  parameters.priority = workspace.priority.value_or(base.priority);
  parameters.weight = workspace.weight.value_or(base.weight);
  parameters.connection_share =
      workspace.connection_share.value_or(base.connection_share);
  parameters.max_age = workspace.max_age.value_or(base.max_age);
  return parameters;
}

uint32_t UsableConnections(const core::GroupSpec& group) {
  return group.connection_limit - group.connection_reserve;
}

}  // namespace ryefold::settings
