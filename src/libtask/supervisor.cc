#include "ryefold/task/supervisor.h"

#include <glog/logging.h>
#include <pthread.h>

#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <thread>
#include <utility>

namespace ryefold::task {
namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t kThreadNameBytes = 15;

/// True on every child's thread, where joining the children would deadlock.
thread_local bool is_child_thread = false;

std::string FailureText(const std::exception_ptr& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& e) {
    return e.what()[0] == '\0' ? "exception" : e.what();
  } catch (...) {
    return "exception of unknown type";
  }
}

/// Runs `step`. Returns the text of its failure, empty if there was none.
template <class Step>
std::string CatchFailure(const Step& step) {
  try {
    step();
    return {};
  } catch (...) {
    return FailureText(std::current_exception());
  }
}

/// Counts restarts within the sliding window of a limit.
class RestartCounter {
 public:
  explicit RestartCounter(RestartLimit limit) : limit_(limit) {}

  /// Counts a restart. Returns false if it exceeds the limit.
  bool TryCount(Clock::time_point now) {
    while (!expiry_.empty() && expiry_.front() <= now) expiry_.pop_front();
    if (expiry_.size() >= limit_.restarts) return false;
    expiry_.push_back(now + limit_.within);
    return true;
  }

 private:
  const RestartLimit limit_;
  /// When each counted restart leaves the window.
  std::deque<Clock::time_point> expiry_;
};

/// One run of a child, on the child's thread.
class Run {
 public:
  virtual ~Run() = default;
  /// Blocks until the run ends and calls `started` once setup is complete.
  /// Returns the text of the failure, empty after a normal end.
  virtual std::string Execute(const std::function<void()>& started) = 0;
  /// Requests the end of the run. May be called from any thread, also before
  /// `Execute`.
  virtual void RequestEnd() = 0;
};

class TaskRun : public Run {
 public:
  explicit TaskRun(Supervisor::Factory factory)
      : factory_(std::move(factory)) {}

  std::string Execute(const std::function<void()>& started) override {
    std::unique_ptr<Task> task;
    std::string failure = CatchFailure([&] { task = factory_(); });
    if (task == nullptr) return failure.empty() ? "no task created" : failure;
    failure = CatchFailure([&] {
      task->Start(&loop_);
      started();
      loop_.Run();
    });
    const std::string stop_failure = CatchFailure([&] { task->Stop(); });
    return failure.empty() ? stop_failure : failure;
  }

  void RequestEnd() override { loop_.Stop(); }

 private:
  Supervisor::Factory factory_;
  Loop loop_;
};

class SupervisorRun : public Run {
 public:
  SupervisorRun(std::string name, RestartLimit limit)
      : supervisor_(std::move(name), limit) {}

  Supervisor* supervisor() { return &supervisor_; }

  std::string Execute(const std::function<void()>& started) override {
    supervisor_.Start();
    started();
    return supervisor_.Wait() ? "" : "restart limit exceeded";
  }

  void RequestEnd() override { supervisor_.RequestShutdown(); }

 private:
  Supervisor supervisor_;
};

}  // namespace

class Supervisor::Impl {
 public:
  using MakeRun = std::function<std::shared_ptr<Run>()>;

  Impl(std::string name, RestartLimit limit)
      : name_(std::move(name)), counter_(limit) {}

  ~Impl() {
    RequestShutdown();
    StopChildren();
  }

  void Add(std::string child, MakeRun make) {
    children_.push_back(std::make_unique<Child>());
    children_.back()->name = std::move(child);
    children_.back()->make = std::move(make);
  }

  void SetChildListener(std::function<void(const ChildEvent&)> listener) {
    listener_ = std::move(listener);
  }

  void Start() {
    for (const auto& child : children_) {
      std::unique_lock<std::mutex> lock(mutex_);
      if (ending()) return;
      child->thread = std::thread([this, c = child.get()] { RunUntilEnd(c); });
      changed_.wait(lock, [&] { return child->started || child->finished; });
    }
  }

  bool Wait() {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return ending(); });
    }
    StopChildren();
    std::lock_guard<std::mutex> lock(mutex_);
    return !limit_exceeded_;
  }

  void RequestShutdown() {
    std::lock_guard<std::mutex> lock(mutex_);
    shutdown_ = true;
    changed_.notify_all();
  }

  void Shutdown() {
    RequestShutdown();
    if (!is_child_thread) StopChildren();
  }

  uint64_t restarts() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return restarts_;
  }

 private:
  struct Child {
    std::string name;
    MakeRun make;
    std::thread thread;
    /// The current run.
    std::shared_ptr<Run> run;
    bool started = false;
    bool finished = false;
    bool ending = false;
  };

  bool ending() const { return shutdown_ || limit_exceeded_; }

  /// Runs on the child's thread and restarts the child until it ends.
  void RunUntilEnd(Child* child) {
    is_child_thread = true;
    // The thread name is visible in top, gdb and /proc; the kernel keeps 15
    // bytes.
    pthread_setname_np(pthread_self(),
                       child->name.substr(0, kThreadNameBytes).c_str());
    while (true) {
      std::string failure = RunOnce(child);
      const bool restart = !failure.empty() && CountRestart();
      Report(*child, failure, restart);
      if (!restart) break;
    }
    std::lock_guard<std::mutex> lock(mutex_);
    child->finished = true;
    changed_.notify_all();
  }

  std::string RunOnce(Child* child) {
    std::shared_ptr<Run> run;
    std::string failure = CatchFailure([&] { run = child->make(); });
    if (run == nullptr) return failure;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (child->ending) return {};
      child->run = run;
    }
    failure = run->Execute([this, child] {
      std::lock_guard<std::mutex> lock(mutex_);
      child->started = true;
      changed_.notify_all();
    });
    std::lock_guard<std::mutex> lock(mutex_);
    child->run.reset();
    return failure;
  }

  bool CountRestart() {
    std::lock_guard<std::mutex> lock(mutex_);
    if (ending()) return false;
    if (counter_.TryCount(Clock::now())) {
      ++restarts_;
      return true;
    }
    limit_exceeded_ = true;
    changed_.notify_all();
    return false;
  }

  void Report(const Child& child, const std::string& failure, bool restart) {
    if (!failure.empty()) {
      LOG(ERROR) << "task_failed supervisor=" << name_
                 << " child=" << child.name << " restarted=" << restart
                 << " failure=\"" << failure << '"';
    }
    if (!listener_) return;
    const std::string thrown = CatchFailure([&] {
      listener_({child.name, failure, restart});
    });
    LOG_IF(ERROR, !thrown.empty()) << "listener_failed supervisor=" << name_
                                   << " failure=\"" << thrown << '"';
  }

  /// Stops the children one by one in reverse order, so that each can use those
  /// it depends on until it has stopped.
  void StopChildren() {
    std::lock_guard<std::mutex> stopping(stop_mutex_);
    for (auto child = children_.rbegin(); child != children_.rend(); ++child) {
      std::shared_ptr<Run> run;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        (*child)->ending = true;
        run = (*child)->run;
      }
      if (run != nullptr) run->RequestEnd();
      if ((*child)->thread.joinable()) (*child)->thread.join();
    }
  }

  const std::string name_;
  std::vector<std::unique_ptr<Child>> children_;
  std::function<void(const ChildEvent&)> listener_;
  std::mutex stop_mutex_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  RestartCounter counter_;
  uint64_t restarts_ = 0;
  bool shutdown_ = false;
  bool limit_exceeded_ = false;
};

Supervisor::Supervisor(std::string name, RestartLimit limit)
    : impl_(std::make_unique<Impl>(std::move(name), limit)) {}
Supervisor::~Supervisor() = default;

void Supervisor::Add(std::string child, Factory factory) {
  impl_->Add(std::move(child), [factory = std::move(factory)] {
    return std::make_shared<TaskRun>(factory);
  });
}

void Supervisor::AddSupervisor(std::string child, RestartLimit limit,
                               std::function<void(Supervisor*)> fill) {
  std::string name = child;
  impl_->Add(std::move(child), [name, limit, fill = std::move(fill)] {
    auto run = std::make_shared<SupervisorRun>(name, limit);
    fill(run->supervisor());
    return run;
  });
}

void Supervisor::SetChildListener(
    std::function<void(const ChildEvent&)> listener) {
  impl_->SetChildListener(std::move(listener));
}

void Supervisor::Start() { impl_->Start(); }
bool Supervisor::Wait() { return impl_->Wait(); }
void Supervisor::Shutdown() { impl_->Shutdown(); }
void Supervisor::RequestShutdown() { impl_->RequestShutdown(); }
uint64_t Supervisor::restarts() const { return impl_->restarts(); }

}  // namespace ryefold::task
