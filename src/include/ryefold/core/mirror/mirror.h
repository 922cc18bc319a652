#pragma once

// Keeps a copy of the store's keys current, either from the store itself or
// from relays: instances that follow the store.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "ryefold/core/answer_limits.h"
#include "ryefold/core/event.h"
#include "ryefold/core/mirror/change_log.h"
#include "ryefold/core/mirror/entry.h"
#include "ryefold/core/mirror/relay.h"
#include "ryefold/core/mirror/relay_plan.h"
#include "ryefold/core/types.h"

namespace ryefold::core::mirror {

struct MirrorTiming {
  /// Longest wait of one watch at the store. After an outage the store may have
  /// dropped a watch whose connection still looks alive, also to the kernel's
  /// keep-alive probes; changes are then missed, and requests keep going to a
  /// database that is shutting down. Only an answer, or a timeout, shows
  /// whether a watch is alive. Costs one call every two seconds for each
  /// instance that follows the store.
  std::chrono::milliseconds watch_wait{2000};
  /// Time for an answer to arrive once it has begun: a listing of a large fleet
  /// is a megabyte, and the slowest links carry two megabits a second.
  std::chrono::milliseconds transfer_timeout{6000};
  /// Idle time after which a listing is aborted. It does not grow with each
  /// failure: waiting longer than the outage lasts delays changes, and the
  /// strictest deployment allows 3 s. A store that needs more than this to
  /// begin an answer cannot be listed.
  std::chrono::milliseconds list_idle_timeout{2000};
  /// Wait and idle timeout of the first watch after a store failure. They are
  /// short because the instance receives no changes, from relays either, while
  /// this watch is in flight.
  std::chrono::milliseconds probe_wait{100};
  std::chrono::milliseconds probe_idle_timeout{900};
  /// Idle timeout of any other watch, counted from the end of its wait. Both
  /// together stay within the 3 s that the strictest deployment allows for a
  /// change, and well below the 7 s after which a database that is shutting
  /// down may have stopped.
  std::chrono::milliseconds watch_idle_timeout{1000};
  /// Minimum time between two watches. Each answer carries all changes since
  /// the last, so this bounds the call rate while many changes are made.
  std::chrono::milliseconds watch_interval{1000};
  /// Minimum for a relay, on which other instances wait. It is not much shorter
  /// because each start in a rolling restart of a large fleet is a change and a
  /// call.
  std::chrono::milliseconds relay_watch_interval{600};
  /// Minimum, and its duration, for the first start of the whole fleet: each
  /// start is a change, and no callers are waiting yet.
  std::chrono::milliseconds first_start_watch_interval{2000};
  std::chrono::milliseconds first_start_period{8000};
  /// Minimum while callers wait for an entry that is missing.
  std::chrono::milliseconds urgent_watch_interval{200};
  /// Backoff after a failed call, doubled up to the maximum, with a random
  /// half: a store that rejects calls under load must not receive all retries
  /// at the same time.
  std::chrono::milliseconds retry_backoff{300};
  std::chrono::milliseconds max_retry_backoff{1000};
  /// Retries without doubling, about 5 s in total, until the first listing.
  /// Such an instance refuses all callers; after a complete power loss during a
  /// store outage, most of that time was backoff.
  uint32_t initial_constant_retries = 20;
  /// Interval of full reads, in case a watch missed a change.
  std::chrono::milliseconds full_read_interval{30000};
  /// Interval of comparisons with a relay that does the full reads, and the
  /// delay before the next one if the copies were of different revisions. A
  /// comparison takes some hundred bytes.
  std::chrono::milliseconds verify_interval{5000};
  std::chrono::milliseconds verify_retry_delay{500};
  /// Comparisons without a result after which the store is listed.
  uint32_t max_verify_retries = 8;
  /// One call to a relay, which answers after `relay_wait` at the latest and
  /// counts as lost when nothing arrives within `relay_answer_timeout` after
  /// that. A suspended process keeps its connections open, so only this timeout
  /// detects it.
  std::chrono::milliseconds relay_wait{1000};
  std::chrono::milliseconds relay_answer_timeout{700};
  /// How long a relay is skipped after it was lost, and after it answered that
  /// it does not follow the store.
  std::chrono::milliseconds lost_relay_backoff{3000};
  std::chrono::milliseconds stale_relay_backoff{1000};
  /// How long an instance that should follow the store uses a relay after a
  /// store failure, and how long one that should not follows the store when no
  /// relay is left.
  std::chrono::milliseconds store_backoff{3000};
  std::chrono::milliseconds store_fallback_period{2000};
  /// A relay that replaces the store must provide a copy no older than
  /// `fresh_age` within this time. While the relay's own watch hangs, it
  /// reports for up to three seconds that it follows the store; an instance
  /// that relied on it would serve a stale configuration although it can reach
  /// the store.
  std::chrono::milliseconds relay_probation{500};
  std::chrono::milliseconds fresh_age{1500};
};

/// How soon the next watch has to be sent.
enum class WatchUrgency : uint8_t { kNormal, kUrgent, kImmediate };

/// Sends calls to the sources. Each call leads to one `OnAnswer` of the mirror,
/// after the call has returned.
class MirrorPort {
 public:
  virtual ~MirrorPort() = default;
  /// Requests one page of the store's entries, beginning after the key `after`.
  virtual void ListStore(const std::string& after,
                         const AnswerLimits& limits) = 0;
  /// Requests the changes at the store since revision `after`.
  virtual void WatchStore(uint64_t after, std::chrono::milliseconds wait,
                          const AnswerLimits& limits) = 0;
  /// Requests the changes since revision `after` from an instance; 0 requests
  /// all entries.
  virtual void AskRelay(const std::string& instance, uint64_t after,
                        std::chrono::milliseconds wait, TimePoint deadline) = 0;
};

/// State machine with one call in flight at a time. When the requested history
/// was compacted or calls fail, it lists the store again and keeps the old copy
/// until then.
class Mirror {
 public:
  /// `changed` holds the keys that were written or deleted; after a listing,
  /// all that differ from the copy.
  using Listener = std::function<WatchUrgency(const EntryMap& entries,
                                              const EntryMap& changed)>;

  Mirror(MirrorTiming timing, bool first_start, uint64_t seed, MirrorPort* port,
         EventSink* events, Listener listener);

  /// Starts by listing the store.
  void Start(TimePoint now);
  /// Starts with a complete copy that was confirmed at `confirmed_at`.
  void StartFromCopy(TimePoint now, const Reading& copy,
                     TimePoint confirmed_at);
  void SetPlan(RelayPlan plan) { plan_ = std::move(plan); }
  void OnAnswer(TimePoint now, const ReadResult& result);
  void Tick(TimePoint now);
  TimePoint next_deadline() const { return due_; }

  const ChangeLog& log() const { return log_; }
  /// Returns the store revision that the copy reflects.
  uint64_t as_of() const { return log_.as_of(); }
  /// Returns the time up to which the copy holds all changes of the store: the
  /// time before the call whose answer confirms it, so that a delayed answer
  /// does not make the copy appear newer. The clock's epoch until the first
  /// listing.
  TimePoint confirmed_at() const { return confirmed_at_; }
  /// Returns whether there is a copy.
  bool has_copy() const { return listed_; }
  /// Returns whether the copy is currently kept from the store itself.
  bool follows_store() const { return listed_ && store_healthy_; }
  /// Returns whether this instance can serve as a relay. After missed changes
  /// it cannot until it has listed the store again, which takes seconds on a
  /// slow link.
  RelayState relay_state() const;
  /// Returns the relay in use; empty for the store.
  const std::string& relay() const { return relay_; }

 private:
  enum class Call : uint8_t { kNone, kList, kWatch, kAskRelay, kVerify };

  /// Sends the next call, or sets the time for it.
  void StartNextCall(TimePoint now);
  void ListStore(TimePoint now);
  void WatchStore(TimePoint now);
  void AskRelay(TimePoint now);
  std::string ChooseRelay(TimePoint now) const;
  void OnListPage(TimePoint now, const Reading& page);
  void ApplyListing(TimePoint now, const EntryMap& listing, uint64_t as_of);
  void ApplyReading(TimePoint now, const Reading& reading);
  void CompareDigest(const Reading& reading);
  void VerifyCopy(TimePoint now);
  void OnVerification(TimePoint now, const ReadResult& result);
  void NotifyListener(TimePoint now, const EntryMap& changed);
  void ConfirmCopy(TimePoint when);
  void LogStoreFailure(TimePoint now, Call call, ReadError error);
  void OnStoreFailure(TimePoint now, Call call, ReadError error);
  void OnStoreAnswer(TimePoint now);
  void OnRelayAnswer(TimePoint now, const Reading& reading);
  void OnRelayFailure(TimePoint now, ReadError error);
  void SetSource(const std::string& relay);
  void OnSourceAnswer();
  std::chrono::milliseconds RetryBackoff();

  const MirrorTiming timing_;
  const bool first_start_;
  MirrorPort* port_;
  EventSink* events_;
  Listener listener_;
  std::mt19937_64 random_;
  RelayPlan plan_;
  ChangeLog log_;
  EntryMap listing_;
  uint64_t listing_as_of_ = 0;
  bool listed_ = false;
  /// The store has to be listed before it can be watched.
  bool list_due_ = true;
  Call call_ = Call::kNone;
  /// When the call in flight was sent.
  TimePoint sent_at_;
  /// When the wait of the watch in flight ends, if nothing changes.
  TimePoint wait_until_;
  /// When the first page of the current listing was requested.
  TimePoint listing_started_at_;
  TimePoint confirmed_at_;
  std::string relay_;
  /// The source in the last `source_changed` event.
  std::string logged_relay_;
  /// A relay could not provide the changes, or its digest differs: the next
  /// call requests all entries.
  bool needs_full_copy_ = false;
  bool store_healthy_ = false;
  /// The store has reported a compacted history and was not listed since.
  bool missed_changes_ = false;
  /// Relays that have failed since their last answer, with the time until which
  /// they are skipped.
  std::map<std::string, TimePoint> relay_not_before_;
  TimePoint store_not_before_;
  TimePoint store_failed_at_;
  /// The store is followed until then although the plan says otherwise.
  TimePoint store_until_;
  TimePoint failing_since_;
  uint32_t failures_ = 0;
  TimePoint full_read_at_;
  TimePoint verify_at_;
  uint32_t verify_retries_ = 0;
  TimePoint next_watch_at_;
  TimePoint started_at_;
  TimePoint due_ = TimePoint::max();
};

}  // namespace ryefold::core::mirror
