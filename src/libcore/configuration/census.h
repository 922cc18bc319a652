#pragma once

// Counts the instances on which a revision is in force. Instances whose
// revision is known from recent exchanges are not queried. In a large fleet
// delegates query further instances, so that no instance sends more than a few
// dozen queries.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "context.h"

namespace ryefold::core::configuration {

class InForceCounter {
 public:
  explicit InForceCounter(Context* context) : context_(context) {}

  /// Handles an operator's request for the whole fleet.
  void HandleRequest(TimePoint now, const InForceRequested& request);
  /// Handles a peer's query for this instance and those named in the query.
  void HandleQuery(TimePoint now, Tag tag, const InForceQuery& query);
  void Tick(TimePoint now);
  TimePoint next_deadline() const;

 private:
  struct Result {
    uint64_t in_force = 0;
    std::vector<std::string> missing;
  };
  using RoundCallback = std::function<void(TimePoint, const Result&)>;
  struct Round {
    uint64_t revision = 0;
    size_t outstanding = 0;
    Result result;
    /// Names without a reply so far, by query id. They count as missing at the
    /// deadline.
    std::map<CallId, std::vector<std::string>> queried;
    TimePoint deadline;
    RoundCallback done;
  };

  void StartRound(TimePoint now, uint64_t revision,
                  const std::vector<std::string>& names,
                  std::chrono::milliseconds timeout, RoundCallback done);
  void QueryNext(TimePoint now, uint64_t round, std::vector<std::string> names);
  void HandleReply(TimePoint now, uint64_t round, uint64_t query_id,
                   const PeerAnswer* answer);
  void FinishRound(TimePoint now, uint64_t round);
  bool IsInForceHere(uint64_t revision) const;

  Context* context_;
  std::map<uint64_t, Round> rounds_;
  uint64_t next_id_ = 1;
};

}  // namespace ryefold::core::configuration
