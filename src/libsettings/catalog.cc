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

/// The same object without comments and blanks, members in order.
std::string Canonical(const std::string& text) {
  Json::CharReaderBuilder reading;
  const std::unique_ptr<Json::CharReader> reader(reading.newCharReader());
  Json::Value value;
  std::string problem;
  if (!reader->parse(text.data(), text.data() + text.size(), &value,
                     &problem)) {
    return text;
  }
  Json::StreamWriterBuilder writing;
  writing["indentation"] = "";
  writing["commentStyle"] = "None";
  return Json::writeString(writing, value);
}

/// Everything read from a set of documents, before they are joined.
struct Parts {
  std::map<std::string, Terms> templates;
  std::map<std::string, core::GroupSpec> groups;
  std::map<std::string, WorkspaceDocument> workspaces;
};

/// Tells what is wrong between one workspace and what it refers to.
/// `report` takes member, problem and what is allowed.
using Report = std::function<void(std::string_view, std::string, std::string)>;

template <class Map>
std::string NamesOf(const Map& map) {
  constexpr size_t kMost = 8;
  std::string names;
  size_t count = 0;
  for (const auto& [name, unused] : map) {
    if (++count > kMost) return names + ", ...";
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
  const uint32_t share = Combine(base->second, workspace).connection_share;
  const uint32_t usable = UsableConnections(group->second);
  if (share > usable) {
    report("",
           "connection_share " + std::to_string(share) +
               " exceeds the group's connections",
           "up to " + std::to_string(usable) +
               " (connection_limit less connection_reserve)");
  }
}

/// Databases of one list that the other lacks.
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

/// With two databases changed at once, a majority of the old set and one of
/// the new need not share a database: instances that still have the old list
/// could confirm writes which a promotion under the new list does not see, and
/// callers would lose what they were told is done.
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

void ReadOne(const std::string& key, Reader* reader, Parts* parts) {
  if (HasPrefix(key, kTemplate)) {
    parts->templates[key.substr(kTemplate.size())] = ReadTemplate(reader);
  } else if (HasPrefix(key, kGroup)) {
    const std::string name = key.substr(kGroup.size());
    parts->groups[name] = ReadGroup(name, reader);
  } else if (HasPrefix(key, kWorkspace)) {
    parts->workspaces[key.substr(kWorkspace.size())] = ReadWorkspace(reader);
  }
}

/// Reads published documents; one with findings is left out.
Parts ReadAll(const Documents& documents, Findings* findings) {
  Parts parts;
  for (const auto& [key, text] : documents) {
    wire::Document document(key, text, /*comments=*/true);
    Findings own;
    Reader reader(&document, &own);
    Parts read;
    if (document.ok()) ReadOne(key, &reader, &read);
    findings->insert(findings->end(), own.begin(), own.end());
    if (!own.empty()) continue;
    parts.templates.merge(read.templates);
    parts.groups.merge(read.groups);
    parts.workspaces.merge(read.workspaces);
  }
  return parts;
}

core::WorkspaceSpec Join(const std::string& name, const Terms& terms,
                         const WorkspaceDocument& workspace) {
  core::WorkspaceSpec spec;
  spec.policy.workspace = name;
  spec.policy.priority = terms.priority;
  spec.policy.weight = terms.weight;
  spec.policy.connection_share = terms.connection_share;
  spec.policy.max_age = terms.max_age;
  spec.group = workspace.group;
  spec.key_hash = workspace.key_hash;
  spec.key_salt = workspace.key_salt;
  return spec;
}

/// One of the three sections of an operators' file.
class Section {
 public:
  Section(std::string member, std::string_view prefix)
      : member_(std::move(member)), prefix_(prefix) {}

  /// Reads the section's objects into `parts` and their texts into
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
      ReadOne(prefix_ + name, reader, parts);
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
  // What is published already was checked then; the file goes before it.
  Findings published;
  Parts all = parts;
  Parts before = ReadAll(base, &published);
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
  const Parts parts = ReadAll(documents, findings);
  catalog.groups = parts.groups;
  for (const auto& [name, workspace] : parts.workspaces) {
    const std::string key = std::string(kWorkspace) + name;
    bool sound = true;
    CheckReferences(
        parts, workspace,
        [&](std::string_view member, std::string problem, std::string allowed) {
          // A share that is too large is served as far as it goes.
          sound = sound && member.empty();
          findings->push_back({key, 0, 0, std::string(member),
                               std::move(problem), std::move(allowed)});
        });
    if (!sound) continue;
    const Terms& base = parts.templates.at(workspace.template_name);
    catalog.workspaces[name] = Join(name, Combine(base, workspace), workspace);
  }
  return catalog;
}

}  // namespace ryefold::settings
