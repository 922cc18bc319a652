#pragma once

// Store access other than the end of the log: the history of a key, snapshots,
// and the clearing of old changes.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "context.h"

namespace ryefold::core::configuration {

/// Reads the history of a key backwards from its last change. Each change names
/// the version that it replaced.
class HistoryReader {
 public:
  explicit HistoryReader(Context* context) : context_(context) {}

  void HandleRequest(TimePoint now, const HistoryRequested& request);
  void Tick(TimePoint now);
  TimePoint next_deadline() const;

 private:
  struct Scan {
    Tag tag = 0;
    std::string key;
    size_t limit = 0;
    TimePoint deadline;
    std::vector<HistoryEntry> entries;
  };

  void ReadVersion(TimePoint now, uint64_t id, uint64_t version);
  void HandleAnswer(TimePoint now, uint64_t id, uint64_t version,
                    const StoreAnswer* answer);
  void FinishScan(uint64_t id, bool complete);

  Context* context_;
  std::map<uint64_t, Scan> scans_;
  uint64_t next_id_ = 1;
};

/// Writes snapshots if this instance is the first in the order of store
/// watchers, and clears changes that the previous snapshot already covers. A
/// cleared key keeps its version, so that a put which expects it absent still
/// fails: with a removed key, an instance far behind could write a second
/// history.
class SnapshotWriter {
 public:
  explicit SnapshotWriter(Context* context) : context_(context) {}

  void Tick(TimePoint now);
  TimePoint next_deadline() const {
    return std::min(next_check_at_, next_clear_at_);
  }

 private:
  void Start(TimePoint now);
  void HandlePointer(TimePoint now, const StoreAnswer* answer);
  void WritePart(TimePoint now);
  void WritePointer(TimePoint now);
  void HandlePointerWritten(TimePoint now, const StoreAnswer* answer);
  void ListObsoleteKeys();
  void ClearNextKey(TimePoint now);
  void Stop(TimePoint now);

  Context* context_;
  TimePoint next_check_at_;
  TimePoint next_clear_at_ = TimePoint::max();
  bool writing_ = false;
  uint64_t last_snapshot_revision_ = 0;
  /// The pointer as last read from the store, and the version of its key.
  SnapshotPointer old_pointer_;
  uint64_t pointer_version_ = 0;
  SnapshotPointer new_pointer_;
  std::vector<std::vector<Document>> parts_;
  uint64_t next_part_ = 0;
  /// Keys that the new snapshot makes obsolete, in reverse order of clearing.
  std::vector<std::string> keys_to_clear_;
};

}  // namespace ryefold::core::configuration
