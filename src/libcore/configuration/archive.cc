#include "archive.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::configuration {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{10000};
/// Delay between two cleared keys, which leaves the write capacity of the store
/// to other writers.
constexpr milliseconds kClearInterval{20};

const StoreRead* AsStoreRead(const StoreAnswer* answer) {
  return answer == nullptr ? nullptr : std::get_if<StoreRead>(answer);
}

}  // namespace

void HistoryReader::HandleRequest(TimePoint now,
                                  const HistoryRequested& request) {
  const uint64_t id = next_id_++;
  scans_[id] = {request.tag, request.key, request.limit, request.deadline, {}};
  ReadVersion(now, id, context_->documents.VersionOf(request.key));
}

void HistoryReader::ReadVersion(TimePoint now, uint64_t id, uint64_t version) {
  const Scan& scan = scans_.at(id);
  if (version == 0 || scan.entries.size() >= scan.limit) {
    FinishScan(id, version == 0);
    return;
  }
  context_->CallStore(
      now, StoreGet{ChangeKey(version)},
      [this, id, version](TimePoint when, const StoreAnswer* answer) {
        HandleAnswer(when, id, version, answer);
      });
}

void HistoryReader::HandleAnswer(TimePoint now, uint64_t id, uint64_t version,
                                 const StoreAnswer* answer) {
  const auto found = scans_.find(id);
  if (found == scans_.end()) return;
  Scan& scan = found->second;
  const StoreRead* read = AsStoreRead(answer);
  const auto* change =
      read == nullptr ? nullptr : std::get_if<Change>(&read->value);
  if (change == nullptr) {
    FinishScan(id, false);
    return;
  }
  for (const Edit& edit : change->edits) {
    if (edit.key != scan.key) continue;
    scan.entries.push_back({version, edit.base_version, change->change_id,
                            change->author, change->time, edit.text});
    ReadVersion(now, id, edit.base_version);
    return;
  }
  FinishScan(id, false);
}

void HistoryReader::FinishScan(uint64_t id, bool complete) {
  Scan scan = std::move(scans_.at(id));
  scans_.erase(id);
  const auto& all = context_->documents.all();
  const auto document = all.find(scan.key);
  if (scan.entries.empty() && document != all.end()) {
    const Document& last = document->second;
    scan.entries.push_back(
        {last.version, 0, last.change_id, last.author, last.time, last.text});
  }
  context_->Emit(HistoryDone{scan.tag, std::move(scan.entries), complete});
}

void HistoryReader::Tick(TimePoint now) {
  std::vector<uint64_t> due;
  for (const auto& [id, scan] : scans_) {
    if (scan.deadline <= now) due.push_back(id);
  }
  for (const uint64_t id : due) FinishScan(id, false);
}

TimePoint HistoryReader::next_deadline() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, scan] : scans_) next = std::min(next, scan.deadline);
  return next;
}

void SnapshotWriter::Tick(TimePoint now) {
  if (next_clear_at_ <= now) ClearNextKey(now);
  if (next_check_at_ > now) return;
  next_check_at_ = now + kCheckInterval;
  const bool due =
      context_->documents.revision() >=
      last_snapshot_revision_ + context_->options.changes_per_snapshot;
  const bool first = context_->StoreRank() == 0;
  if (!writing_ && due && first && context_->documents.IsLoaded()) Start(now);
}

void SnapshotWriter::Start(TimePoint now) {
  writing_ = true;
  context_->CallStore(now, StoreGet{SnapshotKey()},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        HandlePointer(when, answer);
                      });
}

void SnapshotWriter::HandlePointer(TimePoint now, const StoreAnswer* answer) {
  const StoreRead* read = AsStoreRead(answer);
  if (read == nullptr) {
    Stop(now);
    return;
  }
  const auto* pointer = std::get_if<SnapshotPointer>(&read->value);
  old_pointer_ = pointer == nullptr ? SnapshotPointer() : *pointer;
  pointer_version_ = read->version;
  last_snapshot_revision_ = old_pointer_.revision;
  const uint64_t revision = context_->documents.revision();
  if (revision <
      old_pointer_.revision + context_->options.changes_per_snapshot) {
    Stop(now);
    return;
  }
  parts_ = SplitIntoParts(context_->documents.all(),
                          context_->options.max_block_bytes);
  new_pointer_.revision = revision;
  // The instance name and incarnation keep apart two writers of one revision.
  new_pointer_.prefix = SnapshotKey() + "/" + std::to_string(revision) + "-" +
                        context_->options.self.name + "-" +
                        std::to_string(context_->options.incarnation);
  new_pointer_.parts = parts_.size();
  new_pointer_.trimmed = old_pointer_.trimmed;
  next_part_ = 0;
  WritePart(now);
}

void SnapshotWriter::WritePart(TimePoint now) {
  if (next_part_ == new_pointer_.parts) {
    WritePointer(now);
    return;
  }
  const std::string key =
      new_pointer_.prefix + "/" + std::to_string(next_part_);
  context_->CallStore(now, StorePut{key, SnapshotPart{parts_[next_part_]}, 0},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        if (answer == nullptr) {
                          Stop(when);
                          return;
                        }
                        // An existing part was written by this writer in a put
                        // whose answer was lost.
                        ++next_part_;
                        WritePart(when);
                      });
}

void SnapshotWriter::WritePointer(TimePoint now) {
  context_->CallStore(now,
                      StorePut{SnapshotKey(), new_pointer_, pointer_version_},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        HandlePointerWritten(when, answer);
                      });
}

void SnapshotWriter::HandlePointerWritten(TimePoint now,
                                          const StoreAnswer* answer) {
  const auto* done =
      answer == nullptr ? nullptr : std::get_if<StorePutDone>(answer);
  if (done == nullptr || !done->done) {
    Stop(now);
    return;
  }
  pointer_version_ = done->version;
  const bool is_new = last_snapshot_revision_ != new_pointer_.revision;
  last_snapshot_revision_ = new_pointer_.revision;
  if (is_new && old_pointer_.revision > 0) {
    ListObsoleteKeys();
    next_clear_at_ = now;
  } else {
    Stop(now);
  }
}

void SnapshotWriter::ListObsoleteKeys() {
  keys_to_clear_.clear();
  for (uint64_t part = 0; part < old_pointer_.parts; ++part) {
    keys_to_clear_.push_back(old_pointer_.prefix + "/" + std::to_string(part));
  }
  for (uint64_t at = old_pointer_.revision; at > old_pointer_.trimmed; --at) {
    keys_to_clear_.push_back(ChangeKey(at));
  }
}

void SnapshotWriter::ClearNextKey(TimePoint now) {
  next_clear_at_ = TimePoint::max();
  if (keys_to_clear_.empty()) {
    new_pointer_.trimmed = old_pointer_.revision;
    WritePointer(now);
    return;
  }
  const std::string key = std::move(keys_to_clear_.back());
  keys_to_clear_.pop_back();
  context_->CallStore(now, StorePut{key, std::monostate(), 1},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        if (answer == nullptr) {
                          Stop(when);
                        } else {
                          next_clear_at_ = when + kClearInterval;
                        }
                      });
}

void SnapshotWriter::Stop(TimePoint now) {
  writing_ = false;
  parts_.clear();
  keys_to_clear_.clear();
  next_check_at_ = now + kCheckInterval;
}

}  // namespace ryefold::core::configuration
