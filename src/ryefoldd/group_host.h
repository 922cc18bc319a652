#pragma once

// One keeper with its connections and its timer, inside the keeper task.

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "ryefold/core/group/keeper.h"
#include "ryefold/core/policy.h"
#include "ryefold/task/deadline_timer.h"
#include "ryefold/task/loop.h"
#include "ryefold/wire/http.h"
#include "ryefoldd/database_link.h"
#include "ryefoldd/metrics.h"

namespace ryefold::ryefoldd {

/// Hands events to the keeper and carries out its actions.
class GroupHost {
 public:
  using Respond = std::function<void(const core::StatementAnswer&)>;
  struct Identity {
    std::string instance;
    std::string failure_domain;
    core::group::KeeperTiming timing;
    uint64_t seed = 0;
  };

  GroupHost(task::Loop* loop, wire::HttpClient* control, Metrics* metrics,
            const Identity& identity, const core::Catalog& catalog,
            const std::string& group);
  GroupHost(const GroupHost&) = delete;
  GroupHost& operator=(const GroupHost&) = delete;

  /// Takes a request; `respond` is called exactly once unless the host goes.
  /// Returns a tag for `Abandon`.
  uint64_t Statement(core::StatementRequest request, Respond respond);
  uint64_t Settle(core::SettleRequest request, Respond respond);
  void Abandon(uint64_t tag);

  void Apply(const core::Catalog& catalog);
  void Keep(bool intended);

  bool idle() const;
  size_t in_progress() const { return waiting_.size(); }
  core::group::KeeperView view() const;

 private:
  struct Waiting {
    Respond respond;
    std::string workspace;
    std::string request_id;
    core::TimePoint arrived;
  };

  void Drive(core::group::Event event);
  void Perform(const core::group::Action& action);
  void NoteDequeued(const core::ExecuteCall& call);
  uint32_t PriorityOf(const std::string& workspace) const;

  Metrics* metrics_;
  std::string group_;
  bool intended_ = true;
  DatabaseLink link_;
  std::unordered_map<std::string, uint32_t> priorities_;
  std::unordered_map<uint64_t, Waiting> waiting_;
  /// Arrival of requests that have not been sent yet, for the queue histogram.
  std::unordered_map<std::string, core::TimePoint> queued_;
  uint64_t next_tag_ = 1;
  std::deque<core::group::Event> events_;
  bool driving_ = false;
  task::DeadlineTimer timer_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  core::group::Keeper keeper_;
};

/// What a keeper needs of the catalog: its group and that group's workspaces.
core::GroupSpec GroupOf(const core::Catalog& catalog, const std::string& group);
std::vector<core::WorkspacePolicy> WorkspacesOf(const core::Catalog& catalog,
                                                const std::string& group);

}  // namespace ryefold::ryefoldd
