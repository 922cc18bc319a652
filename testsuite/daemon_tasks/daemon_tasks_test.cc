// The daemon's tasks under their supervisor, with a keeper task that fails.

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <variant>

#include "ryefold/settings/catalog.h"
#include "ryefold/task/loop.h"
#include "ryefold/wire/http.h"
#include "ryefoldd/messages.h"
#include "ryefoldd/tree.h"

namespace ryefold::ryefoldd {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "secret key";
constexpr int kDeadlineMs = 20000;

settings::InstanceSettings Settings(int port) {
  settings::InstanceSettings settings;
  settings.name = "one";
  settings.failure_domain = "domain";
  settings.region = "region";
  settings.caller_address = "127.0.0.1:" + std::to_string(port);
  settings.peer_address = "127.0.0.1:" + std::to_string(port + 1);
  // Nobody listens there: the store counts as down.
  settings.platform = {"127.0.0.1:1"};
  settings.admin_key = "operators";
  return settings;
}

CatalogPtr MakeCatalog() {
  core::Catalog catalog;
  catalog.revision = 1;
  catalog.groups["g"].group = "g";
  core::WorkspaceSpec& workspace = catalog.workspaces["w"];
  workspace.policy.workspace = "w";
  workspace.group = "g";
  workspace.key_salt = "salt";
  workspace.key_hash = settings::HashKey("salt", kKey);
  return std::make_shared<const core::Catalog>(catalog);
}

RosterPtr MakeRoster() {
  core::membership::Member self;
  self.name = "one";
  self.region = "region";
  core::membership::Roster roster;
  roster.SetMembers({self});
  return std::make_shared<const core::membership::Roster>(roster);
}

/// Takes a statement in hand and fails, as a defect in its handling would
/// make it. The next run answers what it is asked.
class FailingKeeper : public task::Task {
 public:
  FailingKeeper(Wiring* wiring, std::atomic<int>* statements)
      : wiring_(wiring), statements_(statements) {}

  void Start(task::Loop* loop) override {
    wiring_->keeper.Open(loop, [this](const KeeperMessage& message) {
      if (std::holds_alternative<LocalStatement>(message)) {
        ++*statements_;
        throw std::runtime_error("defect");
      }
      if (const auto* settle = std::get_if<LocalSettle>(&message)) {
        core::SettleAnswer fence;
        fence.status = core::SettleStatus::kFenced;
        wiring_->entry.Send(LocalAnswered{
            settle->call,
            core::StatementAnswer::NotRun(
                *core::NotRunProof::FencedBy(fence, /*confirmed=*/true),
                core::Reason::kFenced, milliseconds(0))});
      }
    });
    wiring_->peers_listening = true;
  }
  void Stop() override { wiring_->keeper.Close(); }

 private:
  Wiring* wiring_;
  std::atomic<int>* statements_;
};

class DaemonTasks : public testing::Test {
 protected:
  void SetUp() override {
    // A free port, and the one after it, below the range of outgoing ones.
    for (int port = 21000; port < 21400 && !Begin(port); port += 2) {
    }
    ASSERT_TRUE(wiring_ != nullptr);
  }
  void TearDown() override { supervisor_->Shutdown(); }

  bool Begin(int port) {
    wiring_ = std::make_unique<Wiring>(Settings(port));
    supervisor_ = std::make_unique<task::Supervisor>(
        "test", task::RestartLimit{50, milliseconds(10000)});
    FillTree(supervisor_.get(), wiring_.get(), [this] {
      return std::make_unique<FailingKeeper>(wiring_.get(), &statements_);
    });
    supervisor_->Start();
    for (int i = 0; i < 100 && !wiring_->entry_listening; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    if (!wiring_->entry_listening) {
      supervisor_->Shutdown();
      return false;
    }
    Tell();
    return true;
  }

  void Tell() {
    wiring_->entry.Send(CatalogInForce{MakeCatalog()});
    wiring_->entry.Send(RosterChanged{MakeRoster()});
  }

  /// The control task, which knows of no documents here, puts its empty catalog
  /// in force when it starts. On a busy machine that can be after the test's;
  /// the statement is then turned away before any task has it.
  std::string Ask(const std::string& fields) {
    constexpr int kTries = 50;
    std::string answer;
    for (int i = 0; i < kTries; ++i) {
      answer = AskOnce(fields);
      if (answer.find("unknown workspace") == std::string::npos) break;
      Tell();
      std::this_thread::sleep_for(milliseconds(10));
    }
    return answer;
  }

  std::string AskOnce(const std::string& fields) {
    std::string body;
    task::Loop loop;
    wire::HttpClient client(loop.base());
    client.Call(wiring_->settings.caller_address, "POST", "/v1/statement",
                R"({"workspace":"w","deadline_ms":)" +
                    std::to_string(kDeadlineMs) + "," + fields + "}",
                std::chrono::steady_clock::now() + seconds(60),
                [&](const wire::HttpResult& result) {
                  body = result.body;
                  loop.Stop();
                },
                {{"Authorization", std::string("Bearer ") + kKey}});
    loop.Run();
    return body;
  }

  std::atomic<int> statements_{0};
  std::unique_ptr<Wiring> wiring_;
  std::unique_ptr<task::Supervisor> supervisor_;
};

// A defect ends the keeper task while it holds a write that may have reached a
// database. Its caller must neither wait for the deadline nor be told that the
// write did not run before somebody has fenced it.
TEST_F(DaemonTasks, AWriteHeldByAFailedTaskIsSettled) {
  const auto start = std::chrono::steady_clock::now();
  const std::string answer =
      Ask(R"("kind":"write","request_id":"r1","sql":"INSERT")");
  const auto waited = std::chrono::steady_clock::now() - start;
  EXPECT_NE(answer.find("\"not_run\""), std::string::npos) << answer;
  EXPECT_NE(answer.find("\"fenced\""), std::string::npos) << answer;
  EXPECT_EQ(statements_, 1) << "a write was handed over twice";
  EXPECT_LT(waited, milliseconds(kDeadlineMs) / 2);
  EXPECT_GE(supervisor_->restarts(), 1U);
}

// The same with a read, which fails each time: it is sent again, but not until
// its deadline, since each failure takes the requests of others with it.
TEST_F(DaemonTasks, AReadThatAlwaysFailsIsAnsweredUnknown) {
  const auto start = std::chrono::steady_clock::now();
  const std::string answer = Ask(R"("sql":"SELECT 1")");
  const auto waited = std::chrono::steady_clock::now() - start;
  EXPECT_NE(answer.find("\"unknown\""), std::string::npos) << answer;
  EXPECT_EQ(statements_, 3);
  EXPECT_LT(waited, milliseconds(kDeadlineMs) / 2);
}

}  // namespace
}  // namespace ryefold::ryefoldd
