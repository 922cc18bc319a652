// Random changes of routes and databases while callers send statements: routes
// are added, removed and moved between groups; databases drain and are replaced
// at the same addresses. Every statement sent to a database is checked against
// the configuration and the roster at the time of sending.

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
/// Time from the start of draining after which a database must get no
/// statements. A draining primary gets them until its successor replaces it.
constexpr milliseconds kDrainingPrimaryLimit{5100};

/// Simulates callers, the configuration, and database groups that answer every
/// call.
class DirectoryModel : public core::session::SessionPort {
 public:
  explicit DirectoryModel(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kGroups; ++i) {
      for (int n = 0; n < 3; ++n) AddDatabase(GroupName(i));
    }
    for (const char* name : {"one", "two", "three", "four"}) {
      MoveRoute(name, GroupName(static_cast<int>(RandomBelow(kGroups))));
    }
    core::session::ProxySettings settings;
    settings.failure_domain = "a";
    proxy_ = std::make_unique<Proxy>(settings, this, nullptr, nullptr);
    PublishDirectory();
    proxy_->SetInstances(Now(), "i0", {{"i0", "a"}});
    Tick();
    for (CallerId id = 1; id <= kCallers; ++id) OpenSession(id);
  }

  void RunFor(milliseconds duration) {
    const TimePoint end = Now() + duration;
    while (Now() < end) {
      clock_.RunUntil(Now() + milliseconds(1 + RandomBelow(300)));
      ApplyRandomChange();
    }
  }
  uint64_t successful_replies() const { return successful_replies_; }

  void AcceptCaller(CallerId id) override {
    clock_.After(milliseconds(1), [this, id] { SendStatement(id); });
  }
  void ReplyToCaller(CallerId id, const Reply& reply) override {
    Caller& caller = callers_.at(id);
    if (reply.ok()) {
      ++successful_replies_;
    } else if (reply.error == ErrorCode::kNoRoute) {
      EXPECT_EQ(table_.routes.count(caller.route), 0U)
          << "got NoRoute although " << caller.route << " is configured";
    }
    const bool open = reply.state == TransactionState::kOpen;
    if (open && !caller.open) caller.transaction_group = caller.sent_group;
    caller.open = open;
    caller.failed = reply.state == TransactionState::kFailed;
    clock_.After(milliseconds(1 + RandomBelow(80)),
                 [this, id] { SendStatement(id); });
  }
  void RefuseCaller(CallerId id, ErrorCode /*error*/,
                    const std::string& /*text*/) override {
    clock_.After(milliseconds(20), [this, id] { OpenSession(id); });
  }
  void EndSession(CallerId id, ErrorCode /*error*/,
                  const std::string& /*text*/) override {
    clock_.After(milliseconds(20), [this, id] { OpenSession(id); });
  }

  void OpenConnection(ConnectionId connection, const Database& database,
                      const std::string& /*workspace*/) override {
    connections_[connection] = {database.id, false};
    clock_.After(milliseconds(12), [this, connection] {
      if (connections_.count(connection) == 0) return;
      const bool is_running =
          databases_.count(connections_[connection].database);
      if (is_running) {
        proxy_->ConnectionOpened(Now(), connection);
      } else {
        proxy_->ConnectionRefused(Now(), connection, ErrorCode::kWrongDatabase);
      }
    });
  }
  void SendCalls(ConnectionId connection,
                 const std::vector<BackendCall>& calls) override {
    milliseconds delay(1 + RandomBelow(25));
    for (const BackendCall& call : calls) {
      if (call.kind == CallKind::kVerbatim) CheckDestination(connection, call);
      clock_.After(delay, [this, connection, call] {
        if (connections_.count(connection) == 0) return;
        const Reply reply = MakeReply(&connections_[connection], call);
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
    /// Group of the route when the last statement was sent.
    std::string sent_group;
    /// Group of the open transaction.
    std::string transaction_group;
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
  uint64_t RandomBelow(uint64_t limit) { return random_() % limit; }
  TimePoint Now() const { return clock_.now(); }

  void Tick() {
    proxy_->Tick(Now());
    clock_.After(milliseconds(5), [this] { Tick(); });
  }

  void AddDatabase(const std::string& group) {
    Database database;
    database.id = "db-" + std::to_string(++last_database_);
    database.group = group;
    // Addresses are reused, also across groups.
    database.address = "10.0.0.1:" + std::to_string(1000 + RandomBelow(12));
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
    route.freshness = static_cast<Freshness>(RandomBelow(3));
    route.max_staleness = milliseconds(1500);
    table_.routes[name] = route;
    for (int i = 0; i < kGroups; ++i) {
      table_.groups[GroupName(i)].connection_limit = 21;
    }
  }
  void PublishDirectory() {
    ++table_.version;
    proxy_->OnRoutes(Now(), table_);
    PublishRoster();
  }
  /// Publishes the whole list and what has changed in it in turn.
  void PublishRoster() {
    core::session::RosterChange change;
    for (const auto& [id, database] : databases_) {
      const auto before = published_.find(id);
      if (before == published_.end() || before->second != database) {
        change.listed[id] = database;
      }
    }
    for (const auto& [id, database] : published_) {
      if (databases_.count(id) == 0) change.unlisted.push_back(id);
    }
    published_ = databases_;
    publish_whole_ = !publish_whole_;
    if (publish_whole_) {
      proxy_->OnRoster(Now(), databases_);
    } else {
      proxy_->OnRosterChange(Now(), change);
    }
  }

  std::string RandomDatabase() {
    auto it = databases_.begin();
    std::advance(it, RandomBelow(databases_.size()));
    return it->first;
  }

  void ApplyRandomChange() {
    const char* names[] = {"one", "two", "three", "four", "five"};
    const std::string name = names[RandomBelow(5)];
    switch (RandomBelow(6)) {
      case 0:
      case 1:
        MoveRoute(name, GroupName(static_cast<int>(RandomBelow(kGroups))));
        break;
      case 2:
        table_.routes.erase(name);
        break;
      case 3:
        DrainDatabase(RandomDatabase());
        break;
      case 4:
        Promote(GroupName(static_cast<int>(RandomBelow(kGroups))));
        break;
      default:
        break;
    }
    PublishDirectory();
  }

  /// Starts draining a database and adds a replacement; the database stops
  /// later.
  void DrainDatabase(const std::string& id) {
    Database& database = databases_.at(id);
    if (database.draining) return;
    database.draining = true;
    draining_since_[id] = Now();
    AddDatabase(database.group);
    clock_.After(milliseconds(7000), [this, id] {
      Group& group = groups_.at(databases_.at(id).group);
      if (group.primary == id) Promote(databases_.at(id).group);
      databases_.erase(id);
      PublishRoster();
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

  void OpenSession(CallerId id) {
    const char* names[] = {"one", "two", "three", "four", "five"};
    callers_[id] = Caller();
    callers_[id].route = names[RandomBelow(5)];
    proxy_->CallerStarted(Now(), id, callers_[id].route);
  }

  void SendStatement(CallerId id) {
    Caller& caller = callers_.at(id);
    const auto route = table_.routes.find(caller.route);
    caller.sent_group = route == table_.routes.end() ? "" : route->second.group;
    const std::string statement = std::to_string(++last_statement_);
    caller_by_statement_[statement] = id;
    Statement message = MakeStatement(StatementKind::kRead, "READ k");
    if (caller.failed || (caller.open && RandomBelow(3) == 0)) {
      message = MakeStatement(StatementKind::kCommit, "COMMIT");
    } else if (!caller.open && RandomBelow(4) == 0) {
      message = MakeStatement(StatementKind::kBegin, "BEGIN");
    } else if (RandomBelow(3) == 0) {
      message = MakeStatement(StatementKind::kWrite, "WRITE k v");
    }
    proxy_->CallerStatement(Now(), id, statement, message);
  }

  /// Checks that the statement may be sent on the connection under the current
  /// configuration.
  void CheckDestination(ConnectionId connection, const BackendCall& call) {
    const Caller& caller = callers_.at(caller_by_statement_.at(call.id));
    const std::string& id = connections_.at(connection).database;
    ASSERT_EQ(databases_.count(id), 1U)
        << "sent to a database that has stopped";
    const std::string& group = databases_.at(id).group;
    if (caller.open) {
      EXPECT_EQ(group, caller.transaction_group)
          << "sent to another group than its transaction's";
      return;
    }
    // A route change does not move a statement that is already queued.
    EXPECT_EQ(group, caller.sent_group)
        << "sent to another group than its route's";
    if (!databases_.at(id).draining) return;
    const bool is_primary =
        groups_.at(group).primary == id || databases_.at(id).claims_primary;
    EXPECT_LT(Now() - draining_since_.at(id), kDrainingPrimaryLimit)
        << id << " is draining, role " << (is_primary ? "primary" : "replica");
  }

  Reply MakeReply(Connection* connection, const BackendCall& call) {
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
  /// The list as the proxy has it.
  Roster published_;
  bool publish_whole_ = false;
  std::map<std::string, Group> groups_;
  std::map<std::string, TimePoint> draining_since_;
  std::map<CallerId, Caller> callers_;
  std::map<ConnectionId, Connection> connections_;
  std::map<std::string, CallerId> caller_by_statement_;
  uint64_t last_database_ = 0;
  uint64_t last_statement_ = 0;
  uint64_t successful_replies_ = 0;
  std::unique_ptr<Proxy> proxy_;
};

// A statement sent to a group other than its route's reads or writes another
// workspace's data. A statement sent to a draining database may be aborted when
// the database stops.
TEST(SessionDirectory, SendsStatementsOnlyWhereTheyMayGo) {
  const uint64_t first = FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  const uint64_t seeds = FromEnvironment("RYEFOLD_RUNS", kSeeds);
  uint64_t successful_replies = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    DirectoryModel model(seed);
    model.RunFor(milliseconds(20000));
    successful_replies += model.successful_replies();
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
  EXPECT_GT(successful_replies, 500 * seeds);
}

}  // namespace
}  // namespace ryefold::testsuite
