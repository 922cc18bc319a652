#include "ryefold/settings/catalog.h"

#include <json/json.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "document_parts.h"
#include "ryefold/wire/document.h"

namespace ryefold::settings {
namespace {

using wire::Findings;
using wire::Reader;

constexpr std::string_view kTemplate = "template/";
constexpr std::string_view kGroup = "group/";
constexpr std::string_view kWorkspace = "workspace/";
constexpr size_t kMaxName = 64;

bool HasPrefix(const std::string& key, std::string_view prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

/// Returns the same object without comments and white space, members sorted.
std::string Canonical(const std::string& text) {
  Json::CharReaderBuilder reader_builder;
  const std::unique_ptr<Json::CharReader> reader(
      reader_builder.newCharReader());
  Json::Value value;
  std::string problem;
  if (!reader->parse(text.data(), text.data() + text.size(), &value,
                     &problem)) {
    return text;
  }
  Json::StreamWriterBuilder writer_builder;
  writer_builder["indentation"] = "";
  writer_builder["commentStyle"] = "None";
  return Json::writeString(writer_builder, value);
}

/// The contents of a set of documents, before templates are applied.
struct Parts {
  std::map<std::string, WorkspaceParameters> templates;
  std::map<std::string, core::GroupSpec> groups;
  std::map<std::string, WorkspaceDocument> workspaces;
};

/// Reports a problem between a workspace and the documents it refers to, as
/// member, problem and allowed values.
using Report = std::function<void(std::string_view, std::string, std::string)>;

template <class Map>
std::string NamesOf(const Map& map) {
  constexpr size_t kMaxNames = 8;
  std::string names;
  size_t count = 0;
  for (const auto& [name, value] : map) {
    if (++count > kMaxNames) return names + ", ...";
    names += (names.empty() ? "" : ", ") + name;
  }
  return names.empty() ? "none is there yet" : "one of: " + names;
}

void CheckReferences(const Parts& parts, const WorkspaceDocument& workspace,
                     const Report& report) {
  const auto base = parts.templates.find(workspace.template_name);
  if (base == parts.templates.end()) {
    report("template", "no template \"" + workspace.template_name + "\"",
           NamesOf(parts.templates));
  }
  const auto group = parts.groups.find(workspace.group);
  if (group == parts.groups.end()) {
    report("group", "no group \"" + workspace.group + "\"",
           NamesOf(parts.groups));
  }
  if (base == parts.templates.end() || group == parts.groups.end()) return;
  const uint32_t share =
      ApplyOverrides(base->second, workspace).connection_share;
  const uint32_t usable = UsableConnections(group->second);
  if (share > usable) {
    report("",
           "connection_share " + std::to_string(share) +
               " exceeds the group's connections",
           "up to " + std::to_string(usable) +
               " (connection_limit less connection_reserve)");
  }
}

/// Returns the number of databases in `from` that are not in `in`.
size_t CountMissing(const std::vector<core::DatabaseSpec>& from,
                    const std::vector<core::DatabaseSpec>& in) {
  return static_cast<size_t>(std::count_if(
      from.begin(), from.end(), [&in](const core::DatabaseSpec& spec) {
        return std::none_of(in.begin(), in.end(),
                            [&spec](const core::DatabaseSpec& other) {
                              return other.database == spec.database;
                            });
      }));
}

/// Reports more than one changed database: a majority of the old set and one of
/// the new need not share a database then. Instances that still use the old
/// list could confirm writes that a promotion under the new list does not find,
/// and acknowledged writes would be lost.
void CheckDatabaseChange(const core::GroupSpec& before,
                         const core::GroupSpec& after, Reader* reader) {
  const size_t changed = CountMissing(before.databases, after.databases) +
                         CountMissing(after.databases, before.databases);
  if (changed <= 1) return;
  reader->Report("databases",
                 "changes " + std::to_string(changed) + " databases at once",
                 "one added or one removed; publish the next change once the "
                 "group is level");
}

void ReadDocument(const std::string& key, Reader* reader, Parts* parts) {
  if (HasPrefix(key, kTemplate)) {
    parts->templates[key.substr(kTemplate.size())] = ReadTemplate(reader);
  } else if (HasPrefix(key, kGroup)) {
    const std::string name = key.substr(kGroup.size());
    parts->groups[name] = ReadGroup(name, reader);
  } else if (HasPrefix(key, kWorkspace)) {
    parts->workspaces[key.substr(kWorkspace.size())] = ReadWorkspace(reader);
  }
}

/// Reads published documents; a document with findings is left out.
Parts ReadDocuments(const Documents& documents, Findings* findings) {
  Parts parts;
  for (const auto& [key, text] : documents) {
    wire::Document document(key, text, /*comments=*/true);
    Findings document_findings;
    Reader reader(&document, &document_findings);
    Parts read;
    if (document.ok()) ReadDocument(key, &reader, &read);
    findings->insert(findings->end(), document_findings.begin(),
                     document_findings.end());
    if (!document_findings.empty()) continue;
    parts.templates.merge(read.templates);
    parts.groups.merge(read.groups);
    parts.workspaces.merge(read.workspaces);
  }
  return parts;
}

core::WorkspaceSpec MakeWorkspaceSpec(const std::string& name,
                                      const WorkspaceParameters& parameters,
                                      const WorkspaceDocument& workspace) {
  core::WorkspaceSpec spec;
  spec.policy.workspace = name;
  spec.policy.priority = parameters.priority;
  spec.policy.weight = parameters.weight;
  spec.policy.connection_share = parameters.connection_share;
  spec.policy.max_age = parameters.max_age;
  spec.group = workspace.group;
  spec.key_hash = workspace.key_hash;
  spec.key_salt = workspace.key_salt;
  return spec;
}

class Section {
 public:
  Section(std::string member, std::string_view prefix)
      : member_(std::move(member)), prefix_(prefix) {}

  /// Reads the section's objects into `parts` and their canonical texts into
  /// `documents`.
  void Read(Reader* root, Parts* parts, Documents* documents) const {
    std::vector<std::string> names;
    root->Members(member_, [&](const std::string& name, Reader* reader) {
      if (name.empty() || name.size() > kMaxName ||
          name.find_first_of("~/\" \n") != std::string::npos) {
        reader->Report("", "\"" + name + "\" is not a name",
                       "1 to 64 bytes without blanks, quotes, '~' and '/'");
      }
      names.push_back(name);
      ReadDocument(prefix_ + name, reader, parts);
    });
    root->Object(member_, [&](Reader* section) {
      for (const std::string& name : names) {
        (*documents)[prefix_ + name] =
            Canonical(section->RawObject(name, "{}"));
      }
    });
  }

 private:
  std::string member_;
  std::string prefix_;
};

}  // namespace

Documents ParseDocuments(const std::string& source, const std::string& text,
                         const Documents& base, Findings* findings) {
  Documents documents;
  wire::Document document(source, text, /*comments=*/true);
  Reader root(&document, findings);
  if (!document.ok()) return documents;
  Parts parts;
  Section("templates", kTemplate).Read(&root, &parts, &documents);
  Section("groups", kGroup).Read(&root, &parts, &documents);
  Section("workspaces", kWorkspace).Read(&root, &parts, &documents);
  root.Finish();
  // Published documents were checked when they were published. Documents in the
  // file take precedence over them.
  Findings published;
  Parts all = parts;
  Parts before = ReadDocuments(base, &published);
  root.Members("groups", [&](const std::string& name, Reader* reader) {
    const auto old = before.groups.find(name);
    if (old == before.groups.end()) return;
    CheckDatabaseChange(old->second, parts.groups[name], reader);
  });
  all.templates.merge(before.templates);
  all.groups.merge(before.groups);
  root.Members("workspaces", [&](const std::string& name, Reader* reader) {
    CheckReferences(all, parts.workspaces[name],
                    [reader](std::string_view member, std::string problem,
                             std::string allowed) {
                      reader->Report(member, std::move(problem),
                                     std::move(allowed));
                    });
  });
  return documents;
}

core::Catalog Resolve(const Documents& documents, Findings* findings) {
  core::Catalog catalog;
  const Parts parts = ReadDocuments(documents, findings);
  catalog.groups = parts.groups;
  for (const auto& [name, workspace] : parts.workspaces) {
    const std::string key = std::string(kWorkspace) + name;
    bool valid = true;
    CheckReferences(
        parts, workspace,
        [&](std::string_view member, std::string problem, std::string allowed) {
          // A connection share that is too large is limited to the available
          // connections.
          valid = valid && member.empty();
          findings->push_back({key, 0, 0, std::string(member),
                               std::move(problem), std::move(allowed)});
        });
    if (!valid) continue;
    const WorkspaceParameters& base =
        parts.templates.at(workspace.template_name);
    catalog.workspaces[name] =
        MakeWorkspaceSpec(name, ApplyOverrides(base, workspace), workspace);
  }
  return catalog;
}

}  // namespace ryefold::settings
