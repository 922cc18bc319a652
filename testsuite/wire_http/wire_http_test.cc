#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

#include "ryefold/task/loop.h"
#include "ryefold/wire/http.h"
#include "testsuite/support/wire/raw_socket.h"

namespace ryefold::wire {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using testing::RawListener;
using testing::RawSocket;

constexpr std::chrono::seconds kLong{20};
constexpr milliseconds kShort{50};

std::string LocalAddress(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// One loop with a server whose handler a test chooses. Blocking peers run on
/// threads of their own and stop the loop when they are through.
class HttpTest : public ::testing::Test {
 protected:
  void Listen(HttpServer::Handler handler, HttpLimits limits = {}) {
    server_ =
        std::make_unique<HttpServer>(loop_.base(), limits, std::move(handler));
    ASSERT_EQ(server_->Listen("127.0.0.1:0"), "");
    address_ = LocalAddress(server_->port());
  }

  void Run() {
    const task::TimerId guard = loop_.At(Clock::now() + kLong, [this] {
      ADD_FAILURE() << "nothing happened";
      loop_.Stop();
    });
    loop_.Run();
    loop_.Cancel(guard);
  }

  /// Runs the loop beside `peer`, until that returns.
  template <class Peer>
  void RunBeside(const Peer& peer) {
    std::thread thread([&] {
      peer();
      loop_.Stop();
    });
    Run();
    thread.join();
  }

  /// What the server says to `request` before it closes.
  std::string Exchange(const std::string& request) {
    std::string answer;
    RunBeside([&] {
      const RawSocket socket = RawSocket::Connect(server_->port());
      socket.Send(request);
      answer = socket.ReadAll();
    });
    return answer;
  }

  /// The result of a call to a peer that answers with `answer` and closes.
  HttpResult CallAnsweredBy(const std::string& answer) {
    const RawListener listener;
    std::thread peer([&] {
      const RawSocket socket = listener.Accept();
      socket.ReadHead();
      socket.Send(answer);
    });
    HttpResult got{CallStatus::kOk, 0, "not called"};
    HttpConnection connection(loop_.base(), LocalAddress(listener.port()),
                              [] {});
    connection.Send("POST", "/", "", Clock::now() + kLong,
                    [&](const HttpResult& result) {
                      got = result;
                      loop_.Stop();
                    });
    Run();
    peer.join();
    return got;
  }

  task::Loop loop_;
  std::unique_ptr<HttpServer> server_;
  std::string address_;
};

void Echo(const HttpExchange& exchange) {
  exchange.Reply({200, exchange.body(), "application/json", {}});
}

bool StartsWith(const std::string& text, const std::string& start) {
  return text.compare(0, start.size(), start) == 0;
}

TEST_F(HttpTest, AnswersOnOneConnectionInTurn) {
  Listen([](const HttpExchange& exchange) {
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

TEST_F(HttpTest, HandlerSeesHeadersAndQuery) {
  Listen([](const HttpExchange& exchange) {
    exchange.Reply({200,
                    exchange.header("authorization") + exchange.query("name") +
                        exchange.query("none") + exchange.header("none"),
                    "text/plain",
                    {{"Retry-After", "3"}}});
  });
  const std::string answer = Exchange(
      "GET /metrics?name=c%26d HTTP/1.1\r\nAuthorization: Bearer k\r\n"
      "Connection: close\r\n\r\n");
  EXPECT_TRUE(StartsWith(answer, "HTTP/1.1 200 ")) << answer;
  EXPECT_NE(answer.find("Retry-After: 3\r\n"), std::string::npos);
  EXPECT_NE(answer.find("\r\n\r\nBearer kc&d"), std::string::npos) << answer;
}

// Broken requests, by accident or on purpose. Each client is told what is
// wrong with it, the handler never sees it, and the server goes on.
TEST_F(HttpTest, BrokenRequestsGetAClearRefusal) {
  struct Case {
    std::string request;
    std::string answer;
  };
  const std::string post = "POST / HTTP/1.1\r\n";
  const std::vector<Case> cases = {
      {post + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'x'), "413"},
      {post + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" +
           std::string(5000, 'x'),
       "413"},
      {post + "X: " + std::string(5000, 'x') + "\r\n\r\n", "400"},
      {"GET /" + std::string(5000, 'x') + " HTTP/1.1\r\n\r\n", "400"},
      {post + "Content-Length: -5\r\n\r\n", "400"},
      {post + "Content-Length: 5x\r\n\r\nhello", "400"},
      {post + "no colon\r\n\r\n", "400"},
      {"no request at all\r\n\r\n", "400"},
      {"GET / HTTP/9.9\r\n\r\n", "400"},
      {"BREW / HTTP/1.1\r\n\r\n", "501"},
  };
  HttpLimits limits;
  limits.max_body = 1000;
  limits.max_headers = 2000;
  Listen(
      [&](const HttpExchange& exchange) {
        EXPECT_EQ(exchange.body(), "good");
        Echo(exchange);
      },
      limits);
  RunBeside([&] {
    for (const Case& broken : cases) {
      const RawSocket socket = RawSocket::Connect(server_->port());
      socket.Send(broken.request);
      const std::string answer = socket.ReadAll();
      EXPECT_TRUE(StartsWith(answer, "HTTP/1.1 " + broken.answer))
          << broken.request.substr(0, 60) << " got " << answer;
    }
    const RawSocket socket = RawSocket::Connect(server_->port());
    socket.Send(post + "Content-Length: 4\r\nConnection: close\r\n\r\ngood");
    EXPECT_TRUE(StartsWith(socket.ReadAll(), "HTTP/1.1 200 "));
  });
}

// A client sends a byte now and then. Timeouts between bytes never fire, and
// enough such clients use up all connections: nobody else gets in.
TEST_F(HttpTest, TricklingSenderIsCutOff) {
  constexpr int kTries = 500;
  HttpLimits limits;
  limits.receive_timeout = milliseconds(200);
  Listen(Echo, limits);
  std::string answer;
  int sent = 0;
  RunBeside([&] {
    const RawSocket socket = RawSocket::Connect(server_->port());
    while (sent < kTries && socket.Send("G")) {
      ++sent;
      if (socket.WaitReadable(milliseconds(20))) break;
    }
    answer = socket.ReadAll();
  });
  EXPECT_LT(sent, kTries);
  // A byte that crosses the refusal makes the kernel drop it.
  EXPECT_TRUE(answer.empty() || StartsWith(answer, "HTTP/1.1 408 ")) << answer;
  EXPECT_EQ(server_->connections(), 0U);
}

TEST_F(HttpTest, SlowHandlerIsNotASlowSender) {
  HttpLimits limits;
  limits.receive_timeout = kShort;
  Listen(
      [&](const HttpExchange& exchange) {
        loop_.At(Clock::now() + 4 * kShort, [=] { Echo(exchange); });
      },
      limits);
  const std::string answer = Exchange(
      "POST / HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx");
  EXPECT_TRUE(StartsWith(answer, "HTTP/1.1 200 ")) << answer;
}

TEST_F(HttpTest, SilentConnectionIsClosedWhenIdleTooLong) {
  HttpLimits limits;
  limits.idle_timeout = kShort;
  Listen(Echo, limits);
  EXPECT_EQ(Exchange(""), "");
  EXPECT_EQ(server_->connections(), 0U);
}

TEST_F(HttpTest, OneConnectionTooManyIsTurnedAway) {
  HttpLimits limits;
  limits.max_connections = 2;
  Listen(Echo, limits);
  RunBeside([&] {
    RawSocket first = RawSocket::Connect(server_->port());
    const RawSocket second = RawSocket::Connect(server_->port());
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    first.Send(request);
    first.ReadHead();
    second.Send(request);
    second.ReadHead();
    const RawSocket third = RawSocket::Connect(server_->port());
    EXPECT_TRUE(StartsWith(third.ReadAll(), "HTTP/1.1 503 "));
    second.Send(request);
    EXPECT_TRUE(StartsWith(second.ReadHead(), "HTTP/1.1 200 "));
  });
  EXPECT_LE(server_->connections(), 2U);
}

int accept_warnings = 0;

/// Takes file descriptors until none is left; gives them back at its end.
class AllDescriptors {
 public:
  AllDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    constexpr rlim_t kFew = 200;
    const rlimit few{kFew, before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &few);
    for (int fd = dup(0); fd >= 0; fd = dup(0)) taken_.push_back(fd);
  }
  AllDescriptors(const AllDescriptors&) = delete;
  AllDescriptors& operator=(const AllDescriptors&) = delete;
  ~AllDescriptors() {
    GiveBack(taken_.size());
    setrlimit(RLIMIT_NOFILE, &before_);
  }

  void GiveBack(size_t count) {
    for (; count > 0; --count) {
      close(taken_.back());
      taken_.pop_back();
    }
  }

 private:
  rlimit before_{};
  std::vector<int> taken_;
};

// The process has no file descriptor left. A connection that cannot be
// accepted keeps waking the loop, which does nothing else but fail; the warning
// would be logged thousands of times a second.
TEST_F(HttpTest, LackOfDescriptorsDoesNotSpin) {
  Listen(Echo);
  event_set_log_callback([](int, const char*) { ++accept_warnings; });
  std::string answer;
  {
    AllDescriptors all;
    all.GiveBack(1);
    RawSocket socket = RawSocket::Connect(server_->port());
    loop_.At(Clock::now() + 3 * kShort, [&] { all.GiveBack(20); });
    RunBeside([&] {
      socket.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
      answer = socket.ReadAll();
    });
  }
  event_set_log_callback(nullptr);
  EXPECT_TRUE(StartsWith(answer, "HTTP/1.1 200 ")) << answer;
  EXPECT_EQ(accept_warnings, 0);
}

// A caller gives up while its statement waits in a queue. Without being told,
// the server would go on to run it for nobody.
TEST_F(HttpTest, ClientGoneBeforeTheAnswerIsNoticed) {
  bool gone = false;
  Listen([&](const HttpExchange& exchange) {
    exchange.OnGone([&, exchange] {
      gone = true;
      Echo(exchange);  // does nothing
      loop_.Stop();
    });
  });
  std::thread client([&] {
    const RawSocket socket = RawSocket::Connect(server_->port());
    socket.Send("GET / HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(kShort);
  });
  Run();
  client.join();
  EXPECT_TRUE(gone);
  EXPECT_EQ(server_->in_progress(), 0U);
  EXPECT_EQ(server_->connections(), 0U);
}

TEST_F(HttpTest, AnswerMayOutliveTheServer) {
  std::vector<HttpExchange> held;
  Listen([&](const HttpExchange& exchange) {
    exchange.OnGone([] { FAIL() << "told by a server that is gone"; });
    held.push_back(exchange);
    loop_.Stop();
  });
  HttpConnection connection(loop_.base(), address_, [] {});
  connection.Send("POST", "/", "x", Clock::now() + kLong,
                  [](const HttpResult&) {});
  Run();
  server_.reset();
  ASSERT_EQ(held.size(), 1U);
  Echo(held[0]);
  EXPECT_EQ(held[0].body(), "x");
}

// A defect throws in a handler, which libevent calls. The task has to end in
// order, so that its supervisor can start it anew, and the client must not be
// left hanging.
TEST_F(HttpTest, ExceptionInAHandlerReachesTheLoopsOwner) {
  Listen([&](const HttpExchange&) { throw std::runtime_error("defect"); });
  std::string answer = "none";
  std::thread client([&] {
    const RawSocket socket = RawSocket::Connect(server_->port());
    socket.Send("GET / HTTP/1.1\r\n\r\n");
    answer = socket.ReadAll();
  });
  EXPECT_THROW(loop_.Run(), std::runtime_error);
  server_.reset();
  client.join();
  EXPECT_EQ(answer, "");
}

// An instance stops in order. The request in progress is answered and the
// client learns that it has to connect elsewhere.
TEST_F(HttpTest, StoppingServerAnswersAndAsksToClose) {
  Listen([&](const HttpExchange& exchange) {
    server_->StopAccepting();
    loop_.At(Clock::now() + kShort, [=] { Echo(exchange); });
  });
  const std::string answer = Exchange("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(StartsWith(answer, "HTTP/1.1 200 ")) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_FALSE(RawSocket::Connect(server_->port()).Send("x"));
}

TEST_F(HttpTest, PipelinedRequestsAreAnsweredInOrder) {
  Listen([&](const HttpExchange& exchange) {
    loop_.Post([=] { Echo(exchange); });
  });
  const std::string post = "POST / HTTP/1.1\r\nContent-Length: 3\r\n";
  const std::string answer = Exchange(post + "\r\none" + post + "\r\ntwo" +
                                      post + "Connection: close\r\n\r\nend");
  EXPECT_LT(answer.find("one"), answer.find("two"));
  EXPECT_LT(answer.find("two"), answer.find("end"));
  EXPECT_NE(answer.find("end"), std::string::npos);
}

// ---- the calling side ----

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
