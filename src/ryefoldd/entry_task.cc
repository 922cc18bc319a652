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
#include "ryefoldd/http_reply.h"

namespace ryefold::ryefoldd {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSweepEvery{200};
constexpr milliseconds kRetryWhenReady{500};
constexpr std::string_view kAdminPrefix = "/v1/admin/";

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

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
  timer_ = std::make_unique<task::DeadlineTimer>(
      loop, [this] { Drive(core::entry::Tick{}); });
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
  timer_.reset();
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
  const core::session::ReadRequirement need =
      core::session::RequirementOf(caller.token, request.group);
  request.seen = need.seen;
  // The token had no room for what it saw in this group; only data of age 0
  // is sure to hold it.
  if (need.must_be_current) request.max_age = milliseconds(0);
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

void EntryTask::Sweep() {
  wiring_->entry_in_progress = server_->in_progress();
  wiring_->metrics.CallerConnections(server_->connections());
  loop_->At(Now() + kSweepEvery, [this] { Sweep(); });
}

}  // namespace ryefold::ryefoldd
