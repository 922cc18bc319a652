#pragma once

// Reads the store: waits for the next change, reads a whole state when peers
// can't give one, fetches the platform's list.

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
  /// Whether this instance is one of those that wait on the store.
  bool OnDuty(TimePoint now) const;
  /// Reads the newest snapshot; the changes after it follow by themselves.
  void Load(TimePoint now);

 private:
  void Widen(TimePoint now);
  void Watch(TimePoint now);
  void Watched(TimePoint now, uint64_t revision, const StoreAnswer* answer);
  void ReadList(TimePoint now);
  void ListRead(TimePoint now, const StoreAnswer* answer);
  void PointerRead(TimePoint now, const StoreAnswer* answer);
  void ReadPart(TimePoint now);
  void PartRead(TimePoint now, const StoreAnswer* answer);
  void ReadNext(TimePoint now);
  void NextRead(TimePoint now, uint64_t revision, const StoreAnswer* answer);
  void LoadFailed(TimePoint now);
  void Backoff(TimePoint now);

  Context* context_;
  bool watching_ = false;
  bool listing_ = false;
  bool loading_ = false;
  TimePoint next_watch_ = TimePoint::max();
  TimePoint next_list_ = TimePoint::max();
  /// When a whole state is read from the store unless peers gave one.
  TimePoint load_at_ = TimePoint::max();
  TimePoint duty_until_;
  std::chrono::milliseconds backoff_{0};
  SnapshotPointer pointer_;
  uint64_t next_part_ = 0;
  std::vector<Document> parts_;
};

}  // namespace ryefold::core::configuration
