#include "ryefold/core/group/promotion.h"

#include <algorithm>
#include <utility>

#include "ryefold/core/group/log.h"

namespace ryefold::core::group {
namespace {

/// Limit of the exponential backoff after failed proposals.
constexpr int kMaxBackoffDoublings = 4;

}  // namespace

Promotion::Promotion(std::string proposer, KeeperTiming timing, uint64_t seed)
    : proposer_(std::move(proposer)), timing_(timing), random_(seed) {}

void Promotion::Start(TimePoint now, uint64_t highest_term,
                      std::vector<ProposalPeer> peers) {
  highest_seen_ = std::max(highest_seen_, highest_term);
  term_ = std::max(highest_seen_, term_) + 1;
  phase_ = Phase::kAdopting;
  phase_deadline_ = now + timing_.proposal_call;
  peers_.clear();
  promoted_.reset();
  for (ProposalPeer& peer : peers) {
    calls_.push_back(
        {peer.database, AdoptCall{term_, proposer_}, phase_deadline_});
    const std::string name = peer.database;
    peers_[name].peer = std::move(peer);
  }
}

void Promotion::Stop() {
  phase_ = Phase::kIdle;
  calls_.clear();
}

void Promotion::OnAdoptAnswer(TimePoint now, uint64_t term,
                              const std::string& database,
                              const AdoptAnswer& answer) {
  highest_seen_ = std::max(highest_seen_, answer.status.adopted_term);
  // Answers to earlier proposals do not count for this one.
  if (phase_ != Phase::kAdopting || term != term_) return;
  const auto it = peers_.find(database);
  if (it == peers_.end()) return;
  it->second.answered = true;
  if (answer.accepted) it->second.adopted = answer.status;
  Decide(now);
}

void Promotion::OnCallFailed(TimePoint now, uint64_t term,
                             const std::string& database) {
  if (term != term_) return;
  if (phase_ == Phase::kPromoting && database == candidate_) {
    // The answer may be lost although the database has become the primary. The
    // call is idempotent (a repeated one appends no entry), so it is repeated.
    if (now < phase_deadline_) Promote(now);
    return;
  }
  const auto it = peers_.find(database);
  if (phase_ != Phase::kAdopting || it == peers_.end()) return;
  it->second.answered = true;
  Decide(now);
}

size_t Promotion::CountAtOrBehind(const LogPosition& last) const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&last](const auto& entry) {
        const auto& adopted = entry.second.adopted;
        return adopted.has_value() && adopted->last <= last;
      }));
}

std::optional<std::string> Promotion::ChooseCandidate() const {
  const Peer* best = nullptr;
  for (const auto& [name, peer] : peers_) {
    if (!peer.adopted.has_value() || peer.peer.ineligible) continue;
    if (best == nullptr || peer.adopted->last > best->adopted->last) {
      best = &peer;
    }
  }
  if (best == nullptr) return std::nullopt;
  // A majority that adopted the term must be at or behind the candidate. Every
  // acknowledged write is on a majority, hence on one of these databases, hence
  // on the candidate. Positions compare by term first, as a longer log may be
  // an older one.
  if (CountAtOrBehind(best->adopted->last) < Majority(peers_.size())) {
    return std::nullopt;
  }
  return best->peer.database;
}

bool Promotion::HaveAllExpectedAnswered() const {
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& entry) {
    return entry.second.answered || !entry.second.peer.expected;
  });
}

void Promotion::Decide(TimePoint now) {
  // Waits for all reachable databases: the more answers, the fewer
  // unacknowledged writes are discarded.
  if (!HaveAllExpectedAnswered() && now < phase_deadline_) return;
  const std::optional<std::string> candidate = ChooseCandidate();
  if (!candidate.has_value()) {
    if (HaveAllExpectedAnswered() || now >= phase_deadline_) Fail(now);
    return;
  }
  candidate_ = *candidate;
  phase_ = Phase::kPromoting;
  phase_deadline_ = now + 2 * timing_.proposal_call;
  Promote(now);
}

void Promotion::Promote(TimePoint now) {
  calls_.push_back({candidate_, PromoteCall{term_, proposer_},
                    std::min(phase_deadline_, now + timing_.proposal_call)});
}

void Promotion::OnPromoteAnswer(TimePoint now, uint64_t term,
                                const RoleAnswer& answer) {
  highest_seen_ = std::max(highest_seen_, answer.status.adopted_term);
  if (phase_ != Phase::kPromoting || term != term_) return;
  if (!answer.accepted) {
    Fail(now);
    return;
  }
  phase_ = Phase::kIdle;
  failures_ = 0;
  promoted_ = answer.status;
}

void Promotion::Fail(TimePoint now) {
  phase_ = Phase::kIdle;
  const int doublings = std::min(failures_++, kMaxBackoffDoublings);
  const auto pause = timing_.proposal_retry * (1 << doublings);
  // Without jitter, two proposers that collided would collide again.
  std::uniform_int_distribution<int64_t> jitter(pause.count() / 2,
                                                pause.count() * 3 / 2);
  next_attempt_at_ = now + std::chrono::milliseconds(jitter(random_));
}

void Promotion::Tick(TimePoint now) {
  if (phase_ == Phase::kIdle || now < phase_deadline_) return;
  if (phase_ == Phase::kAdopting) {
    Decide(now);
  } else {
    Fail(now);
  }
}

std::vector<ProposalCall> Promotion::TakeCalls() {
  return std::exchange(calls_, {});
}

std::optional<DatabaseStatus> Promotion::TakePromoted() {
  return std::exchange(promoted_, std::nullopt);
}

bool Promotion::IsReady(TimePoint now) const {
  return phase_ == Phase::kIdle && now >= next_attempt_at_;
}

TimePoint Promotion::next_deadline(TimePoint now) const {
  if (phase_ != Phase::kIdle) return phase_deadline_;
  return next_attempt_at_ > now ? next_attempt_at_ : TimePoint::max();
}

}  // namespace ryefold::core::group
