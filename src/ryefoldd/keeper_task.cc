#include "ryefoldd/keeper_task.h"

#include <glog/logging.h>

#include <chrono>
#include <optional>
#include <random>
#include <stdexcept>
#include <utility>
#include <variant>

#include "ryefold/wire/peer_codec.h"

namespace ryefold::ryefoldd {
namespace {

using std::chrono::milliseconds;

/// How often figures for /metrics are refreshed and idle hosts looked for.
constexpr milliseconds kSweepEvery{200};
/// When a caller should come back to a group that nobody serves here.
constexpr milliseconds kRetryElsewhere{50};
/// Entries' interest in a group that is no duty is reported this often.
constexpr milliseconds kAskedEvery{1000};

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

core::StatementAnswer Refused(core::Reason reason) {
  return core::StatementAnswer::NotRun(core::NotRunProof::NeverSent(), reason,
                                       kRetryElsewhere);
}

}  // namespace

KeeperTask::KeeperTask(Wiring* wiring) : wiring_(wiring) {}
KeeperTask::~KeeperTask() = default;

void KeeperTask::Start(task::Loop* loop) {
  loop_ = loop;
  control_ = std::make_unique<wire::HttpClient>(loop->base());
  peers_ = std::make_unique<wire::PeerServer>(
      loop->base(), [this](const wire::PeerCall& call) { OnPeerCall(call); });
  const std::string problem = peers_->Listen(wiring_->settings.peer_address);
  if (!problem.empty()) throw std::runtime_error("peer port: " + problem);
  wiring_->keeper.Open(
      loop, [this](KeeperMessage message) { OnMessage(std::move(message)); });
  wiring_->peers_listening = true;
  wiring_->control.Send(TaskStarted{});
  Sweep();
}

void KeeperTask::Stop() {
  wiring_->keeper.Close();
  control_calls_.clear();
  hosts_.clear();
  peers_.reset();
  control_.reset();
}

void KeeperTask::OnMessage(KeeperMessage message) {
  if (auto* catalog = std::get_if<CatalogInForce>(&message)) {
    Apply(catalog->catalog);
  } else if (auto* statement = std::get_if<LocalStatement>(&message)) {
    const uint64_t call = statement->call;
    Statement(std::move(statement->request),
              [this, call](const core::StatementAnswer& answer) {
                wiring_->entry.Send(LocalAnswered{call, answer});
              });
  } else if (auto* settle = std::get_if<LocalSettle>(&message)) {
    const uint64_t call = settle->call;
    Settle(std::move(settle->request),
           [this, call](const core::StatementAnswer& answer) {
             wiring_->entry.Send(LocalAnswered{call, answer});
           });
  } else if (std::holds_alternative<LocalProbe>(message)) {
    wiring_->entry.Send(LocalAlive{});
  } else if (auto* duties = std::get_if<DutiesChanged>(&message)) {
    ApplyDuties(duties->keep);
  } else if (auto* reply = std::get_if<ControlReplied>(&message)) {
    const auto call = control_calls_.find(reply->tag);
    if (call == control_calls_.end()) return;
    call->second.Reply(reply->body);
    control_calls_.erase(call);
  } else if (auto* status = std::get_if<StatusAsked>(&message)) {
    wiring_->control.Send(KeepersReported{status->tag, Views()});
  } else if (std::holds_alternative<BeginDrain>(message)) {
    draining_ = true;
    for (auto& [group, host] : hosts_) host->Keep(false);
  }
}

void KeeperTask::OnPeerCall(const wire::PeerCall& call) {
  if (call.path() == wire::kPeerStatement) {
    OnPeerStatement(call);
  } else if (call.path() == wire::kPeerSettle) {
    OnPeerSettle(call);
  } else if (call.path() == wire::kPeerAlive) {
    call.Reply({});
  } else {
    OnPeerControl(call);
  }
}

void KeeperTask::OnPeerStatement(const wire::PeerCall& call) {
  std::optional<core::StatementRequest> request =
      wire::ReadPeerRequest(Now(), call.body());
  if (!request) {
    call.Refuse();
    return;
  }
  Statement(std::move(*request), [call](const core::StatementAnswer& answer) {
    call.Reply(wire::WritePeerAnswer(answer));
  });
}

void KeeperTask::OnPeerSettle(const wire::PeerCall& call) {
  std::optional<core::SettleRequest> request =
      wire::ReadPeerSettle(Now(), call.body());
  if (!request) {
    call.Refuse();
    return;
  }
  Settle(std::move(*request), [call](const core::StatementAnswer& answer) {
    call.Reply(wire::WritePeerAnswer(answer));
  });
}

void KeeperTask::OnPeerControl(const wire::PeerCall& call) {
  const uint64_t tag = next_control_call_++;
  if (!wiring_->control.Send(PeerAsked{tag, call.path(), call.body()})) {
    call.Refuse();
    return;
  }
  control_calls_.emplace(tag, call);
  call.OnGone([this, tag] { control_calls_.erase(tag); });
}

GroupHost* KeeperTask::HostFor(const std::string& group) {
  const auto found = hosts_.find(group);
  if (found != hosts_.end()) return found->second.get();
  if (draining_ || !catalog_ || catalog_->groups.count(group) == 0) {
    return nullptr;
  }
  const GroupHost::Identity identity{
      wiring_->settings.name, wiring_->settings.failure_domain,
      wiring_->settings.keeper, std::random_device()()};
  auto host = std::make_unique<GroupHost>(
      loop_, control_.get(), &wiring_->metrics, identity, *catalog_, group);
  LOG(INFO) << "event=keeper_started group=" << group;
  return hosts_.emplace(group, std::move(host)).first->second.get();
}

void KeeperTask::Statement(core::StatementRequest request,
                           const GroupHost::Respond& respond) {
  GroupHost* host = HostFor(request.group);
  if (host == nullptr) {
    respond(Refused(draining_ ? core::Reason::kShuttingDown
                              : core::Reason::kUnknownGroup));
    return;
  }
  NoteAsked(request.group);
  host->Statement(std::move(request), respond);
}

void KeeperTask::Settle(core::SettleRequest request,
                        const GroupHost::Respond& respond) {
  GroupHost* host = HostFor(request.group);
  if (host == nullptr) {
    // Not settled here says nothing about the statement itself.
    respond(core::StatementAnswer::Unknown(core::Reason::kNotReady));
    return;
  }
  host->Settle(std::move(request), respond);
}

void KeeperTask::Apply(const CatalogPtr& catalog) {
  catalog_ = catalog;
  for (auto& [group, host] : hosts_) {
    host->Apply(*catalog);
    if (catalog->groups.count(group) == 0) host->Keep(false);
  }
}

void KeeperTask::NoteAsked(const std::string& group) {
  if (keep_.count(group) > 0) return;
  core::TimePoint& quiet_until = asked_quiet_until_[group];
  const core::TimePoint now = Now();
  if (now < quiet_until) return;
  quiet_until = now + kAskedEvery;
  wiring_->control.Send(GroupAsked{group});
}

void KeeperTask::ApplyDuties(const std::vector<std::string>& keep) {
  if (draining_) return;
  keep_ = std::unordered_set<std::string>(keep.begin(), keep.end());
  for (auto& [group, host] : hosts_) host->Keep(keep_.count(group) > 0);
  for (const std::string& group : keep) HostFor(group);
}

void KeeperTask::Sweep() {
  uint64_t in_progress = 0;
  for (auto host = hosts_.begin(); host != hosts_.end();) {
    if (host->second->idle()) {
      LOG(INFO) << "event=keeper_ended group=" << host->first;
      host = hosts_.erase(host);
    } else {
      in_progress += host->second->in_progress();
      ++host;
    }
  }
  wiring_->metrics.Keepers(Views());
  wiring_->keeper_in_progress = in_progress;
  wiring_->keepers_open = hosts_.size();
  loop_->At(Now() + kSweepEvery, [this] { Sweep(); });
}

std::vector<core::group::KeeperView> KeeperTask::Views() const {
  std::vector<core::group::KeeperView> views;
  views.reserve(hosts_.size());
  for (const auto& [group, host] : hosts_) views.push_back(host->view());
  return views;
}

}  // namespace ryefold::ryefoldd
