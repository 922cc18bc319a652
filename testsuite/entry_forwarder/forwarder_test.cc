#include "ryefold/core/entry/forwarder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace ryefold::core::entry {
namespace {

using std::chrono::milliseconds;

TimePoint At(int64_t ms) { return TimePoint(milliseconds(ms)); }

StatementAnswer NotRun(Reason reason) {
  return StatementAnswer::NotRun(NotRunProof::ReportedByPeer(), reason,
                                 milliseconds(50));
}

StatementAnswer Done() { return StatementAnswer::Done("{}", {1, 1}); }

StatementRequest Write(int64_t deadline) {
  StatementRequest request;
  request.request_id = "r1";
  request.group = "g";
  request.workspace = "w";
  request.kind = StatementKind::kWrite;
  request.deadline = At(deadline);
  return request;
}

StatementRequest Read(int64_t deadline) {
  StatementRequest request = Write(deadline);
  request.kind = StatementKind::kRead;
  request.repeatable = true;
  return request;
}

StatementRequest InTransaction(Step step, int64_t deadline) {
  StatementRequest request = Write(deadline);
  request.step = step;
  request.transaction = "b~7~nonce";
  return request;
}

// Forwarder with instances a, b and c; collects the actions of each step.
class ForwarderTest : public testing::Test {
 protected:
  ForwarderTest()
      : forwarder_([this](TimePoint, const std::string&) { return ranked_; },
                   Timing(), 1) {}

  static ForwarderTiming Timing() {
    ForwarderTiming timing;
    timing.contact_timeout = milliseconds(700);
    timing.probe_timeout = milliseconds(300);
    timing.retry_burst = 5;
    return timing;
  }

  void Handle(int64_t ms, const Event& event) {
    actions_.clear();
    now_ = ms;
    forwarder_.Handle(At(ms), event, &actions_);
  }

  // Advances time through the forwarder's deadlines until it emits an action.
  void Wait(int64_t until) {
    actions_.clear();
    while (actions_.empty() && forwarder_.next_deadline() <= At(until)) {
      now_ = std::chrono::duration_cast<milliseconds>(
                 forwarder_.next_deadline().time_since_epoch())
                 .count();
      forwarder_.Handle(At(now_), Tick{}, &actions_);
    }
  }

  template <class T>
  const T* Find() const {
    for (const Action& action : actions_) {
      if (const T* found = std::get_if<T>(&action)) return found;
    }
    return nullptr;
  }

  std::string ForwardedTo() const {
    const Forward* forward = Find<Forward>();
    return forward == nullptr ? "" : forward->instance;
  }

  std::string SettledThrough() const {
    const Settle* settle = Find<Settle>();
    return settle == nullptr ? "" : settle->instance;
  }

  std::string Answer() const {
    const Respond* respond = Find<Respond>();
    if (respond == nullptr) return "";
    const StatementAnswer& answer = respond->answer;
    if (answer.kind() == OutcomeKind::kDone) return "done";
    const std::string reason(ReasonName(answer.reason()));
    return (answer.kind() == OutcomeKind::kNotRun ? "not_run " : "unknown ") +
           reason;
  }

  std::vector<std::string> ranked_ = {"a", "b", "c"};
  Forwarder forwarder_;
  std::vector<Action> actions_;
  int64_t now_ = 0;
};

TEST_F(ForwarderTest, GoesToTheFirstInRankAndBack) {
  Handle(0, RequestArrived{1, Write(5000)});
  EXPECT_EQ(ForwardedTo(), "a");
  Handle(5, PeerAnswered{1, Done()});
  EXPECT_EQ(Answer(), "done");
  EXPECT_EQ(forwarder_.in_progress(), 0U);
  EXPECT_EQ(forwarder_.next_deadline(), TimePoint::max());
}

TEST_F(ForwarderTest, WhatWasNeverSentGoesToTheNextAtOnce) {
  Handle(0, RequestArrived{1, Write(5000)});
  Handle(1, PeerFailed{1, /*may_have_arrived=*/false});
  EXPECT_EQ(ForwardedTo(), "b");
  EXPECT_NE(Find<Suspect>(), nullptr);
}

// The keeper fails while it holds a write. Sent again, the write could run
// twice, so the next instance in rank must settle its outcome.
TEST_F(ForwarderTest, ALostWriteIsSettledThroughTheNext) {
  Handle(0, RequestArrived{1, Write(5000)});
  Handle(5, PeerFailed{1, /*may_have_arrived=*/true});
  EXPECT_EQ(ForwardedTo(), "");
  EXPECT_EQ(SettledThrough(), "b");
  Handle(9, PeerAnswered{2, NotRun(Reason::kFenced)});
  EXPECT_EQ(Answer(), "not_run fenced");
}

TEST_F(ForwarderTest, ASettledWriteMayBeDone) {
  Handle(0, RequestArrived{1, Write(5000)});
  Handle(5, PeerFailed{1, true});
  Handle(9, PeerAnswered{2, Done()});
  EXPECT_EQ(Answer(), "done");
}

// The instance asked to settle is leaving and did nothing. Its "not run" must
// not be taken as the outcome of the write.
TEST_F(ForwarderTest, ARefusedSettleCallIsNoOutcome) {
  Handle(0, RequestArrived{1, Write(5000)});
  Handle(5, PeerFailed{1, true});
  Handle(6, PeerAnswered{2, NotRun(Reason::kShuttingDown)});
  EXPECT_EQ(Answer(), "");
  EXPECT_EQ(SettledThrough(), "c");
  Handle(7, PeerAnswered{3, NotRun(Reason::kOverloaded)});
  EXPECT_EQ(Answer(), "");
  Wait(5000);
  EXPECT_EQ(SettledThrough(), "a");
  while (Answer().empty()) Wait(6000);
  EXPECT_EQ(Answer(), "unknown instance_lost");
}

// The instance asked to settle is leaving and no longer has the group. The next
// one may answer at once; a backoff would only delay the caller.
TEST_F(ForwarderTest, ASettleCallTurnedAwayGoesToTheNextAtOnce) {
  Handle(0, RequestArrived{1, Write(5000)});
  Handle(5, PeerFailed{1, true});
  Handle(6, PeerAnswered{2, StatementAnswer::Unknown(Reason::kShuttingDown)});
  EXPECT_EQ(SettledThrough(), "c");
}

// A group was just published and the first instance in rank has not received
// it.
TEST_F(ForwarderTest, AnInstanceThatDoesNotKnowTheGroupIsPassedOver) {
  Handle(0, RequestArrived{1, Write(5000)});
  Handle(1, PeerAnswered{1, NotRun(Reason::kUnknownGroup)});
  EXPECT_EQ(ForwardedTo(), "b");
}

// The keeper freezes; its calls time out without an error.
TEST_F(ForwarderTest, AKeeperThatTimesOutIsSuspected) {
  Handle(0, RequestArrived{1, Write(5000)});
  Wait(699);
  EXPECT_TRUE(actions_.empty());
  Wait(700);
  ASSERT_EQ(actions_.size(), 1U);
  ASSERT_NE(Find<Probe>(), nullptr);
  EXPECT_EQ(Find<Probe>()->instance, "a");
  Wait(999);
  EXPECT_TRUE(actions_.empty());
  Wait(1000);
  EXPECT_EQ(SettledThrough(), "b");
  ASSERT_NE(Find<Suspect>(), nullptr);
  EXPECT_EQ(Find<Suspect>()->instance, "a");
  Handle(1100, PeerAnswered{1, Done()});
  EXPECT_EQ(Answer(), "done");
  EXPECT_NE(Find<Trust>(), nullptr);
  Handle(1200, PeerAnswered{2, Done()});
  EXPECT_TRUE(actions_.empty());
}

// A statement runs for seconds on an otherwise idle entry. If its healthy
// keeper were suspected for the missing answers, the next instance in rank
// would fence the write, and the caller would be answered "not run".
TEST_F(ForwarderTest, AKeeperThatAnswersProbesIsNotSuspected) {
  Handle(0, RequestArrived{1, Write(20000)});
  for (int probes = 0; probes < 10; ++probes) {
    Wait(19000);
    ASSERT_EQ(actions_.size(), 1U);
    ASSERT_NE(Find<Probe>(), nullptr);
    Handle(now_ + 299, ProbeAnswered{"a"});
    EXPECT_TRUE(actions_.empty());
  }
  Handle(now_ + 1, PeerAnswered{1, Done()});
  EXPECT_EQ(Answer(), "done");
}

// The wait in an overloaded group's queue exceeds the contact timeout while the
// keeper answers other calls. Suspecting the keeper would settle, and thereby
// fence, every queued write.
TEST_F(ForwarderTest, AKeeperThatAnswersOthersIsNotSuspected) {
  Handle(0, RequestArrived{1, Write(5000)});
  for (int64_t ms = 500; ms <= 3000; ms += 500) {
    const RequestTag tag = static_cast<RequestTag>(ms);
    Handle(ms, RequestArrived{tag, Read(9000)});
    const CallId call = Find<Forward>()->call;
    Handle(ms + 10, PeerAnswered{call, Done()});
    EXPECT_EQ(Find<Settle>(), nullptr);
  }
  Wait(3709);
  EXPECT_TRUE(actions_.empty());
  Wait(3710);
  EXPECT_NE(Find<Probe>(), nullptr);
  EXPECT_EQ(SettledThrough(), "");
  Wait(4009);
  EXPECT_EQ(SettledThrough(), "");
  Wait(4010);
  EXPECT_EQ(SettledThrough(), "b");
}

TEST_F(ForwarderTest, ARepeatableRequestIsSentToTheNextAfterABackoff) {
  Handle(0, RequestArrived{1, Read(5000)});
  Handle(5, PeerFailed{1, true});
  EXPECT_TRUE(ForwardedTo().empty());
  Wait(5000);
  EXPECT_EQ(ForwardedTo(), "b");
  EXPECT_LT(now_, 100);
  Handle(now_, PeerAnswered{2, Done()});
  EXPECT_EQ(Answer(), "done");
}

// A request crashes every keeper task that handles it. Retried until its
// deadline, it would crash one keeper after the other and fail requests of
// other groups.
TEST_F(ForwarderTest, ARequestThatKeepsLosingItsKeeperIsGivenUp) {
  Handle(0, RequestArrived{1, Read(60000)});
  int losses = 0;
  while (Answer().empty()) {
    ASSERT_LT(losses, 10);
    const Forward* forward = Find<Forward>();
    if (forward == nullptr) {
      Wait(60000);
      continue;
    }
    ++losses;
    const CallId call = forward->call;
    Handle(now_ + 1, PeerFailed{call, /*may_have_arrived=*/true});
  }
  EXPECT_EQ(losses, 3);
  EXPECT_EQ(Answer(), "unknown instance_lost");
  EXPECT_LT(now_, 1000);
}

// One copy was lost, the other is refused. The lost copy may have run, so the
// outcome is unknown.
TEST_F(ForwarderTest, ARefusalDoesNotDecideALostCopy) {
  Handle(0, RequestArrived{1, Read(5000)});
  Handle(5, PeerFailed{1, true});
  Wait(5000);
  Handle(now_, PeerAnswered{2, NotRun(Reason::kOverloaded)});
  EXPECT_EQ(Answer(), "unknown instance_lost");
}

TEST_F(ForwarderTest, ALostCopyIsUnknownAtTheDeadline) {
  Handle(0, RequestArrived{1, Read(6)});
  Handle(5, PeerFailed{1, true});
  Handle(6, Tick{});
  EXPECT_EQ(Answer(), "unknown deadline");
}

// One copy was lost, the next was certainly not sent, and the retry budget is
// exhausted. If the answer were "not run" because of the second copy, the
// caller would repeat a request that the first copy may have run.
TEST_F(ForwarderTest, AnUnsentCopyDoesNotDecideALostOne) {
  Handle(0, RequestArrived{1, Read(5000)});
  Handle(5, PeerFailed{1, true});
  while (Answer().empty()) {
    Wait(5000);
    while (const Forward* forward = Find<Forward>()) {
      const CallId call = forward->call;
      Handle(now_, PeerFailed{call, /*may_have_arrived=*/false});
    }
  }
  EXPECT_EQ(Answer(), "unknown instance_lost");
}

// The first keeper is slow. Its refusal must not end the request while the
// second keeper works on it.
TEST_F(ForwarderTest, ALateRefusalDoesNotEndWhatTheNextWorksOn) {
  Handle(0, RequestArrived{1, Read(5000)});
  while (ForwardedTo() != "b" && now_ < 4000) Wait(5000);
  EXPECT_EQ(ForwardedTo(), "b");
  Handle(now_ + 1, PeerAnswered{1, NotRun(Reason::kOverloaded)});
  EXPECT_EQ(Answer(), "");
  Handle(now_ + 1, PeerAnswered{2, Done()});
  EXPECT_EQ(Answer(), "done");
}

// A keeper that is being replaced refuses requests; the next instance in rank
// must take them without an error for the caller.
TEST_F(ForwarderTest, ALeavingKeeperIsPassedOver) {
  Handle(0, RequestArrived{1, Write(5000)});
  Handle(1, PeerAnswered{1, NotRun(Reason::kShuttingDown)});
  EXPECT_EQ(ForwardedTo(), "b");
  Handle(2, PeerAnswered{2, NotRun(Reason::kNotReady)});
  EXPECT_EQ(ForwardedTo(), "c");
  Handle(3, PeerAnswered{3, NotRun(Reason::kNotReady)});
  EXPECT_EQ(ForwardedTo(), "");
  Wait(5000);
  EXPECT_EQ(ForwardedTo(), "a");
  Handle(now_, PeerAnswered{4, Done()});
  EXPECT_EQ(Answer(), "done");
}

TEST_F(ForwarderTest, AnOverloadedKeeperIsNotPassedOver) {
  Handle(0, RequestArrived{1, Write(5000)});
  Handle(1, PeerAnswered{1, NotRun(Reason::kOverloaded)});
  EXPECT_EQ(Answer(), "not_run overloaded");
}

TEST_F(ForwarderTest, TheDeadlineEndsIt) {
  Handle(0, RequestArrived{1, Write(500)});
  Wait(600);
  EXPECT_EQ(Answer(), "unknown deadline");
  EXPECT_EQ(now_, 500);
  Handle(700, RequestArrived{2, Write(600)});
  EXPECT_EQ(Answer(), "not_run deadline");
}

TEST_F(ForwarderTest, NoKnownInstanceIsAnsweredAtOnce) {
  ranked_.clear();
  Handle(0, RequestArrived{1, Write(5000)});
  EXPECT_EQ(Answer(), "not_run not_ready");
  EXPECT_GT(Find<Respond>()->answer.retry_after(), milliseconds(0));
}

TEST_F(ForwarderTest, AbandonedRequestsAreForgotten) {
  Handle(0, RequestArrived{1, Write(5000)});
  Handle(1, RequestAbandoned{1});
  EXPECT_EQ(forwarder_.in_progress(), 0U);
  Handle(2, PeerAnswered{1, Done()});
  EXPECT_TRUE(actions_.empty());
}

TEST_F(ForwarderTest, TransactionStepsGoOnlyToTheHolder) {
  Handle(0, RequestArrived{1, InTransaction(Step::kStatement, 5000)});
  EXPECT_EQ(ForwardedTo(), "b");
  Handle(1, PeerFailed{1, false});
  EXPECT_EQ(ForwardedTo(), "");
  Wait(5000);
  EXPECT_EQ(ForwardedTo(), "b");
  Handle(now_, PeerFailed{2, false});
  EXPECT_EQ(Answer(), "not_run transaction_lost");
}

TEST_F(ForwarderTest, ATransactionStepThatMayHaveArrivedIsUnknown) {
  Handle(0, RequestArrived{1, InTransaction(Step::kStatement, 5000)});
  Handle(1, PeerFailed{1, true});
  EXPECT_EQ(Answer(), "unknown instance_lost");
}

// The holder of the transaction fails during the commit. Only the database has
// the outcome, so any instance can settle it.
TEST_F(ForwarderTest, ALostCommitIsSettledThroughTheFirstInRank) {
  Handle(0, RequestArrived{1, InTransaction(Step::kCommit, 5000)});
  EXPECT_EQ(ForwardedTo(), "b");
  Handle(1, PeerFailed{1, true});
  EXPECT_EQ(SettledThrough(), "a");
  Handle(2, PeerAnswered{2, Done()});
  EXPECT_EQ(Answer(), "done");
}

TEST_F(ForwarderTest, ACommitWhoseHolderIsUnreachableIsSettled) {
  Handle(0, RequestArrived{1, InTransaction(Step::kCommit, 5000)});
  Handle(1, PeerFailed{1, false});
  Wait(5000);
  EXPECT_EQ(ForwardedTo(), "b");
  Handle(now_, PeerFailed{2, false});
  EXPECT_EQ(SettledThrough(), "a");
  Handle(now_, PeerAnswered{3, NotRun(Reason::kFenced)});
  EXPECT_EQ(Answer(), "not_run fenced");
}

TEST(TransactionId, NamesItsInstance) {
  EXPECT_EQ(TransactionKeeper("instance-3~12~00ff"), "instance-3");
  EXPECT_EQ(TransactionKeeper(""), "");
}

// All instances fail every call for a while. One retry per failure would
// multiply the load on the first instance that recovers.
TEST(ForwarderStorm, RetriesAreBoundedByTheBudget) {
  constexpr int kRequests = 2000;
  ForwarderTiming timing;
  Forwarder forwarder(
      [](TimePoint, const std::string&) {
        return std::vector<std::string>{"a", "b", "c"};
      },
      timing, 1);
  std::vector<Action> actions;
  size_t forwards = 0;
  size_t answers = 0;
  const auto fail_all = [&](int64_t ms) {
    while (!actions.empty()) {
      std::vector<Action> now = std::move(actions);
      actions.clear();
      for (const Action& action : now) {
        if (std::holds_alternative<Respond>(action)) ++answers;
        const auto* forward = std::get_if<Forward>(&action);
        if (forward == nullptr) continue;
        ++forwards;
        forwarder.Handle(At(ms), PeerFailed{forward->call, ms % 2 == 0},
                         &actions);
      }
    }
  };
  for (int64_t ms = 0; ms < kRequests; ++ms) {
    forwarder.Handle(
        At(ms),
        RequestArrived{static_cast<RequestTag>(ms + 1), Read(ms + 5000)},
        &actions);
    fail_all(ms);
  }
  for (int64_t ms = kRequests; forwarder.in_progress() > 0; ++ms) {
    forwarder.Handle(At(ms), Tick{}, &actions);
    fail_all(ms);
  }
  EXPECT_EQ(answers, static_cast<size_t>(kRequests));
  EXPECT_LE(static_cast<double>(forwards),
            kRequests * (1 + timing.retry_ratio) + timing.retry_burst);
}

}  // namespace
}  // namespace ryefold::core::entry
