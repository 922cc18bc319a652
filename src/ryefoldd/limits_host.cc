#include "ryefoldd/limits_host.h"

#include <chrono>
#include <functional>
#include <optional>
#include <utility>

#include "ryefold/task/clock.h"
#include "ryefold/wire/limits_codec.h"

namespace ryefold::ryefoldd {
namespace {

using core::Event;
using core::EventPriority;
using core::limits::AllowanceAnswer;
using core::limits::AllowanceRequest;
using core::limits::ShardOwner;
using core::limits::ShardTable;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using task::BootTime;
using task::ToSteadyClock;

/// Pace at which the writer of the table looks whether another one is due.
constexpr milliseconds kMaintainPace{1000};

}  // namespace

LimitsHost::LimitsHost(const ShardOwner& self, Surroundings surroundings)
    : surroundings_(std::move(surroundings)),
      shards_(surroundings_.store),
      ledger_(BootTime(), self, surroundings_.ledger, surroundings_.events),
      limiter_(self, std::hash<std::string>()(self.instance), &ledger_, this,
               this, surroundings_.events, surroundings_.ledger.order) {
  surroundings_.peers->Serve(
      wire::kPeerAllowance,
      [this](const wire::PeerCall& call) { OnQuestion(call); });
  Maintain();
}

LimitsHost::~LimitsHost() { surroundings_.loop->Cancel(timer_); }

void LimitsHost::OnItems(const core::mirror::EntryMap& items,
                         const core::mirror::EntryMap& changed) {
  const core::TimePoint now = BootTime();
  const uint64_t version = surroundings_.proxy->route_version();
  if (version != config_version_) {
    config_version_ = version;
    const auto& workspaces = surroundings_.proxy->workspaces().all();
    limiter_.SetConfiguration(version, workspaces);
    ledger_.Retain(now, workspaces);
  }
  if (!shards_.OnEntriesChanged(items, changed)) return;
  const ShardTable table = shards_.table().value_or(ShardTable());
  Event(surroundings_.events, EventPriority::kState, "limit_owners_known")
      .Add("table", table.number)
      .Add("shards", table.shards.size());
  ledger_.SetTable(now, table);
  limiter_.SetTable(table);
  assigner_.SetTable(now, shards_.table());
}

void LimitsHost::SetInstances(const std::vector<ShardOwner>& instances) {
  assigner_.SetInstances(BootTime(), instances);
}

void LimitsHost::Maintain() {
  timer_ = surroundings_.loop->At(steady_clock::now() + kMaintainPace,
                                  [this] { Maintain(); });
  if (!surroundings_.proxy->workspaces().keys_required()) return;
  if (!surroundings_.holds_duty()) return;
  const std::optional<ShardTable> due = assigner_.NextTable(BootTime());
  if (!due.has_value()) return;
  Event(surroundings_.events, EventPriority::kState, "limit_owners_assigned")
      .Add("table", due->number)
      .Add("shards", due->shards.size());
  shards_.Write(*due);
}

void LimitsHost::RequestAllowance(uint64_t call, const ShardOwner& owner,
                                  const AllowanceRequest& request,
                                  core::TimePoint deadline) {
  wire::PeerClient* peer = surroundings_.peers->To(owner.instance);
  if (peer == nullptr) {
    surroundings_.loop->Post([this, call] { Answered(call, {}); });
    return;
  }
  wire::CallTerms terms;
  terms.deadline = ToSteadyClock(deadline);
  terms.alive_by = terms.deadline;
  peer->Call(std::string(wire::kPeerAllowance),
             wire::WriteAllowanceRequest(request), terms,
             [this, call](const wire::PeerResult& result) {
               // Never from within `RequestAllowance`.
               surroundings_.loop->Post(
                   [this, call, result] { Answered(call, result); });
             });
}

void LimitsHost::Answered(uint64_t call, const wire::PeerResult& result) {
  std::optional<AllowanceAnswer> answer;
  if (result.status == wire::CallStatus::kOk) {
    answer = wire::ReadAllowanceAnswer(result.body);
  }
  limiter_.AllowanceAnswered(BootTime(), call, answer);
  surroundings_.turn();
}

void LimitsHost::OnQuestion(const wire::PeerCall& call) {
  std::optional<AllowanceRequest> request =
      wire::ReadAllowanceRequest(call.body());
  if (!request.has_value()) {
    Event(surroundings_.events, EventPriority::kState,
          "allowance_request_unreadable")
        .Add("bytes", call.body().size());
    call.Refuse();
    return;
  }
  core::limits::UseNewerLimit(
      config_version_, surroundings_.proxy->workspaces().all(), &*request);
  call.Reply(wire::WriteAllowanceAnswer(ledger_.Grant(BootTime(), *request)));
}

void LimitsHost::OperationAllowed(core::TimePoint now,
                                  core::limits::OperationId operation) {
  surroundings_.proxy->OperationAllowed(now, operation);
}

void LimitsHost::OperationRefused(core::TimePoint now,
                                  core::limits::OperationId operation,
                                  const core::limits::LimitAnswer& answer) {
  surroundings_.proxy->OperationRefused(now, operation, answer);
}

}  // namespace ryefold::ryefoldd
