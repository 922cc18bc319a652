#include "ryefold/task/loop.h"

#include <event2/event.h>
#include <glog/logging.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <exception>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ryefold::task {
namespace {

using Work = std::function<void()>;

/// Creates an event base that combines a socket's interest changes within one
/// loop iteration into one system call; evhttp makes several for each request.
event_base* MakeBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  CHECK(base != nullptr) << "cannot create the event base";
  return base;
}

/// Returns the time until `when`, rounded up so that a timer never fires early.
timeval TimeUntil(TimePoint when) {
  const auto left = std::chrono::ceil<std::chrono::microseconds>(
      when - std::chrono::steady_clock::now());
  const int64_t micros = std::max<int64_t>(left.count(), 0);
  constexpr int64_t kMicros = 1000000;
  return {static_cast<time_t>(micros / kMicros),
          static_cast<suseconds_t>(micros % kMicros)};
}

}  // namespace

class Loop::Impl {
 public:
  Impl() : base_(MakeBase()), wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    CHECK_GE(wake_fd_, 0) << "cannot create the eventfd";
    wake_ = event_new(base_, wake_fd_, EV_READ | EV_PERSIST, OnWake, this);
    event_add(wake_, nullptr);
    timer_ = evtimer_new(base_, OnTimer, this);
  }

  ~Impl() {
    // Pending work may own objects whose destructors use the base.
    posted_.clear();
    timers_.clear();
    event_free(timer_);
    event_free(wake_);
    event_base_free(base_);
    close(wake_fd_);
  }

  event_base* base() const { return base_; }

  void Run() {
    if (!stop_) event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
    if (failure_) std::rethrow_exception(std::exchange(failure_, nullptr));
  }

  void Stop() {
    stop_ = true;
    Wake();
  }

  void Post(Work work) {
    bool first = false;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      first = posted_.empty();
      posted_.push_back(std::move(work));
    }
    if (first) Wake();
  }

  TimerId At(TimePoint when, Work work) {
    const TimerId id = ++last_timer_;
    times_[id] = when;
    timers_.emplace(std::make_pair(when, id), std::move(work));
    if (timers_.begin()->first.second == id) Arm();
    return id;
  }

  void Cancel(TimerId id) {
    const auto found = times_.find(id);
    if (found == times_.end()) return;
    timers_.erase({found->second, id});
    times_.erase(found);
  }

 private:
  static void OnWake(evutil_socket_t, int16_t, void* self) {
    static_cast<Impl*>(self)->RunPosted();
  }
  static void OnTimer(evutil_socket_t, int16_t, void* self) {
    static_cast<Impl*>(self)->RunTimers();
  }

  void Wake() const {
    const uint64_t one = 1;
    // Fails only when the counter is full, in which case the loop wakes anyway.
    const ssize_t written = write(wake_fd_, &one, sizeof(one));
    (void)written;
  }

  void RunPosted() {
    uint64_t count = 0;
    const ssize_t got = read(wake_fd_, &count, sizeof(count));
    (void)got;
    if (stop_) event_base_loopbreak(base_);
    std::vector<Work> batch;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      batch.swap(posted_);
    }
    for (Work& work : batch) {
      if (!RunGuarded(work)) return;
    }
  }

  void RunTimers() {
    const TimePoint now = std::chrono::steady_clock::now();
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
      auto due = timers_.extract(timers_.begin());
      times_.erase(due.key().second);
      if (!RunGuarded(due.mapped())) return;
    }
    if (!timers_.empty()) Arm();
  }

  /// Runs `work` and returns false if it throws. An exception that crossed
  /// libevent's C frames would leave its event queues inconsistent, so it is
  /// stored, and `Run` throws it after the loop has ended.
  bool RunGuarded(const Work& work) {
    try {
      work();
      return true;
    } catch (...) {
      failure_ = std::current_exception();
      event_base_loopbreak(base_);
      return false;
    }
  }

  void Arm() {
    const timeval left = TimeUntil(timers_.begin()->first.first);
    event_add(timer_, &left);
  }

  event_base* base_;
  const int wake_fd_;
  event* wake_;
  event* timer_;
  std::atomic<bool> stop_{false};
  std::exception_ptr failure_;
  std::mutex mutex_;
  std::vector<Work> posted_;
  TimerId last_timer_ = 0;
  std::map<std::pair<TimePoint, TimerId>, Work> timers_;
  std::unordered_map<TimerId, TimePoint> times_;
};

Loop::Loop() : impl_(std::make_unique<Impl>()) {}
Loop::~Loop() = default;
event_base* Loop::base() const { return impl_->base(); }
void Loop::Run() { impl_->Run(); }
void Loop::Stop() { impl_->Stop(); }
void Loop::Post(Work work) { impl_->Post(std::move(work)); }
TimerId Loop::At(TimePoint when, Work work) {
  return impl_->At(when, std::move(work));
}
void Loop::Cancel(TimerId timer) { impl_->Cancel(timer); }

}  // namespace ryefold::task
