#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "testsuite/wire_http/http_test.h"

namespace ryefold::wire {
namespace {

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

// A database answers a statement only after its deadline. If the connection
// were used on, the next caller would be handed that answer as its own.
TEST_F(HttpTest, LateAnswerReachesNobody) {
  std::vector<HttpExchange> held;
  Listen([&](const HttpExchange& exchange) {
    if (held.empty()) return held.push_back(exchange);
    Echo(exchange);
  });
  HttpResult second;
  HttpClient client(loop_.base());
  client.Call(address_, "POST", "/", "first", Clock::now() + kShort,
              [&](const HttpResult& first) {
                EXPECT_EQ(first.status, CallStatus::kLost);
                Echo(held.at(0));
                client.Call(address_, "POST", "/", "second",
                            Clock::now() + kLong,
                            [&](const HttpResult& result) {
                              second = result;
                              loop_.Stop();
                            });
              });
  Run();
  EXPECT_EQ(second.status, CallStatus::kOk);
  EXPECT_EQ(second.body, "second");
}

TEST_F(HttpTest, DeadlineEndsTheConnectionForGood) {
  std::vector<HttpExchange> held;
  Listen([&](const HttpExchange& exchange) { held.push_back(exchange); });
  HttpResult got;
  HttpConnection connection(loop_.base(), address_, [&] { loop_.Stop(); });
  connection.Send("POST", "/", "x", Clock::now() + kShort,
                  [&](const HttpResult& result) { got = result; });
  Run();
  EXPECT_EQ(got.status, CallStatus::kLost);
  EXPECT_FALSE(connection.open());
}

// A server takes a call and answers nothing. The call may take long, since a
// large answer does; waited for until its deadline it would hold up its caller
// long after the server is well again.
TEST_F(HttpTest, SilenceEndsACallBeforeItsDeadline) {
  EXPECT_EQ(CallToOneThatFallsSilentAfter("").status, CallStatus::kLost);
}

// The same in the middle of an answer.
TEST_F(HttpTest, SilenceInAnAnswerEndsItsCall) {
  EXPECT_EQ(CallToOneThatFallsSilentAfter(
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
                .status,
            CallStatus::kLost);
}

// A slow link brings a large answer in small parts, none of them later than the
// silence that is allowed but all together much later.
TEST_F(HttpTest, AnAnswerThatKeepsComingIsHeardOut) {
  constexpr milliseconds kSilence{1000};
  constexpr milliseconds kPause{300};
  constexpr int kParts = 5;
  const RawListener listener;
  HttpResult got;
  HttpConnection connection(loop_.base(), LocalAddress(listener.port()), [] {});
  connection.Send("GET", "/", "",
                  core::AnswerLimits{Clock::now() + kLong, kSilence},
                  [&](const HttpResult& result) { got = result; });
  RunBeside([&] {
    const RawSocket socket = listener.Accept();
    socket.ReadHead();
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    for (int i = 0; i < kParts; ++i) {
      std::this_thread::sleep_for(kPause);
      socket.Send("x");
    }
    std::this_thread::sleep_for(kPause);
  });
  EXPECT_EQ(got.status, CallStatus::kOk);
  EXPECT_EQ(got.body, "xxxxx");
}

// A database dies in the middle of an answer. Half of the rows taken for all
// of them would be a wrong answer that nobody could tell from a right one.
TEST_F(HttpTest, TruncatedAnswerIsLost) {
  const HttpResult got =
      CallAnsweredBy("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
  EXPECT_EQ(got.status, CallStatus::kLost);
  EXPECT_EQ(got.body, "");
}

TEST_F(HttpTest, TruncatedChunkIsLost) {
  const HttpResult got = CallAnsweredBy(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  EXPECT_EQ(got.status, CallStatus::kLost);
}

// An answer without a length ends where the connection ends, so one cut short
// looks whole.
TEST_F(HttpTest, AnswerThatDoesNotSayWhereItEndsIsLost) {
  const HttpResult got =
      CallAnsweredBy("HTTP/1.1 200 OK\r\n\r\nperhaps all, perhaps not");
  EXPECT_EQ(got.status, CallStatus::kLost);
}

TEST_F(HttpTest, AnswerThatIsNoHttpIsLost) {
  EXPECT_EQ(CallAnsweredBy("who is there?\r\n\r\n").status, CallStatus::kLost);
}

// Something between us and a database sends an answer twice. The second one
// must not be read as the answer to the next request.
TEST_F(HttpTest, BytesBeyondAnAnswerEndTheConnection) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
  const RawListener listener;
  HttpResult got;
  bool lost = false;
  HttpConnection connection(loop_.base(), LocalAddress(listener.port()),
                            [&] { lost = true; });
  connection.Send("POST", "/", "x", Clock::now() + kLong,
                  [&](const HttpResult& result) {
                    got = result;
                    EXPECT_FALSE(connection.open());
                  });
  RunBeside([&] {
    const RawSocket socket = listener.Accept();
    socket.ReadHead();
    socket.Send(answer + "a" + answer + "b");
    EXPECT_EQ(socket.ReadAll(), "");
  });
  EXPECT_EQ(got.status, CallStatus::kOk);
  EXPECT_EQ(got.body, "a");
  EXPECT_TRUE(lost);
}

TEST_F(HttpTest, BreakOfAnIdleConnectionIsTold) {
  Listen(Echo);
  HttpConnection connection(loop_.base(), address_, [&] { loop_.Stop(); });
  connection.Send("POST", "/", "x", Clock::now() + kLong,
                  [&](const HttpResult& result) {
                    EXPECT_EQ(result.status, CallStatus::kOk);
                    loop_.Post([&] { server_.reset(); });
                  });
  Run();
  EXPECT_FALSE(connection.open());
}

TEST_F(HttpTest, ConnectionMayBeDestroyedInItsCallback) {
  Listen(Echo);
  auto connection = std::make_unique<HttpConnection>(
      loop_.base(), address_, [] { FAIL() << "told after its end"; });
  connection->Send("POST", "/", "x", Clock::now() + kLong,
                   [&](const HttpResult&) {
                     connection.reset();
                     loop_.At(Clock::now() + kShort, [&] { loop_.Stop(); });
                   });
  Run();
  EXPECT_EQ(connection, nullptr);
}

TEST_F(HttpTest, ClientUsesItsIdleConnectionAgain) {
  Listen(Echo);
  HttpClient client(loop_.base());
  int left = 5;
  HttpConnection::Done done = [&](const HttpResult& result) {
    EXPECT_EQ(result.body, "x");
    if (--left == 0) return loop_.Stop();
    client.Call(address_, "POST", "/", "x", Clock::now() + kLong, done);
  };
  client.Call(address_, "POST", "/", "x", Clock::now() + kLong, done);
  Run();
  EXPECT_EQ(server_->connections(), 1U);
}

}  // namespace
}  // namespace ryefold::wire
