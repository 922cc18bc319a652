#include "ryefoldd/gateway_task.h"

#include <event2/event.h>
#include <glog/logging.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <utility>

#include "platform/directory.h"
#include "platform/duty.h"
#include "platform/line_gateway.h"
#include "platform/members.h"
#include "platform/store_client.h"
#include "platform/store_feed.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/task/clock.h"
#include "ryefold/task/event_log.h"
#include "ryefold/wire/http.h"
#include "ryefoldd/forwarding_host.h"
#include "ryefoldd/gateway_failover.h"
#include "ryefoldd/gateway_metrics.h"
#include "ryefoldd/gateway_status.h"
#include "ryefoldd/http_reply.h"
#include "ryefoldd/limits_host.h"
#include "ryefoldd/mirror_host.h"
#include "ryefoldd/peer_exchange.h"

namespace ryefold::ryefoldd {
namespace {

using core::Event;
using core::EventPriority;
using std::chrono::milliseconds;
using task::BootTime;

/// A drained instance keeps serving this long after it has become unready:
/// the balancer asks once a second and takes it out after two misses.
constexpr milliseconds kBalancerNotice{2400};
/// Kept back from the grace for the last answers and the end of the process.
constexpr milliseconds kEndReserve{900};
/// Time for callers to read their last answers and to close, within the
/// reserve.
constexpr milliseconds kLastAnswerTime{400};
/// Pause between attempts to listen on an address, and how many are made.
constexpr milliseconds kListenRetry{200};
constexpr int kListenTries = 25;
/// Interval at which the end of the last session is checked.
constexpr milliseconds kDrainPoll{50};

}  // namespace

class GatewayTask::Impl {
 public:
  Impl(settings::GatewaySettings settings, std::string settings_path,
       std::function<void()> stopped)
      : settings_(std::move(settings)),
        settings_path_(std::move(settings_path)),
        stopped_(std::move(stopped)) {}

  void Start(task::Loop* loop) {
    loop_ = loop;
    task::EventBudget budget;
    budget.request_lines = settings_.log_lines;
    events_ = std::make_unique<task::EventLog>(loop, STDOUT_FILENO,
                                               settings_.name, budget);
    gateway_ =
        std::make_unique<platform::LineGateway>(loop->base(), events_.get());
    core::session::ProxySettings proxy;
    proxy.failure_domain = settings_.failure_domain;
    proxy.seed = std::hash<std::string>()(settings_.name);
    proxy.session_prefix =
        settings_.name + "/" +
        std::to_string(BootTime().time_since_epoch().count()) + "/";
    proxy.confirmation =
        core::session::MakeConfirmation(settings_.confirm_commits);
    proxy.queue_shares = settings_.queue_shares == "work"
                             ? core::admission::QueueShares::kWork
                             : core::admission::QueueShares::kRequests;
    proxy.keeper_choice =
        core::session::MakeKeeperChoice(settings_.keeper_choice, proxy.seed);
    if (settings_.database_concurrency == "adaptive") {
      proxy.database_concurrency =
          core::session::DatabaseConcurrency::kAdaptive;
    }
    proxy_ = std::make_unique<core::session::Proxy>(proxy, gateway_.get(),
                                                    events_.get(), &metrics_);
    gateway_->Attach(proxy_.get());
    gateway_->SetBatchCallback([this] { Rearm(); });
    StartPeers();
    StartStore();
    StartFailover();
    StartLimits();
    StartMembers();
    mirror_->Start();
    StartServers();
    StartSignals();
    timer_ = event_new(loop->base(), -1, 0, OnTimer, this);
    Rearm();
    Event(events_.get(), EventPriority::kState, "started")
        .Add("failure_domain", settings_.failure_domain)
        .Add("sessions", settings_.session_address)
        .Add("store", settings_.store_address);
  }

  void Stop() {
    proxy_->ReportCutRequests(BootTime(), "process stopped");
    Event(events_.get(), EventPriority::kState, "stopped")
        .Add("callers", proxy_->callers())
        .Add("requests", proxy_->requests())
        .Add("connections", gateway_->callers());
    if (timer_ != nullptr) event_free(timer_);
    for (event* signal : signals_) event_free(signal);
    signals_.clear();
    gateway_.reset();
    members_.reset();
    ready_server_.reset();
    metrics_server_.reset();
    peers_.reset();
    forwarding_.reset();
    proxy_->SetLimiter(nullptr);
    limits_.reset();
    mirror_.reset();
    failover_.reset();
    feed_.reset();
    store_.reset();
    events_.reset();
  }

 private:
  void StartPeers() {
    if (settings_.peer_address.empty()) return;
    peers_ = std::make_unique<PeerExchange>(loop_);
    Listen([this] { return peers_->Listen(settings_.peer_address); }, 0);
    forwarding_ =
        std::make_unique<ForwardingHost>(loop_, peers_.get(), events_.get());
    forwarding_->Attach(proxy_.get());
    forwarding_->OnTurn([this] {
      gateway_->Flush();
      Rearm();
    });
    proxy_->SetForwarder(forwarding_.get());
  }

  void StartStore() {
    store_ = std::make_unique<platform::StoreClient>(loop_->base(),
                                                     settings_.store_address);
    feed_ = std::make_unique<platform::StoreFeed>(store_.get(), settings_.name);
    directory_ =
        std::make_unique<platform::Directory>(events_.get(), proxy_.get());
    mirror_ = std::make_unique<MirrorHost>(
        loop_, core::mirror::Member{settings_.name, settings_.failure_domain},
        feed_.get(), peers_.get(), events_.get(), settings_.first_start,
        [this](const core::mirror::EntryMap& items,
               const core::mirror::EntryMap& changed) {
          // First who there is: it decides who opens connections to the
          // databases that are told next.
          if (members_ != nullptr) members_->OnEntriesChanged(changed);
          directory_->OnEntriesChanged(changed);
          if (limits_ != nullptr) limits_->OnItems(items, changed);
          failover_->OnItems(items, changed, mirror_->as_of());
          gateway_->Flush();
          Rearm();
          return PaceAfter(changed);
        });
    mirror_->OnConfirmed([this](core::TimePoint when) {
      proxy_->RoutesConfirmed(when);
      if (limits_ != nullptr) limits_->OnConfirmed(when);
    });
  }

  core::mirror::WatchUrgency PaceAfter(
      const core::mirror::EntryMap& changed) const {
    // Who takes the vacant duty has to be heard of at once, or every instance
    // would reach for it.
    if (changed.count(platform::kHolderKey) > 0) {
      return core::mirror::WatchUrgency::kImmediate;
    }
    // After a restart beside a store that has lost the databases' entries
    // callers wait for these to come back. In a first start nobody does.
    const bool hurry = !settings_.first_start && proxy_->LacksDatabases();
    return hurry ? core::mirror::WatchUrgency::kUrgent
                 : core::mirror::WatchUrgency::kNormal;
  }

  void StartFailover() {
    GatewayFailover::Surroundings surroundings;
    surroundings.loop = loop_;
    surroundings.store = store_.get();
    surroundings.peers = peers_.get();
    surroundings.proxy = proxy_.get();
    surroundings.events = events_.get();
    surroundings.flush = [this] { gateway_->Flush(); };
    failover_ =
        std::make_unique<GatewayFailover>(settings_, std::move(surroundings));
  }

  void StartLimits() {
    if (peers_ == nullptr) return;
    LimitsHost::Surroundings surroundings;
    surroundings.loop = loop_;
    surroundings.peers = peers_.get();
    surroundings.store = store_.get();
    surroundings.proxy = proxy_.get();
    surroundings.events = events_.get();
    surroundings.ledger.restart_allowance = settings_.restart_allowance;
    surroundings.ledger.order =
        core::limits::LimitOrderFromName(settings_.limit_order);
    surroundings.holds_duty = [this] { return failover_->holds_duty(); };
    surroundings.turn = [this] {
      gateway_->Flush();
      Rearm();
    };
    limits_ = std::make_unique<LimitsHost>(
        core::limits::ShardOwner{settings_.name, settings_.peer_address,
                                 settings_.failure_domain},
        std::move(surroundings));
    proxy_->SetLimiter(limits_->limiter());
  }

  void StartMembers() {
    if (peers_ == nullptr) return;
    members_ = std::make_unique<platform::Members>(
        loop_, store_.get(), events_.get(),
        platform::Instance{settings_.name, settings_.peer_address,
                           settings_.failure_domain},
        [this](const std::vector<platform::Instance>& instances) {
          TakeInstances(instances);
        });
    members_->Start();
  }

  void TakeInstances(const std::vector<platform::Instance>& instances) {
    std::map<std::string, std::string> addresses;
    std::vector<core::session::KeeperCandidate> candidates;
    std::vector<core::mirror::Member> members;
    std::vector<core::limits::ShardOwner> granters;
    instances_.clear();
    for (const platform::Instance& instance : instances) {
      instances_.push_back(instance.name);
      addresses[instance.name] = instance.address;
      candidates.push_back({instance.name, instance.failure_domain});
      members.push_back({instance.name, instance.failure_domain});
      granters.push_back(
          {instance.name, instance.address, instance.failure_domain});
    }
    peers_->SetAddresses(std::move(addresses));
    proxy_->SetInstances(BootTime(), settings_.name, candidates);
    failover_->SetInstances(candidates);
    limits_->SetInstances(granters);
    mirror_->SetMembers({settings_.name, settings_.failure_domain}, members);
  }

  void StartServers() {
    const auto answer = [this](const wire::HttpExchange& exchange) {
      Answer(exchange);
    };
    Server(settings_.ready_address, answer, &ready_server_);
    if (!settings_.metrics_address.empty()) {
      Server(settings_.metrics_address, answer, &metrics_server_);
    }
    Listen([this] { return gateway_->Listen(settings_.session_address); }, 0);
  }

  void Server(const std::string& address,
              const wire::HttpServer::Handler& answer,
              std::unique_ptr<wire::HttpServer>* server) {
    *server = std::make_unique<wire::HttpServer>(loop_->base(),
                                                 wire::HttpLimits(), answer);
    Listen([server, address] { return (*server)->Listen(address); }, 0);
  }

  /// An address can still be in use for a moment, as by a connection that goes
  /// out from the same port. Failing the task at once would use up all its
  /// restarts within a millisecond and end the process.
  void Listen(const std::function<std::string()>& attempt, int tries) {
    const std::string error = attempt();
    if (error.empty()) return;
    Event(events_.get(), EventPriority::kState, "listen_failed")
        .Add("error", error)
        .Add("tries", static_cast<uint64_t>(tries) + 1);
    if (tries + 1 >= kListenTries) throw std::runtime_error(error);
    ++not_listening_;
    loop_->At(std::chrono::steady_clock::now() + kListenRetry,
              [this, attempt, tries] {
                --not_listening_;
                Listen(attempt, tries + 1);
              });
  }

  void StartSignals() {
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
      event* signal = evsignal_new(loop_->base(), number, OnSignal, this);
      event_add(signal, nullptr);
      signals_.push_back(signal);
    }
  }

  static void OnSignal(int number, int16_t /*what*/, void* self) {
    auto* task = static_cast<Impl*>(self);
    if (number == SIGHUP) {
      task->Reload();
    } else {
      task->Drain();
    }
  }

  static void OnTimer(int /*fd*/, int16_t /*what*/, void* self) {
    auto* task = static_cast<Impl*>(self);
    task->armed_at_ = core::TimePoint::max();
    task->proxy_->Tick(BootTime());
    task->gateway_->Flush();
    task->Rearm();
  }

  /// Sets the one timer to the proxy's next deadline, unless it is due sooner.
  void Rearm() {
    const core::TimePoint next = proxy_->next_deadline();
    if (next >= armed_at_) return;
    armed_at_ = next;
    const auto left = std::max<int64_t>(
        std::chrono::ceil<std::chrono::microseconds>(next - BootTime()).count(),
        0);
    constexpr int64_t kMicros = 1000000;
    const timeval wait{static_cast<time_t>(left / kMicros),
                       static_cast<suseconds_t>(left % kMicros)};
    event_add(timer_, &wait);
  }

  bool IsReady() const {
    return !draining_ && not_listening_ == 0 && proxy_->ready();
  }

  void Answer(const wire::HttpExchange& exchange) {
    wire::HttpReply reply;
    if (exchange.path() == "/ready") {
      reply.status = IsReady() ? kOk : kUnavailable;
      reply.body = IsReady() ? "{}" : "{\"ready\":false}";
    } else if (exchange.path() == "/metrics") {
      metrics_.Update(proxy_->groups(BootTime()), proxy_->counters(),
                      proxy_->callers(), proxy_->route_version(),
                      events_->dropped_lines(), store_->calls(), CopyAge());
      metrics_.UpdateWorkspaces(Workspaces());
      if (limits_ != nullptr) {
        metrics_.UpdateLimits(limits_->counters());
        metrics_.UpdateLimitAdvances(limits_->advance_counters());
      }
      reply.body = metrics_.Text();
      reply.content_type = "text/plain; version=0.0.4";
    } else if (exchange.path() == "/status") {
      reply.body = ToJson(BootTime(), Status());
    } else {
      reply.status = kNotFound;
    }
    exchange.Reply(reply);
  }

  /// Time since the copy of the store was last known to be current; since the
  /// machine's start, where it never was.
  milliseconds CopyAge() const {
    return std::chrono::duration_cast<milliseconds>(BootTime() -
                                                    mirror_->confirmed_at());
  }

  std::vector<WorkspaceStatus> Workspaces() const {
    std::map<std::string, core::limits::LimitUsage> usage;
    if (limits_ != nullptr) usage = limits_->usage();
    return WorkspaceStatuses(*proxy_, usage);
  }

  GatewayStatus Status() const {
    GatewayStatus status;
    status.instance = settings_.name;
    status.ready = IsReady();
    status.draining = draining_;
    status.config_version = proxy_->route_version();
    status.callers = proxy_->callers();
    status.relay = mirror_->relay();
    status.as_of = mirror_->as_of();
    status.copy_age = CopyAge();
    status.listeners = mirror_->listeners();
    status.duty_holder = failover_->duty_holder();
    status.instances = instances_;
    status.groups = proxy_->groups(BootTime());
    status.workspaces = Workspaces();
    return status;
  }

  /// Settings changed. Addresses and names are fixed for the life of the
  /// process, so a reload only tells whether the file can be read.
  void Reload() {
    Event(events_.get(), EventPriority::kState, "reload")
        .Add("settings", settings_path_);
  }

  void Drain() {
    if (draining_) return;
    draining_ = true;
    failover_->Retire();
    if (members_ != nullptr) members_->Leave();
    mirror_->Retire();
    Event(events_.get(), EventPriority::kState, "drain_begin")
        .Add("callers", proxy_->callers())
        .Add("requests", proxy_->requests())
        .Add("grace", settings_.stop_grace);
    const auto start = std::chrono::steady_clock::now();
    const auto until = BootTime();
    drain_started_at_ = until;
    // Callers reach this instance until the balancer has noticed; they are
    // served as usual so long.
    const milliseconds notice =
        std::min(kBalancerNotice, settings_.stop_grace / 2);
    loop_->At(start + notice, [this, until] {
      Event(events_.get(), EventPriority::kState, "drain_sessions")
          .Add("callers", proxy_->callers())
          .Add("requests", proxy_->requests())
          .Add("after", BootTime() - until);
      const milliseconds end = std::max(settings_.stop_grace - kEndReserve,
                                        settings_.stop_grace / 2);
      proxy_->Drain(BootTime(), until + settings_.stop_grace / 2, until + end);
      gateway_->Flush();
      AwaitDrained(until + end);
    });
  }

  /// Waits until no session is left, and ends those that are left at `end`.
  void AwaitDrained(core::TimePoint end) {
    const core::TimePoint now = BootTime();
    const bool drained = proxy_->drained();
    if (!drained && now < end) {
      loop_->At(std::chrono::steady_clock::now() + kDrainPoll,
                [this, end] { AwaitDrained(end); });
      return;
    }
    Event(events_.get(), EventPriority::kState, "drain_end")
        .Add("reason", drained ? "drained" : "deadline")
        .Add("after", now - drain_started_at_)
        .Add("callers", proxy_->callers())
        .Add("requests", proxy_->requests())
        .Add("connections", gateway_->callers());
    proxy_->EndSessions(now);
    gateway_->Flush();
    // At least one turn of the loop, in which answers to other instances leave.
    loop_->At(
        std::chrono::steady_clock::now() + kDrainPoll,
        [this, until = now + kLastAnswerTime] { AwaitCallersGone(until); });
  }

  /// Waits until callers have closed the connections of their ended sessions.
  void AwaitCallersGone(core::TimePoint until) {
    if (gateway_->sessions() > 0 && BootTime() < until) {
      loop_->At(std::chrono::steady_clock::now() + kDrainPoll,
                [this, until] { AwaitCallersGone(until); });
      return;
    }
    // The loop goes on until the task is stopped; nothing is read that could
    // not be answered any more.
    gateway_->StopListening();
    gateway_->CloseCallers();
    stopped_();
  }

  const settings::GatewaySettings settings_;
  const std::string settings_path_;
  const std::function<void()> stopped_;
  task::Loop* loop_ = nullptr;
  GatewayMetrics metrics_;
  std::unique_ptr<task::EventLog> events_;
  std::unique_ptr<platform::LineGateway> gateway_;
  std::unique_ptr<core::session::Proxy> proxy_;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<platform::Directory> directory_;
  std::unique_ptr<platform::StoreFeed> feed_;
  std::unique_ptr<MirrorHost> mirror_;
  std::unique_ptr<platform::Members> members_;
  std::unique_ptr<PeerExchange> peers_;
  std::unique_ptr<ForwardingHost> forwarding_;
  std::unique_ptr<GatewayFailover> failover_;
  std::unique_ptr<LimitsHost> limits_;
  std::unique_ptr<wire::HttpServer> ready_server_;
  std::unique_ptr<wire::HttpServer> metrics_server_;
  std::vector<event*> signals_;
  event* timer_ = nullptr;
  core::TimePoint armed_at_ = core::TimePoint::max();
  bool draining_ = false;
  core::TimePoint drain_started_at_;
  std::vector<std::string> instances_;
  /// Addresses that could not be listened on yet.
  int not_listening_ = 0;
};

GatewayTask::GatewayTask(settings::GatewaySettings settings,
                         std::string settings_path,
                         std::function<void()> stopped)
    : impl_(std::make_unique<Impl>(
          std::move(settings), std::move(settings_path), std::move(stopped))) {}
GatewayTask::~GatewayTask() = default;
void GatewayTask::Start(task::Loop* loop) { impl_->Start(loop); }
void GatewayTask::Stop() { impl_->Stop(); }

}  // namespace ryefold::ryefoldd
