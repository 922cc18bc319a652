#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "ryefold/task/loop.h"
#include "ryefold/task/mailbox.h"
#include "ryefold/task/supervisor.h"

namespace ryefold::task {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::hours kLongWindow{1};

/// A thread-safe list of events in order.
class EventList {
 public:
  void Add(const std::string& line) {
    std::lock_guard<std::mutex> lock(mutex_);
    lines_.push_back(line);
  }
  std::vector<std::string> lines() {
    std::lock_guard<std::mutex> lock(mutex_);
    return lines_;
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> lines_;
};

/// A task that runs a test's function when it starts.
class ScriptedTask : public Task {
 public:
  ScriptedTask(std::string name, EventList* events_seen,
               std::function<void(Loop*)> start)
      : name_(std::move(name)),
        events_seen_(events_seen),
        start_(std::move(start)) {}

  void Start(Loop* loop) override {
    events_seen_->Add("start " + name_);
    if (start_) start_(loop);
  }
  void Stop() override { events_seen_->Add("stop " + name_); }

 private:
  const std::string name_;
  EventList* events_seen_;
  const std::function<void(Loop*)> start_;
};

Supervisor::Factory Scripted(const std::string& name, EventList* events_seen,
                             const std::function<void(Loop*)>& start = {}) {
  return
      [=] { return std::make_unique<ScriptedTask>(name, events_seen, start); };
}

void Fail(Loop* loop) {
  loop->Post([] { throw std::runtime_error("broken"); });
}

TEST(Loop, RunsPostedWorkInOrderAcrossThreads) {
  constexpr int kEach = 1000;
  Loop loop;
  std::vector<int> seen;
  std::thread poster([&] {
    for (int i = 0; i < kEach; ++i) loop.Post([&, i] { seen.push_back(i); });
    loop.Post([&] { loop.Stop(); });
  });
  loop.Run();
  poster.join();
  ASSERT_EQ(seen.size(), static_cast<size_t>(kEach));
  EXPECT_TRUE(std::is_sorted(seen.begin(), seen.end()));
}

TEST(Loop, TimersFireInOrderAndNeverEarly) {
  Loop loop;
  std::vector<int> fired;
  const TimePoint start = std::chrono::steady_clock::now();
  TimePoint at;
  const auto late = loop.At(start + milliseconds(30), [&] {
    fired.push_back(3);
    loop.Stop();
  });
  loop.At(start + milliseconds(20), [&] {
    fired.push_back(2);
    at = std::chrono::steady_clock::now();
  });
  loop.At(start, [&] { fired.push_back(1); });
  loop.Cancel(loop.At(start + milliseconds(10), [&] { fired.push_back(9); }));
  loop.Run();
  loop.Cancel(late);
  EXPECT_EQ(fired, (std::vector<int>{1, 2, 3}));
  EXPECT_GE(at - start, milliseconds(20));
}

TEST(Loop, StopBeforeRunTakesEffect) {
  Loop loop;
  loop.Stop();
  loop.Run();
}

TEST(Loop, ExceptionLeavesRun) {
  Loop loop;
  Fail(&loop);
  EXPECT_THROW(loop.Run(), std::runtime_error);
}

TEST(Supervisor, StartsInOrderAndStopsInReverse) {
  EventList events_seen;
  Supervisor root("root", {});
  for (const char* name : {"a", "b", "c"}) {
    root.Add(name, Scripted(name, &events_seen));
  }
  root.Start();
  root.Shutdown();
  EXPECT_TRUE(root.Wait());
  EXPECT_EQ(events_seen.lines(),
            (std::vector<std::string>{"start a", "start b", "start c", "stop c",
                                      "stop b", "stop a"}));
}

// A defect makes one task throw. Without a restart, its part of the service
// would be down until the process is restarted; other tasks must not be
// affected.
TEST(Supervisor, FailedTaskIsRestartedAlone) {
  EventList events_seen;
  std::atomic<int> runs = 0;
  Supervisor root("root", {});
  std::vector<ChildEvent> events;
  root.SetChildListener(
      [&](const ChildEvent& event) { events.push_back(event); });
  root.Add("steady", Scripted("steady", &events_seen));
  root.Add("shaky", Scripted("shaky", &events_seen, [&](Loop* loop) {
             if (++runs < 3) return Fail(loop);
             loop->Post([&] { root.Shutdown(); });
           }));
  root.Start();
  EXPECT_TRUE(root.Wait());
  EXPECT_EQ(root.restarts(), 2U);
  EXPECT_EQ(events_seen.lines(),
            (std::vector<std::string>{
                "start steady", "start shaky", "stop shaky", "start shaky",
                "stop shaky", "start shaky", "stop shaky", "stop steady"}));
  ASSERT_EQ(events.size(), 4U);
  EXPECT_EQ(events[0].child, "shaky");
  EXPECT_EQ(events[0].failure, "broken");
  EXPECT_TRUE(events[0].restarted);
  EXPECT_EQ(events[2].failure, "");
  EXPECT_FALSE(events[2].restarted);
}

// A task fails at each start, for example because its port is in use. Unlimited
// restarts would use a core while the process appears healthy; the platform
// detects a process that gives up.
TEST(Supervisor, GivesUpWhenFailuresComeTooOften) {
  EventList events_seen;
  Supervisor root("root", {3, kLongWindow});
  root.Add("steady", Scripted("steady", &events_seen));
  root.Add("doomed", Scripted("doomed", &events_seen, [](Loop*) {
             throw std::runtime_error("port taken");
           }));
  root.Add("never", Scripted("never", &events_seen));
  root.Start();
  EXPECT_FALSE(root.Wait());
  EXPECT_EQ(root.restarts(), 3U);
  const std::vector<std::string> lines = events_seen.lines();
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "start doomed"), 4);
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "stop doomed"), 4);
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "start never"), 0);
  EXPECT_EQ(lines.back(), "stop steady");
}

TEST(Supervisor, FailuresFarApartAreForgotten) {
  EventList events_seen;
  std::atomic<int> runs = 0;
  Supervisor root("root", {1, milliseconds(1)});
  root.Add("rare", Scripted("rare", &events_seen, [&](Loop* loop) {
             if (++runs == 5) return loop->Post([&] { root.Shutdown(); });
             loop->At(std::chrono::steady_clock::now() + milliseconds(5),
                      [] { throw std::runtime_error("rare"); });
           }));
  root.Start();
  EXPECT_TRUE(root.Wait());
  EXPECT_EQ(root.restarts(), 4U);
}

// State that a task depends on is corrupt, so it fails at each restart. Its
// supervisor gives up, and the parent supervisor restarts the whole branch.
TEST(Supervisor, NestedFailureRestartsTheBranch) {
  EventList events_seen;
  std::atomic<int> branches = 0;
  Supervisor root("root", {2, kLongWindow});
  root.Add("outside", Scripted("outside", &events_seen));
  root.AddSupervisor("branch", {1, kLongWindow}, [&](Supervisor* branch) {
    const bool good = ++branches == 2;
    branch->Add("inner", Scripted("inner", &events_seen));
    branch->Add("leaf", Scripted("leaf", &events_seen, [&, good](Loop* loop) {
                  if (!good) return Fail(loop);
                  loop->Post([&] { root.Shutdown(); });
                }));
  });
  root.Start();
  EXPECT_TRUE(root.Wait());
  EXPECT_EQ(root.restarts(), 1U);
  const std::vector<std::string> lines = events_seen.lines();
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "start inner"), 2);
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "start leaf"), 3);
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "start outside"), 1);
  EXPECT_EQ(lines.back(), "stop outside");
}

TEST(Supervisor, NestedFailureThatStaysEndsTheTree) {
  EventList events_seen;
  Supervisor root("root", {1, kLongWindow});
  root.AddSupervisor("branch", {1, kLongWindow}, [&](Supervisor* branch) {
    branch->Add("leaf", Scripted("leaf", &events_seen, Fail));
  });
  root.Start();
  EXPECT_FALSE(root.Wait());
  // Two runs of the branch, each with two runs of the leaf.
  const std::vector<std::string> lines = events_seen.lines();
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "start leaf"), 4);
}

/// Reads numbers from a mailbox that outlives it; one of them makes it fail.
class Reader : public Task {
 public:
  Reader(Mailbox<int>* mailbox, EventList* events_seen, Supervisor* root)
      : mailbox_(mailbox), events_seen_(events_seen), root_(root) {}

  void Start(Loop* loop) override {
    mailbox_->Open(loop, [this](int number) { Read(number); });
  }
  void Stop() override { mailbox_->Close(); }

 private:
  static constexpr int kPoison = 3;
  static constexpr int kLast = 6;

  void Read(int number) {
    if (number == kPoison) throw std::runtime_error("poison");
    events_seen_->Add(std::to_string(number));
    if (number == kLast) root_->Shutdown();
  }

  Mailbox<int>* mailbox_;
  EventList* events_seen_;
  Supervisor* root_;
};

// A task fails on one message of a batch. The others are requests of callers,
// who would wait in vain if the messages were dropped with it.
TEST(Mailbox, MessagesSurviveTheFailureOfTheirReader) {
  EventList events_seen;
  Mailbox<int> mailbox;
  for (int i = 1; i <= 6; ++i) EXPECT_TRUE(mailbox.Send(i));
  Supervisor root("root", {});
  root.Add("reader", [&] {
    return std::make_unique<Reader>(&mailbox, &events_seen, &root);
  });
  root.Start();
  EXPECT_TRUE(root.Wait());
  EXPECT_EQ(root.restarts(), 1U);
  EXPECT_EQ(events_seen.lines(),
            (std::vector<std::string>{"1", "2", "4", "5", "6"}));
}

TEST(Mailbox, FullMailboxRejectsMessages) {
  Mailbox<int> mailbox(2);
  EXPECT_TRUE(mailbox.Send(1));
  EXPECT_TRUE(mailbox.Send(2));
  EXPECT_FALSE(mailbox.Send(3));
}

}  // namespace
}  // namespace ryefold::task
