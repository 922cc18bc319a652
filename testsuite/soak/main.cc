// soak_sessions: real daemons as processes of their own before stand-in
// databases and a stand-in store, callers whose every answer is checked, and
// faults from outside: links delayed, cut, silenced and reset by loopback
// proxies, processes stopped, paused, killed and restarted by signals,
// databases crashed, slowed and replaced, configuration changed. Several
// faults overlap. Ends with 1 when a promise was broken.

#include <event2/event.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>

#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ryefold/wire/http.h"
#include "testsuite/soak/instance_process.h"
#include "testsuite/soak/tcp_proxy.h"
#include "testsuite/standins/lib/key_value.h"
#include "testsuite/standins/lib/line_databases.h"
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
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using testsuite::SessionLink;

constexpr CallerId kCallers = 24;
constexpr size_t kInstances = 4;
constexpr uint16_t kFirstPort = 10000;
constexpr uint16_t kPorts = 20000;
/// A session that gets no answer for this long is given up by its caller.
constexpr milliseconds kPatience{4000};
/// Time for everything to come to rest after the last fault.
constexpr milliseconds kRest{6000};

struct Options {
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  milliseconds span{10000};
  /// Replaced primaries go on, and databases are started anew.
  bool databases_go_on = false;
};

std::string Config(uint64_t version) {
  std::string routes;
  for (const char* type : {"primary", "bounded", "session"}) {
    routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"" + type +
              "\",\"host\":\"" + type + "\",\"type\":\"" + type +
              "\",\"timeout_ms\":1000,\"goal_ms\":400,\"priority\":1,"
              "\"service\":\"group\",\"max_staleness_ms\":1500}";
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"group\",\"max_conns\":21}],"
         "\"limits\":{\"tx_idle_ms\":3000}}";
}

/// The whole: stand-ins, proxies, processes, callers, faults.
class Soak : public testsuite::CallerModel {
 public:
  explicit Soak(const Options& options)
      : CallerModel(options.seed),
        options_(options),
        base_(event_base_new()),
        store_(base_),
        databases_(base_, &store_, "group"),
        promotion_(base_, wire::HttpLimits(),
                   [this](const wire::HttpExchange& e) { OnPromote(e); }) {}

  bool Prepare() {
    if (options_.databases_go_on) databases_.cluster().LetReplacedGoOn();
    std::vector<std::string> errors = {store_.Listen("127.0.0.1:0"),
                                       promotion_.Listen("127.0.0.1:0"),
                                       databases_.Start()};
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      links_[id] = std::make_unique<TcpProxy>(base_);
      errors.push_back(links_[id]->Listen(databases_.port(id)));
      databases_.Advertise(id, links_[id]->port());
    }
    databases_.Register();
    store_.Put("op/config", Config(version_));
    for (size_t i = 0; i < kInstances; ++i) AddInstance(i, &errors);
    for (const std::string& error : errors) {
      if (error.empty()) continue;
      std::cerr << "soak: " << error << "\n";
      return false;
    }
    return true;
  }

  void Play() {
    Supervise();
    Run(milliseconds(1200));
    for (CallerId id = 1; id <= kCallers; ++id) StartCaller(id);
    ScheduleFault();
    Run(options_.span);
    healing_ = true;
    Heal();
    Stop();
    Run(kRest);
    CheckAtEnd();
    for (const testsuite::LogPosition& lost : LostCommits()) {
      ADD_FAILURE() << "acknowledged and gone: " << lost.term << "."
                    << lost.index;
    }
    for (const auto& instance : instances_) {
      EXPECT_FALSE(instance->crashed()) << instance->plan().name;
    }
    EXPECT_GT(tally().acknowledged_writes, 20U);
  }

 private:
  void AddInstance(size_t index, std::vector<std::string>* errors) {
    store_links_.push_back(std::make_unique<TcpProxy>(base_));
    errors->push_back(store_links_.back()->Listen(store_.port()));
    InstancePlan plan;
    plan.program = options_.program;
    plan.folder = options_.folder;
    plan.name = "i" + std::to_string(index);
    plan.failure_domain = std::string(1, static_cast<char>('a' + index % 3));
    plan.session_port = FreePort();
    plan.ready_port = FreePort();
    plan.peer_port = FreePort();
    plan.store_port = store_links_.back()->port();
    plan.promotion_port = promotion_.port();
    instances_.push_back(std::make_unique<InstanceProcess>(plan));
    instances_.back()->Start();
  }
  /// A port that is free and that the kernel does not hand to outgoing
  /// connections: one of those could sit on it while an instance restarts.
  uint16_t FreePort() {
    while (true) {
      const auto port = static_cast<uint16_t>(kFirstPort + random()() % kPorts);
      wire::HttpServer probe(base_, wire::HttpLimits(),
                             [](const wire::HttpExchange&) {});
      const bool free =
          probe.Listen("127.0.0.1:" + std::to_string(port)).empty();
      if (free && ports_.insert(port).second) return port;
    }
  }
  void Run(milliseconds span) {
    bool over = false;
    After(base_, span, [&over] { over = true; });
    while (!over) event_base_loop(base_, EVLOOP_ONCE);
  }

  void OnPromote(const wire::HttpExchange& exchange) {
    const uint64_t token = std::strtoull(
        exchange.header("Ryefold-Fence-Token").c_str(), nullptr, 10);
    const size_t at = exchange.body().find("db-");
    wire::HttpReply reply;
    reply.status = databases_.Promote(exchange.body().substr(at, 4), token);
    // One order in six is carried out without an answer.
    if (random()() % 6 != 0) exchange.Reply(reply);
  }

  /// Restarts what has ended; an instance is never away for long.
  void Supervise() {
    for (const auto& instance : instances_) {
      if (!instance->Running()) instance->Start();
    }
    After(base_, milliseconds(300), [this] { Supervise(); });
  }

  void ScheduleFault() {
    After(base_, milliseconds(150 + random()() % 700), [this] {
      if (healing_) return;
      Fault();
      ScheduleFault();
    });
  }

  void HarmFor(TcpProxy* link, LinkHarm harm, milliseconds span) {
    link->SetHarm(harm, milliseconds(50 + random()() % 250));
    After(base_, span, [link] { link->SetHarm(LinkHarm::kNone, {}); });
  }

  void Fault() {
    const char* ids[] = {"db-a", "db-b", "db-c"};
    const std::string database = ids[random()() % 3];
    const size_t instance = random()() % kInstances;
    const milliseconds span(300 + random()() % 2500);
    const auto harm = static_cast<LinkHarm>(1 + random()() % 4);
    if (options_.databases_go_on && random()() % 3 == 0) {
      HarmGroup(database, span);
      return;
    }
    switch (random()() % 11) {
      case 0:
      case 1:
        HarmFor(links_[database].get(), harm, span);
        break;
      case 2:
        links_[database]->ResetAll();
        break;
      case 3:
        HarmFor(store_links_[instance].get(), harm, span);
        break;
      case 4:
        instances_[instance]->Kill();
        break;
      case 5:
        instances_[instance]->Signal(SIGTERM);
        break;
      case 6:
        instances_[instance]->Signal(SIGSTOP);
        After(base_, span,
              [this, instance] { instances_[instance]->Signal(SIGCONT); });
        break;
      case 7:
        // Every other time it receives nothing at all.
        databases_.cluster().database(database).lag = span;
        databases_.cluster().database(database).deaf = span.count() % 2 == 0;
        break;
      case 8:
        databases_.cluster().database(database).slow = milliseconds(80);
        databases_.cluster().database(database).lose_one_in = 30;
        break;
      case 9:
        store_.faults().down = true;
        if (random()() % 2 == 0) store_.RevokeLeases();
        After(base_, span, [this] { store_.faults().down = false; });
        break;
      default:
        instances_[instance]->Signal(SIGHUP);
        store_.Put("op/config", Config(++version_));
        HealDatabases();
        break;
    }
  }
  /// Partitions the primary from the others, which may be promoted and leave it
  /// to go on, or starts a replica anew while the other one receives.
  void HarmGroup(const std::string& database, milliseconds span) {
    testsuite::FakeCluster& cluster = databases_.cluster();
    const std::string primary = cluster.primary();
    if (database == primary) {
      for (const char* id : {"db-a", "db-b", "db-c"}) {
        if (id != primary) cluster.Cut(primary, id);
      }
      After(base_, span * 2, [this] { databases_.cluster().HealCuts(); });
      return;
    }
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      const testsuite::FakeDatabase& other = cluster.database(id);
      if (other.deaf || !other.cut_from.empty()) return;
      if (other.primary && id != primary) return;
    }
    databases_.StartAnew(database);
  }

  void HealDatabases() {
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      testsuite::FakeDatabase& database = databases_.cluster().database(id);
      database.lag = milliseconds(20);
      database.deaf = false;
      database.slow = milliseconds(0);
      database.lose_one_in = 0;
    }
  }
  void Heal() {
    HealDatabases();
    databases_.cluster().HealCuts();
    store_.faults() = standins::KeyValueFaults();
    for (auto& [id, link] : links_) link->SetHarm(LinkHarm::kNone, {});
    for (auto& link : store_links_) link->SetHarm(LinkHarm::kNone, {});
    for (auto& instance : instances_) instance->Signal(SIGCONT);
  }

  // CallerModel
  TimePoint Now() const override { return steady_clock::now(); }
  testsuite::FakeCluster& cluster() override { return databases_.cluster(); }
  void AskAfter(CallerId id, milliseconds pause) override {
    After(base_, pause, [this, id, since = life(id)] {
      if (since == life(id) && sessions_.count(id) > 0) Ask(id);
    });
  }
  void OpenSession(CallerId id, const std::string& route) override {
    const uint64_t since = life(id);
    const size_t instance = (id + attempts_++) % kInstances;
    sessions_[id] = std::make_shared<SessionLink>(
        base_,
        "127.0.0.1:" +
            std::to_string(instances_[instance]->plan().session_port),
        route,
        [this, id, since](const Reply& reply) {
          if (since != life(id)) return;
          ++answers_[id];
          Replied(id, reply);
        },
        [this, id, since] {
          // Not from within the link's own call.
          After(base_, milliseconds(50 + random()() % 200),
                [this, id, since] { Reopen(id, since); });
        });
  }
  void SendStatement(CallerId caller, const std::string& id,
                     const Statement& statement) override {
    sessions_.at(caller)->Send(id, statement.text);
    const uint64_t asked = ++answers_[caller];
    After(base_, kPatience, [this, caller, asked, since = life(caller)] {
      if (answers_[caller] == asked) Reopen(caller, since);
    });
  }
  void Reopen(CallerId id, uint64_t since) {
    if (since != life(id)) return;
    sessions_.at(id)->Close();
    closed_.push_back(std::move(sessions_.at(id)));
    sessions_.erase(id);
    SessionLost(id);
    if (!healing_) StartCaller(id);
  }

  const Options options_;
  event_base* base_;
  standins::KeyValueStandin store_;
  standins::LineDatabases databases_;
  wire::HttpServer promotion_;
  std::map<std::string, std::unique_ptr<TcpProxy>> links_;
  std::vector<std::unique_ptr<TcpProxy>> store_links_;
  std::vector<std::unique_ptr<InstanceProcess>> instances_;
  std::map<CallerId, std::shared_ptr<SessionLink>> sessions_;
  std::vector<std::shared_ptr<SessionLink>> closed_;
  std::map<CallerId, uint64_t> answers_;
  uint64_t attempts_ = 0;
  std::set<uint16_t> ports_;
  uint64_t version_ = 1;
  bool healing_ = false;
};

int Play(const Options& options) {
  Soak soak(options);
  if (!soak.Prepare()) return 2;
  soak.Play();
  const auto& tally = soak.tally();
  std::cout << "seed=" << options.seed << " done=" << tally.done
            << " refused=" << tally.refused << " doubtful=" << tally.doubtful
            << " writes=" << tally.acknowledged_writes
            << " broken=" << (testing::Test::HasFailure() ? "yes" : "no")
            << std::endl;
  return testing::Test::HasFailure() ? 1 : 0;
}

}  // namespace
}  // namespace ryefold::soak

int main(int argc, char** argv) {
  cxxopts::Options flags("soak_sessions",
                         "Random faults against real daemons.");
  flags.add_options()(
      "program", "path of ryefoldd",
      cxxopts::value<std::string>()->default_value("build/ryefoldd"))(
      "folder", "folder for settings and logs",
      cxxopts::value<std::string>()->default_value("/tmp"))(
      "seed", "seed", cxxopts::value<uint64_t>()->default_value("1"))(
      "databases-go-on",
      "replaced primaries go on for a while, databases are started anew",
      cxxopts::value<bool>()->default_value("false"))(
      "seconds", "time with faults",
      cxxopts::value<uint64_t>()->default_value("10"));
  const auto parsed = flags.parse(argc, argv);
  testing::InitGoogleTest(&argc, argv);
  signal(SIGPIPE, SIG_IGN);
  ryefold::soak::Options options;
  options.program = parsed["program"].as<std::string>();
  options.folder = parsed["folder"].as<std::string>();
  options.seed = parsed["seed"].as<uint64_t>();
  options.span = std::chrono::seconds(
      static_cast<int64_t>(parsed["seconds"].as<uint64_t>()));
  options.databases_go_on = parsed["databases-go-on"].as<bool>();
  return ryefold::soak::Play(options);
}
