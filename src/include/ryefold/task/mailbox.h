#pragma once

// Typed message queues between tasks.

#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "ryefold/task/loop.h"

namespace ryefold::task {

/// A bounded queue of messages of one type. The mailbox outlives the task that
/// reads it: messages stay queued while the task is restarted, and its next run
/// receives them.
template <class Message>
class Mailbox {
 public:
  explicit Mailbox(size_t limit = kDefaultMaxMessages) : limit_(limit) {}

  /// Queues a message. Returns false when the mailbox is full; the sender then
  /// has to answer for the message itself.
  bool Send(Message message) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (queue_.size() >= limit_) return false;
    queue_.push_back(std::move(message));
    if (loop_ != nullptr && queue_.size() == 1) Wake();
    return true;
  }

  /// Binds the reader, which runs on the thread of `loop`. Only one reader may
  /// be bound at a time.
  void Open(Loop* loop, std::function<void(Message)> reader) {
    std::lock_guard<std::mutex> lock(mutex_);
    loop_ = loop;
    reader_ = std::move(reader);
    if (!queue_.empty()) Wake();
  }

  /// Unbinds the reader. Must be called on the loop's thread before the loop
  /// ends.
  void Close() {
    std::lock_guard<std::mutex> lock(mutex_);
    loop_ = nullptr;
    reader_ = nullptr;
  }

 private:
  static constexpr size_t kDefaultMaxMessages = 100000;

  void Wake() {
    loop_->Post([this] { Deliver(); });
  }

  void Deliver() {
    std::vector<Message> batch;
    std::function<void(Message)> reader;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!reader_) return;
      batch.swap(queue_);
      reader = reader_;
    }
    size_t next = 0;
    try {
      while (next < batch.size()) reader(std::move(batch[next++]));
    } catch (...) {
      Requeue(&batch, next);
      throw;
    }
  }

  /// Returns the rest of a batch to the front of the queue when the reader
  /// throws; otherwise the senders would wait for answers in vain. Only the
  /// message that was being read is lost.
  void Requeue(std::vector<Message>* batch, size_t from) {
    std::lock_guard<std::mutex> lock(mutex_);
    queue_.insert(queue_.begin(),
                  std::make_move_iterator(batch->begin() + from),
                  std::make_move_iterator(batch->end()));
  }

  const size_t limit_;
  std::mutex mutex_;
  Loop* loop_ = nullptr;
  std::function<void(Message)> reader_;
  std::vector<Message> queue_;
};

}  // namespace ryefold::task
