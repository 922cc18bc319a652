#pragma once

// Structured lines on standard output, bounded in volume, never blocking.

#include <cstdint>
#include <string>
#include <string_view>

#include "ryefold/core/event.h"
#include "ryefold/task/loop.h"

namespace ryefold::task {

/// Lines kept a second. Requests are logged first come, first served; a burst
/// beyond the bound is counted, and one line a second tells the count.
struct EventBudget {
  /// About one line for each request of an instance in steady state.
  uint32_t request_lines = 150;
  /// Changes of belief are rare; this only bounds a storm of them.
  uint32_t state_lines = 400;
};

/// Collects lines and writes them some times a second. A pipe that nobody
/// reads loses lines, counted, and costs no time. One thread.
class EventLog : public core::EventSink {
 public:
  EventLog(Loop* loop, int fd, std::string instance, EventBudget budget);
  ~EventLog() override;

  bool IsEnabled(core::EventPriority weight) override;
  void Write(core::EventPriority weight, std::string_view line) override;

  /// Writes what is waiting, as far as the descriptor takes it.
  void Flush();
  uint64_t left_out() const { return left_out_; }

 private:
  void Tick();
  void Append(std::string_view line);

  Loop* loop_;
  const int fd_;
  const std::string instance_;
  const EventBudget budget_;
  TimerId timer_ = 0;
  std::string waiting_;
  uint32_t request_lines_ = 0;
  uint32_t state_lines_ = 0;
  uint64_t left_out_ = 0;
  uint64_t left_out_told_ = 0;
  TimePoint second_ends_;
};

}  // namespace ryefold::task
