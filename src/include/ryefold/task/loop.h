#pragma once

// One thread's event loop over libevent: posted work and timers.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

struct event_base;

namespace ryefold::task {

using TimePoint = std::chrono::steady_clock::time_point;
using TimerId = uint64_t;

/// Owns an event base. `Post` and `Stop` may be called from any thread, the
/// rest only from the loop's own.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  event_base* base() const;

  /// Runs until `Stop`. An exception thrown by a handler leaves it.
  void Run();
  void Stop();

  /// Runs `work` on the loop, in the order posted. Wakes the loop at most once
  /// for any number of pieces of work posted before it gets to them.
  void Post(std::function<void()> work);

  /// Runs `work` at `when`, on the loop.
  TimerId At(TimePoint when, std::function<void()> work);
  /// Does nothing when the timer has fired or never was.
  void Cancel(TimerId timer);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::task
