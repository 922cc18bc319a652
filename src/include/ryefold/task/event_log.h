#pragma once

// Structured log lines on a file descriptor, limited in rate. Writing never
// blocks.

#include <cstdint>
#include <string>
#include <string_view>

#include "ryefold/core/event.h"
#include "ryefold/task/loop.h"

namespace ryefold::task {

/// Maximum number of lines per second, in order of arrival. Lines beyond it are
/// dropped, and one line per second reports their number.
struct EventBudget {
  /// About one line for each request of an instance in steady state.
  uint32_t request_lines = 150;
  /// State changes are rare; this limit only applies to bursts.
  uint32_t state_lines = 400;
};

/// Buffers lines and writes them several times a second. When the reader of the
/// descriptor is too slow, lines are dropped and counted. Must be used from the
/// loop's thread only.
class EventLog : public core::EventSink {
 public:
  EventLog(Loop* loop, int fd, std::string instance, EventBudget budget);
  ~EventLog() override;

  bool IsEnabled(core::EventPriority weight) override;
  void Write(core::EventPriority weight, std::string_view line) override;

  /// Writes the buffered lines, as far as the descriptor accepts them.
  void Flush();
  uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  void Tick();
  void Append(std::string_view line);

  Loop* loop_;
  const int fd_;
  const std::string instance_;
  const EventBudget budget_;
  TimerId timer_ = 0;
  std::string buffer_;
  uint32_t request_lines_ = 0;
  uint32_t state_lines_ = 0;
  uint64_t dropped_lines_ = 0;
  uint64_t reported_dropped_lines_ = 0;
  TimePoint second_ends_;
};

}  // namespace ryefold::task
