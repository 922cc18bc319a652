#pragma once

// Appends operators' changes to the log in the store and reports them as
// accepted once enough other instances hold them.

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

  void HandleRequest(TimePoint now, const PublishRequested& request);
  void Tick(TimePoint now);
  TimePoint next_deadline() const;
  /// Checks for holders after a peer reported its revision.
  void HandlePeerUpdates(TimePoint now);

 private:
  /// One change being published. Changes not yet in the log are processed one
  /// by one in order of arrival; changes in the log wait for holders
  /// concurrently.
  struct Pending {
    Tag tag = 0;
    Change change;
    TimePoint deadline;
    bool repeat = false;
    /// Revision of the change in the log; 0 before it is there.
    uint64_t log_revision = 0;
    /// Revision of a put with unknown effect; 0 if there is none.
    uint64_t unconfirmed_revision = 0;
    bool call_in_flight = false;
    TimePoint next_try;
    std::chrono::milliseconds backoff{0};
  };
  using PendingIterator = std::list<Pending>::iterator;

  /// Returns the timeout of one store call. A slow store gets more than the
  /// default timeout, and a lost answer leaves enough time to read the log
  /// again.
  std::chrono::milliseconds CallTimeout(TimePoint now,
                                        const Pending& pending) const;
  void StartNext(TimePoint now);
  void TryPublish(TimePoint now, PendingIterator it);
  void Put(TimePoint now, PendingIterator it);
  void HandlePut(TimePoint now, Tag tag, uint64_t revision,
                 const StoreAnswer* answer);
  void ReadRevision(TimePoint now, PendingIterator it, uint64_t revision);
  void HandleRead(TimePoint now, Tag tag, uint64_t revision,
                  const StoreAnswer* answer);
  void HandleOccupied(TimePoint now, PendingIterator it, uint64_t revision,
                      const StoreValue& value);
  void RecordLogged(TimePoint now, PendingIterator it, uint64_t revision);
  void RetryLater(TimePoint now, PendingIterator it);
  void CheckHolders(TimePoint now);
  void Finish(PendingIterator it, PublishStatus status);
  void ExpirePending(TimePoint now);
  PendingIterator FindPending(Tag tag);
  size_t CountHolders(uint64_t revision) const;
  size_t RequiredHolders() const;
  std::optional<uint64_t> FindRevision(const Change& change) const;
  std::vector<Conflict> FindConflicts(const Change& change) const;
  bool IsBehind(const Change& change) const;
  bool IsValid(const Change& change) const;

  Context* context_;
  Gossip* gossip_;
  std::list<Pending> pending_;
};

}  // namespace ryefold::core::configuration
