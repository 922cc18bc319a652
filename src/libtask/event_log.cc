#include "ryefold/task/event_log.h"

#include <fcntl.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdio>
#include <utility>

namespace ryefold::task {
namespace {

using std::chrono::milliseconds;

/// Pace of writing: late enough to save system calls, early enough that a
/// process that is killed loses little.
constexpr milliseconds kPace{250};
/// Bytes that wait for a slow reader before lines are left out.
constexpr size_t kMaxWaiting = size_t{256} << 10;

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
  timer_ =
      loop_->At(std::chrono::steady_clock::now() + kPace, [this] { Tick(); });
}

EventLog::~EventLog() {
  loop_->Cancel(timer_);
  Flush();
}

bool EventLog::IsEnabled(core::EventPriority weight) {
  const bool request = weight == core::EventPriority::kRequest;
  const bool full = request ? request_lines_ >= budget_.request_lines
                            : state_lines_ >= budget_.state_lines;
  if (!full && waiting_.size() < kMaxWaiting) return true;
  ++left_out_;
  return false;
}

void EventLog::Append(std::string_view line) {
  waiting_.append("time=").append(WallTime());
  waiting_.append(" instance=").append(instance_);
  waiting_.append(" ").append(line).append("\n");
}

void EventLog::Write(core::EventPriority weight, std::string_view line) {
  ++(weight == core::EventPriority::kRequest ? request_lines_ : state_lines_);
  Append(line);
}

void EventLog::Flush() {
  while (!waiting_.empty()) {
    const ssize_t written = write(fd_, waiting_.data(), waiting_.size());
    if (written <= 0) return;
    waiting_.erase(0, static_cast<size_t>(written));
  }
}

void EventLog::Tick() {
  const TimePoint now = std::chrono::steady_clock::now();
  if (now >= second_ends_) {
    second_ends_ = now + std::chrono::seconds(1);
    request_lines_ = 0;
    state_lines_ = 0;
    if (left_out_ != left_out_told_) {
      Append("event=lines_left_out count=" +
             std::to_string(left_out_ - left_out_told_));
      left_out_told_ = left_out_;
    }
  }
  Flush();
  timer_ = loop_->At(now + kPace, [this] { Tick(); });
}

}  // namespace ryefold::task
