// Decoding of store entries, including entries that other programs write below
// the databases' prefix.

#include "platform/directory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "platform/key_digest.h"
#include "platform/records.h"

namespace ryefold::platform {
namespace {

constexpr const char* kValidEntry =
    R"({"service":"g","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":5,"state":"ready","cold_left_ms":0,"db_role":"replica",)"
    R"("sequence":4,"born":1764720000000})";

/// Records what the directory reports and logs.
class RecordingListener : public core::session::DirectoryListener,
                          public core::EventSink {
 public:
  void OnRoutes(core::TimePoint /*now*/,
                const core::session::RouteTable& table) override {
    routes = table;
  }
  void OnRosterChange(core::TimePoint /*now*/,
                      const core::session::RosterChange& change) override {
    for (const auto& [id, database] : change.listed) roster[id] = database;
    for (const std::string& id : change.unlisted) roster.erase(id);
    ++reports;
    reported += change.listed.size() + change.unlisted.size();
  }
  bool IsEnabled(core::EventPriority /*weight*/) override { return true; }
  void Write(core::EventPriority /*weight*/, std::string_view line) override {
    lines.emplace_back(line);
  }

  core::session::RouteTable routes;
  core::session::Roster roster;
  /// Changes of the roster, and databases in them.
  size_t reports = 0;
  size_t reported = 0;
  std::vector<std::string> lines;
};

/// Returns the valid entry with one value replaced.
std::string ReplaceValue(const std::string& value, const std::string& by) {
  std::string text = kValidEntry;
  return text.replace(text.find(":" + value) + 1, value.size(), by);
}

core::mirror::Entry MakeEntry(const std::string& key, const std::string& value,
                              uint64_t revision) {
  core::mirror::Entry entry;
  entry.key = key;
  entry.value = value;
  entry.revision = revision;
  return entry;
}

class DirectoryTest : public testing::Test {
 protected:
  void Put(const std::string& key, const std::string& value) {
    items_[key] = MakeEntry(key, value, ++revision_);
    directory_.OnEntriesChanged({{key, items_[key]}});
  }
  void Delete(const std::string& key) {
    core::mirror::Entry entry = items_.extract(key).mapped();
    entry.deleted = true;
    entry.revision = ++revision_;
    directory_.OnEntriesChanged({{key, entry}});
  }

  RecordingListener listener_;
  Directory directory_{&listener_, &listener_};
  core::mirror::EntryMap items_;
  uint64_t revision_ = 0;
};

// Guards against using databases from invalid entries of other programs:
// missing members, wrong types, unknown values, or bytes that are not text.
// Valid databases must stay in use.
TEST_F(DirectoryTest, InvalidEntriesAreSkipped) {
  Put("servers/sound", kValidEntry);
  std::string null_byte = "{\"service\":\"g";
  null_byte.push_back('\0');
  const std::vector<std::string> invalid = {
      "",
      "null",
      "[]",
      "7",
      null_byte,
      "\xff\xfe\x80\x81",
      std::string(100000, '['),
      std::string(1 << 20, 'x'),
      R"({"service":"g","address":"a:1"})",
      R"({"service":7,"address":"a:1","state":"ready","db_role":"replica"})",
      R"({"service":"g","address":["a"],"state":"ready","db_role":"replica"})",
      R"({"service":"g","address":"a:1","state":"odd","db_role":"replica"})",
      R"({"service":"g","address":"a:1","state":"ready","db_role":"king"})",
      ReplaceValue("5", "\"many\""),
      ReplaceValue("1764720000000", "\"yesterday\"")};
  for (size_t i = 0; i < invalid.size(); ++i) {
    Put("servers/foreign-" + std::to_string(i), invalid[i]);
    EXPECT_EQ(listener_.roster.size(), 1U) << invalid[i].substr(0, 80);
  }
  EXPECT_EQ(listener_.roster.at("sound").group, "g");
  EXPECT_EQ(listener_.lines.size(), invalid.size());
  for (const std::string& line : listener_.lines) {
    EXPECT_LT(line.size(), 400U);
    EXPECT_EQ(line.find('\n'), std::string::npos);
  }
}

// Guards against flooding the log: databases report several times a second, and
// an invalid entry is decoded again each time.
TEST_F(DirectoryTest, LogsAnInvalidEntryOnce) {
  Put("servers/foreign", "{}");
  for (int i = 0; i < 50; ++i) Put("servers/sound", kValidEntry);
  EXPECT_EQ(listener_.lines.size(), 1U);
  Put("servers/foreign", "{ }");
  EXPECT_EQ(listener_.lines.size(), 2U);
}

// Guards against replacing a valid configuration by an unreadable one.
TEST_F(DirectoryTest, KeepsTheConfigurationThatItCouldRead) {
  Put("op/config", R"({"version":3,"routes":[],"services":[]})");
  Put("op/config", R"({"version":4,"routes":"none"})");
  Put("op/config", "\x01\x02");
  EXPECT_EQ(listener_.routes.version, 3U);
}

// Guards against work in proportion to all databases for each one that changes:
// on a large fleet decoding them took longer than the changes were apart.
TEST_F(DirectoryTest, ReportsOnlyTheDatabasesThatChanged) {
  for (const size_t count : {250U, 2000U}) {
    for (size_t i = 0; i < count; ++i) {
      Put("servers/" + std::to_string(i), kValidEntry);
    }
    const size_t before = listener_.reported;
    Put("servers/7", ReplaceValue("5", "6"));
    EXPECT_EQ(listener_.reported - before, 1U) << count;
    EXPECT_EQ(listener_.roster.size(), count);
    EXPECT_EQ(listener_.roster.at("7").slots, 6U);
  }
}

// Guards against a database that stays in use after its entry is gone or has
// become unreadable.
TEST_F(DirectoryTest, ReportsDatabasesThatAreNoLongerListed) {
  for (const char* key : {"servers/a", "servers/b", "servers/c"}) {
    Put(key, kValidEntry);
  }
  Delete("servers/a");
  Put("servers/b", "{}");
  EXPECT_EQ(listener_.roster.size(), 1U);
  EXPECT_EQ(listener_.roster.count("c"), 1U);
}

// Guards against an instance that waits for its databases for ever where there
// are none yet.
TEST_F(DirectoryTest, ReportsAnEmptyListOnce) {
  Put("op/config", R"({"version":3,"routes":[],"services":[]})");
  EXPECT_EQ(listener_.reports, 1U);
  Put("op/config", R"({"version":4,"routes":[],"services":[]})");
  EXPECT_EQ(listener_.reports, 1U);
}

TEST(Records, CarryTheStartOfADatabase) {
  wire::Findings findings;
  const auto database = DecodeDatabase("i-1", kValidEntry, &findings);
  EXPECT_TRUE(findings.empty());
  EXPECT_EQ(database.started_at.time_since_epoch().count(), 1764720000000);
}

constexpr const char* kConfigWithWorkspaces =
    R"({"version":7,"routes":[{"name":"r","host":"open","service":"g",)"
    R"("public":true},{"name":"s","host":"closed","service":"g"}],)"
    R"("services":[{"name":"g"}],"tenants":[{"name":"acme","priority":1,)"
    R"("api_keys":["secret-of-acme","other-secret"],"rate_per_s":163,)"
    R"("burst":20},{"name":"free","api_keys":[]}]})";

TEST(Records, CarryWorkspacesWithKeysAndLimits) {
  wire::Findings findings;
  const auto table = DecodeRouteTable(kConfigWithWorkspaces, &findings);
  ASSERT_TRUE(findings.empty());
  EXPECT_TRUE(table.routes.at("open").open_to_all);
  EXPECT_FALSE(table.routes.at("closed").open_to_all);
  EXPECT_TRUE(table.workspaces.keys_required);
  const auto& acme = table.workspaces.workspaces.at("acme");
  EXPECT_EQ(acme.priority, 1U);
  ASSERT_TRUE(acme.limit.has_value());
  EXPECT_EQ(acme.limit->rate, 163);
  EXPECT_EQ(acme.limit->burst, 20);
  ASSERT_EQ(acme.keys.size(), 2U);
  EXPECT_EQ(acme.keys[0], DigestOfKey("secret-of-acme"));
  EXPECT_FALSE(table.workspaces.workspaces.at("free").limit.has_value());
}

// Guards against requiring keys, and so refusing all callers, where no
// workspaces are configured.
TEST(Records, NeedNoKeysWithoutWorkspaces) {
  wire::Findings findings;
  const auto table =
      DecodeRouteTable(R"({"version":7,"routes":[],"services":[]})", &findings);
  EXPECT_FALSE(table.workspaces.keys_required);
}

// Guards against disclosing callers' keys in the log.
TEST(Records, LeaveNoKeyInTheLog) {
  RecordingListener listener;
  Directory directory(&listener, &listener);
  std::string broken = kConfigWithWorkspaces;
  broken.replace(broken.find("163"), 3, "\"secret-of-acme\"");
  for (const std::string& text : {std::string(kConfigWithWorkspaces), broken}) {
    const core::mirror::EntryMap items = {
        {"op/config", MakeEntry("op/config", text, text.size())}};
    directory.OnEntriesChanged(items);
  }
  EXPECT_FALSE(listener.lines.empty());
  for (const std::string& line : listener.lines) {
    EXPECT_EQ(line.find("secret"), std::string::npos) << line;
  }
}

RC_GTEST_PROP(DirectoryProperty, AnInvalidEntryDoesNotAffectOthers,
              (const std::vector<std::pair<uint16_t, uint8_t>>& changes)) {
  // A valid entry with random bytes changed, next to an unchanged one.
  std::string text = kValidEntry;
  for (const auto& [place, byte] : changes) {
    text[place % text.size()] = static_cast<char>(byte);
  }
  RecordingListener listener;
  Directory directory(&listener, &listener);
  const core::mirror::EntryMap items = {
      {"servers/a", MakeEntry("servers/a", text, 1)},
      {"servers/b", MakeEntry("servers/b", kValidEntry, 2)}};
  directory.OnEntriesChanged(items);
  RC_ASSERT(listener.roster.count("b") == 1U);
  if (listener.roster.count("a") == 0) {
    RC_ASSERT(listener.lines.size() == 1U);
  }
}

}  // namespace
}  // namespace ryefold::platform
