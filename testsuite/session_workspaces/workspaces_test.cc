// Callers of several workspaces in virtual time: whose connections their
// statements run on, and what a key that was taken away ends.

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
constexpr KeyDigest kNobodysKey{9, 9};

class WorkspacesTest : public ProxyTest {
 protected:
  RouteTable Table(uint64_t version, std::vector<KeyDigest> keys_of_v) {
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
  void MakeWithWorkspaces(uint32_t instances) {
    fleet_.routes = Table(2, {kKeyOfV, kOtherKeyOfV});
    Make(instances);
  }
  void TellAll(const RouteTable& table) {
    for (const auto& host : hosts_) Tell(host.get(), table);
  }
  void Tell(InstanceHost* host, const RouteTable& table) {
    host->proxy()->OnRoutes(clock_.now(), table);
  }
  void StartWith(size_t host, CallerId caller, const KeyDigest& key,
                 const std::string& route = "primary") {
    hosts_[host]->proxy()->CallerStarted(clock_.now(), caller, route, key);
  }
  void OnClosed(CallerId caller, ErrorCode error) override {
    closed_[caller] = error;
  }
  /// Every statement that ran did so on a connection of the workspace that its
  /// text names as the item.
  void CheckOwners() {
    for (const auto& host : hosts_) {
      for (const auto& [text, workspace] : host->sent_for()) {
        const std::string item = text.substr(text.find(' ') + 1, 1);
        EXPECT_EQ(workspace, item == "-" ? "" : item) << text;
      }
    }
  }

  std::map<CallerId, ErrorCode> closed_;
};

// A caller is served under a key that is not configured.
TEST_F(WorkspacesTest, RefuseAnUnknownKeyAtOnce) {
  MakeWithWorkspaces(1);
  StartWith(0, 1, kNobodysKey);
  EXPECT_EQ(closed_.at(1), ErrorCode::kUnknownKey);
  StartWith(0, 2, kNobodysKey, "open");
  EXPECT_TRUE(hosts_[0]->accepted(2));
}

// A statement runs on a connection that was opened for another workspace.
TEST_F(WorkspacesTest, NeverShareAConnection) {
  MakeWithWorkspaces(1);
  for (CallerId caller = 1; caller <= 9; ++caller) {
    const KeyDigest keys[] = {kKeyOfV, kKeyOfW, kNobodysKey};
    StartWith(0, caller, keys[caller % 3],
              caller % 3 == 2 ? "open" : "primary");
  }
  for (int round = 0; round < 40; ++round) {
    const CallerId caller = 1 + round * 7 % 9;
    const char* items[] = {"v", "w", "-"};
    Ask(0, caller, StatementKind::kRead,
        std::string("READ ") + items[caller % 3]);
  }
  CheckOwners();
}

// The same where statements run at keepers: the workspace has to come along.
TEST_F(WorkspacesTest, NeverShareAConnectionOfAKeeper) {
  fleet_.connection_limit = 5;
  MakeWithWorkspaces(6);
  for (CallerId caller = 1; caller <= 18; ++caller) {
    StartWith(caller % 6, caller, caller % 2 == 0 ? kKeyOfV : kKeyOfW);
  }
  for (int round = 0; round < 60; ++round) {
    const CallerId caller = 1 + round * 7 % 18;
    EXPECT_EQ(Ask(caller % 6, caller, StatementKind::kRead,
                  caller % 2 == 0 ? "READ v" : "READ w"),
              ErrorCode::kNone);
  }
  EXPECT_GT(fleet_.forwarded, 10U);
  CheckOwners();
}

// An instance has connections enough for a few workspaces and callers of more:
// those that find none must not wait for ever.
TEST_F(WorkspacesTest, ManyWorkspacesTakeTurns) {
  fleet_.routes = Table(2, {kKeyOfV});
  for (uint64_t i = 0; i < 30; ++i) {
    Workspace workspace;
    workspace.name = "x" + std::to_string(i);
    workspace.keys = {{100 + i, 0}};
    fleet_.routes->workspaces.workspaces[workspace.name] = workspace;
  }
  Make(1);
  for (CallerId caller = 1; caller <= 30; ++caller) {
    StartWith(0, caller, {99 + caller, 0});
  }
  for (int round = 0; round < 3; ++round) {
    for (CallerId caller = 1; caller <= 30; ++caller) {
      Send(0, caller, StatementKind::kRead, "READ k");
    }
    Run(1000);
    for (CallerId caller = 1; caller <= 30; ++caller) {
      ASSERT_EQ(replies_.count(caller), 1U) << caller;
    }
  }
}

// A read that waits for its workspace's first connection has one opened at each
// database, each of which takes a slot there.
TEST_F(WorkspacesTest, AWaitingReadOpensOneConnection) {
  fleet_.connection_limit = 140;
  fleet_.routes = Table(2, {});
  for (uint64_t i = 0; i < 6; ++i) {
    Workspace workspace;
    workspace.name = "x" + std::to_string(i);
    workspace.keys = {{100 + i, 0}};
    fleet_.routes->workspaces.workspaces[workspace.name] = workspace;
  }
  Make(1);
  StartWith(0, 50, kNobodysKey, "open");
  EXPECT_EQ(Write(0, 50), ErrorCode::kNone);
  replies_.clear();
  const uint32_t before = hosts_[0]->opened();
  for (CallerId caller = 1; caller <= 6; ++caller) {
    StartWith(0, caller, {99 + caller, 0}, "bounded");
    Send(0, caller, StatementKind::kRead, "READ k");
    Run(3);
  }
  Run(200);
  EXPECT_EQ(replies_.size(), 6U);
  EXPECT_EQ(hosts_[0]->opened() - before, 6U);
}

// A key is taken away while its session is idle: the next statement must not
// run, and the session ends.
TEST_F(WorkspacesTest, ADroppedKeyEndsAnIdleSession) {
  MakeWithWorkspaces(1);
  StartWith(0, 1, kKeyOfV);
  StartWith(0, 2, kOtherKeyOfV);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  TellAll(Table(3, {kOtherKeyOfV}));
  Run(100);
  EXPECT_EQ(closed_.at(1), ErrorCode::kUnknownKey);
  EXPECT_EQ(closed_.count(2), 0U);
  EXPECT_EQ(Write(0, 2), ErrorCode::kNone);
}

// The same inside a transaction: what it wrote must not be kept.
TEST_F(WorkspacesTest, ADroppedKeyRollsATransactionBack) {
  MakeWithWorkspaces(1);
  StartWith(0, 1, kKeyOfV);
  EXPECT_EQ(Ask(0, 1, StatementKind::kBegin, "BEGIN"), ErrorCode::kNone);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  const std::string written = "s" + std::to_string(last_id_);
  TellAll(Table(3, {kOtherKeyOfV}));
  Run(100);
  EXPECT_EQ(closed_.at(1), ErrorCode::kUnknownKey);
  EXPECT_EQ(cluster_.TimesCommitted(written), 0U);
}

// The same while a statement runs: its answer is delivered, nothing follows.
TEST_F(WorkspacesTest, ADroppedKeyLetsARunningStatementEnd) {
  MakeWithWorkspaces(1);
  StartWith(0, 1, kKeyOfV);
  EXPECT_EQ(Write(0, 1), ErrorCode::kNone);
  cluster_.database("db-a").slow = milliseconds(100);
  Send(0, 1, StatementKind::kWrite, "WRITE k v");
  Run(10);
  TellAll(Table(3, {kOtherKeyOfV}));
  Run(500);
  EXPECT_EQ(replies_.at(1).error, ErrorCode::kNone);
  EXPECT_EQ(closed_.at(1), ErrorCode::kUnknownKey);
}

// The same while a statement waits for a connection: it must not run later.
TEST_F(WorkspacesTest, ADroppedKeyRefusesWhatIsQueued) {
  MakeWithWorkspaces(1);
  StartWith(0, 1, kKeyOfV);
  hosts_[0]->BreakConnections();
  for (const char* id : {"db-a", "db-b", "db-c"}) hosts_[0]->CutFrom(id);
  Send(0, 1, StatementKind::kRead, "READ k");
  Run(5);
  TellAll(Table(3, {kOtherKeyOfV}));
  EXPECT_EQ(replies_.at(1).error, ErrorCode::kUnknownKey);
}

// The caller's instance has not heard that the key was taken away, the keeper
// has: the newer configuration decides.
TEST_F(WorkspacesTest, AKeeperThatKnowsBetterRefuses) {
  fleet_.connection_limit = 5;
  MakeWithWorkspaces(6);
  StartWith(0, 1, kKeyOfV);
  StartWith(1, 2, kKeyOfV);
  EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  const RouteTable newer = Table(3, {kOtherKeyOfV});
  for (size_t i = 2; i < hosts_.size(); ++i) Tell(hosts_[i].get(), newer);
  const uint64_t before = fleet_.forwarded;
  uint32_t refused = 0;
  for (int round = 0; round < 20; ++round) {
    refused += Read(0, 1) == ErrorCode::kUnknownKey ? 1 : 0;
  }
  EXPECT_GT(fleet_.forwarded, before);
  EXPECT_GT(refused, 0U);
}

// A keeper has not heard of a workspace that the caller's instance knows: its
// callers are served all the same.
TEST_F(WorkspacesTest, AKeeperThatIsBehindServesANewWorkspace) {
  fleet_.connection_limit = 5;
  MakeWithWorkspaces(6);
  RouteTable newer = Table(3, {kKeyOfV});
  newer.workspaces.workspaces["n"] = {"n", 0, std::nullopt, {kNobodysKey}};
  Tell(hosts_[0].get(), newer);
  StartWith(0, 1, kNobodysKey);
  const uint64_t before = fleet_.forwarded;
  for (int round = 0; round < 5; ++round) {
    EXPECT_EQ(Read(0, 1), ErrorCode::kNone);
  }
  EXPECT_GT(fleet_.forwarded, before);
}

}  // namespace
}  // namespace ryefold::testsuite
