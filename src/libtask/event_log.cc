#include "ryefold/task/event_log.h"

#include <fcntl.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdio>
#include <utility>

namespace ryefold::task {
namespace {

using std::chrono::milliseconds;

/// Interval of writes: long enough to save system calls, short enough that a
/// process that is killed loses few lines.
constexpr milliseconds kFlushInterval{250};
/// Maximum number of buffered bytes; lines beyond it are dropped.
constexpr size_t kMaxBufferedBytes = size_t{256} << 10;

std::string WallTime() {
  timeval now{};
  gettimeofday(&now, nullptr);
  tm parts{};
  gmtime_r(&now.tv_sec, &parts);
  char text[40];
  std::snprintf(text, sizeof(text), "%02d:%02d:%02d.%03d", parts.tm_hour,
                parts.tm_min, parts.tm_sec,
                static_cast<int>(now.tv_usec / 1000));
  return text;
}

}  // namespace

EventLog::EventLog(Loop* loop, int fd, std::string instance, EventBudget budget)
    : loop_(loop), fd_(fd), instance_(std::move(instance)), budget_(budget) {
  fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  second_ends_ = std::chrono::steady_clock::now() + std::chrono::seconds(1);
  timer_ = loop_->At(std::chrono::steady_clock::now() + kFlushInterval,
                     [this] { Tick(); });
}

EventLog::~EventLog() {
  loop_->Cancel(timer_);
  Flush();
}

bool EventLog::IsEnabled(core::EventPriority weight) {
  const bool request = weight == core::EventPriority::kRequest;
  const bool full = request ? request_lines_ >= budget_.request_lines
                            : state_lines_ >= budget_.state_lines;
  if (!full && buffer_.size() < kMaxBufferedBytes) return true;
  ++dropped_lines_;
  return false;
}

void EventLog::Append(std::string_view line) {
  buffer_.append("time=").append(WallTime());
  buffer_.append(" instance=").append(instance_);
  buffer_.append(" ").append(line).append("\n");
}

void EventLog::Write(core::EventPriority weight, std::string_view line) {
  ++(weight == core::EventPriority::kRequest ? request_lines_ : state_lines_);
  Append(line);
}

void EventLog::Flush() {
  while (!buffer_.empty()) {
    const ssize_t written = write(fd_, buffer_.data(), buffer_.size());
    if (written <= 0) return;
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

void EventLog::Tick() {
  const TimePoint now = std::chrono::steady_clock::now();
  if (now >= second_ends_) {
    second_ends_ = now + std::chrono::seconds(1);
    request_lines_ = 0;
    state_lines_ = 0;
    if (dropped_lines_ != reported_dropped_lines_) {
      Append("event=lines_left_out count=" +
             std::to_string(dropped_lines_ - reported_dropped_lines_));
      reported_dropped_lines_ = dropped_lines_;
    }
  }
  Flush();
  timer_ = loop_->At(now + kFlushInterval, [this] { Tick(); });
}

}  // namespace ryefold::task
