#include "follower.h"

#include <algorithm>

namespace ryefold::core::configuration {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstBackoff{250};
constexpr milliseconds kMaxBackoff{4000};
/// Time that a new instance waits for the state of a peer before it reads the
/// store. The delay grows with the rank: on a cold start of the whole fleet the
/// first instances read the store and the others receive the state from them.
constexpr milliseconds kLoadDelay{800};
constexpr milliseconds kLoadDelayPerRank{50};
/// After this time without a known response of the store, more instances watch
/// it, because all current watchers may have failed while the list still
/// contains them.
constexpr milliseconds kExtendAfter{15000};
constexpr milliseconds kExtendStep{2000};
constexpr size_t kMaxExtraWatchers = 13;
constexpr std::chrono::minutes kExtensionHold{5};
/// Time without contact to any peer after which an instance reads the store
/// itself.
constexpr milliseconds kPeerContactTimeout{3000};
/// The first watcher reads the list at each interval, the others at this
/// multiple of it in case the first one has failed.
constexpr int kSecondaryListFactor = 3;

const StoreRead* AsStoreRead(const StoreAnswer* answer) {
  return answer == nullptr ? nullptr : std::get_if<StoreRead>(answer);
}

}  // namespace

void Follower::Start(TimePoint now) {
  next_watch_ = now;
  next_list_ = now;
  load_at_ = now + kLoadDelay +
             kLoadDelayPerRank * static_cast<int>(context_->StoreRank());
}

TimePoint Follower::next_deadline() const {
  TimePoint next = TimePoint::max();
  if (!watching_) next = std::min(next, next_watch_);
  if (!listing_) next = std::min(next, next_list_);
  if (!loading_ && !context_->documents.IsLoaded()) {
    next = std::min(next, load_at_);
  }
  return next;
}

bool Follower::IsStoreWatcher(TimePoint now) const {
  if (now - context_->last_peer_contact > kPeerContactTimeout) return true;
  if (now < watch_until_) return true;
  return context_->StoreRank() < context_->options.watcher_count;
}

void Follower::ExtendWatchers(TimePoint now) {
  const auto age = now - context_->last_fleet_store_contact;
  const bool started_long_ago = now - context_->started_at > kExtendAfter;
  if (age <= kExtendAfter || !started_long_ago) return;
  const auto steps = static_cast<size_t>((age - kExtendAfter) / kExtendStep);
  const size_t watchers =
      context_->options.watcher_count + std::min(kMaxExtraWatchers, steps + 1);
  // The extension lasts for a fixed time: the first response of the store
  // resets the age although no other instance watches the store yet.
  if (context_->StoreRank() < watchers) watch_until_ = now + kExtensionHold;
}

void Follower::Tick(TimePoint now) {
  ExtendWatchers(now);
  const bool is_watcher = IsStoreWatcher(now);
  if (!listing_ && next_list_ <= now) {
    if (is_watcher || context_->members.version() == 0) {
      ReadList(now);
    } else {
      next_list_ = now + context_->options.list_interval;
    }
  }
  if (!watching_ && next_watch_ <= now) {
    if (is_watcher && context_->documents.IsLoaded()) {
      Watch(now);
    } else {
      next_watch_ = now + context_->options.list_interval;
    }
  }
  const bool load = !context_->documents.IsLoaded() && load_at_ <= now;
  if (load || context_->needs_snapshot) LoadState(now);
  context_->needs_snapshot = false;
}

void Follower::BackOff(TimePoint now) {
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMaxBackoff);
  next_watch_ = now + context_->WithJitter(backoff_);
}

void Follower::Watch(TimePoint now) {
  const uint64_t revision = context_->documents.revision() + 1;
  watching_ = true;
  context_->CallStore(
      now, StoreWatch{ChangeKey(revision), 0, context_->options.watch_timeout},
      [this, revision](TimePoint when, const StoreAnswer* answer) {
        HandleWatchAnswer(when, revision, answer);
      });
}

void Follower::HandleWatchAnswer(TimePoint now, uint64_t revision,
                                 const StoreAnswer* answer) {
  watching_ = false;
  const StoreRead* read = AsStoreRead(answer);
  if (read == nullptr) {
    BackOff(now);
    return;
  }
  backoff_ = milliseconds(0);
  next_watch_ = now;
  if (read->version == 0) return;
  const auto* change = std::get_if<Change>(&read->value);
  if (change != nullptr) {
    context_->ReportChangedKeys(context_->documents.Apply(revision, *change));
  } else if (revision == context_->documents.revision() + 1) {
    // The change has been cleared, or was written by a newer version in an
    // unreadable format. Only a complete state advances this instance.
    next_watch_ = now + kFirstBackoff;
    LoadState(now);
  }
}

void Follower::ReadList(TimePoint now) {
  listing_ = true;
  context_->CallStore(now, StoreInstances{context_->members.version()},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        HandleList(when, answer);
                      });
}

void Follower::HandleList(TimePoint now, const StoreAnswer* answer) {
  listing_ = false;
  milliseconds interval = context_->options.list_interval;
  if (context_->StoreRank() > 0) interval *= kSecondaryListFactor;
  next_list_ = now + interval;
  const auto* list =
      answer == nullptr ? nullptr : std::get_if<StoreInstancesRead>(answer);
  if (list == nullptr || list->unchanged) return;
  const bool first = context_->members.version() == 0;
  if (context_->members.Replace(list->version, list->members) || first) {
    context_->ScheduleMemberUpdate(now);
  }
}

void Follower::LoadState(TimePoint now) {
  if (loading_) return;
  loading_ = true;
  context_->CallStore(now, StoreGet{SnapshotKey()},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        HandlePointer(when, answer);
                      });
}

void Follower::ScheduleReload(TimePoint now) {
  loading_ = false;
  load_at_ = now + context_->WithJitter(kLoadDelay * 2);
}

void Follower::HandlePointer(TimePoint now, const StoreAnswer* answer) {
  const StoreRead* read = AsStoreRead(answer);
  if (read == nullptr) {
    ScheduleReload(now);
    return;
  }
  const auto* pointer = std::get_if<SnapshotPointer>(&read->value);
  pointer_ = pointer == nullptr ? SnapshotPointer() : *pointer;
  parts_.clear();
  next_part_ = 0;
  if (pointer_.revision <= context_->documents.revision()) {
    ReadNextChange(now);
  } else {
    ReadPart(now);
  }
}

void Follower::ReadPart(TimePoint now) {
  if (next_part_ == pointer_.parts) {
    context_->ReportChangedKeys(
        context_->documents.Replace(pointer_.revision, parts_));
    parts_.clear();
    ReadNextChange(now);
    return;
  }
  context_->CallStore(
      now, StoreGet{pointer_.prefix + "/" + std::to_string(next_part_)},
      [this](TimePoint when, const StoreAnswer* answer) {
        HandlePart(when, answer);
      });
}

void Follower::HandlePart(TimePoint now, const StoreAnswer* answer) {
  const StoreRead* read = AsStoreRead(answer);
  const auto* part =
      read == nullptr ? nullptr : std::get_if<SnapshotPart>(&read->value);
  if (part == nullptr) {
    ScheduleReload(now);
    return;
  }
  parts_.insert(parts_.end(), part->documents.begin(), part->documents.end());
  ++next_part_;
  ReadPart(now);
}

void Follower::ReadNextChange(TimePoint now) {
  if (context_->documents.IsLoaded()) {
    loading_ = false;
    next_watch_ = now;
    return;
  }
  const uint64_t revision = context_->documents.revision() + 1;
  context_->CallStore(
      now, StoreGet{ChangeKey(revision)},
      [this, revision](TimePoint when, const StoreAnswer* answer) {
        HandleNextChange(when, revision, answer);
      });
}

void Follower::HandleNextChange(TimePoint now, uint64_t revision,
                                const StoreAnswer* answer) {
  const StoreRead* read = AsStoreRead(answer);
  if (read == nullptr) {
    ScheduleReload(now);
    return;
  }
  if (read->version == 0) {
    loading_ = false;
    next_watch_ = now;
    context_->documents.MarkLoaded();
    return;
  }
  const auto* change = std::get_if<Change>(&read->value);
  if (change == nullptr) {
    ScheduleReload(now);
    return;
  }
  context_->ReportChangedKeys(context_->documents.Apply(revision, *change));
  ReadNextChange(now);
}

}  // namespace ryefold::core::configuration
