#pragma once

// A supervisor tree: tasks run on threads of their own; one that fails is
// restarted, unless it fails too often, in which case the failure moves up.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ryefold/task/loop.h"

namespace ryefold::task {

/// A part of the daemon with a thread, sockets and state of its own. A fresh
/// object is made for each run, so nothing damaged survives a failure.
class Task {
 public:
  virtual ~Task() = default;
  /// Sets up sockets and mailboxes; runs on the task's own thread.
  virtual void Start(Loop* loop) = 0;
  /// Runs on the task's own thread when the loop ends, also after a failure.
  virtual void Stop() = 0;
};

/// How often a child may be restarted before its supervisor gives up.
struct RestartLimit {
  uint32_t restarts = 5;
  std::chrono::milliseconds within{10000};
};

/// What became of a child, for counters and for callers that wait on it.
struct ChildEvent {
  std::string child;
  /// Text of the failure; empty on an ordinary end.
  std::string failure;
  bool restarted = false;
};

/// Runs children and restarts those that fail. A supervisor is itself a child
/// of another through `AsChild`-made factories, which makes the tree.
class Supervisor {
 public:
  using Factory = std::function<std::unique_ptr<Task>()>;

  Supervisor(std::string name, RestartLimit limit);
  ~Supervisor();
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  /// Adds a child; children start in the order added and stop in reverse.
  void Add(std::string child, Factory factory);

  /// Adds a subordinate supervisor, built by `fill` anew for each run. When it
  /// gives up, that counts as one failure of this child.
  void AddSupervisor(std::string child, RestartLimit limit,
                     std::function<void(Supervisor*)> fill);

  /// Called on the failing child's thread after its `Stop`, before a restart.
  void OnChild(std::function<void(const ChildEvent&)> listener);

  /// Starts all children and returns.
  void Start();

  /// Blocks until `Shutdown`, or until the limit is exceeded. True for an
  /// ordinary end, false when it gave up.
  bool Wait();

  /// Ends all children in reverse order. May be called from any thread; on a
  /// child's own thread it only asks, and `Wait` does the rest.
  void Shutdown();

  /// Asks `Wait` to end all children; returns at once, on any thread.
  void RequestShutdown();

  /// Restarts counted so far, of all children.
  uint64_t restarts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::task
