#pragma once

// Exchanges with peers: one a second with a random peer, and a few at once
// when there is news, passed on by each instance while it is new to it.

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
  ExchangeReply Answer(TimePoint now, const Exchange& exchange);

  /// Tells a few peers soon; news within the same moment goes together.
  void NewsSoon(TimePoint now);
  /// Tells `count` peers, further ones than usual if need be: those that are
  /// not known to hold `revision`.
  void Spread(TimePoint now, uint64_t revision, size_t count);
  /// Begins to tell of this instance itself.
  void Announce(TimePoint now, membership::MemberState state);

 private:
  void Send(TimePoint now, const std::string& name, const std::string& address,
            Exchange exchange);
  void Answered(TimePoint now, const std::string& name,
                const std::string& address, const ExchangeReply& reply);
  Exchange Compose(TimePoint now, const std::string& name);
  void Take(TimePoint now, const std::string& from, const Standing& standing,
            const DocumentBlock& documents, const MemberBlock& members);
  bool WantsFrom(TimePoint now, const std::string& name,
                 const Standing& standing);
  void Fill(const Standing& wants, DocumentBlock* documents,
            MemberBlock* members) const;
  void FetchFrom(TimePoint now, const std::string& name);
  void FetchElsewhere(TimePoint now);
  void Push(TimePoint now);
  void ExchangeWithOne(TimePoint now);
  std::vector<std::string> Choose(TimePoint now, size_t count,
                                  uint64_t revision);

  Context* context_;
  TimePoint next_exchange_ = TimePoint::max();
  TimePoint push_at_ = TimePoint::max();
  TimePoint last_push_;
  uint64_t rounds_ = 0;
  int postponed_ = 0;
  /// Where missing documents are being fetched from, and until when nobody
  /// else is asked for them.
  std::string fetch_from_;
  TimePoint fetch_until_;
  /// Another peer that has them.
  std::string fetch_next_;
  /// Notices still to be passed on.
  std::vector<Notice> notices_;
  uint64_t own_sequence_ = 0;
  membership::Member announced_;
};

}  // namespace ryefold::core::configuration
