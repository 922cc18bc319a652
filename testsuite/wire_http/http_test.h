#pragma once

// What the HTTP tests share: one loop, a server, peers on threads.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "ryefold/task/loop.h"
#include "ryefold/wire/http.h"
#include "testsuite/support/wire/raw_socket.h"

namespace ryefold::wire {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using testing::RawListener;
using testing::RawSocket;

constexpr std::chrono::seconds kLong{20};
constexpr milliseconds kShort{50};

inline std::string LocalAddress(uint16_t port) {
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

  /// The result of a call that may take long but not keep silent for long, to a
  /// peer that sends `begun` and then nothing.
  HttpResult CallToOneThatFallsSilentAfter(const std::string& begun) {
    const RawListener listener;
    HttpResult got{CallStatus::kOk, 0, "not called"};
    HttpConnection connection(loop_.base(), LocalAddress(listener.port()),
                              [] {});
    connection.Send("GET", "/", "",
                    core::AnswerLimits{Clock::now() + kLong, kShort},
                    [&](const HttpResult& result) { got = result; });
    RunBeside([&] {
      const RawSocket socket = listener.Accept();
      socket.ReadHead();
      socket.Send(begun);
      EXPECT_EQ(socket.ReadAll(), "");  // until the client closes
    });
    return got;
  }

  task::Loop loop_;
  std::unique_ptr<HttpServer> server_;
  std::string address_;
};

inline void Echo(const HttpExchange& exchange) {
  exchange.Reply({200, exchange.body(), "application/json", {}});
}

inline bool StartsWith(const std::string& text, const std::string& start) {
  return text.compare(0, start.size(), start) == 0;
}

}  // namespace ryefold::wire
