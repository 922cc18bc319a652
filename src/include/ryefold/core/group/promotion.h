#pragma once

// Makes one database the primary of a new term, by majority and without any
// store.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

/// One database as the proposer sees it.
struct ProposalPeer {
  std::string database;
  /// Its answer is worth waiting for.
  bool expected = true;
  /// It must not become the primary: lost, cut off or leaving.
  bool ineligible = false;
};

/// A call the proposer wants made.
struct ProposalCall {
  std::string database;
  /// `AdoptCall` or `PromoteCall`.
  ControlCall call;
  TimePoint deadline;
};

/// One proposer. Safety rests on the databases alone, which accept only a term
/// above the adopted one: a proposer may pause, wake late, race another or
/// vanish at any point. What it must keep to itself: a term number is never
/// proposed twice, and nothing is promoted before a majority has adopted.
class Promotion {
 public:
  /// `proposer` must never have been used before: two proposers of one name
  /// could both have a term adopted and promote two databases under it.
  Promotion(std::string proposer, KeeperTiming timing, uint64_t seed);

  /// Begins with a term above `highest_term` and above all seen earlier.
  void Start(TimePoint now, uint64_t highest_term,
             std::vector<ProposalPeer> peers);
  /// Gives up, for instance since another proposer's primary was seen.
  void Stop();

  void OnAdoptAnswer(TimePoint now, uint64_t term, const std::string& database,
                     const AdoptAnswer& answer);
  void OnPromoteAnswer(TimePoint now, uint64_t term, const RoleAnswer& answer);
  /// The call got no answer.
  void OnCallFailed(TimePoint now, uint64_t term, const std::string& database);
  void Tick(TimePoint now);

  /// Calls to make now.
  std::vector<ProposalCall> TakeCalls();
  /// The database that has become the primary, told once.
  std::optional<DatabaseStatus> TakePromoted();

  /// A proposal is under way.
  bool IsActive() const { return phase_ != Phase::kIdle; }
  /// Whether a new proposal may begin: no other is under way, and the pause
  /// after a failed one is over.
  bool IsReady(TimePoint now) const;
  uint64_t term() const { return term_; }
  const std::string& proposer() const { return proposer_; }
  /// Failed proposals since the last success.
  int failures() const { return failures_; }
  TimePoint next_deadline(TimePoint now) const;

 private:
  enum class Phase : uint8_t { kIdle, kAdopting, kPromoting };
  struct Peer {
    ProposalPeer peer;
    bool answered = false;
    std::optional<DatabaseStatus> adopted;
  };
  std::optional<std::string> ChooseCandidate() const;
  size_t CountAtOrBehind(const LogPosition& last) const;
  bool HaveAllExpectedAnswered() const;
  void Decide(TimePoint now);
  void Promote(TimePoint now);
  void Fail(TimePoint now);

  std::string proposer_;
  KeeperTiming timing_;
  std::mt19937_64 random_;
  Phase phase_ = Phase::kIdle;
  uint64_t term_ = 0;
  uint64_t highest_seen_ = 0;
  std::map<std::string, Peer> peers_;
  std::string candidate_;
  TimePoint phase_deadline_;
  TimePoint next_attempt_at_;
  int failures_ = 0;
  std::vector<ProposalCall> calls_;
  std::optional<DatabaseStatus> promoted_;
};

}  // namespace ryefold::core::group
