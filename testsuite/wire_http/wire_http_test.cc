#include <gtest/gtest.h>

#include "ryefold/task/loop.h"
#include "ryefold/wire/http.h"

namespace ryefold::wire {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kLong{20};

std::string LocalAddress(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// One loop with a server whose handler a test chooses, and a client.
class HttpTest : public ::testing::Test {
 protected:
  void Listen(HttpServer::Handler handler, HttpLimits limits = {}) {
    server_ =
        std::make_unique<HttpServer>(loop_.base(), limits, std::move(handler));
    ASSERT_EQ(server_->Listen("127.0.0.1:0"), "");
    address_ = LocalAddress(server_->port());
  }

  /// Runs the loop until `Stop`, or fails the test after a long time.
  void Run() {
    const task::TimerId guard = loop_.At(Clock::now() + kLong, [this] {
      ADD_FAILURE() << "nothing happened";
      loop_.Stop();
    });
    loop_.Run();
    loop_.Cancel(guard);
  }

  task::Loop loop_;
  std::unique_ptr<HttpServer> server_;
  std::string address_;
};

TEST_F(HttpTest, AnswersOnOneConnectionInTurn) {
  Listen([](HttpExchange exchange) {
    exchange.Reply({200,
                    exchange.method() + exchange.path() + exchange.body(),
                    "application/json",
                    {}});
  });
  HttpConnection connection(loop_.base(), address_, [] {});
  int left = 3;
  HttpConnection::Done done = [&](const HttpResult& result) {
    EXPECT_EQ(result.status, CallStatus::kOk);
    EXPECT_EQ(result.code, 200);
    EXPECT_EQ(result.body, "POST/v1/x{}");
    if (--left == 0) return loop_.Stop();
    connection.Send("POST", "/v1/x", "{}", Clock::now() + kLong, done);
  };
  connection.Send("POST", "/v1/x", "{}", Clock::now() + kLong, done);
  Run();
  EXPECT_EQ(left, 0);
  EXPECT_EQ(server_->connections(), 1U);
}

TEST_F(HttpTest, RefusedConnectionWasNotSent) {
  HttpResult got{CallStatus::kOk, 1, ""};
  bool lost = false;
  HttpConnection connection(loop_.base(), "127.0.0.1:1", [&] {
    lost = true;
    loop_.Stop();
  });
  connection.Send("POST", "/", "x", Clock::now() + kLong,
                  [&](const HttpResult& result) {
                    EXPECT_FALSE(lost);
                    got = result;
                  });
  Run();
  EXPECT_TRUE(lost);
  EXPECT_EQ(got.status, CallStatus::kNotSent);
}

TEST_F(HttpTest, DeadlineEndsTheConnectionForGood) {
  std::vector<HttpExchange> held;
  Listen([&](HttpExchange exchange) { held.push_back(exchange); });
  HttpResult got;
  HttpConnection connection(loop_.base(), address_, [&] { loop_.Stop(); });
  connection.Send("POST", "/", "x", Clock::now() + milliseconds(50),
                  [&](const HttpResult& result) { got = result; });
  Run();
  EXPECT_EQ(got.status, CallStatus::kLost);
  EXPECT_FALSE(connection.open());
}

}  // namespace
}  // namespace ryefold::wire
