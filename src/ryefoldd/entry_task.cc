#include "ryefoldd/entry_task.h"

#include <glog/logging.h>

#include <chrono>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <variant>

#include "ryefold/wire/caller_codec.h"
#include "ryefold/wire/peer_codec.h"

namespace ryefold::ryefoldd {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;
constexpr milliseconds kSweepEvery{200};
constexpr milliseconds kRetryWhenReady{500};
constexpr milliseconds kRankingFresh{200};
/// An answer to a probe later than this helps nobody.
constexpr milliseconds kProbeBound{2000};
/// More than these are never tried for one request.
constexpr size_t kRanksUsed = 8;
constexpr std::string_view kAdminPrefix = "/v1/admin/";

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

std::string RetryAfterSeconds(milliseconds retry_after) {
  // The header counts whole seconds; the body carries milliseconds.
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  return std::to_string(seconds.count());
}

std::optional<core::Step> StepOf(const std::string& path) {
  if (path == "/v1/statement") return core::Step::kStatement;
  if (path == "/v1/transaction/begin") return core::Step::kBegin;
  if (path == "/v1/transaction/commit") return core::Step::kCommit;
  if (path == "/v1/transaction/rollback") return core::Step::kRollback;
  return std::nullopt;
}

std::string FreshIdPrefix(const std::string& instance) {
  std::random_device random;
  std::ostringstream text;
  text << instance << '-' << std::hex << random() << random() << '-';
  return text.str();
}

}  // namespace

EntryTask::EntryTask(Wiring* wiring) : wiring_(wiring) {}
EntryTask::~EntryTask() = default;

void EntryTask::Start(task::Loop* loop) {
  loop_ = loop;
  id_prefix_ = FreshIdPrefix(wiring_->settings.name);
  forwarder_ = std::make_unique<core::entry::Forwarder>(
      [this](core::TimePoint now, const std::string& group) {
        return Ranked(now, group);
      },
      core::entry::ForwarderTiming{}, std::random_device()());
  server_ = std::make_unique<wire::HttpServer>(
      loop->base(), wiring_->settings.http,
      [this](const wire::HttpExchange& exchange) { OnRequest(exchange); });
  const std::string problem = server_->Listen(wiring_->settings.caller_address);
  if (!problem.empty()) throw std::runtime_error("callers' port: " + problem);
  wiring_->entry.Open(
      loop, [this](EntryMessage message) { OnMessage(std::move(message)); });
  wiring_->control.Send(TaskStarted{});
  wiring_->entry_listening = true;
  Sweep();
}

void EntryTask::Stop() {
  wiring_->entry.Close();
  forwarder_.reset();
  peers_.clear();
  waiting_.clear();
  admin_.clear();
  server_.reset();
}

void EntryTask::OnMessage(EntryMessage message) {
  if (auto* catalog = std::get_if<CatalogInForce>(&message)) {
    catalog_ = catalog->catalog;
  } else if (auto* local = std::get_if<LocalAnswered>(&message)) {
    if (local_calls_.erase(local->call) == 0) return;
    Drive(core::entry::PeerAnswered{local->call, std::move(local->answer)});
  } else if (std::holds_alternative<LocalAlive>(message)) {
    Drive(core::entry::ProbeAnswered{wiring_->settings.name});
  } else if (std::holds_alternative<KeeperTaskFailed>(message)) {
    LocalTaskFailed();
  } else if (auto* roster = std::get_if<RosterChanged>(&message)) {
    roster_ = roster->roster;
    ranked_.clear();
  } else if (auto* readiness = std::get_if<ReadinessChanged>(&message)) {
    ready_ = readiness->ready;
  } else if (auto* admin = std::get_if<AdminAnswered>(&message)) {
    OnAdminAnswer(*admin);
  } else if (std::holds_alternative<BeginDrain>(message)) {
    draining_ = true;
    server_->StopAccepting();
  }
}

void EntryTask::OnRequest(const wire::HttpExchange& exchange) {
  const std::string& path = exchange.path();
  if (const std::optional<core::Step> step = StepOf(path)) {
    if (exchange.method() != "POST") {
      Reject(exchange, kMethodNotAllowed, "use POST");
      return;
    }
    OnStatement(exchange, *step);
  } else if (path == "/healthz") {
    exchange.Reply({kOk, "{\"status\":\"ok\"}", "application/json", {}});
  } else if (path == "/readyz") {
    OnReady(exchange);
  } else if (path == "/metrics") {
    OnMetrics(exchange);
  } else if (path.compare(0, kAdminPrefix.size(), kAdminPrefix) == 0) {
    OnAdmin(exchange);
  } else {
    Reject(exchange, kNotFound, "no such path");
  }
}

void EntryTask::OnReady(const wire::HttpExchange& exchange) const {
  if (ready_ && !wiring_->leaving) {
    exchange.Reply({kOk, "{\"ready\":true}", "application/json", {}});
    return;
  }
  const char* why = wiring_->leaving ? "leaving" : "configuration not known";
  exchange.Reply({kUnavailable,
                  std::string("{\"ready\":false,\"why\":\"") + why + "\"}",
                  "application/json",
                  {}});
}

void EntryTask::OnMetrics(const wire::HttpExchange& exchange) const {
  exchange.Reply(
      {kOk, wiring_->metrics.Text(), "text/plain; version=0.0.4", {}});
}

void EntryTask::Reject(const wire::HttpExchange& exchange, int status,
                       const std::string& error) const {
  Reject(exchange, status, error, {});
}

void EntryTask::Reject(const wire::HttpExchange& exchange, int status,
                       const std::string& error,
                       const wire::Findings& findings) const {
  wiring_->metrics.Rejected(status);
  exchange.Reply(
      {status, wire::WriteError(error, findings), "application/json", {}});
}

void EntryTask::OnStatement(const wire::HttpExchange& exchange,
                            core::Step step) {
  const core::TimePoint now = Now();
  wire::Findings findings;
  wire::CallerRequest caller =
      wire::ReadCallerRequest(now, step, exchange.body(), &findings);
  if (!findings.empty()) {
    Reject(exchange, kBadRequest, "the request has findings", findings);
    return;
  }
  if (!catalog_) {
    exchange.Reply({kUnavailable,
                    wire::WriteError("not ready: configuration not known", {}),
                    "application/json",
                    {{"Retry-After", RetryAfterSeconds(kRetryWhenReady)}}});
    return;
  }
  core::StatementRequest& request = caller.request;
  const core::WorkspaceSpec* workspace = access_.Check(
      *catalog_, request.workspace, exchange.header("authorization"));
  if (workspace == nullptr) {
    Reject(exchange, kUnauthorized, "unknown workspace or wrong key");
    return;
  }
  if (request.group.empty()) request.group = workspace->group;
  if (request.group != workspace->group) {
    Reject(exchange, kForbidden, "the workspace does not belong to this group");
    return;
  }
  const uint64_t tag = next_tag_++;
  if (request.request_id.empty()) {
    request.request_id = id_prefix_ + std::to_string(tag);
  }
  const core::session::Need need =
      core::session::NeedOf(caller.token, request.group);
  request.seen = need.seen;
  // The token had no room for what it saw in this group; only data of age 0
  // is sure to hold it.
  if (need.current) request.max_age = milliseconds(0);
  waiting_.emplace(tag, Waiting{exchange, request.group, request.workspace,
                                request.request_id, std::move(caller.token),
                                workspace->policy.priority, now});
  exchange.OnGone([this, tag] { Drive(core::entry::RequestAbandoned{tag}); });
  Drive(core::entry::RequestArrived{tag, std::move(request)});
}

void EntryTask::OnAdmin(const wire::HttpExchange& exchange) {
  if (!IsOperator(wiring_->settings.admin_key,
                  exchange.header("authorization"))) {
    Reject(exchange, kUnauthorized, "wrong or missing operators' key");
    return;
  }
  const uint64_t tag = next_tag_++;
  admin_.emplace(tag, exchange);
  exchange.OnGone([this, tag] { admin_.erase(tag); });
  AdminAsked asked{tag,
                   exchange.method(),
                   exchange.path(),
                   exchange.query("prefix"),
                   exchange.query("key"),
                   exchange.query("revision"),
                   exchange.body()};
  if (!wiring_->control.Send(std::move(asked))) {
    admin_.erase(tag);
    Reject(exchange, kUnavailable, "too many operators' calls waiting");
  }
}

void EntryTask::OnAdminAnswer(const AdminAnswered& answer) {
  const auto found = admin_.find(answer.tag);
  if (found == admin_.end()) return;
  const wire::HttpExchange exchange = found->second;
  admin_.erase(found);
  exchange.Reply({answer.status, answer.body, "application/json", {}});
}

void EntryTask::Drive(core::entry::Event event) {
  events_.push_back(std::move(event));
  if (driving_) return;
  driving_ = true;
  std::vector<core::entry::Action> actions;
  while (!events_.empty()) {
    const core::entry::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    forwarder_->Handle(Now(), next, &actions);
    for (const core::entry::Action& action : actions) Perform(action);
  }
  driving_ = false;
  Arm();
}

void EntryTask::Perform(const core::entry::Action& action) {
  if (const auto* respond = std::get_if<core::entry::Respond>(&action)) {
    Respond(*respond);
  } else if (const auto* forward = std::get_if<core::entry::Forward>(&action)) {
    Forward(*forward);
  } else if (const auto* settle = std::get_if<core::entry::Settle>(&action)) {
    Settle(*settle);
  } else if (const auto* suspect = std::get_if<core::entry::Suspect>(&action)) {
    wiring_->control.Send(InstanceSuspected{suspect->instance});
  } else if (const auto* trust = std::get_if<core::entry::Trust>(&action)) {
    wiring_->control.Send(InstanceTrusted{trust->instance});
  } else if (const auto* probe = std::get_if<core::entry::Probe>(&action)) {
    Probe(*probe);
  }
}

void EntryTask::Respond(const core::entry::Respond& action) {
  const auto found = waiting_.find(action.tag);
  if (found == waiting_.end()) return;
  Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  core::session::Advance(&waiting.token, waiting.group, action.answer.seen());
  wire::HttpReply reply;
  reply.status = wire::StatusOf(action.answer);
  reply.body =
      wire::WriteCallerAnswer(action.answer, waiting.request_id, waiting.token);
  if (action.answer.kind() == core::OutcomeKind::kNotRun) {
    reply.headers["Retry-After"] =
        RetryAfterSeconds(action.answer.retry_after());
  }
  const auto latency =
      std::chrono::duration_cast<microseconds>(Now() - waiting.arrived);
  wiring_->metrics.Answered(waiting.workspace, waiting.priority, action.answer,
                            latency);
  waiting.exchange.Reply(reply);
}

void EntryTask::Forward(const core::entry::Forward& action) {
  if (action.instance == wiring_->settings.name) {
    CallLocal(action.call, LocalStatement{action.call, action.request});
    return;
  }
  CallPeer(action.call, action.instance, wire::kPeerStatement,
           wire::WritePeerRequest(Now(), action.request),
           action.request.deadline);
}

void EntryTask::Settle(const core::entry::Settle& action) {
  if (action.instance == wiring_->settings.name) {
    CallLocal(action.call, LocalSettle{action.call, action.request});
    return;
  }
  CallPeer(action.call, action.instance, wire::kPeerSettle,
           wire::WritePeerSettle(Now(), action.request),
           action.request.deadline);
}

void EntryTask::Probe(const core::entry::Probe& action) {
  const std::string instance = action.instance;
  if (instance == wiring_->settings.name) {
    wiring_->keeper.Send(LocalProbe{});
    return;
  }
  wire::PeerClient* peer = PeerFor(instance);
  if (peer == nullptr) return;
  peer->Call(std::string(wire::kPeerAlive), {}, Now() + kProbeBound,
             [this, instance](const wire::PeerResult& result) {
               if (result.status != wire::CallStatus::kOk) return;
               Drive(core::entry::ProbeAnswered{instance});
             });
}

void EntryTask::CallLocal(uint64_t call, KeeperMessage message) {
  if (!wiring_->keeper.Send(std::move(message))) {
    Drive(core::entry::PeerFailed{call, /*may_have_arrived=*/false});
    return;
  }
  local_calls_[call] = true;
}

void EntryTask::CallPeer(uint64_t call, const std::string& instance,
                         std::string_view path, std::string body,
                         core::TimePoint deadline) {
  wire::PeerClient* peer = PeerFor(instance);
  if (peer == nullptr) {
    Drive(core::entry::PeerFailed{call, /*may_have_arrived=*/false});
    return;
  }
  peer->Call(std::string(path), std::move(body), deadline,
             [this, call](const wire::PeerResult& result) {
               OnPeerResult(call, result);
             });
}

void EntryTask::OnPeerResult(uint64_t call, const wire::PeerResult& result) {
  if (result.status == wire::CallStatus::kOk) {
    if (auto answer = wire::ReadPeerAnswer(result.body)) {
      Drive(core::entry::PeerAnswered{call, std::move(*answer)});
      return;
    }
  }
  const bool may_have_arrived = result.status != wire::CallStatus::kNotSent;
  Drive(core::entry::PeerFailed{call, may_have_arrived});
}

void EntryTask::LocalTaskFailed() {
  // The keeper task lost all that it held. Whatever had been passed to it may
  // have reached a database, so each call is settled or answered as unknown;
  // without this its callers would wait until their deadlines.
  std::unordered_map<uint64_t, bool> lost;
  lost.swap(local_calls_);
  for (const auto& [call, unused] : lost) {
    Drive(core::entry::PeerFailed{call, /*may_have_arrived=*/true});
  }
}

wire::PeerClient* EntryTask::PeerFor(const std::string& instance) {
  if (!roster_) return nullptr;
  const core::membership::Member* known = roster_->Find(instance);
  if (known == nullptr) return nullptr;
  std::unique_ptr<wire::PeerClient>& peer = peers_[instance];
  std::string& address = peer_addresses_[instance];
  if (!peer || address != known->peer_address) {
    // The old client may be the one that is calling us; the loop deletes it.
    std::shared_ptr<wire::PeerClient> old = std::move(peer);
    loop_->Post([old] {});
    peer =
        std::make_unique<wire::PeerClient>(loop_->base(), known->peer_address);
    address = known->peer_address;
  }
  return peer.get();
}

std::vector<std::string> EntryTask::Ranked(core::TimePoint now,
                                           const std::string& group) {
  if (!roster_) return {};
  // Ranking looks at every instance, too much for each statement of a large
  // fleet. The order only changes with the roster, which clears this, or when
  // a suspicion lapses, which the age bound picks up.
  RankedEntry& entry = ranked_[group];
  if (entry.fresh_until <= now) {
    entry.instances = roster_->Ranked(now, group);
    if (entry.instances.size() > kRanksUsed) entry.instances.resize(kRanksUsed);
    entry.fresh_until = now + kRankingFresh;
  }
  return entry.instances;
}

void EntryTask::Arm() {
  const core::TimePoint due = forwarder_->next_deadline();
  if (timer_ != 0 && timer_at_ <= due) return;
  if (timer_ != 0) loop_->Cancel(timer_);
  timer_ = 0;
  timer_at_ = due;
  if (due == core::TimePoint::max()) return;
  timer_ = loop_->At(due, [this] {
    timer_ = 0;
    timer_at_ = core::TimePoint::max();
    Drive(core::entry::Tick{});
  });
}

void EntryTask::Sweep() {
  wiring_->entry_in_progress = server_->in_progress();
  wiring_->metrics.CallerConnections(server_->connections());
  loop_->At(Now() + kSweepEvery, [this] { Sweep(); });
}

}  // namespace ryefold::ryefoldd
