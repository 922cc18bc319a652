#include "ryefold/core/mirror/mirror.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::mirror {

using std::chrono::milliseconds;

Mirror::Mirror(MirrorTiming timing, bool first_start, uint64_t seed,
               MirrorPort* port, EventSink* events, Listener listener)
    : timing_(timing),
      first_start_(first_start),
      port_(port),
      events_(events),
      listener_(std::move(listener)),
      random_(seed) {}

void Mirror::Start(TimePoint now) {
  started_at_ = now;
  Next(now);
}

std::string Mirror::ChooseRelay(TimePoint now) const {
  for (const std::string& relay : plan_.sources) {
    const auto found = relay_not_before_.find(relay);
    if (found == relay_not_before_.end() || now >= found->second) return relay;
  }
  return "";
}

/// Instances that should follow the store hear from a relay while the store
/// fails them: it may be out of reach of this one alone. The others follow the
/// store while no relay serves them.
void Mirror::Next(TimePoint now) {
  due_ = TimePoint::max();
  const bool wanted = plan_.follows_store || now < store_until_;
  const bool possible = now >= store_not_before_;
  const std::string relay = listed_ ? ChooseRelay(now) : "";
  if (!relay.empty() && !(wanted && possible)) {
    Follow(relay);
    AskRelay(now);
    return;
  }
  Follow("");
  if (!possible) {
    due_ = store_not_before_;
    return;
  }
  if (!plan_.follows_store) store_until_ = now + timing_.relays_again;
  // A store in doubt is asked by a short watch first: that finds out sooner
  // than a listing whether it answers, brings the changes that were missed, and
  // costs the store less while all ask.
  const bool doubtful = listed_ && !store_good_;
  const bool whole = list_due_ || now >= reread_at_;
  if (whole && !doubtful) {
    List(now);
  } else {
    WatchStore(now);
  }
}

void Mirror::Follow(const std::string& relay) {
  relay_ = relay;
  if (!relay.empty()) store_good_ = false;
}

/// The present source has answered. Told once for each that does: while none
/// does they are all tried, over and over.
void Mirror::SourceServed() {
  relay_not_before_.erase(relay_);
  if (relay_ == told_relay_) return;
  Event(events_, EventPriority::kState, "source_changed")
      .Add("to", relay_.empty() ? "store" : relay_)
      .Add("from", told_relay_.empty() ? "store" : told_relay_)
      .Add("as_of", as_of());
  told_relay_ = relay_;
}

void Mirror::List(TimePoint now) {
  call_ = Call::kList;
  sent_at_ = now;
  if (listing_.empty()) listing_from_ = now;
  const std::string after = listing_.empty() ? "" : listing_.rbegin()->first;
  port_->ListStore(after, {now + timing_.grace, timing_.list_silence});
}

void Mirror::WatchStore(TimePoint now) {
  if (now < next_watch_at_) {
    due_ = next_watch_at_;
    return;
  }
  const bool first = first_start_ && now < started_at_ + timing_.first_span;
  const milliseconds usual = plan_.relays ? timing_.relay_pace : timing_.pace;
  next_watch_at_ = now + (first ? timing_.first_pace : usual);
  milliseconds wait = timing_.wait;
  milliseconds silence = timing_.watch_silence;
  if (!store_good_) {
    wait = timing_.trial_wait;
    silence = timing_.trial_silence;
  }
  call_ = Call::kWatch;
  sent_at_ = now;
  wait_until_ = now + wait;
  // A change can be as large as a listing; cut short it would be asked for over
  // and over, and never be in force.
  const TimePoint deadline = now + wait + timing_.grace;
  port_->WatchStore(as_of(), wait, {deadline, wait + silence});
}

void Mirror::AskRelay(TimePoint now) {
  call_ = Call::kAsk;
  sent_at_ = now;
  listing_.clear();  // a listing that was begun is not gone on with later
  const uint64_t after = ask_all_ ? 0 : as_of();
  milliseconds wait = timing_.ask_wait;
  const TimePoint trial_end = store_failed_at_ + timing_.relay_trial;
  if (plan_.follows_store && now < trial_end) {
    wait = std::min(wait, std::chrono::ceil<milliseconds>(trial_end - now));
  }
  port_->AskRelay(relay_, after, wait, now + wait + timing_.ask_grace);
}

void Mirror::Answered(TimePoint now, const ReadResult& result) {
  const Call call = std::exchange(call_, Call::kNone);
  if (call == Call::kAsk) {
    const bool behind = result && result.value().as_of < as_of();
    if (!result) {
      RelayFailed(now, result.error());
    } else if (behind) {
      RelayFailed(now, ReadError::kNotCurrent);
    } else {
      RelayServed(now, result.value());
    }
  } else if (!result) {
    StoreFailed(now, call, result.error());
  } else {
    StoreServed(now);
    SourceServed();
    if (call == Call::kList) {
      PageListed(now, result.value());
    } else {
      Take(now, result.value());
      // Without changes it was answered no sooner than its wait was over.
      const bool waited_out = result.value().entries.empty();
      Confirm(waited_out ? std::min(wait_until_, now) : sent_at_);
    }
  }
  Next(now);
}

RelayState Mirror::relay_state() const {
  if (!follows_store()) return RelayState::kNotCurrent;
  return missed_changes_ ? RelayState::kCatchingUp : RelayState::kCurrent;
}

/// A relay's copy may be older than this one.
void Mirror::Confirm(TimePoint when) {
  confirmed_at_ = std::max(confirmed_at_, when);
}

void Mirror::PageListed(TimePoint now, const Reading& page) {
  // Pages are no snapshot: watching from the first page's revision on brings
  // whatever changed while the others were read.
  if (listing_.empty()) listing_as_of_ = page.as_of;
  for (const Entry& entry : page.entries) listing_[entry.key] = entry;
  list_due_ = page.more && !page.entries.empty();
  if (list_due_) return;
  reread_at_ = now + timing_.reread;
  missed_changes_ = false;
  const EntryMap listing = std::exchange(listing_, EntryMap());
  TakeAll(now, listing, listing_as_of_);
  Confirm(listing_from_);
}

void Mirror::TakeAll(TimePoint now, const EntryMap& listing, uint64_t as_of) {
  const bool first = !std::exchange(listed_, true);
  if (first) {
    log_.Reset(listing, as_of);
    Tell(now, listing);
    return;
  }
  EntryMap changed;
  for (const auto& [key, entry] : listing) {
    const auto known = log_.entries().find(key);
    if (known == log_.entries().end() ||
        known->second.revision != entry.revision) {
      changed[key] = entry;
    }
  }
  for (const auto& [key, entry] : log_.entries()) {
    if (listing.count(key) > 0) continue;
    changed[key] = entry;
    changed[key].deleted = true;
    changed[key].revision = as_of;
  }
  Reading reading;
  reading.as_of = as_of;
  for (auto& [key, entry] : changed) reading.entries.push_back(entry);
  Take(now, reading);
}

void Mirror::Take(TimePoint now, const Reading& reading) {
  if (reading.whole) {
    EntryMap listing;
    for (const Entry& entry : reading.entries) listing[entry.key] = entry;
    TakeAll(now, listing, reading.as_of);
    return;
  }
  EntryMap changed;
  for (const Entry& entry : reading.entries) changed[entry.key] = entry;
  log_.Apply(reading.entries, reading.as_of);
  if (!changed.empty()) Tell(now, changed);
}

/// A relay can find a change that an earlier read had missed, and the store
/// repeats none: an instance that has read beyond the change's revision would
/// serve without it for good. Only the digests show it.
void Mirror::Compare(const Reading& reading) {
  if (!reading.digest.has_value() || reading.digest == log_.digest()) return;
  ask_all_ = !reading.whole;
  Event(events_, EventPriority::kState, "copy_differs")
      .Add("relay", relay_)
      .Add("as_of", as_of())
      .Add("whole", reading.whole ? "yes" : "no");
}

void Mirror::Tell(TimePoint now, const EntryMap& changed) {
  switch (listener_(log_.entries(), changed)) {
    case WatchPace::kUsual:
      break;
    case WatchPace::kHurried:
      next_watch_at_ = std::min(next_watch_at_, now + timing_.hurried_pace);
      break;
    case WatchPace::kAtOnce:
      next_watch_at_ = TimePoint();
      break;
  }
}

milliseconds Mirror::RetryPause() {
  constexpr uint32_t kMostDoublings = 4;
  const bool eager = !listed_ && failures_ < timing_.eager_tries;
  const uint32_t doublings = eager ? 0 : std::min(failures_, kMostDoublings);
  const milliseconds longest =
      std::min(timing_.retry * (1 << doublings), timing_.most_retry);
  std::uniform_int_distribution<int64_t> half(0, longest.count() / 2);
  return longest / 2 + milliseconds(half(random_));
}

/// Says how long was waited for what: a call that outlasts the silence in which
/// it was sent shows here, and by how much the copy has aged meanwhile.
void Mirror::TellStoreFailed(TimePoint now, Call call, ReadError error) {
  const bool first = failing_since_ == TimePoint();
  Event line(events_, EventPriority::kState,
             first ? "store_lost" : "store_call_failed");
  line.Add("error", ReadErrorName(error))
      .Add("call", call == Call::kList ? "list" : "watch")
      .Add("waited", now - sent_at_)
      .Add("as_of", as_of());
  if (listed_) line.Add("copy_age", now - confirmed_at_);
}

void Mirror::StoreFailed(TimePoint now, Call call, ReadError error) {
  listing_.clear();
  list_due_ = true;
  // Changes may have been made that the watch did not bring; the store itself
  // is well.
  if (error == ReadError::kHistoryGone) {
    store_good_ = true;
    missed_changes_ = true;
    Event(events_, EventPriority::kState, "history_gone")
        .Add("as_of", as_of())
        .Add("copy_age", now - confirmed_at_);
    return;
  }
  TellStoreFailed(now, call, error);
  store_good_ = false;
  ++failures_;
  store_failed_at_ = now;
  const bool relayed = listed_ && !ChooseRelay(now).empty();
  const bool rest = relayed && plan_.follows_store;
  store_not_before_ = now + (rest ? timing_.store_again : RetryPause());
  store_until_ = TimePoint();
  if (failing_since_ == TimePoint()) failing_since_ = now;
}

void Mirror::StoreServed(TimePoint now) {
  store_good_ = true;
  failures_ = 0;
  if (failing_since_ == TimePoint()) return;
  Event line(events_, EventPriority::kState, "store_regained");
  line.Add("after", now - failing_since_).Add("as_of", as_of());
  if (listed_) line.Add("copy_age", now - confirmed_at_);
  failing_since_ = TimePoint();
}

void Mirror::RelayServed(TimePoint now, const Reading& reading) {
  ask_all_ = false;
  SourceServed();
  // The copy is as good as a listing: the store can be watched from here.
  list_due_ = false;
  missed_changes_ = false;
  Take(now, reading);
  Compare(reading);
  // A copy that differs from the relay's is not shown to be current by it.
  if (!ask_all_) Confirm(sent_at_ - reading.age);
  if (!plan_.follows_store || now - confirmed_at_ <= timing_.fresh_copy) return;
  const TimePoint soon = std::max(now, store_failed_at_ + timing_.relay_trial);
  store_not_before_ = std::min(store_not_before_, soon);
}

void Mirror::RelayFailed(TimePoint now, ReadError error) {
  if (error == ReadError::kHistoryGone && !ask_all_) {
    ask_all_ = true;
    return;
  }
  ask_all_ = false;
  const bool lost = error != ReadError::kNotCurrent;
  if (relay_not_before_.count(relay_) == 0) {
    Event(events_, EventPriority::kState, "relay_failed")
        .Add("relay", relay_)
        .Add("error", ReadErrorName(error))
        .Add("as_of", as_of());
  }
  relay_not_before_[relay_] =
      now + (lost ? timing_.after_lost : timing_.after_not_current);
  // Silence takes long to notice. The next relay may be as silent, behind the
  // same cut, so the store is asked what has been missed.
  if (lost) store_until_ = now + timing_.relays_again;
  // With no relay left everybody turns to the store, which may be down; they
  // must not all do so at one moment.
  if (ChooseRelay(now).empty()) store_not_before_ = now + RetryPause();
}

void Mirror::Tick(TimePoint now) {
  if (now < due_ || call_ != Call::kNone) return;
  Next(now);
}

}  // namespace ryefold::core::mirror
