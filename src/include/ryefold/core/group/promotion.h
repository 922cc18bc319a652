#pragma once

// Promotes one database to the primary of a new term, by a majority of the
// databases and without the store.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

/// A database as the proposer sees it.
struct ProposalPeer {
  std::string database;
  /// Whether its answer is waited for.
  bool expected = true;
  /// Must not become the primary: lost, partitioned or leaving.
  bool ineligible = false;
};

/// A control call that a proposal requires.
struct ProposalCall {
  std::string database;
  /// `AdoptCall` or `PromoteCall`.
  ControlCall call;
  TimePoint deadline;
};

/// A proposer. Safety depends on the databases alone, which accept only terms
/// above their adopted one, so a proposer may pause, resume late, race another
/// one or crash at any point. The proposer itself has to ensure two things: it
/// never proposes a term twice, and it promotes nothing before a majority has
/// adopted the term.
class Promotion {
 public:
  /// `proposer` must be unique over all time: two proposers with the same name
  /// could both get a term adopted and promote two databases under it.
  Promotion(std::string proposer, KeeperTiming timing, uint64_t seed);

  /// Starts a proposal with a term above `highest_term` and above all terms
  /// seen before.
  void Start(TimePoint now, uint64_t highest_term,
             std::vector<ProposalPeer> peers);
  /// Cancels the proposal, for example when another proposer has promoted a
  /// primary.
  void Stop();

  void OnAdoptAnswer(TimePoint now, uint64_t term, const std::string& database,
                     const AdoptAnswer& answer);
  void OnPromoteAnswer(TimePoint now, uint64_t term, const RoleAnswer& answer);
  /// Handles a call that failed or timed out.
  void OnCallFailed(TimePoint now, uint64_t term, const std::string& database);
  void Tick(TimePoint now);

  /// Returns the calls to send now and removes them.
  std::vector<ProposalCall> TakeCalls();
  /// Returns the promoted database's status once; nullopt otherwise.
  std::optional<DatabaseStatus> TakePromoted();

  /// Returns whether a proposal is in progress.
  bool IsActive() const { return phase_ != Phase::kIdle; }
  /// Returns whether a new proposal may start: none is in progress and the
  /// backoff after a failed one is over.
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
