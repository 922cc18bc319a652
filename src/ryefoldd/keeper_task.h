#pragma once

// The keeper task: the peer port, the keepers of this instance and their
// connections to databases.

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "ryefold/task/supervisor.h"
#include "ryefold/wire/http.h"
#include "ryefold/wire/peer.h"
#include "ryefoldd/group_host.h"
#include "ryefoldd/messages.h"

namespace ryefold::ryefoldd {

class KeeperTask : public task::Task {
 public:
  explicit KeeperTask(Wiring* wiring);
  ~KeeperTask() override;

  void Start(task::Loop* loop) override;
  void Stop() override;

 private:
  void OnMessage(KeeperMessage message);
  void OnPeerCall(const wire::PeerCall& call);
  void OnPeerStatement(const wire::PeerCall& call);
  void OnPeerSettle(const wire::PeerCall& call);
  void OnPeerControl(const wire::PeerCall& call);

  /// The host of a group, made on first use; null when the group is not in
  /// the catalog or this instance is leaving.
  GroupHost* HostFor(const std::string& group);
  void Statement(core::StatementRequest request,
                 const GroupHost::Respond& respond);
  void Settle(core::SettleRequest request, const GroupHost::Respond& respond);
  void Apply(const CatalogPtr& catalog);
  void ApplyDuties(const std::vector<std::string>& keep);
  /// Tells control that entries ask for a group which is not a duty here.
  void NoteAsked(const std::string& group);
  void Sweep();
  std::vector<core::group::KeeperView> Views() const;

  Wiring* wiring_;
  task::Loop* loop_ = nullptr;
  CatalogPtr catalog_;
  bool draining_ = false;
  std::unique_ptr<wire::HttpClient> control_;
  std::unique_ptr<wire::PeerServer> peers_;
  std::unordered_map<std::string, std::unique_ptr<GroupHost>> hosts_;
  std::unordered_set<std::string> keep_;
  std::unordered_map<std::string, core::TimePoint> asked_quiet_until_;
  std::unordered_map<uint64_t, wire::PeerCall> control_calls_;
  uint64_t next_control_call_ = 1;
};

}  // namespace ryefold::ryefoldd
