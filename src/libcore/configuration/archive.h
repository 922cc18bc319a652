#pragma once

// What is read from and written to the store besides the log's end: the
// history of a key, snapshots, and the emptying of old changes.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "context.h"

namespace ryefold::core::configuration {

/// Walks from a key's last change to the ones before: each change names the
/// version that it replaced.
class History {
 public:
  explicit History(Context* context) : context_(context) {}

  void Arrived(TimePoint now, const HistoryArrived& request);
  void Tick(TimePoint now);
  TimePoint next_deadline() const;

 private:
  struct Walk {
    Tag tag = 0;
    std::string key;
    size_t limit = 0;
    TimePoint deadline;
    std::vector<HistoryEntry> entries;
  };

  void Read(TimePoint now, uint64_t id, uint64_t version);
  void Answered(TimePoint now, uint64_t id, uint64_t version,
                const StoreAnswer* answer);
  void Finish(uint64_t id, bool complete);

  Context* context_;
  std::map<uint64_t, Walk> walks_;
  uint64_t next_id_ = 1;
};

/// Writes snapshots when this instance is the first of those that wait on the
/// store, and empties changes that the one before last already covers. An
/// emptied key keeps its version, so that a put which expects it absent still
/// fails: were the key removed, an instance far behind could write a second
/// history.
class SnapshotWriter {
 public:
  explicit SnapshotWriter(Context* context) : context_(context) {}

  void Tick(TimePoint now);
  TimePoint next_deadline() const { return std::min(next_check_, next_empty_); }

 private:
  void Check(TimePoint now);
  void PointerRead(TimePoint now, const StoreAnswer* answer);
  void WritePart(TimePoint now);
  void WritePointer(TimePoint now);
  void PointerWritten(TimePoint now, const StoreAnswer* answer);
  void ListEmptied();
  void EmptyNext(TimePoint now);
  void Stop(TimePoint now);

  Context* context_;
  TimePoint next_check_;
  TimePoint next_empty_ = TimePoint::max();
  bool busy_ = false;
  uint64_t last_known_ = 0;
  /// What the store's pointer says, and its version.
  SnapshotPointer old_;
  uint64_t pointer_version_ = 0;
  SnapshotPointer new_;
  std::vector<std::vector<Document>> parts_;
  uint64_t next_part_ = 0;
  /// Keys that the new snapshot makes superfluous, in reverse order.
  std::vector<std::string> to_empty_;
};

}  // namespace ryefold::core::configuration
