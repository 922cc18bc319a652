#pragma once

// Runs one instance's session proxy in virtual time between test callers and a
// fake database group.

#include <gtest/gtest.h>

#include <algorithm>
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
  for (const std::string& id : cluster.ids()) {
    Database database;
    database.id = id;
    database.group = cluster.group();
    database.address = std::string("10.0.0.1:1") + id[3];
    database.failure_domain = std::string(id).substr(3);
    database.started_at = std::chrono::sys_time<milliseconds>(
        std::chrono::duration_cast<milliseconds>(
            cluster.database(id).started_at.time_since_epoch()));
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

/// Receives the replies and closures that callers see.
class CallerListener {
 public:
  virtual ~CallerListener() = default;
  virtual void OnReply(CallerId caller, const Reply& reply) = 0;
  virtual void OnClosed(CallerId caller, ErrorCode error) = 0;
};

class InstanceHost;

/// Instances of a test by name, shared settings, and faults of the streams
/// between instances.
struct FakeFleet {
  std::map<std::string, InstanceHost*> instances;
  std::vector<core::session::KeeperCandidate> candidates;
  /// Loses the reply of one in this many forwarded statements; 0 loses none.
  uint32_t lose_one_in = 0;
  uint64_t forwarded_count = 0;
  /// The most recently forwarded statement and its destination.
  core::session::ForwardedStatement last_forwarded;
  std::string last_forward_keeper;
  /// Number of statements forwarded to each keeper.
  std::map<std::string, uint64_t> forwards_to;
  /// Makes the keeper choice of the instance with this name; the default of
  /// `ProxySettings` if empty.
  std::function<std::shared_ptr<core::session::KeeperChoice>(
      const std::string&)>
      make_keeper_choice;
  uint32_t connection_limit = 21;
  /// Databases of further groups.
  std::vector<FakeCluster*> other_clusters;
  /// Applies to instances that start afterwards.
  core::admission::QueueShares queue_shares =
      core::admission::QueueShares::kRequests;
  core::session::DatabaseConcurrency database_concurrency =
      core::session::DatabaseConcurrency::kFixed;
  /// Routes in the store; `TestRoutes` if not set.
  std::optional<RouteTable> routes;
  /// Instances that are partitioned from all other instances.
  std::set<std::string> partitioned;

  bool Reaches(const std::string& one, const std::string& other) const {
    return partitioned.count(one) == 0 && partitioned.count(other) == 0;
  }
};

/// Time without contact after which a stream fails statements that may run
/// again elsewhere.
constexpr milliseconds kStreamTimeout{300};

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

  /// Restarts the instance with empty state and closes its connections.
  void Restart() {
    for (const auto& [connection, session] : sessions_) {
      ClusterOf(connection)->Disconnect(session);
    }
    RestartProcess();
  }
  /// Restarts the instance; it reads the store only after `store_delay`.
  void RestartWithStoreDelay(milliseconds store_delay) {
    for (const auto& [connection, session] : sessions_) {
      ClusterOf(connection)->Disconnect(session);
    }
    store_readable_at_ = clock_->now() + store_delay;
    RestartProcess();
    clock_->At(store_readable_at_, [this, boot = boot_] {
      if (boot == boot_) LoadFromStore();
    });
  }
  /// Restarts the instance without closing its connections to the databases, as
  /// after a power loss.
  void RestartAfterPowerLoss() {
    for (const auto& [connection, session] : sessions_) {
      ClusterOf(connection)->DisconnectByPowerLoss(session);
    }
    RestartProcess();
  }

  Proxy* proxy() { return proxy_.get(); }
  /// Returns the databases of all groups, as the platform's list has them.
  Roster CurrentRoster() const {
    Roster roster = TestRoster(*cluster_);
    for (FakeCluster* other : fleet_->other_clusters) {
      roster.merge(TestRoster(*other));
    }
    return roster;
  }
  const std::string& name() const { return name_; }

  void AcceptCaller(CallerId caller) override { accepted_.insert(caller); }
  bool accepted(CallerId caller) const { return accepted_.count(caller) > 0; }
  void ReplyToCaller(CallerId caller, const Reply& reply) override {
    listener_->OnReply(caller, reply);
  }
  void RefuseCaller(CallerId caller, ErrorCode error,
                    const std::string& /*text*/) override {
    EXPECT_FALSE(accepted(caller)) << "an accepted session was cut off";
    listener_->OnClosed(caller, error);
  }
  void EndSession(CallerId caller, ErrorCode error,
                  const std::string& /*text*/) override {
    EXPECT_TRUE(accepted(caller));
    listener_->OnClosed(caller, error);
  }

  void OpenConnection(ConnectionId connection, const Database& database,
                      const std::string& workspace) override {
    ++opened_connections_;
    workspaces_[connection] = workspace;
    databases_[connection] = database.id;
    if (unreachable_databases_.count(database.id) > 0) return;
    clock_->After(
        milliseconds(12), [this, connection, id = database.id, boot = boot_] {
          if (boot != boot_) return;
          ErrorCode error = ErrorCode::kNone;
          const auto session = ClusterOf(connection)->Connect(id, &error);
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
      sent_statements_.emplace_back(call.text, workspaces_.at(connection));
    }
    // Calls on a connection do not overtake each other when the delay drops.
    TimePoint& due = calls_due_[connection];
    due = std::max(due, clock_->now() + milliseconds(1) + database_delay_);
    clock_->At(due, [this, connection, session, calls, boot = boot_] {
      for (const BackendCall& call : calls) {
        ClusterOf(connection)
            ->Call(session, call, [this, connection, boot](const Reply& reply) {
              if (boot != boot_ || sessions_.count(connection) == 0) {
                return;
              }
              proxy_->CallAnswered(clock_->now(), connection, reply);
            });
      }
    });
  }
  void CloseConnection(ConnectionId connection) override {
    const auto found = sessions_.find(connection);
    if (found == sessions_.end()) return;
    ClusterOf(connection)->Disconnect(found->second);
    sessions_.erase(found);
  }

  /// Closes all database connections and reports their loss to the proxy.
  void BreakConnections() {
    const auto sessions = sessions_;
    for (const auto& [connection, session] : sessions) {
      ClusterOf(connection)->Disconnect(session);
      sessions_.erase(connection);
      proxy_->ConnectionLost(clock_->now(), connection);
    }
  }
  /// Makes the database unreachable until `Reconnect`: open connections drop
  /// all data, and new ones get no answer.
  void PartitionFrom(const std::string& database) {
    unreachable_databases_.insert(database);
    for (const auto& [connection, id] : databases_) {
      if (id == database && sessions_.count(connection) > 0) {
        ClusterOf(connection)->Stall(sessions_.at(connection));
      }
    }
  }
  void Reconnect() { unreachable_databases_.clear(); }

  /// Drops all data on the open database connections without closing them.
  void StallConnections() {
    for (const auto& [connection, session] : sessions_) {
      ClusterOf(connection)->Stall(session);
    }
  }
  /// Cuts the instance off from the store: its list is not confirmed any more.
  void SetListStale(bool stale) { list_stale_ = stale; }
  /// Delays all calls to databases, as a slow link does.
  void SetDatabaseDelay(milliseconds delay) { database_delay_ = delay; }
  uint32_t opened_connections() const { return opened_connections_; }
  /// Text of each caller statement sent to a database, and the workspace of its
  /// connection.
  const std::vector<std::pair<std::string, std::string>>& sent_statements()
      const {
    return sent_statements_;
  }
  /// Number of status calls sent.
  uint32_t status_calls() const { return status_calls_; }

  void Forward(core::session::ForwardId call, const std::string& keeper,
               const core::session::ForwardedStatement& statement,
               const core::session::ForwardTimeouts& terms) override {
    using core::session::ForwardOutcome;
    ++fleet_->forwarded_count;
    ++fleet_->forwards_to[keeper];
    fleet_->last_forwarded = statement;
    fleet_->last_forward_keeper = keeper;
    // The stream number makes a failed stream's late reply distinguishable from
    // that of a later attempt of the same call.
    const uint64_t stream = ++last_stream_;
    pending_streams_[call] = stream;
    InstanceHost* keeper_host = fleet_->instances.at(keeper);
    stream_targets_[call] = {keeper, statement.session};
    const bool reply_lost = fleet_->lose_one_in > 0 &&
                            fleet_->forwarded_count % fleet_->lose_one_in == 0;
    if (!fleet_->Reaches(name_, keeper)) {
      clock_->At(terms.send_by, [this, call, stream] {
        CompleteForward(call, stream, ForwardOutcome::kNotSent, Reply());
      });
      return;
    }
    clock_->At(terms.deadline, [this, call, stream] {
      CompleteForward(call, stream, ForwardOutcome::kLost, Reply());
    });
    if (terms.fail_if_unreachable) CheckStreamAlive(call, stream, keeper);
    clock_->After(milliseconds(1), [this, keeper_host, call, statement,
                                    reply_lost, stream] {
      keeper_host->Adopt(statement, [this, keeper_host, call, reply_lost,
                                     stream](const Reply& reply) {
        if (reply_lost || !fleet_->Reaches(name_, keeper_host->name())) return;
        clock_->After(milliseconds(1), [this, call, reply, stream] {
          CompleteForward(call, stream, ForwardOutcome::kAnswered, reply);
        });
      });
    });
  }
  void Probe(const std::string& instance, TimePoint deadline) override {
    const bool alive = fleet_->Reaches(name_, instance);
    const TimePoint at = alive ? clock_->now() + milliseconds(2) : deadline;
    clock_->At(at, [this, instance, alive, boot = boot_] {
      if (boot != boot_) return;
      proxy_->InstanceProbed(clock_->now(), instance, alive);
    });
  }
  /// Resets the stream, on which the keeper gives up the session.
  void Cancel(core::session::ForwardId call) override {
    if (pending_streams_.erase(call) == 0) return;
    const auto [keeper, session] = stream_targets_.at(call);
    stream_targets_.erase(call);
    if (!fleet_->Reaches(name_, keeper)) return;
    Release(keeper, session);
  }
  void Release(const std::string& keeper, const std::string& session) override {
    InstanceHost* keeper_host = fleet_->instances.at(keeper);
    clock_->After(milliseconds(1), [keeper_host, session] {
      const auto caller = keeper_host->adopted_.Find(session);
      if (!caller.has_value()) return;
      keeper_host->adopted_.Erase(*caller);
      keeper_host->pending_answers_.erase(*caller);
      keeper_host->proxy_->CallerDisconnected(keeper_host->clock_->now(),
                                              *caller);
    });
  }
  void AnswerForwarded(CallerId caller, const Reply& reply) override {
    const auto found = pending_answers_.find(caller);
    if (found == pending_answers_.end()) return;
    const auto on_reply = found->second;
    pending_answers_.erase(found);
    on_reply(reply);
    if (reply.state == TransactionState::kOpen) return;
    adopted_.Erase(caller);
    clock_->After(milliseconds(0), [this, caller, boot = boot_] {
      if (boot == boot_) proxy_->CallerDisconnected(clock_->now(), caller);
    });
  }

  /// Accepts a statement that another instance has forwarded.
  void Adopt(const core::session::ForwardedStatement& statement,
             std::function<void(Reply)> on_reply) {
    const auto entry =
        adopted_.Register(statement.session, statement.in_transaction);
    if (entry.superseded_caller != 0) {
      pending_answers_.erase(entry.superseded_caller);
      proxy_->CallerDisconnected(clock_->now(), entry.superseded_caller);
    }
    pending_answers_[entry.caller] = std::move(on_reply);
    proxy_->AdoptStatement(clock_->now(), entry.caller, statement);
  }

 private:
  FakeCluster* ClusterOf(ConnectionId connection) {
    const std::string& id = databases_.at(connection);
    for (FakeCluster* other : fleet_->other_clusters) {
      if (other->Contains(id)) return other;
    }
    return cluster_;
  }

  void RestartProcess() {
    sessions_.clear();
    calls_due_.clear();
    accepted_.clear();
    adopted_ = core::session::AdoptedSessions();
    pending_answers_.clear();
    pending_streams_.clear();
    stream_targets_.clear();
    ++boot_;
    Start();
  }

  void Start() {
    core::session::ProxySettings settings;
    settings.failure_domain = failure_domain_;
    settings.database_concurrency = fleet_->database_concurrency;
    if (fleet_->make_keeper_choice) {
      settings.keeper_choice = fleet_->make_keeper_choice(name_);
    }
    settings.session_prefix = name_ + "/" + std::to_string(boot_) + "/";
    settings.queue_shares = fleet_->queue_shares;
    proxy_ = std::make_unique<Proxy>(settings, this, nullptr, nullptr);
    proxy_->SetForwarder(this);
    if (clock_->now() >= store_readable_at_) LoadFromStore();
  }

  void LoadFromStore() {
    proxy_->OnRoutes(clock_->now(), fleet_->routes.value_or(
                                        TestRoutes(fleet_->connection_limit)));
    proxy_->OnRoster(clock_->now(), CurrentRoster());
    proxy_->SetInstances(clock_->now(), name_, fleet_->candidates);
  }

  void CheckStreamAlive(core::session::ForwardId call, uint64_t stream,
                        const std::string& keeper) {
    clock_->After(kStreamTimeout, [this, call, stream, keeper] {
      const auto found = pending_streams_.find(call);
      if (found == pending_streams_.end() || found->second != stream) return;
      if (fleet_->Reaches(name_, keeper)) {
        CheckStreamAlive(call, stream, keeper);
      } else {
        CompleteForward(call, stream, core::session::ForwardOutcome::kLost,
                        Reply());
      }
    });
  }

  void CompleteForward(core::session::ForwardId call, uint64_t stream,
                       core::session::ForwardOutcome outcome, Reply reply) {
    const auto found = pending_streams_.find(call);
    if (found == pending_streams_.end() || found->second != stream) return;
    pending_streams_.erase(found);
    stream_targets_.erase(call);
    proxy_->ForwardAnswered(clock_->now(), call, outcome, std::move(reply));
  }

  void Tick() {
    if (clock_->now() >= store_readable_at_ && !list_stale_) {
      proxy_->RoutesConfirmed(clock_->now());
    }
    proxy_->Tick(clock_->now());
    clock_->After(milliseconds(5), [this] { Tick(); });
  }

  VirtualClock* clock_;
  FakeCluster* cluster_;
  CallerListener* listener_;
  const std::string name_;
  const std::string failure_domain_;
  FakeFleet* fleet_;
  /// Incremented at each restart.
  uint64_t boot_ = 0;
  /// Time at which the store becomes readable.
  TimePoint store_readable_at_;
  bool list_stale_ = false;
  core::session::AdoptedSessions adopted_;
  std::map<CallerId, std::function<void(Reply)>> pending_answers_;
  std::map<core::session::ForwardId, uint64_t> pending_streams_;
  /// Keeper and session of each open stream.
  std::map<core::session::ForwardId, std::pair<std::string, std::string>>
      stream_targets_;
  uint64_t last_stream_ = 0;
  std::unique_ptr<Proxy> proxy_;
  std::map<ConnectionId, uint64_t> sessions_;
  std::set<CallerId> accepted_;
  std::map<ConnectionId, std::string> databases_;
  std::map<ConnectionId, std::string> workspaces_;
  std::vector<std::pair<std::string, std::string>> sent_statements_;
  std::set<std::string> unreachable_databases_;
  milliseconds database_delay_{0};
  /// Time at which the last calls sent on a connection arrive.
  std::map<ConnectionId, TimePoint> calls_due_;
  uint32_t opened_connections_ = 0;
  uint32_t status_calls_ = 0;
};

}  // namespace ryefold::testsuite
