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
  StartNextCall(now);
}

void Mirror::StartFromCopy(TimePoint now, const Reading& copy,
                           TimePoint confirmed_at) {
  started_at_ = now;
  list_due_ = false;
  full_read_at_ = now + timing_.full_read_interval;
  ConfirmCopy(confirmed_at);
  ApplyReading(now, copy);
  StartNextCall(now);
}

std::string Mirror::ChooseRelay(TimePoint now) const {
  for (const std::string& relay : plan_.sources) {
    const auto found = relay_not_before_.find(relay);
    if (found == relay_not_before_.end() || now >= found->second) return relay;
  }
  return "";
}

/// Instances that should follow the store use a relay while the store fails,
/// since only this instance may be unable to reach it. The others follow the
/// store while no relay answers.
void Mirror::StartNextCall(TimePoint now) {
  due_ = TimePoint::max();
  const bool should_follow_store = plan_.follows_store || now < store_until_;
  const bool store_allowed = now >= store_not_before_;
  const std::string relay = listed_ ? ChooseRelay(now) : "";
  if (!relay.empty() && !(should_follow_store && store_allowed)) {
    SetSource(relay);
    AskRelay(now);
    return;
  }
  SetSource("");
  if (!store_allowed) {
    due_ = store_not_before_;
    return;
  }
  if (!plan_.follows_store) store_until_ = now + timing_.store_fallback_period;
  // After a store failure a short watch goes first: it shows sooner than a
  // listing whether the store answers, brings the missed changes, and costs the
  // store less while all instances reconnect.
  const bool store_unconfirmed = listed_ && !store_healthy_;
  const bool verifies = !plan_.verify_with.empty() && !list_due_;
  const bool whole = list_due_ || (!verifies && now >= full_read_at_);
  if (verifies && !store_unconfirmed && now >= verify_at_) {
    VerifyCopy(now);
  } else if (whole && !store_unconfirmed) {
    ListStore(now);
  } else {
    WatchStore(now);
  }
}

void Mirror::SetSource(const std::string& relay) {
  relay_ = relay;
  if (!relay.empty()) store_healthy_ = false;
}

/// Logs a change of source once the new source has answered; while no source
/// answers, all are tried in turn without a log line each.
void Mirror::OnSourceAnswer() {
  relay_not_before_.erase(relay_);
  if (relay_ == logged_relay_) return;
  Event(events_, EventPriority::kState, "source_changed")
      .Add("to", relay_.empty() ? "store" : relay_)
      .Add("from", logged_relay_.empty() ? "store" : logged_relay_)
      .Add("as_of", as_of());
  logged_relay_ = relay_;
}

void Mirror::ListStore(TimePoint now) {
  call_ = Call::kList;
  sent_at_ = now;
  if (listing_.empty()) listing_started_at_ = now;
  const std::string after = listing_.empty() ? "" : listing_.rbegin()->first;
  port_->ListStore(after,
                   {now + timing_.transfer_timeout, timing_.list_idle_timeout});
}

void Mirror::WatchStore(TimePoint now) {
  if (now < next_watch_at_) {
    due_ = next_watch_at_;
    return;
  }
  const bool first =
      first_start_ && now < started_at_ + timing_.first_start_period;
  const milliseconds normal =
      plan_.relays ? timing_.relay_watch_interval : timing_.watch_interval;
  next_watch_at_ = now + (first ? timing_.first_start_watch_interval : normal);
  milliseconds wait = timing_.watch_wait;
  milliseconds idle_timeout = timing_.watch_idle_timeout;
  if (!store_healthy_) {
    wait = timing_.probe_wait;
    idle_timeout = timing_.probe_idle_timeout;
  }
  call_ = Call::kWatch;
  sent_at_ = now;
  wait_until_ = now + wait;
  // A change can be as large as a listing. If it were aborted, it would be
  // requested again and again and never take effect.
  const TimePoint deadline = now + wait + timing_.transfer_timeout;
  port_->WatchStore(as_of(), wait, {deadline, wait + idle_timeout});
}

void Mirror::AskRelay(TimePoint now) {
  call_ = Call::kAskRelay;
  sent_at_ = now;
  listing_.clear();  // an incomplete listing is not resumed later
  const uint64_t after = needs_full_copy_ ? 0 : as_of();
  milliseconds wait = timing_.relay_wait;
  const TimePoint probation_end = store_failed_at_ + timing_.relay_probation;
  if (plan_.follows_store && now < probation_end) {
    wait = std::min(wait, std::chrono::ceil<milliseconds>(probation_end - now));
  }
  port_->AskRelay(relay_, after, wait,
                  now + wait + timing_.relay_answer_timeout);
}

/// Compares this copy with that of the relay which lists the store for the
/// failure domain. Listing it at every relay would cost the store, and the
/// relays' processors, in proportion to the square of the fleet.
void Mirror::VerifyCopy(TimePoint now) {
  call_ = Call::kVerify;
  sent_at_ = now;
  port_->AskRelay(plan_.verify_with, as_of(), milliseconds(0),
                  now + timing_.relay_answer_timeout);
}

void Mirror::OnVerification(TimePoint now, const ReadResult& result) {
  const bool comparable = result && result.value().digest.has_value() &&
                          result.value().as_of == as_of();
  if (comparable && result.value().digest == log_.digest()) {
    verify_at_ = now + timing_.verify_interval;
    verify_retries_ = 0;
    return;
  }
  verify_at_ = now + timing_.verify_retry_delay;
  ++verify_retries_;
  // A change of either copy is on its way to the other one.
  const bool may_agree_soon = result && !comparable;
  if (may_agree_soon && verify_retries_ < timing_.max_verify_retries) return;
  Event line(events_, EventPriority::kState, "copy_not_verified");
  line.Add("relay", plan_.verify_with)
      .Add("as_of", as_of())
      .Add("tries", verify_retries_)
      .Add("reason", comparable ? "copies differ"
                     : result   ? "other revision"
                                : ReadErrorName(result.error()));
  verify_at_ = now + timing_.full_read_interval;
  verify_retries_ = 0;
  list_due_ = true;
}

void Mirror::OnAnswer(TimePoint now, const ReadResult& result) {
  const Call call = std::exchange(call_, Call::kNone);
  if (call == Call::kVerify) {
    OnVerification(now, result);
  } else if (call == Call::kAskRelay) {
    const bool behind = result && result.value().as_of < as_of();
    if (!result) {
      OnRelayFailure(now, result.error());
    } else if (behind) {
      OnRelayFailure(now, ReadError::kNotCurrent);
    } else {
      OnRelayAnswer(now, result.value());
    }
  } else if (!result) {
    OnStoreFailure(now, call, result.error());
  } else {
    OnStoreAnswer(now);
    OnSourceAnswer();
    if (call == Call::kList) {
      OnListPage(now, result.value());
    } else {
      ApplyReading(now, result.value());
      // Without changes, the answer came no sooner than the end of the wait.
      const bool waited_out = result.value().entries.empty();
      ConfirmCopy(waited_out ? std::min(wait_until_, now) : sent_at_);
    }
  }
  StartNextCall(now);
}

RelayState Mirror::relay_state() const {
  if (!follows_store()) return RelayState::kNotCurrent;
  return missed_changes_ ? RelayState::kCatchingUp : RelayState::kCurrent;
}

/// Keeps the later time: a relay's copy may be older than this one.
void Mirror::ConfirmCopy(TimePoint when) {
  confirmed_at_ = std::max(confirmed_at_, when);
}

void Mirror::OnListPage(TimePoint now, const Reading& page) {
  // Pages are not a snapshot: watching from the first page's revision brings
  // the changes made while the others were read.
  if (listing_.empty()) listing_as_of_ = page.as_of;
  for (const Entry& entry : page.entries) listing_[entry.key] = entry;
  list_due_ = page.more && !page.entries.empty();
  if (list_due_) return;
  full_read_at_ = now + timing_.full_read_interval;
  missed_changes_ = false;
  const EntryMap listing = std::exchange(listing_, EntryMap());
  ApplyListing(now, listing, listing_as_of_);
  ConfirmCopy(listing_started_at_);
}

void Mirror::ApplyListing(TimePoint now, const EntryMap& listing,
                          uint64_t as_of) {
  const bool first = !std::exchange(listed_, true);
  if (first) {
    log_.Reset(listing, as_of);
    NotifyListener(now, listing);
    return;
  }
  EntryMap changed;
  for (const auto& [key, entry] : listing) {
    const auto existing = log_.entries().find(key);
    if (existing == log_.entries().end() ||
        existing->second.revision != entry.revision) {
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
  ApplyReading(now, reading);
}

void Mirror::ApplyReading(TimePoint now, const Reading& reading) {
  if (reading.whole) {
    EntryMap listing;
    for (const Entry& entry : reading.entries) listing[entry.key] = entry;
    ApplyListing(now, listing, reading.as_of);
    return;
  }
  EntryMap changed;
  for (const Entry& entry : reading.entries) changed[entry.key] = entry;
  log_.Apply(reading.entries, reading.as_of);
  if (!changed.empty()) NotifyListener(now, changed);
}

/// Requests all entries when the relay's digest differs. A relay can find a
/// change late that an earlier read had missed, and neither the relay nor the
/// store repeats changes: an instance that has read beyond the change's
/// revision would never receive it.
void Mirror::CompareDigest(const Reading& reading) {
  if (!reading.digest.has_value() || reading.digest == log_.digest()) return;
  needs_full_copy_ = !reading.whole;
  Event(events_, EventPriority::kState, "copy_differs")
      .Add("relay", relay_)
      .Add("as_of", as_of())
      .Add("whole", reading.whole ? "yes" : "no");
}

void Mirror::NotifyListener(TimePoint now, const EntryMap& changed) {
  switch (listener_(log_.entries(), changed)) {
    case WatchUrgency::kNormal:
      break;
    case WatchUrgency::kUrgent:
      next_watch_at_ =
          std::min(next_watch_at_, now + timing_.urgent_watch_interval);
      break;
    case WatchUrgency::kImmediate:
      next_watch_at_ = TimePoint();
      break;
  }
}

milliseconds Mirror::RetryBackoff() {
  constexpr uint32_t kMaxDoublings = 4;
  const bool constant =
      !listed_ && failures_ < timing_.initial_constant_retries;
  const uint32_t doublings = constant ? 0 : std::min(failures_, kMaxDoublings);
  const milliseconds longest = std::min(
      timing_.retry_backoff * (1 << doublings), timing_.max_retry_backoff);
  std::uniform_int_distribution<int64_t> half(0, longest.count() / 2);
  return longest / 2 + milliseconds(half(random_));
}

/// Logs the call, how long it was in flight and the age of the copy: a call
/// that outlasts the outage in which it was sent is visible here.
void Mirror::LogStoreFailure(TimePoint now, Call call, ReadError error) {
  const bool first = failing_since_ == TimePoint();
  Event line(events_, EventPriority::kState,
             first ? "store_lost" : "store_call_failed");
  line.Add("error", ReadErrorName(error))
      .Add("call", call == Call::kList ? "list" : "watch")
      .Add("waited", now - sent_at_)
      .Add("as_of", as_of());
  if (listed_) line.Add("copy_age", now - confirmed_at_);
}

void Mirror::OnStoreFailure(TimePoint now, Call call, ReadError error) {
  listing_.clear();
  list_due_ = true;
  // The store is healthy, but changes may have been missed.
  if (error == ReadError::kHistoryCompacted) {
    store_healthy_ = true;
    missed_changes_ = true;
    Event(events_, EventPriority::kState, "history_compacted")
        .Add("as_of", as_of())
        .Add("copy_age", now - confirmed_at_);
    return;
  }
  LogStoreFailure(now, call, error);
  store_healthy_ = false;
  ++failures_;
  store_failed_at_ = now;
  const bool has_relay = listed_ && !ChooseRelay(now).empty();
  const bool use_relay = has_relay && plan_.follows_store;
  store_not_before_ =
      now + (use_relay ? timing_.store_backoff : RetryBackoff());
  store_until_ = TimePoint();
  if (failing_since_ == TimePoint()) failing_since_ = now;
}

void Mirror::OnStoreAnswer(TimePoint now) {
  store_healthy_ = true;
  failures_ = 0;
  if (failing_since_ == TimePoint()) return;
  Event line(events_, EventPriority::kState, "store_regained");
  line.Add("after", now - failing_since_).Add("as_of", as_of());
  if (listed_) line.Add("copy_age", now - confirmed_at_);
  failing_since_ = TimePoint();
}

void Mirror::OnRelayAnswer(TimePoint now, const Reading& reading) {
  needs_full_copy_ = false;
  OnSourceAnswer();
  // The relay's copy replaces a listing: the store can be watched from here.
  list_due_ = false;
  missed_changes_ = false;
  ApplyReading(now, reading);
  CompareDigest(reading);
  // A copy that differs from the relay's is not confirmed by its answer.
  if (!needs_full_copy_) ConfirmCopy(sent_at_ - reading.age);
  if (!plan_.follows_store || now - confirmed_at_ <= timing_.fresh_age) return;
  const TimePoint retry_at =
      std::max(now, store_failed_at_ + timing_.relay_probation);
  store_not_before_ = std::min(store_not_before_, retry_at);
}

void Mirror::OnRelayFailure(TimePoint now, ReadError error) {
  if (error == ReadError::kHistoryCompacted && !needs_full_copy_) {
    needs_full_copy_ = true;
    return;
  }
  needs_full_copy_ = false;
  const bool lost = error != ReadError::kNotCurrent;
  if (relay_not_before_.count(relay_) == 0) {
    Event(events_, EventPriority::kState, "relay_failed")
        .Add("relay", relay_)
        .Add("error", ReadErrorName(error))
        .Add("as_of", as_of());
  }
  relay_not_before_[relay_] =
      now + (lost ? timing_.lost_relay_backoff : timing_.stale_relay_backoff);
  // An unreachable relay takes long to detect, and the next relay may be behind
  // the same network partition, so the store is asked for missed changes.
  if (lost) store_until_ = now + timing_.store_fallback_period;
  // With no relay left all instances turn to the store, which may be down; the
  // backoff spreads their calls.
  if (ChooseRelay(now).empty()) store_not_before_ = now + RetryBackoff();
}

void Mirror::Tick(TimePoint now) {
  if (now < due_ || call_ != Call::kNone) return;
  StartNextCall(now);
}

}  // namespace ryefold::core::mirror
