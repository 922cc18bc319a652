#pragma once

// Takes operators' changes into the store's log, and says "accepted" once
// enough other instances hold them.

#include <cstdint>
#include <list>
#include <optional>

#include "context.h"
#include "gossip.h"

namespace ryefold::core::configuration {

class Publisher {
 public:
  Publisher(Context* context, Gossip* gossip)
      : context_(context), gossip_(gossip) {}

  void Arrived(TimePoint now, const PublishArrived& request);
  void Tick(TimePoint now);
  TimePoint next_deadline() const;
  /// A peer has told its revision: it may be the holder that was missing.
  void PeersHeard(TimePoint now);

 private:
  /// One change on its way. Those not yet placed in the log go one by one, in
  /// the order of arrival; those placed wait for holders side by side.
  struct Pending {
    Tag tag = 0;
    Change change;
    TimePoint deadline;
    bool repeat = false;
    /// Revision at which the log holds it; 0 before that.
    uint64_t placed = 0;
    /// Revision of a put whose effect is not known.
    uint64_t unsettled = 0;
    bool calling = false;
    TimePoint next_try;
    std::chrono::milliseconds backoff{0};
  };
  using Entry = std::list<Pending>::iterator;

  /// How long a call may take: a slow store gets more than the usual time,
  /// a lost answer leaves enough to look again.
  std::chrono::milliseconds Patience(TimePoint now,
                                     const Pending& pending) const;
  void Advance(TimePoint now);
  void Try(TimePoint now, Entry entry);
  void Put(TimePoint now, Entry entry);
  void PutReturned(TimePoint now, Tag tag, uint64_t revision,
                   const StoreAnswer* answer);
  void Look(TimePoint now, Entry entry, uint64_t revision);
  void Looked(TimePoint now, Tag tag, uint64_t revision,
              const StoreAnswer* answer);
  void Occupied(TimePoint now, Entry entry, uint64_t revision,
                const StoreValue& value);
  void Placed(TimePoint now, Entry entry, uint64_t revision);
  void RetryLater(TimePoint now, Entry entry);
  void CheckHolders(TimePoint now);
  void Finish(Entry entry, PublishStatus status);
  void Expire(TimePoint now);
  Entry Find(Tag tag);
  size_t Holders(uint64_t revision) const;
  size_t Required() const;
  std::optional<uint64_t> Present(const Change& change) const;
  std::vector<Conflict> Conflicts(const Change& change) const;
  bool Behind(const Change& change) const;
  bool Valid(const Change& change) const;

  Context* context_;
  Gossip* gossip_;
  std::list<Pending> pending_;
};

}  // namespace ryefold::core::configuration
