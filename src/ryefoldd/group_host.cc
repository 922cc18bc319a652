#include "ryefoldd/group_host.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace ryefold::ryefoldd {
namespace {

using core::TimePoint;
using std::chrono::microseconds;

TimePoint Now() { return std::chrono::steady_clock::now(); }

/// Request ids are unique within a workspace only.
std::string QueueKey(const std::string& workspace,
                     const std::string& request_id) {
  return workspace + '\n' + request_id;
}

std::map<std::string, std::string> AddressesOf(const core::GroupSpec& group) {
  std::map<std::string, std::string> addresses;
  for (const core::DatabaseSpec& database : group.databases) {
    if (!database.address.empty()) {
      addresses[database.database] = database.address;
    }
  }
  return addresses;
}

}  // namespace

core::GroupSpec GroupOf(const core::Catalog& catalog,
                        const std::string& group) {
  const auto found = catalog.groups.find(group);
  if (found != catalog.groups.end()) return found->second;
  core::GroupSpec empty;
  empty.group = group;
  return empty;
}

std::vector<core::WorkspacePolicy> WorkspacesOf(const core::Catalog& catalog,
                                                const std::string& group) {
  std::vector<core::WorkspacePolicy> workspaces;
  for (const auto& [name, workspace] : catalog.workspaces) {
    if (workspace.group == group) workspaces.push_back(workspace.policy);
  }
  return workspaces;
}

GroupHost::GroupHost(task::Loop* loop, wire::HttpClient* control,
                     Metrics* metrics, const Identity& identity,
                     const core::Catalog& catalog, const std::string& group)
    : metrics_(metrics),
      group_(group),
      link_(loop, control,
            [this](const core::group::Event& event) { Drive(event); }),
      timer_(loop, [this] { Drive(core::group::Tick{}); }),
      keeper_(GroupOf(catalog, group), WorkspacesOf(catalog, group),
              identity.instance, identity.failure_domain, identity.timing,
              identity.seed) {
  Apply(catalog);
}

void GroupHost::Apply(const core::Catalog& catalog) {
  const core::GroupSpec group = GroupOf(catalog, group_);
  std::vector<core::WorkspacePolicy> workspaces = WorkspacesOf(catalog, group_);
  priorities_.clear();
  for (const core::WorkspacePolicy& workspace : workspaces) {
    priorities_[workspace.workspace] = workspace.priority;
  }
  link_.SetAddresses(AddressesOf(group));
  Drive(core::group::PolicyChanged{group, std::move(workspaces)});
}

void GroupHost::Keep(bool intended) {
  if (intended == intended_) return;
  intended_ = intended;
  LOG(INFO) << "event=" << (intended ? "keep" : "step_down")
            << " group=" << group_;
  if (intended) {
    Drive(core::group::StepUp{});
  } else {
    Drive(core::group::StepDown{});
  }
}

uint64_t GroupHost::Statement(core::StatementRequest request, Respond respond) {
  const uint64_t tag = next_tag_++;
  const TimePoint now = Now();
  waiting_[tag] =
      Waiting{std::move(respond), request.workspace, request.request_id, now};
  queued_[QueueKey(request.workspace, request.request_id)] = now;
  Drive(core::group::RequestArrived{tag, std::move(request)});
  return tag;
}

uint64_t GroupHost::Settle(core::SettleRequest request, Respond respond) {
  const uint64_t tag = next_tag_++;
  waiting_[tag] =
      Waiting{std::move(respond), request.workspace, request.request_id, Now()};
  Drive(core::group::SettleArrived{tag, std::move(request)});
  return tag;
}

void GroupHost::Abandon(uint64_t tag) {
  Drive(core::group::RequestAbandoned{tag});
}

bool GroupHost::idle() const {
  return waiting_.empty() && keeper_.HasSteppedDown();
}

core::group::KeeperView GroupHost::view() const { return keeper_.view(Now()); }

void GroupHost::Drive(core::group::Event event) {
  events_.push_back(std::move(event));
  if (driving_) return;
  driving_ = true;
  std::vector<core::group::Action> actions;
  while (!events_.empty()) {
    const core::group::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    keeper_.Handle(Now(), next, &actions);
    for (const core::group::Action& action : actions) Perform(action);
  }
  driving_ = false;
  timer_.ArmFor(keeper_.next_deadline());
}

void GroupHost::Perform(const core::group::Action& action) {
  if (const auto* respond = std::get_if<core::group::Respond>(&action)) {
    const auto found = waiting_.find(respond->tag);
    if (found == waiting_.end()) return;
    Waiting waiting = std::move(found->second);
    waiting_.erase(found);
    queued_.erase(QueueKey(waiting.workspace, waiting.request_id));
    waiting.respond(respond->answer);
  } else if (const auto* open =
                 std::get_if<core::group::OpenConnection>(&action)) {
    link_.Open(*open);
  } else if (const auto* close =
                 std::get_if<core::group::CloseConnection>(&action)) {
    link_.Close(*close);
  } else if (const auto* execute = std::get_if<core::group::Execute>(&action)) {
    NoteDequeued(execute->call);
    link_.Execute(*execute);
  } else if (const auto* control = std::get_if<core::group::Control>(&action)) {
    link_.Control(*control);
  }
}

void GroupHost::NoteDequeued(const core::ExecuteCall& call) {
  const auto queued = queued_.find(QueueKey(call.workspace, call.request_id));
  if (queued == queued_.end()) return;
  const auto waited =
      std::chrono::duration_cast<microseconds>(Now() - queued->second);
  queued_.erase(queued);
  metrics_->Dequeued(call.workspace, PriorityOf(call.workspace), waited);
}

uint32_t GroupHost::PriorityOf(const std::string& workspace) const {
  const auto found = priorities_.find(workspace);
  return found == priorities_.end() ? 0 : found->second;
}

}  // namespace ryefold::ryefoldd
