#include "ryefoldd/gateway_failover.h"

#include <chrono>
#include <optional>
#include <utility>

#include "ryefold/task/clock.h"
#include "ryefold/wire/report_codec.h"

namespace ryefold::ryefoldd {
namespace {

using core::Event;
using core::EventPriority;
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
/// Timeout of reports to the holder of the duty, which are sent again each
/// second while the trouble lasts.
constexpr milliseconds kReportTimeout{500};

}  // namespace

GatewayFailover::GatewayFailover(const settings::GatewaySettings& settings,
                                 Surroundings surroundings)
    : instance_(settings.name),
      surroundings_(std::move(surroundings)),
      duty_(surroundings_.store, settings.name),
      election_(settings.name, core::failover::ElectionTiming(), &duty_,
                surroundings_.events),
      promotion_(surroundings_.loop->base(), settings.promotion_address,
                 settings.name,
                 [this](const std::string& group, uint64_t token,
                        PromotionOutcome outcome) {
                   control_.coordinator().PromotionAnswered(BootTime(), group,
                                                            token, outcome);
                 }),
      control_(std::hash<std::string>()(settings.name), &promotion_, this, this,
               surroundings_.events) {
  if (surroundings_.peers != nullptr) {
    surroundings_.peers->Serve(
        wire::kPeerGroupReports,
        [this](const wire::PeerCall& call) { OnReports(call); });
  }
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
  if (std::exchange(reported_to_, duty_.holder()) != duty_.holder()) {
    control_.HolderChanged(BootTime());
  }
  for (const auto& [key, item] : changed) {
    const auto order = platform::DecodeOrder(item);
    if (!order.has_value()) continue;
    surroundings_.proxy->ExpectPrimary(BootTime(), order->group,
                                       order->database);
    control_.coordinator().AnnouncementRead(BootTime(), order->group,
                                            order->database);
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
  control_.Evaluate(now, *surroundings_.proxy, election_.token(now));
  surroundings_.flush();
  observe_at_ = core::TimePoint::max();
  ObserveWithin(control_.coordinator().AwaitsReplies() ? kReplicaAnswerPace
                                                       : kObservePace);
}

/// Many reports arrive at once when a failure domain is lost; they lead to one
/// evaluation.
void GatewayFailover::ObserveWithin(milliseconds delay) {
  const core::TimePoint due = BootTime() + delay;
  if (due >= observe_at_) return;
  surroundings_.loop->Cancel(observe_timer_);
  observe_at_ = due;
  observe_timer_ = surroundings_.loop->At(steady_clock::now() + delay,
                                          [this] { Observe(); });
}

void GatewayFailover::OnReports(const wire::PeerCall& call) {
  const auto reports = wire::ReadGroupReports(call.body());
  if (!reports.has_value()) {
    Event(surroundings_.events, EventPriority::kState, "reports_unreadable")
        .Add("bytes", call.body().size());
  }
  if (!reports.has_value() || !holds_duty()) {
    call.Refuse();
    return;
  }
  // Probes of a reported group are part of the time without a primary.
  if (control_.ReportsReceived(BootTime(), *reports)) {
    ObserveWithin(kReplicaAnswerPace);
  }
  call.Reply("");
}

void GatewayFailover::SendReports(
    const std::vector<core::failover::GroupReport>& reports) {
  const std::string& holder = duty_.holder();
  if (holder == instance_ && holds_duty()) {
    control_.ReportsReceived(BootTime(), reports);
    return;
  }
  wire::PeerClient* peer = surroundings_.peers == nullptr || holder == instance_
                               ? nullptr
                               : surroundings_.peers->To(holder);
  if (peer == nullptr) {
    surroundings_.loop->Post([this] { OnReportsFailed(); });
    return;
  }
  peer->Call(std::string(wire::kPeerGroupReports),
             wire::WriteGroupReports(reports),
             steady_clock::now() + kReportTimeout,
             [this](const wire::PeerResult& result) {
               if (result.status == wire::CallStatus::kOk) return;
               surroundings_.loop->Post([this] { OnReportsFailed(); });
             });
}

void GatewayFailover::OnReportsFailed() { control_.ReportsFailed(BootTime()); }

}  // namespace ryefold::ryefoldd
