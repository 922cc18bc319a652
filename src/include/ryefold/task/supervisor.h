#pragma once

// A supervisor tree: each task runs on its own thread and is restarted when it
// fails. A task that fails too often makes its supervisor fail.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ryefold/task/loop.h"

namespace ryefold::task {

/// A part of the daemon with its own thread, sockets and state. A new object is
/// created for each run, so no corrupt state survives a failure.
class Task {
 public:
  virtual ~Task() = default;
  /// Sets up sockets and mailboxes. Runs on the task's own thread.
  virtual void Start(Loop* loop) = 0;
  /// Releases them. Runs on the task's own thread when the loop ends, also
  /// after a failure.
  virtual void Stop() = 0;
};

/// Number of restarts within a sliding window that a supervisor allows before
/// it fails itself.
struct RestartLimit {
  uint32_t restarts = 5;
  std::chrono::milliseconds within{10000};
};

/// Reports the end of a run of a child.
struct ChildEvent {
  std::string child;
  /// Text of the failure; empty after a normal end.
  std::string failure;
  bool restarted = false;
};

/// Runs children and restarts those that fail. Supervisors nest through
/// `AddSupervisor`.
class Supervisor {
 public:
  using Factory = std::function<std::unique_ptr<Task>()>;

  Supervisor(std::string name, RestartLimit limit);
  ~Supervisor();
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  /// Adds a child. Children start in the order added and stop in reverse order.
  void Add(std::string child, Factory factory);

  /// Adds a nested supervisor, to which `fill` adds the children at each run.
  /// Exceeding its restart limit counts as one failure of this child.
  void AddSupervisor(std::string child, RestartLimit limit,
                     std::function<void(Supervisor*)> fill);

  /// Sets the function that is called on a child's thread after its `Stop`,
  /// before a restart.
  void SetChildListener(std::function<void(const ChildEvent&)> listener);

  /// Starts all children and returns.
  void Start();

  /// Blocks until `Shutdown` or until the restart limit is exceeded. Returns
  /// false in the latter case.
  bool Wait();

  /// Stops all children in reverse order. May be called from any thread; on a
  /// child's own thread it only requests the shutdown, which `Wait` performs.
  void Shutdown();

  /// Requests that `Wait` stops all children, and returns at once. May be
  /// called from any thread.
  void RequestShutdown();

  /// Returns the total number of restarts of all children.
  uint64_t restarts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::task
