#pragma once

// A single-threaded event loop over libevent with posted work and timers.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

struct event_base;

namespace ryefold::task {

using TimePoint = std::chrono::steady_clock::time_point;
using TimerId = uint64_t;

/// Owns an event base. `Post` and `Stop` may be called from any thread, all
/// other functions only from the loop's own thread.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  event_base* base() const;

  /// Runs until `Stop`. Rethrows an exception that a handler throws.
  void Run();
  void Stop();

  /// Runs `work` on the loop, in the order posted. Wakes the loop once for all
  /// work posted before the loop takes it.
  void Post(std::function<void()> work);

  /// Runs `work` on the loop at `when`.
  TimerId At(TimePoint when, std::function<void()> work);
  /// Cancels a timer. Does nothing if it has fired or does not exist.
  void Cancel(TimerId timer);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::task
