#include "follower.h"

#include <algorithm>

namespace ryefold::core::configuration {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstBackoff{250};
constexpr milliseconds kMaxBackoff{4000};
/// Time that peers are given before a new instance reads the store itself.
/// Later in rank waits longer: in a cold start of the whole fleet the first
/// ones read and all others hear from them.
constexpr milliseconds kPeersFirst{800};
constexpr milliseconds kPerRank{50};
/// Without word of the store for this long the circle of those that wait on
/// it widens, since all of them may be gone while the list still names them.
constexpr milliseconds kWidenAfter{15000};
constexpr milliseconds kWidenStep{2000};
constexpr size_t kWidenMost = 13;
constexpr std::chrono::minutes kWidenHold{5};
/// Silence of all peers after which an instance asks the store for itself.
constexpr milliseconds kAlone{3000};
/// The first in order reads the list at each interval, the other watchers
/// every so many, in case the first is gone.
constexpr int kSecondaryListFactor = 3;

const StoreRead* ReadOf(const StoreAnswer* answer) {
  return answer == nullptr ? nullptr : std::get_if<StoreRead>(answer);
}

}  // namespace

void Follower::Start(TimePoint now) {
  next_watch_ = now;
  next_list_ = now;
  load_at_ =
      now + kPeersFirst + kPerRank * static_cast<int>(context_->StoreRank());
}

TimePoint Follower::next_deadline() const {
  TimePoint next = TimePoint::max();
  if (!watching_) next = std::min(next, next_watch_);
  if (!listing_) next = std::min(next, next_list_);
  if (!loading_ && !context_->documents.known()) {
    next = std::min(next, load_at_);
  }
  return next;
}

bool Follower::OnDuty(TimePoint now) const {
  if (now - context_->peer_heard > kAlone) return true;
  if (now < duty_until_) return true;
  return context_->StoreRank() < context_->options.watchers;
}

void Follower::Widen(TimePoint now) {
  const auto age = now - context_->store_seen;
  const bool grown = now - context_->started > kWidenAfter;
  if (age <= kWidenAfter || !grown) return;
  const auto steps = static_cast<size_t>((age - kWidenAfter) / kWidenStep);
  const size_t circle =
      context_->options.watchers + std::min(kWidenMost, steps + 1);
  // Held for a while: the first answer makes the silence look over, though
  // nobody else waits on the store yet.
  if (context_->StoreRank() < circle) duty_until_ = now + kWidenHold;
}

void Follower::Tick(TimePoint now) {
  Widen(now);
  const bool duty = OnDuty(now);
  if (!listing_ && next_list_ <= now) {
    if (duty || context_->members.version() == 0) {
      ReadList(now);
    } else {
      next_list_ = now + context_->options.list_interval;
    }
  }
  if (!watching_ && next_watch_ <= now) {
    if (duty && context_->documents.known()) {
      Watch(now);
    } else {
      next_watch_ = now + context_->options.list_interval;
    }
  }
  const bool load = !context_->documents.known() && load_at_ <= now;
  if (load || context_->far_behind) Load(now);
  context_->far_behind = false;
}

void Follower::Backoff(TimePoint now) {
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMaxBackoff);
  next_watch_ = now + context_->Jitter(backoff_);
}

void Follower::Watch(TimePoint now) {
  const uint64_t revision = context_->documents.revision() + 1;
  watching_ = true;
  context_->CallStore(
      now, StoreWatch{ChangeKey(revision), 0, context_->options.watch_wait},
      [this, revision](TimePoint when, const StoreAnswer* answer) {
        Watched(when, revision, answer);
      });
}

void Follower::Watched(TimePoint now, uint64_t revision,
                       const StoreAnswer* answer) {
  watching_ = false;
  const StoreRead* read = ReadOf(answer);
  if (read == nullptr) {
    Backoff(now);
    return;
  }
  backoff_ = milliseconds(0);
  next_watch_ = now;
  if (read->version == 0) return;
  const auto* change = std::get_if<Change>(&read->value);
  if (change != nullptr) {
    context_->DocumentsApplied(context_->documents.Apply(revision, *change));
  } else if (revision == context_->documents.revision() + 1) {
    // Emptied, or written by a version that we can't read: only a whole
    // state brings us on.
    next_watch_ = now + kFirstBackoff;
    Load(now);
  }
}

void Follower::ReadList(TimePoint now) {
  listing_ = true;
  context_->CallStore(now, StoreInstances{context_->members.version()},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        ListRead(when, answer);
                      });
}

void Follower::ListRead(TimePoint now, const StoreAnswer* answer) {
  listing_ = false;
  milliseconds interval = context_->options.list_interval;
  if (context_->StoreRank() > 0) interval *= kSecondaryListFactor;
  next_list_ = now + interval;
  const auto* list =
      answer == nullptr ? nullptr : std::get_if<StoreInstancesRead>(answer);
  if (list == nullptr || list->unchanged) return;
  const bool first = context_->members.version() == 0;
  if (context_->members.Replace(list->version, list->members) || first) {
    context_->MembersTouched(now);
  }
}

void Follower::Load(TimePoint now) {
  if (loading_) return;
  loading_ = true;
  context_->CallStore(now, StoreGet{SnapshotKey()},
                      [this](TimePoint when, const StoreAnswer* answer) {
                        PointerRead(when, answer);
                      });
}

void Follower::LoadFailed(TimePoint now) {
  loading_ = false;
  load_at_ = now + context_->Jitter(kPeersFirst * 2);
}

void Follower::PointerRead(TimePoint now, const StoreAnswer* answer) {
  const StoreRead* read = ReadOf(answer);
  if (read == nullptr) {
    LoadFailed(now);
    return;
  }
  const auto* pointer = std::get_if<SnapshotPointer>(&read->value);
  pointer_ = pointer == nullptr ? SnapshotPointer() : *pointer;
  parts_.clear();
  next_part_ = 0;
  if (pointer_.revision <= context_->documents.revision()) {
    ReadNext(now);
  } else {
    ReadPart(now);
  }
}

void Follower::ReadPart(TimePoint now) {
  if (next_part_ == pointer_.parts) {
    context_->DocumentsApplied(
        context_->documents.Replace(pointer_.revision, parts_));
    parts_.clear();
    ReadNext(now);
    return;
  }
  context_->CallStore(
      now, StoreGet{pointer_.prefix + "/" + std::to_string(next_part_)},
      [this](TimePoint when, const StoreAnswer* answer) {
        PartRead(when, answer);
      });
}

void Follower::PartRead(TimePoint now, const StoreAnswer* answer) {
  const StoreRead* read = ReadOf(answer);
  const auto* part =
      read == nullptr ? nullptr : std::get_if<SnapshotPart>(&read->value);
  if (part == nullptr) {
    LoadFailed(now);
    return;
  }
  parts_.insert(parts_.end(), part->documents.begin(), part->documents.end());
  ++next_part_;
  ReadPart(now);
}

void Follower::ReadNext(TimePoint now) {
  if (context_->documents.known()) {
    loading_ = false;
    next_watch_ = now;
    return;
  }
  const uint64_t revision = context_->documents.revision() + 1;
  context_->CallStore(
      now, StoreGet{ChangeKey(revision)},
      [this, revision](TimePoint when, const StoreAnswer* answer) {
        NextRead(when, revision, answer);
      });
}

void Follower::NextRead(TimePoint now, uint64_t revision,
                        const StoreAnswer* answer) {
  const StoreRead* read = ReadOf(answer);
  if (read == nullptr) {
    LoadFailed(now);
    return;
  }
  if (read->version == 0) {
    loading_ = false;
    next_watch_ = now;
    context_->documents.MarkKnown();
    return;
  }
  const auto* change = std::get_if<Change>(&read->value);
  if (change == nullptr) {
    LoadFailed(now);
    return;
  }
  context_->DocumentsApplied(context_->documents.Apply(revision, *change));
  ReadNext(now);
}

}  // namespace ryefold::core::configuration
