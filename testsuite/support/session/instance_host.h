#pragma once

// One instance's session proxy in virtual time, between test callers and a
// fake database group.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ryefold/core/session/adopted_sessions.h"
#include "ryefold/core/session/proxy.h"
#include "testsuite/support/session/fake_cluster.h"

namespace ryefold::testsuite {

using core::session::CallerId;
using core::session::ConnectionId;
using core::session::Database;
using core::session::Freshness;
using core::session::Proxy;
using core::session::Roster;
using core::session::Route;
using core::session::RouteTable;
using core::session::Statement;
using core::session::StatementKind;

inline RouteTable TestRoutes(uint32_t connection_limit) {
  RouteTable table;
  table.version = 1;
  const auto add = [&table](const char* name, Freshness freshness,
                            uint32_t priority) {
    Route route;
    route.name = name;
    route.group = "group";
    route.freshness = freshness;
    route.max_staleness = milliseconds(1500);
    route.goal = milliseconds(400);
    route.statement_timeout = milliseconds(1000);
    route.priority = priority;
    table.routes[name] = route;
  };
  add("primary", Freshness::kPrimary, 1);
  add("bounded", Freshness::kBounded, 2);
  add("session", Freshness::kSession, 2);
  table.groups["group"].connection_limit = connection_limit;
  return table;
}

inline Roster TestRoster(FakeCluster& cluster) {
  Roster roster;
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    Database database;
    database.id = id;
    database.group = "group";
    database.address = std::string("10.0.0.1:1") + id[3];
    database.failure_domain = std::string(id).substr(3);
    database.born = std::chrono::sys_time<milliseconds>(
        std::chrono::duration_cast<milliseconds>(
            cluster.database(id).born.time_since_epoch()));
    database.claims_primary = cluster.database(id).primary;
    roster[id] = database;
  }
  return roster;
}

inline Statement MakeStatement(StatementKind kind, const std::string& text) {
  Statement statement;
  statement.kind = kind;
  statement.text = text;
  return statement;
}

/// Tells a test what callers get.
class CallerListener {
 public:
  virtual ~CallerListener() = default;
  virtual void OnReply(CallerId caller, const Reply& reply) = 0;
  virtual void OnClosed(CallerId caller, ErrorCode error) = 0;
};

class InstanceHost;

/// The instances of a test by name, and how streams between them fare.
struct FakeFleet {
  std::map<std::string, InstanceHost*> instances;
  std::vector<core::session::KeeperCandidate> candidates;
  /// One forwarded statement in this many loses its answer; 0: none.
  uint32_t lose_one_in = 0;
  uint64_t forwarded = 0;
  /// The last statement that was forwarded, and where to.
  core::session::ForwardedStatement last_forwarded;
  std::string last_keeper;
  uint32_t connection_limit = 21;
  /// What the store holds instead of `TestRoutes`.
  std::optional<RouteTable> routes;
  /// Instances that no other one reaches, nor they any other.
  std::set<std::string> parted;

  bool Reaches(const std::string& one, const std::string& other) const {
    return parted.count(one) == 0 && parted.count(other) == 0;
  }
};

/// Silence after which streams give up what may run again elsewhere.
constexpr milliseconds kStreamSilence{300};

class InstanceHost : public core::session::SessionPort,
                     public core::session::Forwarder {
 public:
  InstanceHost(VirtualClock* clock, FakeCluster* cluster,
               CallerListener* listener, const std::string& name,
               const std::string& failure_domain, FakeFleet* fleet)
      : clock_(clock),
        cluster_(cluster),
        listener_(listener),
        name_(name),
        failure_domain_(failure_domain),
        fleet_(fleet) {
    fleet_->instances[name] = this;
    fleet_->candidates.push_back({name, failure_domain});
    Start();
    Tick();
  }

  /// Ends the process with all it held and starts another.
  void Restart() {
    for (const auto& [connection, session] : sessions_) {
      cluster_->Disconnect(session);
    }
    StartAgain();
  }
  /// The same; the store is read only after a while.
  void RestartWithoutStore(milliseconds listed_after) {
    for (const auto& [connection, session] : sessions_) {
      cluster_->Disconnect(session);
    }
    told_at_ = clock_->now() + listed_after;
    StartAgain();
    clock_->At(told_at_, [this, life = life_] {
      if (life == life_) ReadStore();
    });
  }
  /// The same with the machine: databases do not hear of it.
  void RestartAfterPowerLoss() {
    for (const auto& [connection, session] : sessions_) {
      cluster_->LosePower(session);
    }
    StartAgain();
  }

  Proxy* proxy() { return proxy_.get(); }
  const std::string& name() const { return name_; }

  void AcceptCaller(CallerId caller) override { accepted_.insert(caller); }
  bool accepted(CallerId caller) const { return accepted_.count(caller) > 0; }
  void ReplyToCaller(CallerId caller, const Reply& reply) override {
    listener_->OnReply(caller, reply);
  }
  void CloseCaller(CallerId caller, ErrorCode error,
                   const std::string& /*text*/) override {
    listener_->OnClosed(caller, error);
  }

  void OpenConnection(ConnectionId connection, const Database& database,
                      const std::string& workspace) override {
    ++opened_;
    workspaces_[connection] = workspace;
    databases_[connection] = database.id;
    if (cut_.count(database.id) > 0) return;
    clock_->After(
        milliseconds(12), [this, connection, id = database.id, life = life_] {
          if (life != life_) return;
          ErrorCode error = ErrorCode::kNone;
          const auto session = cluster_->Connect(id, &error);
          if (session.has_value()) {
            sessions_[connection] = *session;
            proxy_->ConnectionOpened(clock_->now(), connection);
          } else {
            proxy_->ConnectionRefused(clock_->now(), connection, error);
          }
        });
  }
  void SendCalls(ConnectionId connection,
                 const std::vector<BackendCall>& calls) override {
    const auto found = sessions_.find(connection);
    if (found == sessions_.end()) return;
    const uint64_t session = found->second;
    for (const BackendCall& call : calls) {
      status_calls_ += call.kind == CallKind::kStatus ? 1 : 0;
      if (call.id.empty()) continue;
      sent_for_.emplace_back(call.text, workspaces_.at(connection));
    }
    clock_->After(
        milliseconds(1), [this, connection, session, calls, life = life_] {
          for (const BackendCall& call : calls) {
            cluster_->Call(
                session, call, [this, connection, life](const Reply& reply) {
                  if (life != life_ || sessions_.count(connection) == 0) return;
                  proxy_->CallAnswered(clock_->now(), connection, reply);
                });
          }
        });
  }
  void CloseConnection(ConnectionId connection) override {
    const auto found = sessions_.find(connection);
    if (found == sessions_.end()) return;
    cluster_->Disconnect(found->second);
    sessions_.erase(found);
  }

  /// The database's end of all its connections is gone; the proxy is told.
  void BreakConnections() {
    const auto sessions = sessions_;
    for (const auto& [connection, session] : sessions) {
      cluster_->Disconnect(session);
      sessions_.erase(connection);
      proxy_->ConnectionLost(clock_->now(), connection);
    }
  }
  /// The path to the database is gone until `Reconnect`: connections go silent,
  /// openings get no answer.
  void CutFrom(const std::string& database) {
    cut_.insert(database);
    for (const auto& [connection, id] : databases_) {
      if (id == database && sessions_.count(connection) > 0) {
        cluster_->Silence(sessions_.at(connection));
      }
    }
  }
  void Reconnect() { cut_.clear(); }

  /// Connections go on without carrying anything; nobody is told.
  void SilenceConnections() {
    for (const auto& [connection, session] : sessions_) {
      cluster_->Silence(session);
    }
  }
  uint32_t opened() const { return opened_; }
  /// Text of each statement of a caller that was sent, and whose connection it
  /// went to.
  const std::vector<std::pair<std::string, std::string>>& sent_for() const {
    return sent_for_;
  }
  /// Status calls that were sent.
  uint32_t status_calls() const { return status_calls_; }

  void Forward(core::session::ForwardId call, const std::string& keeper,
               const core::session::ForwardedStatement& statement,
               const core::session::ForwardTerms& terms) override {
    using core::session::ForwardOutcome;
    ++fleet_->forwarded;
    fleet_->last_forwarded = statement;
    fleet_->last_keeper = keeper;
    // A stream that has been given up delivers nothing any more, also when the
    // same call has been sent again since.
    const uint64_t stream = ++last_stream_;
    waiting_[call] = stream;
    InstanceHost* target = fleet_->instances.at(keeper);
    const bool lost =
        fleet_->lose_one_in > 0 && fleet_->forwarded % fleet_->lose_one_in == 0;
    if (!fleet_->Reaches(name_, keeper)) {
      clock_->At(terms.alive_by, [this, call, stream] {
        Answered(call, stream, ForwardOutcome::kNotSent, Reply());
      });
      return;
    }
    clock_->At(terms.deadline, [this, call, stream] {
      Answered(call, stream, ForwardOutcome::kLost, Reply());
    });
    if (terms.lost_in_silence) LookForSilence(call, stream, keeper);
    clock_->After(
        milliseconds(1), [this, target, call, statement, lost, stream] {
          target->Adopt(statement, [this, target, call, lost,
                                    stream](const Reply& reply) {
            if (lost || !fleet_->Reaches(name_, target->name())) return;
            clock_->After(milliseconds(1), [this, call, reply, stream] {
              Answered(call, stream, ForwardOutcome::kAnswered, reply);
            });
          });
        });
  }
  void Probe(const std::string& instance, TimePoint deadline) override {
    const bool alive = fleet_->Reaches(name_, instance);
    const TimePoint at = alive ? clock_->now() + milliseconds(2) : deadline;
    clock_->At(at, [this, instance, alive, life = life_] {
      if (life != life_) return;
      proxy_->InstanceProbed(clock_->now(), instance, alive);
    });
  }
  void Cancel(core::session::ForwardId call) override { waiting_.erase(call); }
  void Release(const std::string& keeper, const std::string& session) override {
    InstanceHost* target = fleet_->instances.at(keeper);
    clock_->After(milliseconds(1), [target, session] {
      const auto caller = target->adopted_.Find(session);
      if (!caller.has_value()) return;
      target->adopted_.Erase(*caller);
      target->answers_.erase(*caller);
      target->proxy_->CallerDisconnected(target->clock_->now(), *caller);
    });
  }
  void AnswerForwarded(CallerId caller, const Reply& reply) override {
    const auto found = answers_.find(caller);
    if (found == answers_.end()) return;
    const auto answer = found->second;
    answers_.erase(found);
    answer(reply);
    if (reply.state == TransactionState::kOpen) return;
    adopted_.Erase(caller);
    clock_->After(milliseconds(0), [this, caller, life = life_] {
      if (life == life_) proxy_->CallerDisconnected(clock_->now(), caller);
    });
  }

  /// A statement that another instance has forwarded arrives.
  void Adopt(const core::session::ForwardedStatement& statement,
             std::function<void(Reply)> answer) {
    const auto entry =
        adopted_.Enter(statement.session, statement.in_transaction);
    if (entry.abandoned != 0) {
      answers_.erase(entry.abandoned);
      proxy_->CallerDisconnected(clock_->now(), entry.abandoned);
    }
    answers_[entry.caller] = std::move(answer);
    proxy_->AdoptStatement(clock_->now(), entry.caller, statement);
  }

 private:
  void StartAgain() {
    sessions_.clear();
    accepted_.clear();
    adopted_ = core::session::AdoptedSessions();
    answers_.clear();
    waiting_.clear();
    ++life_;
    Start();
  }

  void Start() {
    core::session::ProxySettings settings;
    settings.failure_domain = failure_domain_;
    settings.session_prefix = name_ + "/" + std::to_string(life_) + "/";
    proxy_ = std::make_unique<Proxy>(settings, this, nullptr, nullptr);
    proxy_->SetForwarder(this);
    if (clock_->now() >= told_at_) ReadStore();
  }

  void ReadStore() {
    proxy_->OnRoutes(clock_->now(), fleet_->routes.value_or(
                                        TestRoutes(fleet_->connection_limit)));
    proxy_->OnRoster(clock_->now(), TestRoster(*cluster_));
    proxy_->SetInstances(clock_->now(), name_, fleet_->candidates);
  }

  void LookForSilence(core::session::ForwardId call, uint64_t stream,
                      const std::string& keeper) {
    clock_->After(kStreamSilence, [this, call, stream, keeper] {
      const auto found = waiting_.find(call);
      if (found == waiting_.end() || found->second != stream) return;
      if (fleet_->Reaches(name_, keeper)) {
        LookForSilence(call, stream, keeper);
      } else {
        Answered(call, stream, core::session::ForwardOutcome::kLost, Reply());
      }
    });
  }

  void Answered(core::session::ForwardId call, uint64_t stream,
                core::session::ForwardOutcome outcome, Reply reply) {
    const auto found = waiting_.find(call);
    if (found == waiting_.end() || found->second != stream) return;
    waiting_.erase(found);
    proxy_->ForwardAnswered(clock_->now(), call, outcome, std::move(reply));
  }

  void Tick() {
    proxy_->Tick(clock_->now());
    clock_->After(milliseconds(5), [this] { Tick(); });
  }

  VirtualClock* clock_;
  FakeCluster* cluster_;
  CallerListener* listener_;
  const std::string name_;
  const std::string failure_domain_;
  FakeFleet* fleet_;
  uint64_t life_ = 0;
  /// When the store is first read.
  TimePoint told_at_;
  core::session::AdoptedSessions adopted_;
  std::map<CallerId, std::function<void(Reply)>> answers_;
  std::map<core::session::ForwardId, uint64_t> waiting_;
  uint64_t last_stream_ = 0;
  std::unique_ptr<Proxy> proxy_;
  std::map<ConnectionId, uint64_t> sessions_;
  std::set<CallerId> accepted_;
  std::map<ConnectionId, std::string> databases_;
  std::map<ConnectionId, std::string> workspaces_;
  std::vector<std::pair<std::string, std::string>> sent_for_;
  std::set<std::string> cut_;
  uint32_t opened_ = 0;
  uint32_t status_calls_ = 0;
};

}  // namespace ryefold::testsuite
