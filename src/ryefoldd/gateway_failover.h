#pragma once

// The part of a gateway that orders promotions: wires the election and the
// coordinator to the platform.

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/duty.h"
#include "platform/store_client.h"
#include "ryefold/core/event.h"
#include "ryefold/core/failover/coordinator.h"
#include "ryefold/core/failover/election.h"
#include "ryefold/core/failover/failover_control.h"
#include "ryefold/core/mirror/entry.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/settings/gateway.h"
#include "ryefold/task/loop.h"
#include "ryefoldd/peer_exchange.h"

namespace ryefold::ryefoldd {

/// On the gateway's loop. Only one instance of a fleet gives orders at a time;
/// all take note of them.
class GatewayFailover : public core::failover::CoordinatorPort,
                        public core::failover::GroupMonitorPort {
 public:
  /// What the gateway shares with it; all outlive it.
  struct Surroundings {
    task::Loop* loop = nullptr;
    platform::StoreClient* store = nullptr;
    /// Null where instances do not reach each other.
    PeerExchange* peers = nullptr;
    core::session::Proxy* proxy = nullptr;
    core::EventSink* events = nullptr;
    /// Sends what calls on the proxy have left to be sent.
    std::function<void()> flush;
  };

  GatewayFailover(const settings::GatewaySettings& settings,
                  Surroundings surroundings);
  ~GatewayFailover() override;
  GatewayFailover(const GatewayFailover&) = delete;
  GatewayFailover& operator=(const GatewayFailover&) = delete;

  /// Takes what a mirror of the store has found changed.
  void OnItems(const core::mirror::EntryMap& items,
               const core::mirror::EntryMap& changed, uint64_t as_of);
  /// All instances that there are, for this one's rank among them.
  void SetInstances(
      const std::vector<core::session::KeeperCandidate>& instances);
  /// Gives the duty up, on the way out.
  void Retire();
  /// Who orders promotions, as the store shows it; empty: nobody.
  const std::string& duty_holder() const { return duty_.holder(); }

  /// Whether this instance holds it beyond doubt.
  bool holds_duty() const;

  void Probe(const std::string& group) override;
  void PauseReplication(const std::string& database, uint64_t term) override;
  void ResumeReplication(const std::string& database) override;
  void Announce(const std::string& group, const std::string& database) override;
  void ReplaceToken(const std::string& reason) override;
  void SendReports(
      const std::vector<core::failover::GroupReport>& reports) override;

 private:
  void ArmElection();
  void Observe();
  void ObserveWithin(std::chrono::milliseconds delay);
  void OnReports(const wire::PeerCall& call);
  void OnReportsFailed();

  const std::string instance_;
  const Surroundings surroundings_;
  platform::DutyStore duty_;
  core::failover::Election election_;
  platform::PromotionClient promotion_;
  core::failover::FailoverControl control_;
  /// Holder of the duty that the last reports were meant for.
  std::string reported_to_;
  task::TimerId election_timer_ = 0;
  task::TimerId observe_timer_ = 0;
  /// When `observe_timer_` fires.
  core::TimePoint observe_at_;
};

}  // namespace ryefold::ryefoldd
