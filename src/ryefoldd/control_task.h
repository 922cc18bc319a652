#pragma once

// The control task: configuration, membership and duties of this instance.

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ryefold/core/configuration/node.h"
#include "ryefold/core/membership/duties.h"
#include "ryefold/core/membership/roster.h"
#include "ryefold/task/deadline_timer.h"
#include "ryefold/task/supervisor.h"
#include "ryefold/wire/http.h"
#include "ryefold/wire/peer.h"
#include "ryefoldd/catalog_view.h"
#include "ryefoldd/messages.h"
#include "ryefoldd/peer_pool.h"

namespace ryefold::ryefoldd {

class ControlTask : public task::Task {
 public:
  explicit ControlTask(Wiring* wiring);
  ~ControlTask() override;

  void Start(task::Loop* loop) override;
  void Stop() override;

 private:
  void OnMessage(ControlMessage message);
  void OnPeerAsked(const PeerAsked& asked);
  void OnAdmin(const AdminAsked& asked);
  void OnKeepers(const KeepersReported& report);
  void OnDrainAsked(const AdminAsked& asked);
  void OnSuspicion(const std::string& instance, bool failed);
  /// Passes on what the node has found out for an operator.
  void AnswerOperator(const core::configuration::Action& action);
  void AnswerAdmin(uint64_t tag, int status, std::string body);

  // Configuration.
  void DriveNode(core::configuration::Event event);
  void PerformNode(const core::configuration::Action& action);
  void CallStore(const core::configuration::StoreCall& action);
  void CallPeer(const core::configuration::CallPeer& action);
  void BuildCatalog();

  // Duties.
  void DriveDuties(const core::membership::DutyEvent& event);
  void PerformDuties(const std::vector<core::membership::DutyAction>& actions);
  void SendCheck(const core::membership::CheckKeeper& action);
  void SendDuties();
  /// Gives the entry a copy of the roster as it is now.
  void ShareRoster();
  void ShareReadiness();
  /// Tells a task that has just started all it needs.
  void ShareAll();

  void Arm();
  void Sweep();

  Wiring* wiring_;
  task::Loop* loop_ = nullptr;
  std::unique_ptr<wire::HttpClient> store_;
  size_t platform_ = 0;
  std::unique_ptr<PeerPool> peers_;
  std::unique_ptr<core::configuration::Node> node_;
  core::membership::Roster roster_;
  std::unique_ptr<core::membership::Duties> duties_;
  CatalogView view_;
  CatalogPtr catalog_;
  wire::Findings unresolved_;
  bool ready_ = false;
  bool retired_ = false;
  std::deque<core::configuration::Event> events_;
  bool driving_ = false;
  int sweeps_ = 0;
  std::unique_ptr<task::DeadlineTimer> timer_;
  std::unordered_map<uint64_t, AdminAsked> status_asked_;
};

}  // namespace ryefold::ryefoldd
