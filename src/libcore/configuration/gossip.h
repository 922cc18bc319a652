#pragma once

// Anti-entropy exchanges with a random peer about once per second, and pushes
// of updates to several peers. Each instance forwards an update once, when it
// first receives it.

#include <map>
#include <string>
#include <vector>

#include "context.h"

namespace ryefold::core::configuration {

class Gossip {
 public:
  explicit Gossip(Context* context) : context_(context) {}

  void Start(TimePoint now);
  void Tick(TimePoint now);
  TimePoint next_deadline() const;
  ExchangeReply HandleExchange(TimePoint now, const Exchange& exchange);

  /// Schedules a push to a few peers; updates at almost the same time are sent
  /// together.
  void SchedulePush(TimePoint now);
  /// Sends an exchange to `count` peers that are not known to hold `revision`,
  /// and uses peers beyond the neighbours if necessary.
  void PushRevision(TimePoint now, uint64_t revision, size_t count);
  /// Creates a notice of this instance with the given state and schedules it
  /// for sending.
  void AnnounceSelf(TimePoint now, membership::MemberState state);

 private:
  void Send(TimePoint now, const std::string& name, const std::string& address,
            Exchange exchange);
  void HandleReply(TimePoint now, const std::string& name,
                   const std::string& address, const ExchangeReply& reply);
  Exchange MakeExchange(TimePoint now, const std::string& name);
  void ApplyBlocks(TimePoint now, const std::string& from,
                   const SyncState& sync_state, const DocumentBlock& documents,
                   const MemberBlock& members);
  bool ShouldFetchFrom(TimePoint now, const std::string& name,
                       const SyncState& sync_state);
  void FillBlocks(const SyncState& peer_state, DocumentBlock* documents,
                  MemberBlock* members) const;
  void StartFetch(TimePoint now, const std::string& name);
  void FetchFromNext(TimePoint now);
  void PushUpdates(TimePoint now);
  void ExchangeWithRandomPeer(TimePoint now);
  std::vector<std::string> ChoosePeers(TimePoint now, size_t count,
                                       uint64_t revision);

  Context* context_;
  TimePoint next_exchange_ = TimePoint::max();
  TimePoint next_push_ = TimePoint::max();
  TimePoint last_push_;
  uint64_t exchange_count_ = 0;
  int postponed_exchanges_ = 0;
  /// The peer that is sending the missing documents, and until when no other
  /// peer is asked for them.
  std::string fetch_peer_;
  TimePoint fetch_deadline_;
  /// Another peer that has the missing documents.
  std::string next_fetch_peer_;
  /// Notices to be forwarded.
  std::vector<Notice> notices_;
  uint64_t notice_count_ = 0;
  membership::Member announced_member_;
};

}  // namespace ryefold::core::configuration
