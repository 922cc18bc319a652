#include "ryefoldd/gateway_failover.h"

#include <chrono>
#include <optional>
#include <utility>

#include "ryefold/task/clock.h"

namespace ryefold::ryefoldd {
namespace {

using core::failover::PromotionOutcome;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using task::BootTime;

/// Pace at which the groups are looked at: a fraction of the shortest silence
/// that means a loss.
constexpr milliseconds kObservePace{100};
/// The same while a promotion waits for answers of replicas, which take some
/// milliseconds.
constexpr milliseconds kReplicaAnswerPace{10};

}  // namespace

GatewayFailover::GatewayFailover(const settings::GatewaySettings& settings,
                                 Surroundings surroundings)
    : instance_(settings.name),
      surroundings_(std::move(surroundings)),
      duty_(surroundings_.store, settings.name),
      election_(settings.name, core::failover::ElectionTiming(), &duty_,
                surroundings_.events),
      promotion_(
          surroundings_.loop->base(), settings.promotion_address, settings.name,
          [this](const std::string& group, uint64_t token,
                 PromotionOutcome outcome) {
            coordinator_.PromotionAnswered(BootTime(), group, token, outcome);
          }),
      coordinator_(core::failover::CoordinatorTiming(), &promotion_, this,
                   surroundings_.events) {
  duty_.Attach(&election_);
  duty_.SetEventCallback([this] { ArmElection(); });
  Observe();
}

GatewayFailover::~GatewayFailover() {
  surroundings_.loop->Cancel(election_timer_);
  surroundings_.loop->Cancel(observe_timer_);
}

void GatewayFailover::OnItems(const core::mirror::EntryMap& items,
                              const core::mirror::EntryMap& changed,
                              uint64_t as_of) {
  duty_.OnEntriesChanged(items, changed, as_of);
  for (const auto& [key, item] : changed) {
    const auto order = platform::DecodeOrder(item);
    if (!order.has_value()) continue;
    surroundings_.proxy->ExpectPrimary(BootTime(), order->group,
                                       order->database);
    coordinator_.AnnouncementRead(BootTime(), order->group, order->database);
  }
}

void GatewayFailover::SetInstances(
    const std::vector<core::session::KeeperCandidate>& instances) {
  election_.SetRank(
      core::session::RendezvousRank("promotion", instance_, instances));
}

void GatewayFailover::Retire() { election_.Retire(BootTime()); }

bool GatewayFailover::holds_duty() const {
  return election_.token(BootTime()).has_value();
}

void GatewayFailover::Probe(const std::string& group) {
  surroundings_.proxy->ProbeGroup(BootTime(), group);
}

void GatewayFailover::PauseReplication(const std::string& database,
                                       uint64_t term) {
  surroundings_.proxy->PauseReplication(BootTime(), database, term);
}

void GatewayFailover::ResumeReplication(const std::string& database) {
  surroundings_.proxy->ResumeReplication(BootTime(), database);
}

void GatewayFailover::Announce(const std::string& group,
                               const std::string& database) {
  surroundings_.proxy->ExpectPrimary(BootTime(), group, database);
  platform::WriteOrder(surroundings_.store, {group, database});
}

void GatewayFailover::ReplaceToken(const std::string& reason) {
  election_.Resign(BootTime(), reason);
  ArmElection();
}

void GatewayFailover::ArmElection() {
  const core::TimePoint due = election_.next_deadline();
  if (due == core::TimePoint::max()) return;
  surroundings_.loop->Cancel(election_timer_);
  election_timer_ =
      surroundings_.loop->At(steady_clock::now() + (due - BootTime()), [this] {
        election_.Tick(BootTime());
        ArmElection();
      });
}

void GatewayFailover::Observe() {
  const core::TimePoint now = BootTime();
  const std::optional<uint64_t> token = election_.token(now);
  if (token.has_value()) {
    coordinator_.EvaluateGroups(now, surroundings_.proxy->groups(now), token);
  } else {
    coordinator_.EvaluateGroups(now, {}, token);
  }
  surroundings_.flush();
  const milliseconds pace =
      coordinator_.AwaitsReplies() ? kReplicaAnswerPace : kObservePace;
  observe_timer_ =
      surroundings_.loop->At(steady_clock::now() + pace, [this] { Observe(); });
}

}  // namespace ryefold::ryefoldd
