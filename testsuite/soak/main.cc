// soak_sessions: runs real daemons as separate processes against stand-in
// databases and a stand-in store, and checks every reply that callers get.
// Injects overlapping faults: loopback proxies delay, drop and reset
// connections; signals stop, pause and kill processes, which are then
// restarted; databases lag, slow down and are replaced; the configuration
// changes. Exits with 1 if a check fails.

#include <event2/event.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "ryefold/wire/http.h"
#include "testsuite/soak/tcp_proxy.h"
#include "testsuite/standins/lib/instance_process.h"
#include "testsuite/standins/lib/key_value.h"
#include "testsuite/standins/lib/line_databases.h"
#include "testsuite/standins/lib/local_ports.h"
#include "testsuite/standins/lib/timer.h"
#include "testsuite/support/event/session_link.h"
#include "testsuite/support/session/checked_callers.h"

namespace ryefold::soak {
namespace {

using core::TimePoint;
using core::session::CallerId;
using core::session::Reply;
using core::session::Statement;
using standins::After;
using standins::InstanceConfig;
using standins::InstanceProcess;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using testsuite::FakeCluster;
using testsuite::SessionLink;

constexpr CallerId kCallers = 24;
constexpr size_t kInstances = 4;
/// Time without a reply after which a caller abandons its session.
constexpr milliseconds kReplyTimeout{4000};
/// With changing routes: the maximum staleness of all routes, and a lag of
/// replicas below it, so that only a session's own commits keep its reads from
/// them.
constexpr milliseconds kRouteChangeStaleness{2500};
constexpr milliseconds kRouteChangeLag{2200};
/// Time for recovery after the last fault.
constexpr milliseconds kRecoveryTime{6000};

/// Names in the log of injected faults, by the number that `InjectFault` draws.
constexpr const char* kFaultNames[] = {
    "database_link",    "database_link",        "database_link_reset",
    "store_link",       "instance_killed",      "instance_terminated",
    "instance_stopped", "replication_delayed",  "database_slow",
    "store_down",       "configuration_changed"};
/// Names of the kinds of `LinkFault`.
constexpr const char* kLinkFaultNames[] = {"none", "delay", "drop_all",
                                           "drop_replies", "refuse"};

struct Options {
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  milliseconds duration{10000};
  /// Lets replaced primaries stay active, and restarts databases with empty
  /// state.
  bool databases_go_on = false;
  /// Adds a second group, to which routes lead for a while.
  bool routes_change = false;
};

/// Beginnings of the ids of the databases of either group.
constexpr const char* kIdPrefix = "db-";
constexpr const char* kOtherIdPrefix = "ob-";

/// Groups by route. A route that is missing does not exist.
using RouteGroups = std::map<std::string, std::string>;

std::string MakeConfig(uint64_t version, const RouteGroups& route_groups,
                       milliseconds max_staleness, bool other_group) {
  std::string routes;
  for (const char* type : {"primary", "bounded", "session"}) {
    const auto group = route_groups.find(type);
    if (group == route_groups.end()) continue;
    routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"" + type +
              "\",\"host\":\"" + type + "\",\"type\":\"" + type +
              "\",\"timeout_ms\":1000,\"goal_ms\":400,\"priority\":1,"
              "\"service\":\"" +
              group->second + "\",\"max_staleness_ms\":" +
              std::to_string(max_staleness.count()) + "}";
  }
  const std::string other =
      other_group ? ",{\"name\":\"other\",\"max_conns\":21}" : "";
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"group\",\"max_conns\":21}" + other +
         "],\"limits\":{\"tx_idle_ms\":3000}}";
}

/// Owns the stand-ins, proxies, processes and callers of a run, and injects
/// faults.
class Soak : public testsuite::CallerModel {
 public:
  explicit Soak(const Options& options)
      : CallerModel(options.seed),
        options_(options),
        faults_(options.seed),
        lost_replies_(options.seed),
        base_(event_base_new()),
        ports_(base_, options.seed),
        store_(base_),
        databases_(base_, &store_, "group", kIdPrefix),
        other_databases_(base_, &store_, "other", kOtherIdPrefix),
        promotion_(base_, wire::HttpLimits(),
                   [this](const wire::HttpExchange& e) { OnPromote(e); }) {}

  bool StartAll() {
    if (options_.databases_go_on) databases_.cluster().KeepReplacedActive();
    std::vector<std::string> errors = {store_.Listen("127.0.0.1:0"),
                                       promotion_.Listen("127.0.0.1:0"),
                                       databases_.Start()};
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      db_links_[id] = std::make_unique<TcpProxy>(base_);
      errors.push_back(db_links_[id]->Listen(databases_.port(id)));
      databases_.Advertise(id, db_links_[id]->port());
    }
    databases_.Register();
    if (options_.routes_change) errors.push_back(other_databases_.Start());
    PublishConfig();
    for (size_t i = 0; i < kInstances; ++i) AddInstance(i, &errors);
    for (const std::string& error : errors) {
      if (error.empty()) continue;
      std::cerr << "soak_sessions: " << error << "\n";
      return false;
    }
    return true;
  }

  void RunFaults() {
    RestartEnded();
    RunFor(milliseconds(1200));
    for (CallerId id = 1; id <= kCallers; ++id) StartCaller(id);
    ScheduleFault();
    RunFor(options_.duration);
    faults_ended_ = true;
    ClearFaults();
    StopNewWork();
    RunFor(kRecoveryTime);
    CheckFinalState();
    for (const testsuite::LogPosition& lost : LostCommits()) {
      ADD_FAILURE() << "lost acknowledged commit " << lost.term << "."
                    << lost.index;
    }
    for (const auto& instance : instances_) {
      EXPECT_FALSE(instance->crashed()) << instance->config().name;
    }
    EXPECT_GT(tally().acknowledged_writes, 20U);
  }

 private:
  void AddInstance(size_t index, std::vector<std::string>* errors) {
    store_links_.push_back(std::make_unique<TcpProxy>(base_));
    errors->push_back(store_links_.back()->Listen(store_.port()));
    InstanceConfig config;
    config.program = options_.program;
    config.folder = options_.folder;
    config.name = "i" + std::to_string(index);
    config.failure_domain = std::string(1, static_cast<char>('a' + index % 3));
    config.host = ports_.host();
    config.session_port = ports_.NextFree();
    config.ready_port = ports_.NextFree();
    config.peer_port = ports_.NextFree();
    config.store_port = store_links_.back()->port();
    config.promotion_port = promotion_.port();
    instances_.push_back(std::make_unique<InstanceProcess>(config));
    instances_.back()->Start();
  }
  void RunFor(milliseconds duration) {
    bool elapsed = false;
    After(base_, duration, [&elapsed] { elapsed = true; });
    while (!elapsed) event_base_loop(base_, EVLOOP_ONCE);
  }

  void OnPromote(const wire::HttpExchange& exchange) {
    const uint64_t token = std::strtoull(
        exchange.header("Ryefold-Fence-Token").c_str(), nullptr, 10);
    wire::HttpReply reply;
    const size_t at = std::min(exchange.body().find(kIdPrefix),
                               exchange.body().find(kOtherIdPrefix));
    const std::string id = exchange.body().substr(at, 4);
    const bool other = other_databases_.cluster().Contains(id);
    reply.status = (other ? other_databases_ : databases_).Promote(id, token);
    // Drops the reply of one promotion in six.
    if (lost_replies_() % 6 != 0) exchange.Reply(reply);
  }

  /// Restarts ended instances every 300 ms.
  void RestartEnded() {
    for (const auto& instance : instances_) {
      if (!instance->IsRunning()) instance->Start();
    }
    After(base_, milliseconds(300), [this] { RestartEnded(); });
  }

  void ScheduleFault() {
    After(base_, milliseconds(150 + faults_() % 700), [this] {
      if (faults_ended_) return;
      InjectFault();
      ScheduleFault();
    });
  }

  void InjectLinkFault(TcpProxy* link, LinkFault fault, milliseconds duration) {
    link->SetFault(fault, milliseconds(50 + faults_() % 250));
    After(base_, duration, [link] { link->SetFault(LinkFault::kNone, {}); });
  }

  void InjectFault() {
    const char* ids[] = {"db-a", "db-b", "db-c"};
    const std::string database = ids[faults_() % 3];
    const size_t instance = faults_() % kInstances;
    const milliseconds duration(300 + faults_() % 2500);
    const auto fault = static_cast<LinkFault>(1 + faults_() % 4);
    if (options_.databases_go_on && faults_() % 3 == 0) {
      LogFault("group_fault database=" + database +
               " duration=" + std::to_string(duration.count()) + "ms");
      InjectGroupFault(database, duration);
      return;
    }
    if (options_.routes_change && faults_() % 2 == 0) {
      InjectRouteChange();
      return;
    }
    const uint64_t kind = faults_() % std::size(kFaultNames);
    LogFault(std::string(kFaultNames[kind]) + " database=" + database +
             " instance=i" + std::to_string(instance) +
             " link=" + kLinkFaultNames[static_cast<size_t>(fault)] +
             " duration=" + std::to_string(duration.count()) + "ms");
    switch (kind) {
      case 0:
      case 1:
        InjectLinkFault(db_links_[database].get(), fault, duration);
        break;
      case 2:
        db_links_[database]->ResetAll();
        break;
      case 3:
        InjectLinkFault(store_links_[instance].get(), fault, duration);
        break;
      case 4:
        instances_[instance]->Kill();
        break;
      case 5:
        instances_[instance]->SendSignal(SIGTERM);
        break;
      case 6:
        instances_[instance]->SendSignal(SIGSTOP);
        After(base_, duration,
              [this, instance] { instances_[instance]->SendSignal(SIGCONT); });
        break;
      case 7:
        // For half of the durations replication stops altogether.
        databases_.cluster().database(database).lag = duration;
        databases_.cluster().database(database).detached =
            duration.count() % 2 == 0;
        break;
      case 8:
        databases_.cluster().database(database).extra_latency =
            milliseconds(80);
        databases_.cluster().database(database).lose_one_in = 30;
        break;
      case 9:
        store_.faults().down = true;
        if (faults_() % 2 == 0) store_.RevokeLeases();
        After(base_, duration, [this] { store_.faults().down = false; });
        break;
      default:
        instances_[instance]->SendSignal(SIGHUP);
        ++config_version_;
        PublishConfig();
        ClearDatabaseFaults();
        break;
    }
  }
  void PublishConfig() {
    store_.Put("op/config",
               MakeConfig(config_version_, route_groups_, max_staleness(),
                          options_.routes_change));
  }
  void LeadRouteTo(const std::string& route, const std::string& group) {
    if (group.empty()) {
      route_groups_.erase(route);
    } else {
      route_groups_[route] = group;
    }
    ++config_version_;
    PublishConfig();
  }
  /// Leads a route, mostly that of session reads, to the other group and back
  /// while replicas lag. In one of four cases the route is removed in between.
  void InjectRouteChange() {
    const char* routes[] = {"session", "session", "session", "primary",
                            "bounded"};
    const std::string route = routes[faults_() % std::size(routes)];
    const bool removed = faults_() % 4 == 0;
    // Instances read the configuration once a second while they start.
    const milliseconds away_for(900 + faults_() % 500);
    LogFault("route_changed route=" + route +
             " removed=" + (removed ? "yes" : "no") +
             " duration=" + std::to_string(away_for.count()) + "ms");
    for (FakeCluster* each : clusters()) {
      for (const std::string& id : each->ids()) {
        each->database(id).lag = kRouteChangeLag;
      }
    }
    LeadRouteTo(route, removed ? "" : "other");
    After(base_, away_for / 2, [this, route] { LeadRouteTo(route, "other"); });
    After(base_, away_for, [this, route] { LeadRouteTo(route, "group"); });
  }
  /// Partitions the primary from the other databases, one of which may then be
  /// promoted while the primary stays active; or restarts a replica with empty
  /// state while the other one receives.
  void InjectGroupFault(const std::string& database, milliseconds duration) {
    testsuite::FakeCluster& cluster = databases_.cluster();
    const std::string primary = cluster.primary();
    if (database == primary) {
      for (const char* id : {"db-a", "db-b", "db-c"}) {
        if (id != primary) cluster.Partition(primary, id);
      }
      After(base_, duration * 2,
            [this] { databases_.cluster().HealPartitions(); });
      return;
    }
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      const testsuite::FakeDatabase& other = cluster.database(id);
      if (other.detached || !other.partitioned_from.empty()) return;
      if (other.primary && id != primary) return;
    }
    databases_.StartAnew(database);
  }

  void ClearDatabaseFaults() {
    for (FakeCluster* each : clusters()) {
      for (const std::string& id : each->ids()) {
        testsuite::FakeDatabase& database = each->database(id);
        database.lag = milliseconds(20);
        database.detached = false;
        database.extra_latency = milliseconds(0);
        database.lose_one_in = 0;
      }
    }
  }
  void ClearFaults() {
    ClearDatabaseFaults();
    databases_.cluster().HealPartitions();
    store_.faults() = standins::KeyValueFaults();
    for (auto& [id, link] : db_links_) link->SetFault(LinkFault::kNone, {});
    for (auto& link : store_links_) link->SetFault(LinkFault::kNone, {});
    for (auto& instance : instances_) instance->SendSignal(SIGCONT);
  }

  // CallerModel
  TimePoint Now() const override { return steady_clock::now(); }
  FakeCluster& cluster() override { return databases_.cluster(); }
  milliseconds max_staleness() const override {
    return options_.routes_change ? kRouteChangeStaleness
                                  : CallerModel::max_staleness();
  }
  std::vector<FakeCluster*> clusters() override {
    return {&databases_.cluster(), &other_databases_.cluster()};
  }
  void SendNextAfter(CallerId id, milliseconds pause) override {
    After(base_, pause, [this, id, number = session_number(id)] {
      if (number == session_number(id) && sessions_.count(id) > 0) SendNext(id);
    });
  }
  void OpenSession(CallerId id, const std::string& route) override {
    const uint64_t number = session_number(id);
    const size_t instance = (id + session_attempts_++) % kInstances;
    sessions_[id] = std::make_shared<SessionLink>(
        base_, ports_.Address(instances_[instance]->config().session_port),
        route,
        [this, id, number](const Reply& reply) {
          if (number != session_number(id)) return;
          ++activity_[id];
          OnStatementReply(id, reply);
        },
        [this, id, number] {
          // Deferred because the callback runs inside the link.
          After(base_, milliseconds(50 + random()() % 200),
                [this, id, number] { Reopen(id, number); });
        });
  }
  void SendStatement(CallerId caller, const std::string& id,
                     const Statement& statement) override {
    sessions_.at(caller)->Send(id, statement.text);
    const uint64_t activity = ++activity_[caller];
    After(base_, kReplyTimeout,
          [this, caller, activity, number = session_number(caller)] {
            if (activity_[caller] == activity) Reopen(caller, number);
          });
  }
  void Reopen(CallerId id, uint64_t number) {
    if (number != session_number(id)) return;
    sessions_.at(id)->Close();
    closed_sessions_.push_back(std::move(sessions_.at(id)));
    sessions_.erase(id);
    OnSessionLost(id);
    if (!faults_ended_) StartCaller(id);
  }

  /// Logs a fault with the writes that callers had acknowledged by then and the
  /// state of the databases, so that a run with too few of them can be traced.
  void LogFault(const std::string& fault) {
    const auto since_start = std::chrono::duration_cast<milliseconds>(
        steady_clock::now() - started_at_);
    fault_log_ << "at=" << since_start.count() << "ms fault=" << fault
               << " writes=" << tally().acknowledged_writes
               << " refused=" << tally().refused
               << " primary=" << databases_.cluster().primary();
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      const testsuite::FakeDatabase& database =
          databases_.cluster().database(id);
      fault_log_ << " " << id << "=latency:" << database.extra_latency.count()
                 << "ms,detached:" << database.detached
                 << ",received:" << database.log.size();
    }
    fault_log_ << std::endl;
  }

  const Options options_;
  // Callers draw as often as replies arrive. With generators of their own, the
  // faults of a seed are the same in each run.
  std::mt19937_64 faults_;
  std::mt19937_64 lost_replies_;
  const steady_clock::time_point started_at_ = steady_clock::now();
  std::ofstream fault_log_{options_.folder + "/faults.log"};
  event_base* base_;
  standins::LocalPorts ports_;
  standins::KeyValueStandin store_;
  standins::LineDatabases databases_;
  standins::LineDatabases other_databases_;
  wire::HttpServer promotion_;
  std::map<std::string, std::unique_ptr<TcpProxy>> db_links_;
  std::vector<std::unique_ptr<TcpProxy>> store_links_;
  std::vector<std::unique_ptr<InstanceProcess>> instances_;
  std::map<CallerId, std::shared_ptr<SessionLink>> sessions_;
  std::vector<std::shared_ptr<SessionLink>> closed_sessions_;
  std::map<CallerId, uint64_t> activity_;
  uint64_t session_attempts_ = 0;
  uint64_t config_version_ = 1;
  RouteGroups route_groups_ = {
      {"primary", "group"}, {"bounded", "group"}, {"session", "group"}};
  bool faults_ended_ = false;
};

int RunSoak(const Options& options) {
  Soak soak(options);
  if (!soak.StartAll()) return 2;
  soak.RunFaults();
  const auto& tally = soak.tally();
  std::cout << "seed=" << options.seed << " done=" << tally.done
            << " refused=" << tally.refused << " in_doubt=" << tally.in_doubt
            << " writes=" << tally.acknowledged_writes
            << " broken=" << (testing::Test::HasFailure() ? "yes" : "no")
            << std::endl;
  return testing::Test::HasFailure() ? 1 : 0;
}

}  // namespace
}  // namespace ryefold::soak

int main(int argc, char** argv) {
  cxxopts::Options flags(
      "soak_sessions",
      "Injects random faults into real daemons and checks every reply.");
  flags.add_options()(
      "program", "path of ryefoldd",
      cxxopts::value<std::string>()->default_value("build/ryefoldd"))(
      "folder", "folder for settings and logs",
      cxxopts::value<std::string>()->default_value("/tmp"))(
      "seed", "seed of the random operations and faults",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "databases-go-on",
      "replaced primaries stay active for a while, databases restart with "
      "empty state",
      cxxopts::value<bool>()->default_value("false"))(
      "routes-change", "routes lead to a second group for a while",
      cxxopts::value<bool>()->default_value("false"))(
      "seconds", "duration of the fault phase, s",
      cxxopts::value<uint64_t>()->default_value("10"));
  const auto parsed = flags.parse(argc, argv);
  testing::InitGoogleTest(&argc, argv);
  signal(SIGPIPE, SIG_IGN);
  ryefold::soak::Options options;
  options.program = parsed["program"].as<std::string>();
  options.folder = parsed["folder"].as<std::string>();
  options.seed = parsed["seed"].as<uint64_t>();
  options.duration = std::chrono::seconds(
      static_cast<int64_t>(parsed["seconds"].as<uint64_t>()));
  options.databases_go_on = parsed["databases-go-on"].as<bool>();
  options.routes_change = parsed["routes-change"].as<bool>();
  return ryefold::soak::RunSoak(options);
}
