// Runs the gateway's task against simulated platform services on loopback.

#include <event2/event.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "platform/line_channel.h"
#include "platform/line_codec.h"
#include "ryefold/task/loop.h"
#include "ryefoldd/gateway_task.h"
#include "testsuite/standins/lib/key_value.h"
#include "testsuite/standins/lib/line_databases.h"

namespace ryefold {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* kConfig =
    R"({"version":%,"routes":[
{"name":"r1","host":"records","type":"primary","timeout_ms":1000,"goal_ms":500,"priority":1,"service":"group"},
{"name":"r3","host":"renewals","type":"session","timeout_ms":1000,"goal_ms":500,"priority":2,"service":"group","max_staleness_ms":2500}EXTRA],
"services":[{"name":"group","max_conns":21}],"limits":{"tx_idle_ms":3000}})";
constexpr const char* kExtraRoute =
    R"(,{"name":"r9","host":"added","type":"primary","timeout_ms":1000,"goal_ms":500,"priority":1,"service":"group"})";

std::string Config(int version, bool extra) {
  std::string text = kConfig;
  text.replace(text.find('%'), 1, std::to_string(version));
  text.replace(text.find("EXTRA"), 5, extra ? kExtraRoute : "");
  return text;
}

/// A caller's socket.
class TestCaller : public platform::LineHandler {
 public:
  TestCaller(event_base* base, uint16_t port)
      : channel_(base, "127.0.0.1:" + std::to_string(port), this) {}

  void OnConnected() override { channel_.Flush(); }
  void OnLine(std::string_view line) override { lines_.emplace_back(line); }
  void OnBroken(const std::string& /*why*/) override { broken_ = true; }
  void OnBatchEnd() override {}

  void Send(const std::string& bytes) {
    channel_.output()->append(bytes);
    channel_.Flush();
  }
  std::deque<std::string>& lines() { return lines_; }
  bool broken() const { return broken_; }

 private:
  platform::LineChannel channel_;
  std::deque<std::string> lines_;
  bool broken_ = false;
};

class GatewayTest : public testing::Test {
 protected:
  GatewayTest()
      : store_(loop_.base()),
        databases_(loop_.base(), &store_, "group"),
        promote_(loop_.base(), wire::HttpLimits(),
                 [this](const wire::HttpExchange& e) { OnPromote(e); }) {}

  void SetUp() override {
    ASSERT_EQ(store_.Listen("127.0.0.1:0"), "");
    ASSERT_EQ(promote_.Listen("127.0.0.1:0"), "");
    ASSERT_EQ(databases_.Start(), "");
    store_.Put("op/config", Config(1, false));
    session_port_ = FreePort();
    ready_port_ = FreePort();
    BeforeStart();
    settings::GatewaySettings settings;
    settings.name = "instance-1";
    settings.failure_domain = "a";
    // Ports are chosen here, because the task does not report a port that the
    // system chose.
    settings.session_address = Address(session_port_);
    settings.ready_address = Address(ready_port_);
    settings.store_address = Address(store_.port());
    settings.promotion_address = Address(promote_.port());
    settings.stop_grace = milliseconds(2000);
    settings.log_lines = 0;
    task_ = std::make_unique<ryefoldd::GatewayTask>(
        settings, "settings", [this] { stopped_ = true; });
    task_->Start(&loop_);
    RunFor(milliseconds(400));
  }
  void TearDown() override { task_->Stop(); }
  /// Changes the environment before the task starts.
  virtual void BeforeStart() {}

  static std::string Address(uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  }
  uint16_t FreePort() {
    wire::HttpServer probe(loop_.base(), wire::HttpLimits(),
                           [](const wire::HttpExchange&) {});
    EXPECT_EQ(probe.Listen("127.0.0.1:0"), "");
    return probe.port();
  }

  void OnPromote(const wire::HttpExchange& exchange) {
    const uint64_t token = std::strtoull(
        exchange.header("Ryefold-Fence-Token").c_str(), nullptr, 10);
    EXPECT_EQ(exchange.header("Ryefold-Duty-Holder"), "instance-1");
    EXPECT_GE(token, last_token_);
    last_token_ = token;
    ++promotions_;
    const size_t at = exchange.body().find("db-");
    wire::HttpReply reply;
    reply.status = databases_.Promote(exchange.body().substr(at, 4), token);
    if (!drop_promotion_replies_) exchange.Reply(reply);
  }

  bool RunUntil(const std::function<bool()>& done, milliseconds bound) {
    const auto end = steady_clock::now() + bound;
    while (!done()) {
      if (steady_clock::now() > end) return false;
      event_base_loop(loop_.base(), EVLOOP_ONCE);
    }
    return true;
  }
  void RunFor(milliseconds span) {
    RunUntil([] { return false; }, span);
  }

  std::unique_ptr<TestCaller> ConnectCaller(const std::string& route) {
    auto caller = std::make_unique<TestCaller>(loop_.base(), session_port_);
    caller->Send("START " + route + " u1\r\n");
    EXPECT_TRUE(
        RunUntil([&] { return !caller->lines().empty(); }, milliseconds(2000)));
    greeting_ = caller->lines().empty() ? "" : caller->lines().front();
    caller->lines().clear();
    return caller;
  }

  /// Sends a statement and returns the line that concludes it: COMPLETE or
  /// ERROR.
  std::string RunStatement(TestCaller* caller, const std::string& text) {
    const std::string id = "q" + std::to_string(++last_query_);
    caller->Send("QUERY " + id + " " + text + "\r\n");
    std::string concluded;
    RunUntil(
        [&] {
          while (!caller->lines().empty()) {
            const std::string line = caller->lines().front();
            caller->lines().pop_front();
            if (line.rfind("READY", 0) == 0) return true;
            if (line.rfind("ROW", 0) != 0) concluded = line;
          }
          return caller->broken();
        },
        milliseconds(4000));
    return concluded;
  }
  bool Succeeds(TestCaller* caller, const std::string& text) {
    return RunStatement(caller, text).rfind("COMPLETE", 0) == 0;
  }

  task::Loop loop_;
  standins::KeyValueStandin store_;
  standins::LineDatabases databases_;
  wire::HttpServer promote_;
  std::unique_ptr<ryefoldd::GatewayTask> task_;
  uint16_t session_port_ = 0;
  uint16_t ready_port_ = 0;
  bool stopped_ = false;
  bool drop_promotion_replies_ = false;
  uint64_t last_token_ = 0;
  int promotions_ = 0;
  int last_query_ = 0;
  std::string greeting_;
};

TEST_F(GatewayTest, ServesReadsWritesAndTransactions) {
  const auto caller = ConnectCaller("records");
  EXPECT_EQ(greeting_, "READY I -");
  EXPECT_TRUE(Succeeds(caller.get(), "WRITE k1 v1"));
  EXPECT_TRUE(Succeeds(caller.get(), "READ k1"));
  EXPECT_TRUE(Succeeds(caller.get(), "SET tz utc"));
  EXPECT_TRUE(Succeeds(caller.get(), "PARSE s1 READ q7"));
  EXPECT_TRUE(Succeeds(caller.get(), "EXECUTE s1 k1"));
  EXPECT_TRUE(Succeeds(caller.get(), "BEGIN"));
  EXPECT_TRUE(Succeeds(caller.get(), "WRITE k2 v2"));
  EXPECT_TRUE(Succeeds(caller.get(), "COMMIT"));
  const auto session = ConnectCaller("renewals");
  EXPECT_TRUE(Succeeds(session.get(), "WRITE k3 v3"));
  EXPECT_TRUE(Succeeds(session.get(), "READ k3"));
}

TEST_F(GatewayTest, RejectsUnknownRoutes) {
  ConnectCaller("nowhere");
  EXPECT_EQ(greeting_, "ERROR NODB nowhere");
}

// Guards against malformed input that affects other callers: an unknown
// message, a bare line feed, a query before START, and a message of 2 MiB
// without an end. Each must close only its own connection.
TEST_F(GatewayTest, MalformedInputClosesOnlyItsConnection) {
  const auto good = ConnectCaller("records");
  const std::string endless(size_t{1} << 21, 'x');
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("START x\n"),
        std::string("QUERY q1 READ a\r\n"), endless}) {
    TestCaller bad(loop_.base(), session_port_);
    bad.Send(bytes);
    EXPECT_TRUE(RunUntil([&] { return bad.broken(); }, milliseconds(2000)));
    EXPECT_TRUE(Succeeds(good.get(), "READ k1"));
  }
}

// Guards against mishandled messages that arrive in pieces or several at once.
TEST_F(GatewayTest, AssemblesSplitMessages) {
  const auto caller = ConnectCaller("records");
  caller->Send("QUERY q1 RE");
  RunFor(milliseconds(30));
  caller->Send("AD k1\r\nQUERY q2 READ k2\r\nQUERY q3 READ k3\r\n");
  int ready = 0;
  EXPECT_TRUE(RunUntil(
      [&] {
        while (!caller->lines().empty()) {
          ready += caller->lines().front().rfind("READY", 0) == 0 ? 1 : 0;
          caller->lines().pop_front();
        }
        return ready == 3;
      },
      milliseconds(2000)));
}

// Guards against failed reads when a database closes its connection in the
// middle of a reply. The read must be retried on another database.
TEST_F(GatewayTest, RetriesAReadWhenADatabaseClosesInMidLine) {
  const auto caller = ConnectCaller("records");
  EXPECT_TRUE(Succeeds(caller.get(), "READ k1"));
  databases_.CutInMidLine();
  EXPECT_TRUE(Succeeds(caller.get(), "READ k1"));
}

// Guards against writes that keep failing after a crash of the primary: ryefold
// must order a promotion, and writes must succeed within seconds.
TEST_F(GatewayTest, OrdersAPromotionWhenThePrimaryDies) {
  const auto caller = ConnectCaller("records");
  EXPECT_TRUE(Succeeds(caller.get(), "WRITE k1 v1"));
  databases_.Crash("db-a");
  EXPECT_TRUE(RunUntil([&] { return Succeeds(caller.get(), "WRITE k2 v2"); },
                       milliseconds(6000)));
  EXPECT_NE(databases_.cluster().primary(), "db-a");
  EXPECT_GE(promotions_, 1);
}

// Guards against repeating a promotion order under the same token after its
// answer was lost. The first order could take effect seconds later and overtake
// the repetition, so the duty is acquired again with a higher token.
TEST_F(GatewayTest, AcquiresAHigherTokenAfterAnUnansweredPromotion) {
  drop_promotion_replies_ = true;
  databases_.Crash("db-a");
  EXPECT_TRUE(RunUntil([&] { return promotions_ >= 1; }, milliseconds(5000)));
  const uint64_t first = last_token_;
  const std::string holder = store_.Value("ryefold/promotion/holder");
  EXPECT_TRUE(RunUntil(
      [&] {
        const std::string now = store_.Value("ryefold/promotion/holder");
        return !now.empty() && now != holder;
      },
      milliseconds(5000)));
  drop_promotion_replies_ = false;
  const auto caller = ConnectCaller("records");
  EXPECT_TRUE(RunUntil([&] { return Succeeds(caller.get(), "WRITE k2 v2"); },
                       milliseconds(6000)));
  EXPECT_GE(last_token_, first);
}

// Guards against ordering promotions under an outdated token after the store
// revoked the lease of the holder's key without notice.
TEST_F(GatewayTest, ReacquiresTheDutyWhenItsKeyIsDeleted) {
  EXPECT_TRUE(RunUntil([&] { return store_.Has("ryefold/promotion/holder"); },
                       milliseconds(5000)));
  const std::string before = store_.Value("ryefold/promotion/holder");
  store_.RevokeLeases();
  EXPECT_TRUE(RunUntil(
      [&] {
        const std::string now = store_.Value("ryefold/promotion/holder");
        return !now.empty() && now != before;
      },
      milliseconds(5000)));
}

TEST_F(GatewayTest, IgnoresOlderConfigurations) {
  store_.Put("op/config", Config(5, true));
  RunFor(milliseconds(700));
  EXPECT_TRUE(Succeeds(ConnectCaller("added").get(), "READ k1"));
  // An older version, such as one from a stale copy, must be ignored.
  store_.Put("op/config", Config(3, false));
  RunFor(milliseconds(700));
  EXPECT_TRUE(Succeeds(ConnectCaller("added").get(), "READ k1"));
  store_.Put("op/config", Config(9, false));
  RunFor(milliseconds(700));
  ConnectCaller("added");
  EXPECT_EQ(greeting_, "ERROR NODB added");
}

// Guards against missing a configuration change whose events were compacted
// before the watch received them.
TEST_F(GatewayTest, FindsAChangeWhoseHistoryIsCompacted) {
  store_.faults().forgetful = true;
  store_.Put("op/config", Config(5, true));
  RunFor(milliseconds(200));
  store_.faults().forgetful = false;
  store_.Put("other/key", "wakes the watches");
  RunFor(milliseconds(1200));
  EXPECT_TRUE(Succeeds(ConnectCaller("added").get(), "READ k1"));
}

// Guards against failed statements during a store outage, and against missing a
// change that was made during the outage.
TEST_F(GatewayTest, ServesOnWhileTheStoreIsDown) {
  const auto caller = ConnectCaller("records");
  store_.faults().down = true;
  store_.Put("op/config", Config(5, true));
  for (int i = 0; i < 10; ++i) {
    RunFor(milliseconds(60));
    EXPECT_TRUE(Succeeds(caller.get(), "WRITE k1 v1"));
  }
  store_.faults().down = false;
  RunFor(milliseconds(1500));
  EXPECT_TRUE(Succeeds(ConnectCaller("added").get(), "READ k1"));
}

// Guards against an abrupt stop: open transactions finish, idle sessions are
// closed so that callers reconnect elsewhere, and the task ends within its
// grace period.
TEST_F(GatewayTest, DrainsBeforeItStops) {
  const auto idle = ConnectCaller("records");
  const auto busy = ConnectCaller("records");
  EXPECT_TRUE(Succeeds(busy.get(), "BEGIN"));
  EXPECT_TRUE(Succeeds(busy.get(), "WRITE k1 v1"));
  raise(SIGTERM);
  RunFor(milliseconds(500));
  EXPECT_TRUE(Succeeds(busy.get(), "COMMIT"));
  EXPECT_TRUE(RunUntil([&] { return stopped_; }, milliseconds(3000)));
  EXPECT_TRUE(RunUntil([&] { return idle->broken(); }, milliseconds(500)));
}

// Guards against dropping a statement that crosses the end of its session.
TEST_F(GatewayTest, AnswersAStatementThatCrossesTheEndOfItsSession) {
  const auto caller = ConnectCaller("records");
  raise(SIGTERM);
  ASSERT_TRUE(
      RunUntil([&] { return !caller->lines().empty(); }, milliseconds(1500)));
  EXPECT_EQ(caller->lines().front(),
            "ERROR BUSY instance is leaving retry-after-ms=0");
  caller->Send("QUERY q1 WRITE k1 v1\r\n");
  ASSERT_TRUE(
      RunUntil([&] { return caller->lines().size() > 1; }, milliseconds(200)));
  EXPECT_EQ(caller->lines()[1], "READY I -");
  EXPECT_EQ(databases_.cluster().TimesCommitted("q1"), 0U);
  EXPECT_TRUE(RunUntil([&] { return caller->broken(); }, milliseconds(1000)));
}

// Guards against reading statements after the decision to stop.
TEST_F(GatewayTest, ReadsNothingOnceItHasDecidedToStop) {
  raise(SIGTERM);
  const auto late = std::make_unique<TestCaller>(loop_.base(), session_port_);
  ASSERT_TRUE(RunUntil([&] { return stopped_; }, milliseconds(2000)));
  late->Send("START records u1\r\nQUERY q1 WRITE k1 v1\r\n");
  RunFor(milliseconds(200));
  EXPECT_TRUE(late->broken());
  EXPECT_FALSE(databases_.HasReceived("q1"));
}

class SlowListingTest : public GatewayTest {
 protected:
  void BeforeStart() override {
    store_.faults().slow_listing = milliseconds(1500);
  }
};

// Guards against a timeout shorter than a listing of the store, which takes
// more than a second for a large fleet on a slow link. The instance would list
// again and again and never serve.
TEST_F(SlowListingTest, ServesAfterAListingThatTakesLong) {
  RunFor(milliseconds(1500));
  const auto caller = ConnectCaller("records");
  EXPECT_EQ(greeting_, "READY I -");
  EXPECT_TRUE(Succeeds(caller.get(), "WRITE k1 v1"));
}

class TakenPortTest : public GatewayTest {
 protected:
  void BeforeStart() override {
    holder_ = std::make_unique<wire::HttpServer>(
        loop_.base(), wire::HttpLimits(), [](const wire::HttpExchange&) {});
    ASSERT_EQ(holder_->Listen(Address(session_port_)), "");
  }
  std::unique_ptr<wire::HttpServer> holder_;
};

// Guards against exiting when the port for callers is still in use at startup,
// for example by an outgoing connection of another process. The process would
// be restarted repeatedly; it must wait for the port.
TEST_F(TakenPortTest, ServesOnceItsPortIsFree) {
  holder_.reset();
  RunFor(milliseconds(600));
  const auto caller = ConnectCaller("records");
  EXPECT_TRUE(Succeeds(caller.get(), "WRITE k1 v1"));
}

class LapsedDatabasesTest : public GatewayTest {
 protected:
  void BeforeStart() override {
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      store_.Delete(std::string("servers/") + id);
    }
  }
};

// Guards against a long outage when all instances restart after the store lost
// the databases' entries. The entries return one by one among other changes,
// and callers are refused until an instance receives them.
TEST_F(LapsedDatabasesTest, ServesSoonAfterTheEntriesAreBack) {
  const auto caller = ConnectCaller("records");
  EXPECT_EQ(RunStatement(caller.get(), "WRITE k1 v1").rfind("ERROR BUSY", 0),
            0U);
  store_.Put("other/key", "a change that wakes the watch");
  RunFor(milliseconds(50));
  databases_.Register();
  const auto back = steady_clock::now();
  EXPECT_TRUE(RunUntil([&] { return Succeeds(caller.get(), "WRITE k1 v1"); },
                       milliseconds(3000)));
  EXPECT_LT(steady_clock::now() - back, milliseconds(400));
}

}  // namespace
}  // namespace ryefold
