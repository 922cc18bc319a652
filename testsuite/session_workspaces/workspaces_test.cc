// Callers of several workspaces in virtual time: workspace isolation of
// database connections, and the effects of a removed key.

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "testsuite/session_proxy/proxy_fixture.h"

namespace ryefold::testsuite {
namespace {

using core::workspace::KeyDigest;
using core::workspace::Workspace;

constexpr KeyDigest kKeyOfV{1, 1};
constexpr KeyDigest kOtherKeyOfV{1, 2};
constexpr KeyDigest kKeyOfW{2, 1};
constexpr KeyDigest kUnlistedKey{9, 9};

class WorkspacesTest : public ProxyTest {
 protected:
  RouteTable MakeRoutes(uint64_t version, std::vector<KeyDigest> keys_of_v) {
    RouteTable table = TestRoutes(fleet_.connection_limit);
    table.version = version;
    table.routes["open"] = table.routes["primary"];
    table.routes["open"].name = "open";
    table.routes["open"].open_to_all = true;
    table.workspaces.keys_required = true;
    table.workspaces.workspaces["v"] = {"v", 0, std::nullopt,
                                        std::move(keys_of_v)};
    table.workspaces.workspaces["w"] = {"w", 0, std::nullopt, {kKeyOfW}};
    return table;
  }
  void CreateInstancesWithWorkspaces(uint32_t instances) {
    fleet_.routes = MakeRoutes(2, {kKeyOfV, kOtherKeyOfV});
    CreateInstances(instances);
  }
  void SetRoutesOnAll(const RouteTable& table) {
    for (const auto& host : hosts_) SetRoutes(host.get(), table);
  }
  void SetRoutes(InstanceHost* host, const RouteTable& table) {
    host->proxy()->OnRoutes(clock_.now(), table);
  }
  void StartSessionWithKey(size_t host, CallerId caller, const KeyDigest& key,
                           const std::string& route = "primary") {
    hosts_[host]->proxy()->CallerStarted(clock_.now(), caller, route, key);
  }
  void OnClosed(CallerId caller, ErrorCode error) override {
    closed_[caller] = error;
  }
  /// Checks that every statement was sent on a connection of the workspace that
  /// its text names as the item; "-" stands for no workspace.
  void CheckConnectionWorkspaces() {
    for (const auto& host : hosts_) {
      for (const auto& [text, workspace] : host->sent_statements()) {
        const std::string item = text.substr(text.find(' ') + 1, 1);
        EXPECT_EQ(workspace, item == "-" ? "" : item) << text;
      }
    }
  }

  std::map<CallerId, ErrorCode> closed_;
};

// A caller whose key is not configured must be refused, except on a route that
// is open to all.
TEST_F(WorkspacesTest, RefuseAnUnknownKeyAtOnce) {
  CreateInstancesWithWorkspaces(1);
  StartSessionWithKey(0, 1, kUnlistedKey);
  EXPECT_EQ(closed_.at(1), ErrorCode::kUnknownKey);
  StartSessionWithKey(0, 2, kUnlistedKey, "open");
  EXPECT_TRUE(hosts_[0]->accepted(2));
}

// A statement must not run on a connection that was opened for another
// workspace.
TEST_F(WorkspacesTest, NeverShareAConnection) {
  CreateInstancesWithWorkspaces(1);
  for (CallerId caller = 1; caller <= 9; ++caller) {
    const KeyDigest keys[] = {kKeyOfV, kKeyOfW, kUnlistedKey};
    StartSessionWithKey(0, caller, keys[caller % 3],
                        caller % 3 == 2 ? "open" : "primary");
  }
  for (int round = 0; round < 40; ++round) {
    const CallerId caller = 1 + round * 7 % 9;
    const char* items[] = {"v", "w", "-"};
    Execute(0, caller, StatementKind::kRead,
            std::string("READ ") + items[caller % 3]);
  }
  CheckConnectionWorkspaces();
}

// The same when statements are forwarded to keepers: the workspace must be
// forwarded with the statement.
TEST_F(WorkspacesTest, NeverShareAConnectionOfAKeeper) {
  fleet_.connection_limit = 5;
  CreateInstancesWithWorkspaces(6);
  for (CallerId caller = 1; caller <= 18; ++caller) {
    StartSessionWithKey(caller % 6, caller,
                        caller % 2 == 0 ? kKeyOfV : kKeyOfW);
  }
  for (int round = 0; round < 60; ++round) {
    const CallerId caller = 1 + round * 7 % 18;
    EXPECT_EQ(Execute(caller % 6, caller, StatementKind::kRead,
                      caller % 2 == 0 ? "READ v" : "READ w"),
              ErrorCode::kNone);
  }
  EXPECT_GT(fleet_.forwarded_count, 10U);
  CheckConnectionWorkspaces();
}

// An instance has connections for a few workspaces and callers of more. Callers
// without a free connection must not wait forever.
TEST_F(WorkspacesTest, ManyWorkspacesTakeTurns) {
  fleet_.routes = MakeRoutes(2, {kKeyOfV});
  for (uint64_t i = 0; i < 30; ++i) {
    Workspace workspace;
    workspace.name = "x" + std::to_string(i);
    workspace.keys = {{100 + i, 0}};
    fleet_.routes->workspaces.workspaces[workspace.name] = workspace;
  }
  CreateInstances(1);
  for (CallerId caller = 1; caller <= 30; ++caller) {
    StartSessionWithKey(0, caller, {99 + caller, 0});
  }
  for (int round = 0; round < 3; ++round) {
    for (CallerId caller = 1; caller <= 30; ++caller) {
      Send(0, caller, StatementKind::kRead, "READ k");
    }
    RunFor(1000);
    for (CallerId caller = 1; caller <= 30; ++caller) {
      ASSERT_EQ(replies_.count(caller), 1U) << caller;
    }
  }
}

// A read that waits for its workspace's first connection must open only one.
// Opening one at every database would take a connection slot on each.
TEST_F(WorkspacesTest, AWaitingReadOpensOneConnection) {
  fleet_.connection_limit = 140;
  fleet_.routes = MakeRoutes(2, {});
  for (uint64_t i = 0; i < 6; ++i) {
    Workspace workspace;
    workspace.name = "x" + std::to_string(i);
    workspace.keys = {{100 + i, 0}};
    fleet_.routes->workspaces.workspaces[workspace.name] = workspace;
  }
  CreateInstances(1);
  StartSessionWithKey(0, 50, kUnlistedKey, "open");
  EXPECT_EQ(Write(0, 50), ErrorCode::kNone);
  replies_.clear();
  const uint32_t before = hosts_[0]->opened_connections();
  for (CallerId caller = 1; caller <= 6; ++caller) {
    StartSessionWithKey(0, caller, {99 + caller, 0}, "bounded");
    Send(0, caller, StatementKind::kRead, "READ k");
    RunFor(3);
  }
  RunFor(200);
  EXPECT_EQ(replies_.size(), 6U);
  EXPECT_EQ(hosts_[0]->opened_connections() - before, 6U);
}

// A key is removed while its session is idle: the session must be closed.
// Sessions under other keys of the workspace continue.
TEST_F(WorkspacesTest, ARemovedKeyClosesAnIdleSession) {
  CreateInstancesWithWorkspaces(1);
  StartSessionWithKey(0, 1, kKeyOfV);
  StartSessionWithKey(0, 2, kOtherKeyOfV);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  SetRoutesOnAll(MakeRoutes(3, {kOtherKeyOfV}));
  RunFor(100);
  EXPECT_EQ(closed_.at(1), ErrorCode::kUnknownKey);
  EXPECT_EQ(closed_.count(2), 0U);
  EXPECT_EQ(Write(0, 2), ErrorCode::kNone);
}

// A key is removed during a transaction: its writes must not be committed.
TEST_F(WorkspacesTest, ARemovedKeyRollsBackATransaction) {
  CreateInstancesWithWorkspaces(1);
  StartSessionWithKey(0, 1, kKeyOfV);
  EXPECT_EQ(Execute(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  const std::string write_id = "s" + std::to_string(last_statement_id_);
  SetRoutesOnAll(MakeRoutes(3, {kOtherKeyOfV}));
  RunFor(100);
  EXPECT_EQ(closed_.at(1), ErrorCode::kUnknownKey);
  EXPECT_EQ(cluster_.TimesCommitted(write_id), 0U);
}

// A key is removed while a statement runs: its reply must be delivered before
// the session is closed.
TEST_F(WorkspacesTest, ARemovedKeyLetsARunningStatementFinish) {
  CreateInstancesWithWorkspaces(1);
  StartSessionWithKey(0, 1, kKeyOfV);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-a").extra_latency = milliseconds(100);
  Send(0, 1, StatementKind::kWrite, "WRITE k v");
  RunFor(10);
  SetRoutesOnAll(MakeRoutes(3, {kOtherKeyOfV}));
  RunFor(500);
  EXPECT_EQ(replies_.at(1).error, ErrorCode::kNone);
  EXPECT_EQ(closed_.at(1), ErrorCode::kUnknownKey);
}

// A key is removed while a statement waits for a connection: the statement must
// be refused instead of running later.
TEST_F(WorkspacesTest, ARemovedKeyRefusesQueuedStatements) {
  CreateInstancesWithWorkspaces(1);
  StartSessionWithKey(0, 1, kKeyOfV);
  hosts_[0]->BreakConnections();
  for (const char* id : {"db-a", "db-b", "db-c"}) hosts_[0]->PartitionFrom(id);
  Send(0, 1, StatementKind::kRead, "READ k");
  RunFor(5);
  SetRoutesOnAll(MakeRoutes(3, {kOtherKeyOfV}));
  EXPECT_EQ(replies_.at(1).error, ErrorCode::kUnknownKey);
}

// The keeper has the configuration that removes the key, the caller's instance
// does not have it yet. The newer configuration must decide.
TEST_F(WorkspacesTest, AKeeperWithNewerConfigurationRefuses) {
  fleet_.connection_limit = 5;
  CreateInstancesWithWorkspaces(6);
  StartSessionWithKey(0, 1, kKeyOfV);
  StartSessionWithKey(1, 2, kKeyOfV);
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  const RouteTable newer = MakeRoutes(3, {kOtherKeyOfV});
  for (size_t i = 2; i < hosts_.size(); ++i) SetRoutes(hosts_[i].get(), newer);
  const uint64_t before = fleet_.forwarded_count;
  uint32_t refused = 0;
  for (int round = 0; round < 20; ++round) {
    refused += Read(0, 1) == ErrorCode::kUnknownKey ? 1 : 0;
  }
  EXPECT_GT(fleet_.forwarded_count, before);
  EXPECT_GT(refused, 0U);
}

// The caller's instance has the configuration that adds a workspace, the keeper
// does not have it yet. The workspace's callers must still be served.
TEST_F(WorkspacesTest, AKeeperWithOlderConfigurationServesANewWorkspace) {
  fleet_.connection_limit = 5;
  CreateInstancesWithWorkspaces(6);
  RouteTable newer = MakeRoutes(3, {kKeyOfV});
  newer.workspaces.workspaces["n"] = {"n", 0, std::nullopt, {kUnlistedKey}};
  SetRoutes(hosts_[0].get(), newer);
  StartSessionWithKey(0, 1, kUnlistedKey);
  const uint64_t before = fleet_.forwarded_count;
  for (int round = 0; round < 5; ++round) {
    EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  }
  EXPECT_GT(fleet_.forwarded_count, before);
}

}  // namespace
}  // namespace ryefold::testsuite
