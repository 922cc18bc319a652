#include "ryefoldd/control_task.h"

#include <glog/logging.h>

#include <chrono>
#include <optional>
#include <random>
#include <utility>
#include <variant>

#include "ryefold/wire/exchange_codec.h"
#include "ryefold/wire/platform_codec.h"

namespace ryefold::ryefoldd {
namespace {

namespace configuration = core::configuration;
namespace membership = core::membership;
using std::chrono::milliseconds;

constexpr milliseconds kSweepEvery{500};
/// Peers that were not called for this many sweeps lose their link.
constexpr int kSweepsPerDrop = 240;

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

membership::Member SelfOf(const settings::InstanceSettings& settings) {
  membership::Member self;
  self.name = settings.name;
  self.address = settings.caller_address;
  self.peer_address = settings.peer_address;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  return self;
}

}  // namespace

ControlTask::ControlTask(Wiring* wiring) : wiring_(wiring) {}
ControlTask::~ControlTask() = default;

void ControlTask::Start(task::Loop* loop) {
  loop_ = loop;
  store_ = std::make_unique<wire::HttpClient>(loop->base());
  peers_ = std::make_unique<PeerPool>(loop);
  timer_ = std::make_unique<task::DeadlineTimer>(loop, [this] {
    DriveDuties(membership::DutyTick{});
    DriveNode(configuration::Tick{});
  });
  configuration::NodeOptions options;
  options.self = SelfOf(wiring_->settings);
  options.seeds = wiring_->settings.seeds;
  options.seed = std::random_device()();
  node_ = std::make_unique<configuration::Node>(options);
  duties_ =
      std::make_unique<membership::Duties>(wiring_->settings.name, &roster_);
  wiring_->control.Open(
      loop, [this](ControlMessage message) { OnMessage(std::move(message)); });
  DriveNode(configuration::Started{});
  Sweep();
}

void ControlTask::Stop() {
  wiring_->control.Close();
  timer_.reset();
  peers_.reset();
  store_.reset();
  duties_.reset();
  node_.reset();
}

void ControlTask::OnMessage(ControlMessage message) {
  if (auto* asked = std::get_if<PeerAsked>(&message)) {
    OnPeerAsked(*asked);
  } else if (auto* admin = std::get_if<AdminAsked>(&message)) {
    OnAdmin(*admin);
  } else if (auto* suspected = std::get_if<InstanceSuspected>(&message)) {
    OnSuspicion(suspected->instance, /*failed=*/true);
  } else if (auto* trusted = std::get_if<InstanceTrusted>(&message)) {
    OnSuspicion(trusted->instance, /*failed=*/false);
  } else if (auto* group = std::get_if<GroupAsked>(&message)) {
    std::vector<membership::DutyAction> actions;
    duties_->AcceptRequest(Now(), group->group, &actions);
    PerformDuties(actions);
    // Also when nothing changed: the keeper task began to keep the group on
    // the entry's word and has to hear if it may not.
    SendDuties();
  } else if (auto* report = std::get_if<KeepersReported>(&message)) {
    OnKeepers(*report);
  } else if (std::holds_alternative<TaskStarted>(message)) {
    ShareAll();
  } else if (std::holds_alternative<BeginDrain>(message)) {
    retired_ = true;
    DriveNode(configuration::Leaving{});
    DriveDuties(membership::Retire{});
  }
}

void ControlTask::OnPeerAsked(const PeerAsked& asked) {
  std::optional<configuration::PeerRequest> request =
      wire::ReadPeerControlRequest(asked.path, asked.body);
  if (!request) {
    wiring_->keeper.Send(ControlReplied{asked.tag, {}});
    return;
  }
  if (const auto* check = std::get_if<configuration::DutyCheck>(&*request)) {
    const configuration::DutyReply reply = duties_->AnswerCheck(*check);
    wiring_->keeper.Send(
        ControlReplied{asked.tag, wire::WritePeerAnswer(reply)});
    return;
  }
  DriveNode(configuration::PeerCalled{asked.tag, std::move(*request)});
}

void ControlTask::OnSuspicion(const std::string& instance, bool failed) {
  const core::TimePoint now = Now();
  const bool before = roster_.IsSuspected(now, instance);
  if (failed) {
    roster_.Suspect(now, instance);
  } else {
    roster_.Trust(instance);
  }
  if (before == roster_.IsSuspected(now, instance)) return;
  LOG(INFO) << "event=" << (failed ? "instance_suspected" : "instance_trusted")
            << " instance=" << instance;
  ShareRoster();
  DriveDuties(membership::RosterChanged{});
}

void ControlTask::DriveNode(configuration::Event event) {
  events_.push_back(std::move(event));
  if (driving_) return;
  driving_ = true;
  std::vector<configuration::Action> actions;
  while (!events_.empty()) {
    const configuration::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    node_->Handle(Now(), next, &actions);
    for (const configuration::Action& action : actions) PerformNode(action);
  }
  driving_ = false;
  ShareReadiness();
  Arm();
}

void ControlTask::PerformNode(const configuration::Action& action) {
  if (const auto* store = std::get_if<configuration::StoreCall>(&action)) {
    CallStore(*store);
  } else if (const auto* peer = std::get_if<configuration::CallPeer>(&action)) {
    CallPeer(*peer);
  } else if (const auto* reply =
                 std::get_if<configuration::ReplyToPeer>(&action)) {
    wiring_->keeper.Send(
        ControlReplied{reply->tag, wire::WritePeerAnswer(reply->answer)});
  } else if (const auto* changed =
                 std::get_if<configuration::DocumentsChanged>(&action)) {
    LOG(INFO) << "event=configuration_in_force revision=" << changed->revision
              << " keys=" << changed->keys.size();
    BuildCatalog();
  } else if (std::holds_alternative<configuration::MembersChanged>(action)) {
    roster_.SetMembers(node_->members());
    LOG(INFO) << "event=list_changed version=" << node_->list_version();
    ShareRoster();
    BuildCatalog();
    DriveDuties(membership::RosterChanged{});
  } else {
    AnswerOperator(action);
  }
}

void ControlTask::CallStore(const configuration::StoreCall& action) {
  const std::vector<std::string>& platform = wiring_->settings.platform;
  const std::string& address = platform[platform_ % platform.size()];
  const wire::PlatformCall call = wire::WriteStoreRequest(action.request);
  const configuration::CallId id = action.call;
  const configuration::StoreRequest request = action.request;
  store_->Call(
      address, call.method, call.path, call.body, action.deadline,
      [this, id, request, path = call.path](const wire::HttpResult& result) {
        std::optional<configuration::StoreAnswer> answer;
        if (result.status == wire::CallStatus::kOk) {
          answer = wire::ReadStoreAnswer(request, result.code, result.body);
        }
        wiring_->metrics.StoreCall(path, answer.has_value());
        if (answer) {
          DriveNode(configuration::StoreAnswered{id, std::move(*answer)});
          return;
        }
        // Another of the platform's addresses may still answer.
        ++platform_;
        DriveNode(configuration::StoreFailed{id});
      });
}

void ControlTask::CallPeer(const configuration::CallPeer& action) {
  const configuration::CallId id = action.call;
  const std::string path(wire::PathOf(action.request));
  peers_->At(action.address)
      ->Call(
          path, wire::WritePeerRequest(action.request), action.deadline,
          [this, id, path](const wire::PeerResult& result) {
            if (result.status == wire::CallStatus::kOk) {
              if (auto answer =
                      wire::ReadPeerControlAnswer(path, result.body)) {
                DriveNode(configuration::PeerAnswered{id, std::move(*answer)});
                return;
              }
            }
            DriveNode(configuration::PeerFailed{id});
          });
}

void ControlTask::BuildCatalog() {
  unresolved_.clear();
  catalog_ = view_.Build(node_->revision(), node_->documents(),
                         node_->members(), &unresolved_);
  for (const wire::Finding& finding : unresolved_) {
    LOG(WARNING) << "event=document_unresolved finding=\""
                 << wire::ToText(finding) << "\"";
  }
  wiring_->entry.Send(CatalogInForce{catalog_});
  wiring_->keeper.Send(CatalogInForce{catalog_});
  membership::GroupsChanged groups;
  for (const auto& [name, group] : catalog_->groups) {
    groups.groups.push_back(name);
  }
  DriveDuties(groups);
}

void ControlTask::DriveDuties(const membership::DutyEvent& event) {
  std::vector<membership::DutyAction> actions;
  duties_->Handle(Now(), event, &actions);
  PerformDuties(actions);
}

void ControlTask::PerformDuties(
    const std::vector<membership::DutyAction>& actions) {
  bool changed = false;
  for (const membership::DutyAction& action : actions) {
    if (const auto* check = std::get_if<membership::CheckKeeper>(&action)) {
      SendCheck(*check);
    } else {
      changed = true;
    }
  }
  if (changed) SendDuties();
  Arm();
}

void ControlTask::SendCheck(const membership::CheckKeeper& action) {
  const membership::CallId id = action.call;
  peers_->At(action.address)
      ->Call(std::string(wire::kPeerDuty),
             wire::WritePeerRequest(configuration::PeerRequest(action.request)),
             action.deadline, [this, id](const wire::PeerResult& result) {
               if (result.status == wire::CallStatus::kOk) {
                 auto answer =
                     wire::ReadPeerControlAnswer(wire::kPeerDuty, result.body);
                 if (answer && std::holds_alternative<configuration::DutyReply>(
                                   *answer)) {
                   DriveDuties(membership::CheckAnswered{
                       id, std::get<configuration::DutyReply>(*answer)});
                   return;
                 }
               }
               const bool refused = result.status == wire::CallStatus::kNotSent;
               DriveDuties(membership::CheckFailed{id, refused});
             });
}

void ControlTask::SendDuties() {
  wiring_->keeper.Send(DutiesChanged{duties_->kept_groups()});
}

void ControlTask::ShareRoster() {
  wiring_->entry.Send(
      RosterChanged{std::make_shared<const membership::Roster>(roster_)});
}

void ControlTask::ShareReadiness() {
  const bool ready = node_->IsReady(Now()) && catalog_ != nullptr;
  if (ready == ready_) return;
  ready_ = ready;
  LOG(INFO) << "event=" << (ready ? "ready" : "not_ready")
            << " revision=" << node_->revision();
  wiring_->entry.Send(ReadinessChanged{ready_});
}

void ControlTask::ShareAll() {
  ShareRoster();
  wiring_->entry.Send(ReadinessChanged{ready_});
  if (!catalog_) return;
  wiring_->entry.Send(CatalogInForce{catalog_});
  wiring_->keeper.Send(CatalogInForce{catalog_});
  SendDuties();
}

void ControlTask::Arm() {
  timer_->ArmFor(std::min(node_->next_deadline(), duties_->next_deadline()));
}

void ControlTask::Sweep() {
  ShareReadiness();
  wiring_->metrics.Configuration(node_->revision(), ready_);
  wiring_->metrics.ControlBytes(peers_->bytes_sent(), peers_->bytes_received());
  if (++sweeps_ % kSweepsPerDrop == 0) peers_->DropUnused();
  loop_->At(Now() + kSweepEvery, [this] { Sweep(); });
}

}  // namespace ryefold::ryefoldd
