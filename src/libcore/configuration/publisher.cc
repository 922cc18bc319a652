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
/// Delay between two attempts while other instances win the next revision.
constexpr milliseconds kRaceRetryDelay{120};
/// Wait for holders before the revision is sent to further peers.
constexpr milliseconds kHolderRetryInterval{250};

}  // namespace

void Publisher::HandleRequest(TimePoint now, const PublishRequested& request) {
  Pending pending;
  pending.tag = request.tag;
  pending.change = request.change;
  pending.deadline = request.deadline;
  pending.repeat = request.repeat;
  pending.next_try = now;
  pending_.push_back(std::move(pending));
  if (!IsValid(request.change)) {
    Finish(std::prev(pending_.end()), PublishStatus::kInvalid);
    return;
  }
  StartNext(now);
}

bool Publisher::IsValid(const Change& change) const {
  size_t bytes = change.change_id.size() + change.author.size();
  std::set<std::string> keys;
  for (const Edit& edit : change.edits) {
    bytes += edit.key.size() + (edit.text ? edit.text->size() : 0);
    if (edit.key.empty() || !keys.insert(edit.key).second) return false;
  }
  const bool named = !change.change_id.empty() && !keys.empty();
  return named && bytes <= context_->options.max_change_bytes;
}

Publisher::PendingIterator Publisher::FindPending(Tag tag) {
  return std::find_if(pending_.begin(), pending_.end(),
                      [tag](const Pending& p) { return p.tag == tag; });
}

void Publisher::StartNext(TimePoint now) {
  for (PendingIterator it = pending_.begin(); it != pending_.end(); ++it) {
    if (it->log_revision > 0) continue;
    if (!it->call_in_flight && it->next_try <= now) TryPublish(now, it);
    return;
  }
}

std::optional<uint64_t> Publisher::FindRevision(const Change& change) const {
  for (const Edit& edit : change.edits) {
    const auto found = context_->documents.all().find(edit.key);
    if (found == context_->documents.all().end()) continue;
    if (found->second.change_id == change.change_id) {
      return found->second.version;
    }
  }
  return std::nullopt;
}

std::vector<Conflict> Publisher::FindConflicts(const Change& change) const {
  std::vector<Conflict> conflicts;
  for (const Edit& edit : change.edits) {
    const auto found = context_->documents.all().find(edit.key);
    const bool known = found != context_->documents.all().end();
    const uint64_t present = known ? found->second.version : 0;
    // A deleted key has the version of its deletion. Otherwise a repeat of the
    // change that created the key would create it again.
    if (present == edit.base_version) continue;
    conflicts.push_back({edit.key, edit.base_version, present});
  }
  return conflicts;
}

bool Publisher::IsBehind(const Change& change) const {
  return std::any_of(
      change.edits.begin(), change.edits.end(), [this](const Edit& edit) {
        return edit.base_version > context_->documents.revision();
      });
}

void Publisher::TryPublish(TimePoint now, PendingIterator it) {
  if (!context_->documents.IsLoaded()) {
    RetryLater(now, it);
    return;
  }
  // A repeat of a change whose reply was lost is found in the log.
  if (const auto revision = FindRevision(it->change)) {
    RecordLogged(now, it, *revision);
    return;
  }
  if (it->unconfirmed_revision > 0) {
    ReadRevision(now, it, it->unconfirmed_revision);
  } else if (IsBehind(it->change)) {
    ReadRevision(now, it, context_->documents.revision() + 1);
  } else if (!FindConflicts(it->change).empty()) {
    Finish(it, PublishStatus::kConflict);
    StartNext(now);
  } else {
    Put(now, it);
  }
}

milliseconds Publisher::CallTimeout(TimePoint now,
                                    const Pending& pending) const {
  constexpr int kTimeoutDivisor = 3;
  const auto left = pending.deadline - now;
  return std::max(
      context_->options.store_timeout,
      std::chrono::duration_cast<milliseconds>(left / kTimeoutDivisor));
}

void Publisher::Put(TimePoint now, PendingIterator it) {
  const uint64_t revision = context_->documents.revision() + 1;
  it->call_in_flight = true;
  it->unconfirmed_revision = revision;
  context_->CallStore(
      now, StorePut{ChangeKey(revision), it->change, 0},
      [this, tag = it->tag, revision](TimePoint when,
                                      const StoreAnswer* answer) {
        HandlePut(when, tag, revision, answer);
      },
      CallTimeout(now, *it));
}

void Publisher::HandlePut(TimePoint now, Tag tag, uint64_t revision,
                          const StoreAnswer* answer) {
  const PendingIterator it = FindPending(tag);
  if (it == pending_.end()) return;
  it->call_in_flight = false;
  const auto* done =
      answer == nullptr ? nullptr : std::get_if<StorePutDone>(answer);
  if (done == nullptr) {
    RetryLater(now, it);
  } else if (done->done) {
    context_->ReportChangedKeys(
        context_->documents.Apply(revision, it->change));
    RecordLogged(now, it, revision);
  } else {
    ReadRevision(now, it, revision);
  }
}

void Publisher::ReadRevision(TimePoint now, PendingIterator it,
                             uint64_t revision) {
  it->call_in_flight = true;
  context_->CallStore(
      now, StoreGet{ChangeKey(revision)},
      [this, tag = it->tag, revision](TimePoint when,
                                      const StoreAnswer* answer) {
        HandleRead(when, tag, revision, answer);
      },
      CallTimeout(now, *it));
}

void Publisher::HandleRead(TimePoint now, Tag tag, uint64_t revision,
                           const StoreAnswer* answer) {
  const PendingIterator it = FindPending(tag);
  if (it == pending_.end()) return;
  it->call_in_flight = false;
  const auto* read =
      answer == nullptr ? nullptr : std::get_if<StoreRead>(answer);
  if (read == nullptr) {
    RetryLater(now, it);
  } else if (read->version > 0) {
    HandleOccupied(now, it, revision, read->value);
  } else if (it->unconfirmed_revision == revision) {
    // The put has not taken effect so far. A second put of the same content is
    // safe: the first one to reach the store makes the other fail.
    Put(now, it);
  } else {
    // The end of the log: the version that the operator read does not exist.
    Finish(it, PublishStatus::kConflict);
    StartNext(now);
  }
}

void Publisher::HandleOccupied(TimePoint now, PendingIterator it,
                               uint64_t revision, const StoreValue& value) {
  const auto* change = std::get_if<Change>(&value);
  if (change == nullptr) {
    // The key was cleared, so this instance is far behind and its put to that
    // key can never take effect.
    it->unconfirmed_revision = 0;
    context_->needs_snapshot = true;
    RetryLater(now, it);
    return;
  }
  const bool is_own = change->change_id == it->change.change_id;
  context_->ReportChangedKeys(context_->documents.Apply(revision, *change));
  if (is_own) {
    RecordLogged(now, it, revision);
    return;
  }
  it->unconfirmed_revision = 0;
  if (IsBehind(it->change)) {
    TryPublish(now, it);
  } else {
    // Other instances publish concurrently. With immediate retries each of them
    // would read the log change by change; after a short delay peers have sent
    // the changes.
    it->next_try = now + context_->WithJitter(kRaceRetryDelay);
  }
}

void Publisher::RetryLater(TimePoint now, PendingIterator it) {
  it->backoff = std::clamp(it->backoff * 2, kFirstBackoff, kMaxBackoff);
  it->next_try = now + context_->WithJitter(it->backoff);
}

void Publisher::RecordLogged(TimePoint now, PendingIterator it,
                             uint64_t revision) {
  it->log_revision = revision;
  it->unconfirmed_revision = 0;
  it->next_try = now;
  CheckHolders(now);
  StartNext(now);
}

size_t Publisher::CountHolders(uint64_t revision) const {
  const auto& others = context_->other_instances();
  const auto holds = [&](const std::string& name) {
    const auto peer = context_->peers.find(name);
    return peer != context_->peers.end() && peer->second.revision >= revision;
  };
  return static_cast<size_t>(
      std::count_if(others.begin(), others.end(), holds));
}

size_t Publisher::RequiredHolders() const {
  // Without a member list it is unknown whether other instances exist.
  if (context_->members.version() == 0) return context_->options.min_holders;
  return std::min(context_->options.min_holders,
                  context_->other_instances().size());
}

void Publisher::CheckHolders(TimePoint now) {
  const size_t required = RequiredHolders();
  for (PendingIterator it = pending_.begin(); it != pending_.end();) {
    const PendingIterator present = it++;
    if (present->log_revision == 0) continue;
    if (CountHolders(present->log_revision) >= required) {
      Finish(present, PublishStatus::kAccepted);
    } else if (present->next_try <= now) {
      present->next_try = now + kHolderRetryInterval;
      gossip_->PushRevision(now, present->log_revision,
                            context_->options.fanout);
    }
  }
}

void Publisher::HandlePeerUpdates(TimePoint now) {
  if (!pending_.empty()) CheckHolders(now);
}

void Publisher::Finish(PendingIterator it, PublishStatus status) {
  PublishDone done;
  done.tag = it->tag;
  done.status = status;
  done.revision = it->log_revision;
  done.instances = context_->other_instances().size() + 1;
  if (it->log_revision > 0) done.held_by = CountHolders(it->log_revision) + 1;
  if (status == PublishStatus::kConflict) {
    done.conflicts = FindConflicts(it->change);
  }
  pending_.erase(it);
  context_->Emit(std::move(done));
}

void Publisher::ExpirePending(TimePoint now) {
  for (PendingIterator it = pending_.begin(); it != pending_.end();) {
    const PendingIterator present = it++;
    if (present->deadline > now) continue;
    // While a put is in flight, here or from an earlier attempt on another
    // instance, the change may still enter the log. After a false "not taken"
    // the operator could publish a different change while the first also takes
    // effect.
    const bool not_in_log = present->log_revision == 0 &&
                            present->unconfirmed_revision == 0 &&
                            !present->repeat;
    Finish(present,
           not_in_log ? PublishStatus::kUnavailable : PublishStatus::kUnknown);
  }
}

void Publisher::Tick(TimePoint now) {
  if (pending_.empty()) return;
  ExpirePending(now);
  CheckHolders(now);
  StartNext(now);
}

TimePoint Publisher::next_deadline() const {
  TimePoint next = TimePoint::max();
  bool first = true;
  for (const Pending& pending : pending_) {
    next = std::min(next, pending.deadline);
    const bool has_retry =
        pending.log_revision > 0 || (first && !pending.call_in_flight);
    if (has_retry) next = std::min(next, pending.next_try);
    if (pending.log_revision == 0) first = false;
  }
  return next;
}

}  // namespace ryefold::core::configuration
