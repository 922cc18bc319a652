#pragma once

// Reads the store: watches for the next change, loads a complete state if no
// peer provides one, and reads the platform's list.

#include <string>
#include <vector>

#include "context.h"

namespace ryefold::core::configuration {

class Follower {
 public:
  explicit Follower(Context* context) : context_(context) {}

  void Start(TimePoint now);
  void Tick(TimePoint now);
  TimePoint next_deadline() const;
  /// Returns whether this instance is one of those that watch the store.
  bool IsStoreWatcher(TimePoint now) const;
  /// Loads the newest snapshot. The watch provides the changes after it.
  void LoadState(TimePoint now);

 private:
  void ExtendWatchers(TimePoint now);
  void Watch(TimePoint now);
  void HandleWatchAnswer(TimePoint now, uint64_t revision,
                         const StoreAnswer* answer);
  void ReadList(TimePoint now);
  void HandleList(TimePoint now, const StoreAnswer* answer);
  void HandlePointer(TimePoint now, const StoreAnswer* answer);
  void ReadPart(TimePoint now);
  void HandlePart(TimePoint now, const StoreAnswer* answer);
  void ReadNextChange(TimePoint now);
  void HandleNextChange(TimePoint now, uint64_t revision,
                        const StoreAnswer* answer);
  void ScheduleReload(TimePoint now);
  void BackOff(TimePoint now);

  Context* context_;
  bool watching_ = false;
  bool listing_ = false;
  bool loading_ = false;
  TimePoint next_watch_ = TimePoint::max();
  TimePoint next_list_ = TimePoint::max();
  /// When to load a complete state from the store if no peer has provided one.
  TimePoint load_at_ = TimePoint::max();
  TimePoint watch_until_;
  std::chrono::milliseconds backoff_{0};
  SnapshotPointer pointer_;
  uint64_t next_part_ = 0;
  std::vector<Document> parts_;
};

}  // namespace ryefold::core::configuration
