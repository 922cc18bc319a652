// Routes move between groups, come and go, and databases leave and are replaced
// at the same addresses, while callers work. Every statement that reaches a
// database is checked against what was configured and listed when it was sent.

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "ryefold/core/session/proxy.h"
#include "testsuite/support/random/seeds.h"
#include "testsuite/support/session/fake_cluster.h"
#include "testsuite/support/session/instance_host.h"

namespace ryefold::testsuite {
namespace {

using core::session::StatusReport;

constexpr uint64_t kFirstSeed = 20261204;
constexpr uint64_t kSeeds = 300;
constexpr int kGroups = 3;
constexpr CallerId kCallers = 8;
/// A leaving replica gets nothing new; a leaving primary only until it is given
/// up for its successor.
constexpr milliseconds kLeavingPrimary{5100};

/// Groups of databases that answer everything, and what is configured.
class World : public core::session::SessionPort {
 public:
  explicit World(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kGroups; ++i) {
      for (int n = 0; n < 3; ++n) AddDatabase(GroupName(i));
    }
    for (const char* name : {"one", "two", "three", "four"}) {
      MoveRoute(name, GroupName(static_cast<int>(Draw(kGroups))));
    }
    core::session::ProxySettings settings;
    settings.failure_domain = "a";
    proxy_ = std::make_unique<Proxy>(settings, this, nullptr, nullptr);
    Tell();
    proxy_->SetInstances(Now(), "i0", {{"i0", "a"}});
    Tick();
    for (CallerId id = 1; id <= kCallers; ++id) Open(id);
  }

  void Play(milliseconds span) {
    const TimePoint end = Now() + span;
    while (Now() < end) {
      clock_.RunUntil(Now() + milliseconds(1 + Draw(300)));
      Change();
    }
  }
  uint64_t answered() const { return answered_; }

  void AcceptCaller(CallerId id) override {
    clock_.After(milliseconds(1), [this, id] { Ask(id); });
  }
  void ReplyToCaller(CallerId id, const Reply& reply) override {
    Caller& caller = callers_.at(id);
    if (reply.ok()) {
      ++answered_;
    } else if (reply.error == ErrorCode::kNoRoute) {
      EXPECT_EQ(table_.routes.count(caller.route), 0U)
          << "told that " << caller.route << " is not configured";
    }
    const bool open = reply.state == TransactionState::kOpen;
    if (open && !caller.open) caller.group = caller.asked_group;
    caller.open = open;
    caller.failed = reply.state == TransactionState::kFailed;
    clock_.After(milliseconds(1 + Draw(80)), [this, id] { Ask(id); });
  }
  void CloseCaller(CallerId id, ErrorCode /*error*/,
                   const std::string& /*text*/) override {
    clock_.After(milliseconds(20), [this, id] { Open(id); });
  }

  void OpenConnection(ConnectionId connection, const Database& database,
                      const std::string& /*workspace*/) override {
    connections_[connection] = {database.id, false};
    clock_.After(milliseconds(12), [this, connection] {
      if (connections_.count(connection) == 0) return;
      const bool there = databases_.count(connections_[connection].database);
      if (there) {
        proxy_->ConnectionOpened(Now(), connection);
      } else {
        proxy_->ConnectionRefused(Now(), connection, ErrorCode::kWrongDatabase);
      }
    });
  }
  void SendCalls(ConnectionId connection,
                 const std::vector<BackendCall>& calls) override {
    milliseconds delay(1 + Draw(25));
    for (const BackendCall& call : calls) {
      if (call.kind == CallKind::kVerbatim) Check(connection, call);
      clock_.After(delay, [this, connection, call] {
        if (connections_.count(connection) == 0) return;
        const Reply reply = Answer(&connections_[connection], call);
        proxy_->CallAnswered(Now(), connection, reply);
      });
    }
  }
  void CloseConnection(ConnectionId connection) override {
    connections_.erase(connection);
  }

 private:
  struct Caller {
    std::string route;
    /// Group that the route led to when the last statement was sent.
    std::string asked_group;
    /// Group of the open transaction.
    std::string group;
    bool open = false;
    bool failed = false;
  };
  struct Connection {
    std::string database;
    bool open = false;
  };
  struct Group {
    std::string primary;
    uint64_t term = 1;
    uint64_t index = 1;
  };

  static std::string GroupName(int number) {
    return "group-" + std::to_string(number);
  }
  uint64_t Draw(uint64_t below) { return random_() % below; }
  TimePoint Now() const { return clock_.now(); }

  void Tick() {
    proxy_->Tick(Now());
    clock_.After(milliseconds(5), [this] { Tick(); });
  }

  void AddDatabase(const std::string& group) {
    Database database;
    database.id = "db-" + std::to_string(++last_database_);
    database.group = group;
    // Addresses are used again, also by other groups.
    database.address = "10.0.0.1:" + std::to_string(1000 + Draw(12));
    database.failure_domain = "a";
    if (groups_[group].primary.empty()) {
      groups_[group].primary = database.id;
      database.claims_primary = true;
    }
    databases_[database.id] = database;
  }
  void MoveRoute(const std::string& name, const std::string& group) {
    Route route;
    route.name = name;
    route.group = group;
    route.freshness = static_cast<Freshness>(Draw(3));
    route.max_staleness = milliseconds(1500);
    table_.routes[name] = route;
    for (int i = 0; i < kGroups; ++i) {
      table_.groups[GroupName(i)].connection_limit = 21;
    }
  }
  void Tell() {
    ++table_.version;
    proxy_->OnRoutes(Now(), table_);
    proxy_->OnRoster(Now(), databases_);
  }

  std::string SomeDatabase() {
    auto it = databases_.begin();
    std::advance(it, Draw(databases_.size()));
    return it->first;
  }

  void Change() {
    const char* names[] = {"one", "two", "three", "four", "five"};
    const std::string name = names[Draw(5)];
    switch (Draw(6)) {
      case 0:
      case 1:
        MoveRoute(name, GroupName(static_cast<int>(Draw(kGroups))));
        break;
      case 2:
        table_.routes.erase(name);
        break;
      case 3:
        Leave(SomeDatabase());
        break;
      case 4:
        Promote(GroupName(static_cast<int>(Draw(kGroups))));
        break;
      default:
        break;
    }
    Tell();
  }

  /// A database says that it leaves; another one comes, and it ends later.
  void Leave(const std::string& id) {
    Database& database = databases_.at(id);
    if (database.draining) return;
    database.draining = true;
    leaving_since_[id] = Now();
    AddDatabase(database.group);
    clock_.After(milliseconds(7000), [this, id] {
      Group& group = groups_.at(databases_.at(id).group);
      if (group.primary == id) Promote(databases_.at(id).group);
      databases_.erase(id);
      proxy_->OnRoster(Now(), databases_);
      for (auto& [connection, state] : std::map(connections_)) {
        if (state.database != id) continue;
        connections_.erase(connection);
        proxy_->ConnectionLost(Now(), connection);
      }
    });
  }

  void Promote(const std::string& name) {
    Group& group = groups_.at(name);
    for (auto& [id, database] : databases_) {
      if (database.group != name || database.draining) continue;
      if (id == group.primary) continue;
      if (databases_.count(group.primary) > 0) {
        databases_.at(group.primary).claims_primary = false;
      }
      group.primary = id;
      ++group.term;
      database.claims_primary = true;
      return;
    }
  }

  void Open(CallerId id) {
    const char* names[] = {"one", "two", "three", "four", "five"};
    callers_[id] = Caller();
    callers_[id].route = names[Draw(5)];
    proxy_->CallerStarted(Now(), id, callers_[id].route);
  }

  void Ask(CallerId id) {
    Caller& caller = callers_.at(id);
    const auto route = table_.routes.find(caller.route);
    caller.asked_group =
        route == table_.routes.end() ? "" : route->second.group;
    const std::string statement = std::to_string(++last_statement_);
    asked_[statement] = id;
    Statement asked = MakeStatement(StatementKind::kRead, "READ k");
    if (caller.failed || (caller.open && Draw(3) == 0)) {
      asked = MakeStatement(StatementKind::kCommit, "COMMIT");
    } else if (!caller.open && Draw(4) == 0) {
      asked = MakeStatement(StatementKind::kBegin, "BEGIN");
    } else if (Draw(3) == 0) {
      asked = MakeStatement(StatementKind::kWrite, "WRITE k v");
    }
    proxy_->CallerStatement(Now(), id, statement, asked);
  }

  /// Whether the statement may go there, by what is known now.
  void Check(ConnectionId connection, const BackendCall& call) {
    const Caller& caller = callers_.at(asked_.at(call.id));
    const std::string& id = connections_.at(connection).database;
    ASSERT_EQ(databases_.count(id), 1U) << "sent to a database that is gone";
    const std::string& group = databases_.at(id).group;
    if (caller.open) {
      EXPECT_EQ(group, caller.group) << "left its transaction's group";
      return;
    }
    // A change while it waits in the queue leaves it where it was sent.
    EXPECT_EQ(group, caller.asked_group) << "sent to another group";
    if (!databases_.at(id).draining) return;
    const bool leads =
        groups_.at(group).primary == id || databases_.at(id).claims_primary;
    EXPECT_LT(Now() - leaving_since_.at(id), kLeavingPrimary)
        << id << " leaves, " << (leads ? "leads" : "follows");
  }

  Reply Answer(Connection* connection, const BackendCall& call) {
    Reply reply;
    const std::string id = connection->database;
    if (databases_.count(id) == 0) return reply;
    Group& group = groups_.at(databases_.at(id).group);
    const bool primary = group.primary == id;
    const bool writes = call.text.rfind("WRITE", 0) == 0;
    const bool commit = call.text == "COMMIT";
    if (!primary && (call.kind == CallKind::kBegin || writes || commit)) {
      reply.error = ErrorCode::kReadOnly;
      if (connection->open) reply.state = TransactionState::kFailed;
      connection->open = false;
    } else if (call.kind == CallKind::kBegin) {
      connection->open = true;
    } else if (call.kind == CallKind::kRollback || commit) {
      connection->open = false;
    }
    if (reply.ok() && (writes || commit)) ++group.index;
    if (reply.ok() && connection->open) reply.state = TransactionState::kOpen;
    reply.position = LogPosition{group.term, group.index};
    if (call.kind == CallKind::kVerbatim) reply.digest = "digest";
    if (call.kind == CallKind::kStatus) {
      StatusReport report;
      report.primary = primary;
      report.term = group.term;
      report.received = *reply.position;
      reply.status = report;
    }
    return reply;
  }

  VirtualClock clock_;
  std::mt19937_64 random_;
  RouteTable table_;
  Roster databases_;
  std::map<std::string, Group> groups_;
  std::map<std::string, TimePoint> leaving_since_;
  std::map<CallerId, Caller> callers_;
  std::map<ConnectionId, Connection> connections_;
  std::map<std::string, CallerId> asked_;
  uint64_t last_database_ = 0;
  uint64_t last_statement_ = 0;
  uint64_t answered_ = 0;
  std::unique_ptr<Proxy> proxy_;
};

// A statement that goes to a group that its route does not lead to reads or
// writes another workspace's data. One that goes to a database that is about to
// end is cut off.
TEST(SessionDirectory, SendsStatementsOnlyWhereTheyMayGo) {
  const uint64_t first = FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  const uint64_t seeds = FromEnvironment("RYEFOLD_RUNS", kSeeds);
  uint64_t answered = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    World world(seed);
    world.Play(milliseconds(20000));
    answered += world.answered();
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
  EXPECT_GT(answered, 500 * seeds);
}

}  // namespace
}  // namespace ryefold::testsuite
