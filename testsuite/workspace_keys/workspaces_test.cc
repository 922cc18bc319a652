// Identification of callers by key across configuration changes.

#include "ryefold/core/workspace/workspaces.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>

namespace ryefold::core::workspace {
namespace {

Workspace MakeWorkspace(const std::string& name, std::vector<KeyDigest> keys) {
  Workspace workspace;
  workspace.name = name;
  workspace.keys = std::move(keys);
  return workspace;
}

WorkspaceTable MakeTable(const std::vector<Workspace>& workspaces) {
  WorkspaceTable table;
  table.keys_required = true;
  for (const Workspace& each : workspaces) table.workspaces[each.name] = each;
  return table;
}

TEST(Workspaces, NeedNoKeyWhereNoneIsConfigured) {
  Workspaces workspaces;
  const Identity identity = workspaces.Identify(false, {1, 2});
  EXPECT_TRUE(identity.accepted);
  EXPECT_EQ(identity.workspace, nullptr);
}

// Guards against accepting a caller whose key is not configured.
TEST(Workspaces, RefuseAnUnknownKey) {
  Workspaces workspaces;
  workspaces.Replace(MakeTable({MakeWorkspace("w", {{1, 1}})}));
  EXPECT_FALSE(workspaces.Identify(false, {1, 2}).accepted);
  EXPECT_FALSE(workspaces.Identify(false, {}).accepted);
  EXPECT_EQ(workspaces.Identify(false, {1, 1}).workspace->name, "w");
}

TEST(Workspaces, AcceptAnyKeyOnAPublicRoute) {
  Workspaces workspaces;
  workspaces.Replace(MakeTable({MakeWorkspace("w", {{1, 1}})}));
  EXPECT_TRUE(workspaces.Identify(true, {9, 9}).accepted);
  EXPECT_EQ(workspaces.Identify(true, {1, 1}).workspace, nullptr);
}

// Guards against a key that is removed or moved to another workspace while its
// sessions continue because `Replace` does not report the change.
TEST(Workspaces, ReportWhetherAKeyWasRemoved) {
  Workspaces workspaces;
  EXPECT_TRUE(
      workspaces.Replace(MakeTable({MakeWorkspace("w", {{1, 1}, {1, 2}})})));
  EXPECT_FALSE(workspaces.Replace(
      MakeTable({MakeWorkspace("w", {{1, 1}, {1, 2}, {1, 3}})})));
  EXPECT_TRUE(workspaces.Replace(MakeTable({MakeWorkspace("w", {{1, 1}})})));
  EXPECT_TRUE(workspaces.Replace(MakeTable({MakeWorkspace("v", {{1, 1}})})));
  EXPECT_TRUE(workspaces.Replace(MakeTable({})));
  EXPECT_FALSE(workspaces.Identify(false, {1, 1}).accepted);
}

// Guards against a change of one workspace being treated as a change of all.
TEST(Workspaces, KeepReferencesOfWhatDidNotChange) {
  Workspaces workspaces;
  workspaces.Replace(
      MakeTable({MakeWorkspace("v", {{1, 1}}), MakeWorkspace("w", {{2, 2}})}));
  const WorkspaceRef before = workspaces.Find("v");
  workspaces.Replace(
      MakeTable({MakeWorkspace("v", {{1, 1}}), MakeWorkspace("w", {{3, 3}})}));
  EXPECT_EQ(workspaces.Find("v"), before);
}

TEST(Workspaces, AFingerprintIsShort) {
  EXPECT_EQ(Fingerprint({0x0123456789abcdefULL, 5}), "01234567");
}

RC_GTEST_PROP(Workspaces, MatchAListOfKeysAndNames, ()) {
  const auto count = *rc::gen::inRange<uint64_t>(1, 60);
  std::map<uint64_t, std::string> owner;
  std::vector<Workspace> all;
  for (uint64_t i = 0; i < count; ++i) {
    const std::string name = "w" + std::to_string(i);
    std::vector<KeyDigest> keys;
    for (const uint64_t key : *rc::gen::container<std::set<uint64_t>>(
             rc::gen::arbitrary<uint64_t>())) {
      if (owner.emplace(key, name).second) keys.push_back({key, ~key});
    }
    all.push_back(MakeWorkspace(name, keys));
  }
  Workspaces workspaces;
  workspaces.Replace(MakeTable(all));
  for (const auto& [key, name] : owner) {
    RC_ASSERT(workspaces.Identify(false, {key, ~key}).workspace->name == name);
    RC_ASSERT(!workspaces.Identify(false, {key, key}).accepted);
  }
}

}  // namespace
}  // namespace ryefold::core::workspace
