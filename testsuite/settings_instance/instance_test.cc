#include "ryefold/settings/instance.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace ryefold::settings {
namespace {

constexpr const char* kCompleteSettings = R"({
  // comment
  "name": "entry-1", "failure_domain": "leuven", "region": "belgium",
  "caller_address": "127.0.0.1:6400", "peer_address": "127.0.0.1:6401",
  "platform": ["127.0.0.1:7000"], "admin_key": "long enough"
})";

std::set<std::string> PathsOf(const wire::Findings& findings) {
  std::set<std::string> paths;
  for (const wire::Finding& finding : findings) paths.insert(finding.path);
  return paths;
}

TEST(InstanceSettings, ReadsCommentsAndKeepsDefaults) {
  wire::Findings findings;
  const InstanceSettings settings =
      ParseInstanceSettings("a.json", kCompleteSettings, &findings);
  EXPECT_TRUE(findings.empty()) << wire::ToJson(findings);
  EXPECT_EQ(settings.name, "entry-1");
  EXPECT_EQ(settings.platform.size(), 1U);
  EXPECT_EQ(settings.drain_notice, std::chrono::milliseconds(1000));
  EXPECT_EQ(settings.keeper.lost_after, core::group::KeeperTiming{}.lost_after);
}

TEST(InstanceSettings, ReportsAllProblemsAtOnceWithTheirPlaces) {
  wire::Findings findings;
  ParseInstanceSettings("a.json", R"({
  "name": "has blanks", "failure_domain": "", "region": 7,
  "caller_address": "localhost", "peer_address": "127.0.0.1:70000",
  "platform": [], "admin_key": "short", "limits": {"max_body_bytes": 3},
  "detection": {"lost_after_ms": 100}, "colour": 1
})",
                        &findings);
  const std::set<std::string> paths = PathsOf(findings);
  for (const char* path : {"name", "region", "caller_address", "peer_address",
                           "platform", "admin_key", "limits.max_body_bytes",
                           "detection.lost_after_ms", "colour"}) {
    EXPECT_EQ(paths.count(path), 1U) << path << wire::ToJson(findings);
  }
  for (const wire::Finding& finding : findings) {
    EXPECT_GT(finding.line, 0) << wire::ToText(finding);
    EXPECT_FALSE(finding.allowed.empty()) << wire::ToText(finding);
  }
}

TEST(InstanceSettings, AddressesAreNumeric) {
  EXPECT_TRUE(IsAddress("10.0.0.5:6400"));
  EXPECT_FALSE(IsAddress("10.0.0.5"));
  EXPECT_FALSE(IsAddress("10.0.0.5:"));
  EXPECT_FALSE(IsAddress("10.0.0.5:0"));
  EXPECT_FALSE(IsAddress("10.0.0.5:65536"));
  EXPECT_FALSE(IsAddress("10.0.0:80"));
  EXPECT_FALSE(IsAddress("host:80"));
  EXPECT_FALSE(IsAddress("1.2.3.4:8a"));
}

// Operators find settings through the documentation page. This test reads the
// page, so that it stays complete.
TEST(InstanceSettings, ThePageNamesEverySetting) {
  std::ifstream file("docs/SETTINGS.md");
  std::stringstream text;
  text << file.rdbuf();
  const std::string page = text.str();
  for (const char* name : {"name",
                           "failure_domain",
                           "region",
                           "caller_address",
                           "peer_address",
                           "platform",
                           "seeds",
                           "admin_key",
                           "max_body_bytes",
                           "max_header_bytes",
                           "receive_timeout_ms",
                           "idle_timeout_ms",
                           "max_connections",
                           "drain_notice_ms",
                           "status_wait_ms",
                           "status_grace_ms",
                           "lost_after_ms",
                           "unconfirmed_after_ms",
                           "proposal_retry_ms",
                           "proposal_call_ms",
                           "databases",
                           "slots",
                           "connection_limit",
                           "connection_reserve",
                           "connect_ms",
                           "queue_limit",
                           "priority",
                           "weight",
                           "connection_share",
                           "max_age_ms",
                           "template",
                           "group",
                           "key_hash",
                           "key_salt",
                           "parameters"}) {
    EXPECT_NE(page.find("`" + std::string(name) + "`"), std::string::npos)
        << name;
  }
}

}  // namespace
}  // namespace ryefold::settings
