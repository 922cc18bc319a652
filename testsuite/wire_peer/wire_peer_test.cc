#include <gtest/gtest.h>

#include "ryefold/task/loop.h"
#include "ryefold/wire/peer.h"
#include "testsuite/support/wire/raw_socket.h"

namespace ryefold::wire {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kLong{30};
constexpr milliseconds kShort{50};

std::string LocalAddress(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// A process that stands still: its kernel accepts connections and what is
/// sent, and nothing reads.
class FrozenPeer {
 public:
  FrozenPeer() { EXPECT_NE(listener_.port(), 0); }
  std::string address() const { return LocalAddress(listener_.port()); }

 private:
  const testing::RawListener listener_;
};

/// Server and client on one loop.
class PeerTest : public ::testing::Test {
 protected:
  PeerTest() {
    loop_.At(Clock::now() + kLong, [this] {
      ADD_FAILURE() << "nothing happened";
      loop_.Stop();
    });
  }

  void Listen(PeerServer::Handler handler) {
    server_ = std::make_unique<PeerServer>(loop_.base(), std::move(handler));
    ASSERT_EQ(server_->Listen("127.0.0.1:0"), "");
    client_ = std::make_unique<PeerClient>(loop_.base(),
                                           LocalAddress(server_->port()));
  }

  /// Makes a call whose result is kept; the loop stops after `stop_after`.
  uint64_t Call(const std::string& body, Clock::time_point deadline) {
    return Call(body, CallTerms{deadline, {}, false});
  }
  uint64_t Call(const std::string& body, const CallTerms& terms) {
    return client_->Call("/peer/test", body, terms,
                         [this, body](const PeerResult& result) {
                           results_[body].push_back(result);
                           if (++done_ == stop_after_) loop_.Stop();
                         });
  }

  uint64_t Call(const std::string& body) {
    return Call(body, Clock::now() + kLong);
  }

  CallStatus StatusOf(const std::string& body) {
    const std::vector<PeerResult>& results = results_[body];
    EXPECT_EQ(results.size(), 1U) << body;
    return results.empty() ? CallStatus::kOk : results.front().status;
  }

  task::Loop loop_;
  std::unique_ptr<PeerServer> server_;
  std::unique_ptr<PeerClient> client_;
  std::map<std::string, std::vector<PeerResult>> results_;
  size_t done_ = 0;
  size_t stop_after_ = 1;
};

// Answers to hundreds of calls on one connection come back in another order
// than the calls went out. Matching them by order would hand each caller
// somebody else's rows.
TEST_F(PeerTest, AnswersOutOfOrderReachTheirOwnCallers) {
  constexpr size_t kCalls = 500;
  stop_after_ = kCalls;
  std::vector<PeerCall> held;
  Listen([&](const PeerCall& call) {
    held.push_back(call);
    if (held.size() < kCalls) return;
    for (auto late = held.rbegin(); late != held.rend(); ++late) {
      late->Reply("answer to " + late->body());
    }
  });
  for (size_t i = 0; i < kCalls; ++i) Call(std::to_string(i));
  loop_.Run();
  ASSERT_EQ(results_.size(), kCalls);
  for (const auto& [body, results] : results_) {
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].status, CallStatus::kOk);
    EXPECT_EQ(results[0].body, "answer to " + body);
  }
  EXPECT_EQ(server_->in_progress(), 0U);
}

TEST_F(PeerTest, LargeBodiesPassBothWaysBesideSmallOnes) {
  stop_after_ = 3;
  Listen([](const PeerCall& call) { call.Reply(call.path() + call.body()); });
  const std::string large(3 << 20, 'x');
  Call(large);
  Call("");
  Call("small");
  loop_.Run();
  EXPECT_EQ(results_[large].at(0).body, "/peer/test" + large);
  EXPECT_EQ(results_[""].at(0).body, "/peer/test");
  EXPECT_EQ(results_["small"].at(0).body, "/peer/testsmall");
}

// A keeper that has stepped down refuses the stream before it looks at it. The
// entry may only try elsewhere because nothing was done here.
TEST_F(PeerTest, RefusedStreamWasNotSent) {
  Listen([](const PeerCall& call) {
    call.Refuse();
    call.Reply("too late");
  });
  Call("x");
  loop_.Run();
  EXPECT_EQ(StatusOf("x"), CallStatus::kNotSent);
}

// A caller's statement is larger than a peer takes. Cut off in the middle it
// must not be acted on.
TEST_F(PeerTest, OversizedCallIsRefusedUnseen) {
  bool seen = false;
  Listen([&](const PeerCall&) { seen = true; });
  Call(std::string(5 << 20, 'x'));
  loop_.Run();
  EXPECT_EQ(results_.begin()->second.at(0).status, CallStatus::kNotSent);
  EXPECT_FALSE(seen);
}

// An instance stops in order while calls are under way and more arrive. The
// ones it holds are answered, the new ones are told that they never ran.
TEST_F(PeerTest, GoawayFinishesWhatIsOpenAndRefusesTheRest) {
  stop_after_ = 2;
  std::unique_ptr<PeerCall> held;
  Listen([&](const PeerCall& call) {
    held = std::make_unique<PeerCall>(call);
    server_->StopAccepting();
    loop_.Post([&] { Call("late"); });
    loop_.At(Clock::now() + kShort, [&] { held->Reply("done"); });
  });
  Call("early");
  loop_.Run();
  EXPECT_EQ(StatusOf("early"), CallStatus::kOk);
  EXPECT_EQ(StatusOf("late"), CallStatus::kNotSent);
}

// The keeper's process dies with a statement in hand. Whether it ran is not
// known, and saying "not run" would invite a second work order.
TEST_F(PeerTest, PeerLostInMidCallIsNotCalledUnsent) {
  Listen([&](const PeerCall&) { loop_.Post([&] { server_.reset(); }); });
  Call("x");
  loop_.Run();
  EXPECT_EQ(StatusOf("x"), CallStatus::kLost);
}

TEST_F(PeerTest, NobodyListeningMeansNotSent) {
  constexpr size_t kCalls = 100;
  stop_after_ = kCalls;
  Listen([](const PeerCall&) {});
  server_.reset();
  for (size_t i = 0; i < kCalls; ++i) Call(std::to_string(i));
  loop_.Run();
  for (const auto& [body, results] : results_) {
    EXPECT_EQ(results.at(0).status, CallStatus::kNotSent) << body;
  }
}

TEST_F(PeerTest, ConnectsAgainAfterALoss) {
  uint16_t port = 0;
  Listen([](const PeerCall& call) { call.Reply("first"); });
  port = server_->port();
  client_->Call("/", "", Clock::now() + kLong, [&](const PeerResult& first) {
    EXPECT_EQ(first.body, "first");
    loop_.Post([&] {
      server_ = std::make_unique<PeerServer>(
          loop_.base(), [](const PeerCall& call) { call.Reply("second"); });
      ASSERT_EQ(server_->Listen(LocalAddress(port)), "");
      loop_.At(Clock::now() + kShort, [&] { Call("x"); });
    });
  });
  loop_.Run();
  EXPECT_EQ(results_["x"].at(0).body, "second");
}

// A keeper is slow and answers after the deadline. The answer must go to
// nobody, neither to the caller that has been told already nor to the next.
TEST_F(PeerTest, AnswerAfterTheDeadlineGoesToNobody) {
  stop_after_ = 2;
  std::vector<PeerCall> held;
  bool gone = false;
  Listen([&](const PeerCall& call) {
    if (call.body() == "next") return call.Reply("to next");
    call.OnGone([&, slow = call] {
      gone = true;
      slow.Reply("to slow");
      Call("next");
    });
  });
  Call("slow", Clock::now() + kShort);
  loop_.Run();
  EXPECT_TRUE(gone);
  EXPECT_EQ(StatusOf("slow"), CallStatus::kLost);
  EXPECT_EQ(results_["next"].at(0).body, "to next");
}

// A frozen process: its kernel still accepts and acknowledges, but nothing
// reads. The caller has its answer at the deadline all the same, and since the
// request may be read on waking, that answer is not "not sent".
TEST_F(PeerTest, FrozenPeerIsLostAtTheDeadline) {
  const FrozenPeer frozen;
  client_ = std::make_unique<PeerClient>(loop_.base(), frozen.address());
  Call("x", Clock::now() + kShort);
  loop_.Run();
  EXPECT_EQ(StatusOf("x"), CallStatus::kLost);
}

// A statement is about to go to a keeper that has lost power or is frozen. Once
// sent it may run at any later time, and a write would be in doubt for its
// caller. Held back until the keeper shows that it lives, it has not run and
// can go to another.
TEST_F(PeerTest, HeldBackCallIsNotSentToASilentPeer) {
  const FrozenPeer frozen;
  client_ = std::make_unique<PeerClient>(loop_.base(), frozen.address());
  CallTerms terms;
  terms.deadline = Clock::now() + kLong;
  terms.alive_by = Clock::now() + kShort;
  Call("x", terms);
  loop_.Run();
  EXPECT_EQ(StatusOf("x"), CallStatus::kNotSent);
}

TEST_F(PeerTest, HeldBackCallGoesOutOnceThePeerIsHeard) {
  stop_after_ = 2;
  Listen([](const PeerCall& call) { call.Reply(call.body()); });
  CallTerms terms;
  terms.deadline = Clock::now() + kLong;
  terms.alive_by = terms.deadline;
  // The first waits for the connection, the second for the answer to a ping.
  Call("first", terms);
  loop_.At(Clock::now() + 10 * kShort, [&] { Call("second", terms); });
  loop_.Run();
  EXPECT_EQ(StatusOf("first"), CallStatus::kOk);
  EXPECT_EQ(StatusOf("second"), CallStatus::kOk);
}

// A keeper freezes with statements under way. What may run again elsewhere is
// given up long before its time is over; what may have had an effect is not,
// since its answer may still come.
TEST_F(PeerTest, OnlyWhatMayRunAgainIsGivenUpInSilence) {
  const FrozenPeer frozen;
  client_ = std::make_unique<PeerClient>(loop_.base(), frozen.address());
  CallTerms terms;
  terms.deadline = Clock::now() + kLong;
  Call("write", terms);
  terms.lost_in_silence = true;
  Call("read", terms);
  loop_.Run();
  EXPECT_EQ(StatusOf("read"), CallStatus::kLost);
  EXPECT_EQ(results_.count("write"), 0U);
}

// A statement takes long, and nothing else comes from its keeper meanwhile. The
// keeper answers pings, so its caller must get the answer.
TEST_F(PeerTest, ASlowAnswerIsNoSilence) {
  std::unique_ptr<PeerCall> held;
  Listen([&](const PeerCall& call) {
    held = std::make_unique<PeerCall>(call);
    loop_.At(Clock::now() + 20 * kShort, [&] { held->Reply("late"); });
  });
  CallTerms terms;
  terms.deadline = Clock::now() + kLong;
  terms.lost_in_silence = true;
  Call("x", terms);
  loop_.Run();
  EXPECT_EQ(StatusOf("x"), CallStatus::kOk);
}

// A keeper freezes and thousands of calls to it run into their deadlines
// within a moment. Each resets its stream; nghttp2 takes such a burst for an
// attack and turns further streams away, so callers find the keeper refusing
// and reconnecting just as it comes back.
TEST_F(PeerTest, BurstOfResetsKeepsTheConnection) {
  constexpr size_t kCalls = 5000;
  stop_after_ = kCalls + 2;
  std::unique_ptr<PeerCall> held;
  size_t gone = 0;
  Listen([&](const PeerCall& call) {
    if (call.body() == "held") {
      held = std::make_unique<PeerCall>(call);
    } else if (call.body() == "next") {
      call.Reply("");
      held->Reply("");
    } else {
      call.OnGone([&] {
        if (++gone == kCalls) loop_.Post([&] { Call("next"); });
      });
    }
  });
  Call("held");
  for (size_t i = 0; i < kCalls; ++i) {
    Call(std::to_string(i), Clock::now() + milliseconds(200));
  }
  loop_.Run();
  EXPECT_EQ(StatusOf("held"), CallStatus::kOk);
  EXPECT_EQ(StatusOf("next"), CallStatus::kOk);
  EXPECT_EQ(server_->connections(), 1U);
}

TEST_F(PeerTest, CancelledCallHearsNothing) {
  Listen([&](const PeerCall& call) {
    if (call.body() == "other") return call.Reply("");
    call.OnGone([&] { Call("other"); });
    loop_.Post([&] { client_->Cancel(1); });
  });
  ASSERT_EQ(Call("cancelled"), 1U);
  loop_.Run();
  EXPECT_TRUE(results_["cancelled"].empty());
  EXPECT_EQ(StatusOf("other"), CallStatus::kOk);
}

TEST_F(PeerTest, ClientMayBeDestroyedInItsCallback) {
  Listen([](const PeerCall& call) { call.Reply(""); });
  for (int i = 0; i < 10; ++i) {
    client_->Call("/", "", Clock::now() + kLong, [&](const PeerResult&) {
      ASSERT_NE(client_, nullptr) << "called after its end";
      client_.reset();
      loop_.At(Clock::now() + kShort, [&] { loop_.Stop(); });
    });
  }
  loop_.Run();
  EXPECT_EQ(client_, nullptr);
}

}  // namespace
}  // namespace ryefold::wire
