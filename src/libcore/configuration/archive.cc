#include "archive.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::configuration {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{10000};
/// Between two emptied keys, so that clearing up leaves the store's rate of
/// writes to others.
constexpr milliseconds kEmptyPause{20};

const StoreRead* ReadOf(const StoreAnswer* answer) {
  return answer == nullptr ? nullptr : std::get_if<StoreRead>(answer);
}

}  // namespace

void History::Arrived(TimePoint now, const HistoryArrived& request) {
  const uint64_t id = next_id_++;
  walks_[id] = {request.tag, request.key, request.limit, request.deadline, {}};
  Read(now, id, context_->documents.VersionOf(request.key));
}

void History::Read(TimePoint now, uint64_t id, uint64_t version) {
  const Walk& walk = walks_.at(id);
  if (version == 0 || walk.entries.size() >= walk.limit) {
    Finish(id, version == 0);
    return;
  }
  context_->CallStore(
      now, StoreGet{ChangeKey(version)},
      [this, id, version](TimePoint when, const StoreAnswer* answer) {
        Answered(when, id, version, answer);
      });
}

void History::Answered(TimePoint now, uint64_t id, uint64_t version,
                       const StoreAnswer* answer) {
  const auto found = walks_.find(id);
  if (found == walks_.end()) return;
  Walk& walk = found->second;
  const StoreRead* read = ReadOf(answer);
  const auto* change =
      read == nullptr ? nullptr : std::get_if<Change>(&read->value);
  if (change == nullptr) {
    Finish(id, false);
    return;
  }
  for (const Edit& edit : change->edits) {
    if (edit.key != walk.key) continue;
    walk.entries.push_back({version, edit.base_version, change->change_id,
                            change->author, change->time, edit.text});
    Read(now, id, edit.base_version);
    return;
  }
  Finish(id, false);
}

void History::Finish(uint64_t id, bool complete) {
  Walk walk = std::move(walks_.at(id));
  walks_.erase(id);
  const auto& all = context_->documents.all();
  const auto document = all.find(walk.key);
  if (walk.entries.empty() && document != all.end()) {
    const Document& last = document->second;
    walk.entries.push_back(
        {last.version, 0, last.change_id, last.author, last.time, last.text});
  }
  context_->Emit(HistoryDone{walk.tag, std::move(walk.entries), complete});
}

void History::Tick(TimePoint now) {
  std::vector<uint64_t> due;
  for (const auto& [id, walk] : walks_) {
    if (walk.deadline <= now) due.push_back(id);
  }
  for (const uint64_t id : due) Finish(id, false);
}

TimePoint History::next_deadline() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, walk] : walks_) next = std::min(next, walk.deadline);
  return next;
}

void SnapshotWriter::Tick(TimePoint now) {
  if (next_empty_ <= now) EmptyNext(now);
  if (next_check_ > now) return;
  next_check_ = now + kCheckInterval;
  const bool due = context_->documents.revision() >=
                   last_known_ + context_->options.snapshot_every;
  const bool first = context_->StoreRank() == 0;
  if (!busy_ && due && first && context_->documents.known()) Check(now);
}

void SnapshotWriter::Check(TimePoint now) {
  busy_ = true;
  context_->CallStore(now, StoreGet{SnapshotKey()},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        PointerRead(when, answer);
                      });
}

void SnapshotWriter::PointerRead(TimePoint now, const StoreAnswer* answer) {
  const StoreRead* read = ReadOf(answer);
  if (read == nullptr) {
    Stop(now);
    return;
  }
  const auto* pointer = std::get_if<SnapshotPointer>(&read->value);
  old_ = pointer == nullptr ? SnapshotPointer() : *pointer;
  pointer_version_ = read->version;
  last_known_ = old_.revision;
  const uint64_t revision = context_->documents.revision();
  if (revision < old_.revision + context_->options.snapshot_every) {
    Stop(now);
    return;
  }
  parts_ = Split(context_->documents.all(), context_->options.block_bytes);
  new_.revision = revision;
  // The writer's name and run keep two writers of one revision apart.
  new_.prefix = SnapshotKey() + "/" + std::to_string(revision) + "-" +
                context_->options.self.name + "-" +
                std::to_string(context_->options.incarnation);
  new_.parts = parts_.size();
  new_.trimmed = old_.trimmed;
  next_part_ = 0;
  WritePart(now);
}

void SnapshotWriter::WritePart(TimePoint now) {
  if (next_part_ == new_.parts) {
    WritePointer(now);
    return;
  }
  const std::string key = new_.prefix + "/" + std::to_string(next_part_);
  context_->CallStore(now, StorePut{key, SnapshotPart{parts_[next_part_]}, 0},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        if (answer == nullptr) {
                          Stop(when);
                          return;
                        }
                        // A part that is there already is this writer's own,
                        // from a put whose answer was lost.
                        ++next_part_;
                        WritePart(when);
                      });
}

void SnapshotWriter::WritePointer(TimePoint now) {
  context_->CallStore(now, StorePut{SnapshotKey(), new_, pointer_version_},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        PointerWritten(when, answer);
                      });
}

void SnapshotWriter::PointerWritten(TimePoint now, const StoreAnswer* answer) {
  const auto* done =
      answer == nullptr ? nullptr : std::get_if<StorePutDone>(answer);
  if (done == nullptr || !done->done) {
    Stop(now);
    return;
  }
  pointer_version_ = done->version;
  const bool fresh = last_known_ != new_.revision;
  last_known_ = new_.revision;
  if (fresh && old_.revision > 0) {
    ListEmptied();
    next_empty_ = now;
  } else {
    Stop(now);
  }
}

void SnapshotWriter::ListEmptied() {
  to_empty_.clear();
  for (uint64_t part = 0; part < old_.parts; ++part) {
    to_empty_.push_back(old_.prefix + "/" + std::to_string(part));
  }
  for (uint64_t at = old_.revision; at > old_.trimmed; --at) {
    to_empty_.push_back(ChangeKey(at));
  }
}

void SnapshotWriter::EmptyNext(TimePoint now) {
  next_empty_ = TimePoint::max();
  if (to_empty_.empty()) {
    new_.trimmed = old_.revision;
    WritePointer(now);
    return;
  }
  const std::string key = std::move(to_empty_.back());
  to_empty_.pop_back();
  context_->CallStore(now, StorePut{key, std::monostate(), 1},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        if (answer == nullptr) {
                          Stop(when);
                        } else {
                          next_empty_ = when + kEmptyPause;
                        }
                      });
}

void SnapshotWriter::Stop(TimePoint now) {
  busy_ = false;
  parts_.clear();
  to_empty_.clear();
  next_check_ = now + kCheckInterval;
}

}  // namespace ryefold::core::configuration
