#include "publisher.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace ryefold::core::configuration {
namespace {

using membership::MemberState;
using std::chrono::milliseconds;

constexpr milliseconds kFirstBackoff{50};
constexpr milliseconds kMaxBackoff{1000};
/// Between two tries while others are faster.
constexpr milliseconds kRacePause{120};
/// How long holders are waited for before further peers are told.
constexpr milliseconds kHoldRetry{250};

}  // namespace

void Publisher::Arrived(TimePoint now, const PublishArrived& request) {
  Pending pending;
  pending.tag = request.tag;
  pending.change = request.change;
  pending.deadline = request.deadline;
  pending.repeat = request.repeat;
  pending.next_try = now;
  pending_.push_back(std::move(pending));
  if (!Valid(request.change)) {
    Finish(std::prev(pending_.end()), PublishStatus::kInvalid);
    return;
  }
  Advance(now);
}

bool Publisher::Valid(const Change& change) const {
  size_t bytes = change.change_id.size() + change.author.size();
  std::set<std::string> keys;
  for (const Edit& edit : change.edits) {
    bytes += edit.key.size() + (edit.text ? edit.text->size() : 0);
    if (edit.key.empty() || !keys.insert(edit.key).second) return false;
  }
  const bool named = !change.change_id.empty() && !keys.empty();
  return named && bytes <= context_->options.change_bytes;
}

Publisher::Entry Publisher::Find(Tag tag) {
  return std::find_if(pending_.begin(), pending_.end(),
                      [tag](const Pending& p) { return p.tag == tag; });
}

void Publisher::Advance(TimePoint now) {
  for (Entry entry = pending_.begin(); entry != pending_.end(); ++entry) {
    if (entry->placed > 0) continue;
    if (!entry->calling && entry->next_try <= now) Try(now, entry);
    return;
  }
}

std::optional<uint64_t> Publisher::Present(const Change& change) const {
  for (const Edit& edit : change.edits) {
    const auto found = context_->documents.all().find(edit.key);
    if (found == context_->documents.all().end()) continue;
    if (found->second.change_id == change.change_id) {
      return found->second.version;
    }
  }
  return std::nullopt;
}

std::vector<Conflict> Publisher::Conflicts(const Change& change) const {
  std::vector<Conflict> conflicts;
  for (const Edit& edit : change.edits) {
    const auto found = context_->documents.all().find(edit.key);
    const bool known = found != context_->documents.all().end();
    const uint64_t present = known ? found->second.version : 0;
    // A deleted key counts with the version of its deletion: a repeat of the
    // change that had created it would otherwise create it once more.
    if (present == edit.base_version) continue;
    conflicts.push_back({edit.key, edit.base_version, present});
  }
  return conflicts;
}

bool Publisher::Behind(const Change& change) const {
  return std::any_of(
      change.edits.begin(), change.edits.end(), [this](const Edit& edit) {
        return edit.base_version > context_->documents.revision();
      });
}

void Publisher::Try(TimePoint now, Entry entry) {
  if (!context_->documents.known()) {
    RetryLater(now, entry);
    return;
  }
  // A repeat of a change whose reply was lost finds itself here.
  if (const auto revision = Present(entry->change)) {
    Placed(now, entry, *revision);
    return;
  }
  if (entry->unsettled > 0) {
    Look(now, entry, entry->unsettled);
  } else if (Behind(entry->change)) {
    Look(now, entry, context_->documents.revision() + 1);
  } else if (!Conflicts(entry->change).empty()) {
    Finish(entry, PublishStatus::kConflict);
    Advance(now);
  } else {
    Put(now, entry);
  }
}

milliseconds Publisher::Patience(TimePoint now, const Pending& pending) const {
  constexpr int kShare = 3;
  const auto left = pending.deadline - now;
  return std::max(context_->options.store_timeout,
                  std::chrono::duration_cast<milliseconds>(left / kShare));
}

void Publisher::Put(TimePoint now, Entry entry) {
  const uint64_t revision = context_->documents.revision() + 1;
  entry->calling = true;
  entry->unsettled = revision;
  context_->CallStore(
      now, StorePut{ChangeKey(revision), entry->change, 0},
      [this, tag = entry->tag, revision](TimePoint when,
                                         const StoreAnswer* answer) {
        PutReturned(when, tag, revision, answer);
      },
      Patience(now, *entry));
}

void Publisher::PutReturned(TimePoint now, Tag tag, uint64_t revision,
                            const StoreAnswer* answer) {
  const Entry entry = Find(tag);
  if (entry == pending_.end()) return;
  entry->calling = false;
  const auto* done =
      answer == nullptr ? nullptr : std::get_if<StorePutDone>(answer);
  if (done == nullptr) {
    RetryLater(now, entry);
  } else if (done->done) {
    context_->DocumentsApplied(
        context_->documents.Apply(revision, entry->change));
    Placed(now, entry, revision);
  } else {
    Look(now, entry, revision);
  }
}

void Publisher::Look(TimePoint now, Entry entry, uint64_t revision) {
  entry->calling = true;
  context_->CallStore(
      now, StoreGet{ChangeKey(revision)},
      [this, tag = entry->tag, revision](TimePoint when,
                                         const StoreAnswer* answer) {
        Looked(when, tag, revision, answer);
      },
      Patience(now, *entry));
}

void Publisher::Looked(TimePoint now, Tag tag, uint64_t revision,
                       const StoreAnswer* answer) {
  const Entry entry = Find(tag);
  if (entry == pending_.end()) return;
  entry->calling = false;
  const auto* read =
      answer == nullptr ? nullptr : std::get_if<StoreRead>(answer);
  if (read == nullptr) {
    RetryLater(now, entry);
  } else if (read->version > 0) {
    Occupied(now, entry, revision, read->value);
  } else if (entry->unsettled == revision) {
    // The put has not taken effect so far. A second one of the same content
    // is safe: whichever reaches the store first makes the other fail.
    Put(now, entry);
  } else {
    // The end of the log: nobody made the version that the operator names.
    Finish(entry, PublishStatus::kConflict);
    Advance(now);
  }
}

void Publisher::Occupied(TimePoint now, Entry entry, uint64_t revision,
                         const StoreValue& value) {
  const auto* change = std::get_if<Change>(&value);
  if (change == nullptr) {
    // Emptied long ago: this instance is far behind, and its put there can
    // never take effect.
    entry->unsettled = 0;
    context_->far_behind = true;
    RetryLater(now, entry);
    return;
  }
  const bool own = change->change_id == entry->change.change_id;
  context_->DocumentsApplied(context_->documents.Apply(revision, *change));
  if (own) {
    Placed(now, entry, revision);
    return;
  }
  entry->unsettled = 0;
  if (Behind(entry->change)) {
    Try(now, entry);
  } else {
    // Others publish as well. Trying again at once, many instances would each
    // read the log change by change; after a moment peers have sent it.
    entry->next_try = now + context_->Jitter(kRacePause);
  }
}

void Publisher::RetryLater(TimePoint now, Entry entry) {
  entry->backoff = std::clamp(entry->backoff * 2, kFirstBackoff, kMaxBackoff);
  entry->next_try = now + context_->Jitter(entry->backoff);
}

void Publisher::Placed(TimePoint now, Entry entry, uint64_t revision) {
  entry->placed = revision;
  entry->unsettled = 0;
  entry->next_try = now;
  CheckHolders(now);
  Advance(now);
}

size_t Publisher::Holders(uint64_t revision) const {
  const auto& others = context_->others();
  const auto holds = [&](const std::string& name) {
    const auto peer = context_->peers.find(name);
    return peer != context_->peers.end() && peer->second.revision >= revision;
  };
  return static_cast<size_t>(
      std::count_if(others.begin(), others.end(), holds));
}

size_t Publisher::Required() const {
  // Without a list nobody can say that there are no others.
  if (context_->members.version() == 0) return context_->options.holders;
  return std::min(context_->options.holders, context_->others().size());
}

void Publisher::CheckHolders(TimePoint now) {
  const size_t required = Required();
  for (Entry entry = pending_.begin(); entry != pending_.end();) {
    const Entry present = entry++;
    if (present->placed == 0) continue;
    if (Holders(present->placed) >= required) {
      Finish(present, PublishStatus::kAccepted);
    } else if (present->next_try <= now) {
      present->next_try = now + kHoldRetry;
      gossip_->Spread(now, present->placed, context_->options.fanout);
    }
  }
}

void Publisher::PeersHeard(TimePoint now) {
  if (!pending_.empty()) CheckHolders(now);
}

void Publisher::Finish(Entry entry, PublishStatus status) {
  PublishDone done;
  done.tag = entry->tag;
  done.status = status;
  done.revision = entry->placed;
  done.instances = context_->others().size() + 1;
  if (entry->placed > 0) done.held_by = Holders(entry->placed) + 1;
  if (status == PublishStatus::kConflict) {
    done.conflicts = Conflicts(entry->change);
  }
  pending_.erase(entry);
  context_->Emit(std::move(done));
}

void Publisher::Expire(TimePoint now) {
  for (Entry entry = pending_.begin(); entry != pending_.end();) {
    const Entry present = entry++;
    if (present->deadline > now) continue;
    // With a put under way, here or from an earlier attempt elsewhere, "not
    // taken" could turn out false: an operator told so would publish something
    // else and find the first change in force as well.
    const bool certain =
        present->placed == 0 && present->unsettled == 0 && !present->repeat;
    Finish(present,
           certain ? PublishStatus::kUnavailable : PublishStatus::kUnknown);
  }
}

void Publisher::Tick(TimePoint now) {
  if (pending_.empty()) return;
  Expire(now);
  CheckHolders(now);
  Advance(now);
}

TimePoint Publisher::next_deadline() const {
  TimePoint next = TimePoint::max();
  bool first = true;
  for (const Pending& pending : pending_) {
    next = std::min(next, pending.deadline);
    const bool waits = pending.placed > 0 || (first && !pending.calling);
    if (waits) next = std::min(next, pending.next_try);
    if (pending.placed == 0) first = false;
  }
  return next;
}

}  // namespace ryefold::core::configuration
