#pragma once

// Typed message passing between tasks.

#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "ryefold/task/loop.h"

namespace ryefold::task {

/// Where other tasks leave messages of one type. The mailbox outlives the task
/// that reads it: while the task is being restarted, messages wait, up to a
/// limit, and the next run of the task gets them.
template <class Message>
class Mailbox {
 public:
  explicit Mailbox(size_t limit = kDefaultLimit) : limit_(limit) {}

  /// Leaves a message; false when the mailbox is full. The sender then has to
  /// answer for it: nothing was passed on.
  bool Send(Message message) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (waiting_.size() >= limit_) return false;
    waiting_.push_back(std::move(message));
    if (loop_ != nullptr && waiting_.size() == 1) Wake();
    return true;
  }

  /// Binds the reader. Only one at a time; it runs on `loop`'s thread.
  void Open(Loop* loop, std::function<void(Message)> reader) {
    std::lock_guard<std::mutex> lock(mutex_);
    loop_ = loop;
    reader_ = std::move(reader);
    if (!waiting_.empty()) Wake();
  }

  /// Unbinds the reader, called on the loop's thread before the loop ends.
  void Close() {
    std::lock_guard<std::mutex> lock(mutex_);
    loop_ = nullptr;
    reader_ = nullptr;
  }

 private:
  static constexpr size_t kDefaultLimit = 100000;

  void Wake() {
    loop_->Post([this] { Deliver(); });
  }

  void Deliver() {
    std::vector<Message> batch;
    std::function<void(Message)> reader;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!reader_) return;
      batch.swap(waiting_);
      reader = reader_;
    }
    size_t next = 0;
    try {
      while (next < batch.size()) reader(std::move(batch[next++]));
    } catch (...) {
      PutBack(&batch, next);
      throw;
    }
  }

  /// A reader that fails would take the rest of its batch with it, and their
  /// senders would wait for answers in vain. The rest goes back to the front
  /// for the next run; only the message that was being read is gone.
  void PutBack(std::vector<Message>* batch, size_t from) {
    std::lock_guard<std::mutex> lock(mutex_);
    waiting_.insert(waiting_.begin(),
                    std::make_move_iterator(batch->begin() + from),
                    std::make_move_iterator(batch->end()));
  }

  const size_t limit_;
  std::mutex mutex_;
  Loop* loop_ = nullptr;
  std::function<void(Message)> reader_;
  std::vector<Message> waiting_;
};

}  // namespace ryefold::task
