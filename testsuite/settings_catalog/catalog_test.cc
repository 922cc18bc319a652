#include "ryefold/settings/catalog.h"

#include <gtest/gtest.h>

#include <string>

namespace ryefold::settings {
namespace {

const std::string& Hash() {
  static const auto* const hash =
      new std::string(HashKey("salt-salt", "secret"));
  return *hash;
}

std::string File(const std::string& workspace) {
  return R"({
  "templates": {"gold": {"priority": 0, "weight": 4, "connection_share": 6}},
  "groups": {"cards": {"databases": ["a", "b", "c"], "connection_limit": 20,
                       "connection_reserve": 6}},
  "workspaces": {"gates": )" +
         workspace + "}}";
}

std::string Workspace(const std::string& rest) {
  return R"({"template": "gold", "group": "cards", "key_hash": ")" + Hash() +
         R"(", "key_salt": "salt-salt")" + rest + "}";
}

TEST(Catalog, FileBecomesDocumentsAndTheseACatalog) {
  wire::Findings findings;
  const Documents documents = ParseDocuments(
      "ops.json", File(Workspace(R"(, "parameters": {"max_age_ms": 5000})")),
      {}, &findings);
  ASSERT_TRUE(findings.empty()) << wire::ToJson(findings);
  EXPECT_EQ(documents.size(), 3U);
  EXPECT_EQ(documents.at("template/gold"),
            R"({"connection_share":6,"priority":0,"weight":4})");
  const core::Catalog catalog = Resolve(documents, &findings);
  EXPECT_TRUE(findings.empty()) << wire::ToJson(findings);
  EXPECT_EQ(catalog.groups.at("cards").databases.size(), 3U);
  const core::WorkspaceSpec& gates = catalog.workspaces.at("gates");
  EXPECT_EQ(gates.policy.weight, 4U);
  EXPECT_EQ(gates.policy.max_age, std::chrono::milliseconds(5000));
  EXPECT_TRUE(KeysEqual(gates.key_hash, HashKey(gates.key_salt, "secret")));
  EXPECT_FALSE(KeysEqual(gates.key_hash, HashKey(gates.key_salt, "Secret")));
}

TEST(Catalog, ReferencesMayBeToPublishedDocuments) {
  const std::string file =
      R"({"workspaces": {"gates": )" + Workspace("") + "}}";
  wire::Findings findings;
  ParseDocuments("ops.json", file, {}, &findings);
  EXPECT_EQ(findings.size(), 2U) << wire::ToJson(findings);
  findings.clear();
  const Documents base = {
      {"template/gold", "{}"},
      {"group/cards", R"({"databases":["a"]})"},
  };
  ParseDocuments("ops.json", file, base, &findings);
  EXPECT_TRUE(findings.empty()) << wire::ToJson(findings);
}

TEST(Catalog, FindingsCarryThePlaceInTheFile) {
  wire::Findings findings;
  ParseDocuments("ops.json", File(R"({"template": "glod", "group": "cards",
  "key_hash": "xyz", "key_salt": "salt-salt",
  "parameters": {"weight": 0, "colour": "red"}})"),
                 {}, &findings);
  ASSERT_EQ(findings.size(), 4U) << wire::ToJson(findings);
  for (const wire::Finding& finding : findings) {
    EXPECT_EQ(finding.source, "ops.json");
    EXPECT_GE(finding.line, 5) << wire::ToText(finding);
  }
}

TEST(Catalog, ShareBeyondTheConnectionsIsAFinding) {
  wire::Findings findings;
  ParseDocuments("ops.json",
                 File(Workspace(R"(, "parameters": {"connection_share": 15})")),
                 {}, &findings);
  ASSERT_EQ(findings.size(), 1U) << wire::ToJson(findings);
  EXPECT_NE(findings[0].problem.find("exceeds"), std::string::npos);
}

// An operator replaces a database in one step. Instances with the old list
// count a majority of the old three databases, the others one of the new three,
// and the two need not share a database: a promotion could lose an acknowledged
// write.
TEST(Catalog, DatabasesOfAGroupChangeOneAtATime) {
  const Documents base = {{"group/cards", R"({"databases":["a","b","c"]})"}};
  const auto findings_of = [&base](const std::string& databases) {
    wire::Findings findings;
    ParseDocuments("ops.json",
                   R"({"groups": {"cards": {"databases": )" + databases + "}}}",
                   base, &findings);
    return findings;
  };
  EXPECT_TRUE(findings_of(R"(["c", "b", "a"])").empty());
  EXPECT_TRUE(findings_of(R"(["a", "b", "c", "d"])").empty());
  EXPECT_TRUE(findings_of(R"(["a", "b"])").empty());
  EXPECT_EQ(findings_of(R"(["b", "c", "d"])").size(), 1U);
  EXPECT_EQ(findings_of(R"(["a"])").size(), 1U);
  EXPECT_EQ(findings_of(R"(["a", "b", "c", "d", "e"])").size(), 1U);
}

// A template is deleted concurrently with a new workspace that uses it. Only
// that workspace may be affected.
TEST(Catalog, OneBrokenDocumentLeavesTheOthersInForce) {
  wire::Findings findings;
  Documents documents =
      ParseDocuments("ops.json", File(Workspace("")), {}, &findings);
  documents["workspace/lost"] =
      R"({"template":"gone","group":"cards","key_hash":")" + Hash() +
      R"(","key_salt":"salt-salt"})";
  documents["group/odd"] = "{ not json";
  const core::Catalog catalog = Resolve(documents, &findings);
  EXPECT_EQ(catalog.workspaces.count("gates"), 1U);
  EXPECT_EQ(catalog.workspaces.count("lost"), 0U);
  EXPECT_EQ(catalog.groups.count("cards"), 1U);
  EXPECT_EQ(catalog.groups.count("odd"), 0U);
  EXPECT_GE(findings.size(), 2U);
}

}  // namespace
}  // namespace ryefold::settings
