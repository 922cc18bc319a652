#pragma once

// Keeps a copy of the store's keys current: from the store itself, or from
// instances that follow it.

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
  /// Longest wait of one watch at the store. A watch can fall silent while its
  /// connection looks alive, to the kernel's probes as well: after an outage
  /// the store may simply have forgotten it. Changes are then missed without a
  /// sign, and an instance goes on sending work to a database that has left.
  /// Only an answer, or its absence, shows that a watch is alive. Costs one
  /// call each two seconds for each instance that follows the store.
  std::chrono::milliseconds wait{2000};
  /// Time allowed for an answer to arrive once there is one: a listing of a
  /// large fleet is a megabyte, and the slowest links carry two megabits a
  /// second.
  std::chrono::milliseconds grace{6000};
  /// Silence after which a listing is given up. Not longer with each failure: a
  /// store that was silent is back at some moment, and what is waited for
  /// beyond that is time without its changes, of which the strictest deployment
  /// allows 3 s. A store that takes more than this to begin an answer cannot be
  /// listed.
  std::chrono::milliseconds list_silence{2000};
  /// Wait of the first watch at a store that has failed, and silence beyond it:
  /// until it is answered nothing is heard of, by relays neither.
  std::chrono::milliseconds trial_wait{100};
  std::chrono::milliseconds trial_silence{900};
  /// Silence beyond the wait of any other watch. Together with `wait` within
  /// the time in which the strictest deployment has to act on a change, 3 s,
  /// and well below the 7 s until a leaving database may be gone.
  std::chrono::milliseconds watch_silence{1000};
  /// Least time between two watches. Each answer takes in all changes since,
  /// so this bounds the calls made in a storm of changes.
  std::chrono::milliseconds pace{1000};
  /// The same for a relay, on which others wait. Not much less: while a large
  /// fleet is restarted one by one, each start is a change and a call.
  std::chrono::milliseconds relay_pace{600};
  /// The same when the whole fleet starts for the first time: each start is a
  /// change, and nobody waits to be served yet.
  std::chrono::milliseconds first_pace{2000};
  std::chrono::milliseconds first_span{8000};
  /// The same while callers wait for something that is missing.
  std::chrono::milliseconds hurried_pace{200};
  /// Pause after a failed call, doubled up to the most, half of it at random:
  /// a store that turns calls away for their number must not get them all again
  /// at one moment.
  std::chrono::milliseconds retry{300};
  std::chrono::milliseconds most_retry{1000};
  /// An instance that has never listed the store serves nobody, so its first
  /// tries follow each other without doubling, some five seconds long. After a
  /// loss of all power during an outage of the store, most of the pause was
  /// time in which callers were refused.
  uint32_t eager_tries = 20;
  /// Everything is read anew this often, in case a watch missed a change.
  std::chrono::milliseconds reread{30000};
  /// One call at a relay: it answers after `ask_wait` in any case, and is taken
  /// to be lost when nothing has come `ask_grace` after that. A suspended
  /// process keeps its connections, so that only this shows it.
  std::chrono::milliseconds ask_wait{1000};
  std::chrono::milliseconds ask_grace{700};
  /// How long a relay that was lost, and one that does not follow the store at
  /// present, is passed over.
  std::chrono::milliseconds after_lost{3000};
  std::chrono::milliseconds after_not_current{1000};
  /// How long the store is passed over for a relay after it failed, where the
  /// instance should follow it, and how long it is followed when no relay is
  /// left, where it should not.
  std::chrono::milliseconds store_again{3000};
  std::chrono::milliseconds relays_again{2000};
  /// A relay in whose place the store could be followed has this long to show a
  /// copy that is no older than `fresh_copy`. It lives and says in good faith
  /// that it follows the store while its own watch hangs, for up to three
  /// seconds; an instance that rested on its word would serve by an old
  /// configuration with the store in reach.
  std::chrono::milliseconds relay_trial{500};
  std::chrono::milliseconds fresh_copy{1500};
};

/// How soon the next watch is wanted.
enum class WatchPace : uint8_t { kUsual, kHurried, kAtOnce };

/// Calls on the sources. Each leads to one `Answered` of the mirror, never
/// before the call has returned.
class MirrorPort {
 public:
  virtual ~MirrorPort() = default;
  /// One page of what the store holds, from behind the key `after` on.
  virtual void ListStore(const std::string& after,
                         const AnswerLimits& limits) = 0;
  /// Changes at the store since the revision `after`.
  virtual void WatchStore(uint64_t after, std::chrono::milliseconds wait,
                          const AnswerLimits& limits) = 0;
  /// The same at an instance; 0: everything.
  virtual void AskRelay(const std::string& instance, uint64_t after,
                        std::chrono::milliseconds wait, TimePoint deadline) = 0;
};

/// State machine; one call is under way at any time. When history is lost or
/// answers fail it reads everything anew; until then the old copy stands.
class Mirror {
 public:
  /// `changed` holds the keys that were written or deleted; after a listing
  /// all that differ.
  using Listener = std::function<WatchPace(const EntryMap& entries,
                                           const EntryMap& changed)>;

  Mirror(MirrorTiming timing, bool first_start, uint64_t seed, MirrorPort* port,
         EventSink* events, Listener listener);

  void Start(TimePoint now);
  void SetPlan(RelayPlan plan) { plan_ = std::move(plan); }
  void Answered(TimePoint now, const ReadResult& result);
  void Tick(TimePoint now);
  TimePoint next_deadline() const { return due_; }

  const ChangeLog& log() const { return log_; }
  /// Store revision that the copy reflects.
  uint64_t as_of() const { return log_.as_of(); }
  /// The copy holds every change that the store had taken by then. Reckoned
  /// from before the call whose answer shows it, so that no delay of the answer
  /// makes the copy look younger than it is. The clock's beginning until the
  /// first listing.
  TimePoint confirmed_at() const { return confirmed_at_; }
  /// Whether the copy is kept current from the store itself at present.
  bool follows_store() const { return listed_ && store_good_; }
  /// What others may hear from this instance. One that knows that it has missed
  /// changes is no source for them until it has listed the store anew, which
  /// takes seconds on a slow link.
  RelayState relay_state() const;
  /// The instance that it is kept current from; empty for the store.
  const std::string& relay() const { return relay_; }

 private:
  enum class Call : uint8_t { kNone, kList, kWatch, kAsk };

  /// Makes the next call, or sets the time for it.
  void Next(TimePoint now);
  void List(TimePoint now);
  void WatchStore(TimePoint now);
  void AskRelay(TimePoint now);
  std::string ChooseRelay(TimePoint now) const;
  void PageListed(TimePoint now, const Reading& page);
  void TakeAll(TimePoint now, const EntryMap& listing, uint64_t as_of);
  void Take(TimePoint now, const Reading& reading);
  void Compare(const Reading& reading);
  void Tell(TimePoint now, const EntryMap& changed);
  void Confirm(TimePoint when);
  void TellStoreFailed(TimePoint now, Call call, ReadError error);
  void StoreFailed(TimePoint now, Call call, ReadError error);
  void StoreServed(TimePoint now);
  void RelayServed(TimePoint now, const Reading& reading);
  void RelayFailed(TimePoint now, ReadError error);
  void Follow(const std::string& relay);
  void SourceServed();
  std::chrono::milliseconds RetryPause();

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
  /// What the store holds has to be listed before it can be watched.
  bool list_due_ = true;
  Call call_ = Call::kNone;
  /// When the call under way was sent.
  TimePoint sent_at_;
  /// When the wait of the watch under way is over, if nothing changes.
  TimePoint wait_until_;
  /// When the first page of the listing under way was asked for.
  TimePoint listing_from_;
  TimePoint confirmed_at_;
  std::string relay_;
  /// The source that was last told of.
  std::string told_relay_;
  /// A relay could not tell the differences: it is asked for everything.
  bool ask_all_ = false;
  bool store_good_ = false;
  /// The store has said that history is gone, and was not listed since.
  bool missed_changes_ = false;
  /// Relays that have failed since they last answered, until when they are
  /// passed over.
  std::map<std::string, TimePoint> relay_not_before_;
  TimePoint store_not_before_;
  TimePoint store_failed_at_;
  /// The store is followed until then though the plan says otherwise.
  TimePoint store_until_;
  TimePoint failing_since_;
  uint32_t failures_ = 0;
  TimePoint reread_at_;
  TimePoint next_watch_at_;
  TimePoint started_at_;
  TimePoint due_ = TimePoint::max();
};

}  // namespace ryefold::core::mirror
