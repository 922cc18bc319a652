#include "testsuite/process_shutdown/planned_work.h"

#include <event2/event.h>
#include <signal.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <utility>

#include "testsuite/standins/lib/timer.h"

namespace ryefold::testsuite {
namespace {

using core::session::ErrorCode;
using core::session::Reply;
using core::session::TransactionState;
using standins::After;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A statement whose connection ends later than this after it was sent counts
/// as read.
constexpr milliseconds kReadWithin{200};
constexpr milliseconds kStartTime{10000};
constexpr milliseconds kRestartDelay{100};
constexpr milliseconds kReconnectDelay{20};
/// Pause of a caller whose statement was refused.
constexpr milliseconds kRetryDelay{20};
constexpr milliseconds kPoll{10};
constexpr milliseconds kProbeInterval{50};
/// Time in which callers notice what has happened while they did not run.
constexpr milliseconds kDelayEffect{1000};
/// Time for callers to finish what they have begun.
constexpr milliseconds kFinishTime{1500};

/// Returns the path of the daemon, which is built beside the folder of tests;
/// RYEFOLD_PROGRAM overrides it.
std::string Program() {
  const char* other = std::getenv("RYEFOLD_PROGRAM");
  if (other != nullptr) return other;
  const std::filesystem::path self =
      std::filesystem::read_symlink("/proc/self/exe");
  return self.parent_path().parent_path() / "ryefoldd";
}

std::string MakeConfig(uint64_t version, uint32_t max_connections) {
  std::string routes;
  for (const char* type : {"primary", "bounded", "session"}) {
    routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"" + type +
              "\",\"host\":\"" + type + "\",\"type\":\"" + type +
              "\",\"timeout_ms\":" + std::to_string(1000 + version % 2) +
              ",\"goal_ms\":400,\"priority\":1,\"service\":\"group\","
              "\"max_staleness_ms\":1500}";
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"group\",\"max_conns\":" +
         std::to_string(max_connections) +
         "}],\"limits\":{\"tx_idle_ms\":3000}}";
}

}  // namespace

PlannedWork::PlannedWork(const PlannedWorkOptions& options)
    : options_(options),
      random_(options.seed),
      base_(event_base_new()),
      ports_(base_, options.seed),
      store_(base_),
      databases_(base_, &store_, "group"),
      promotion_(base_, wire::HttpLimits(),
                 [this](const wire::HttpExchange& e) { OnPromote(e); }) {}

PlannedWork::~PlannedWork() {
  instances_.clear();
  if (!testing::Test::HasFailure()) std::filesystem::remove_all(folder_);
}

void PlannedWork::Start() {
  std::string folder =
      (std::filesystem::temp_directory_path() / "shutdown-XXXXXX").string();
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  folder_ = folder;
  ASSERT_EQ(store_.Listen("127.0.0.1:0"), "");
  ASSERT_EQ(promotion_.Listen("127.0.0.1:0"), "");
  ASSERT_EQ(databases_.Start(), "");
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    databases_.cluster().database(id).max_connections =
        options_.max_connections;
  }
  store_.Put("op/config", MakeConfig(version_, options_.max_connections));
  for (size_t i = 0; i < options_.instances; ++i) AddInstance(i);
  WatchStops();
  const auto deadline = steady_clock::now() + kStartTime;
  for (size_t i = 0; i < options_.instances; ++i) {
    bool accepted = false;
    while (!accepted && steady_clock::now() < deadline) {
      const auto probe = std::make_shared<RecordingCaller>(
          base_, AddressOf(i), "primary", OnNotice::kClose, milliseconds(0));
      probe->SetCallbacks(
          {[&accepted] { accepted = true; }, [](const Reply&) {}, [] {}});
      RunFor(milliseconds(100));
      probe->Close();
    }
    ASSERT_TRUE(accepted) << "instance " << i << ", logs in " << folder_;
  }
}

/// Planned work replaces no primary, unless the databases, which run in this
/// process, were silent together with it.
void PlannedWork::OnPromote(const wire::HttpExchange& exchange) {
  EXPECT_TRUE(options_.lose_commits_one_in > 0 || !delays_ended_at_.empty())
      << "a database was promoted: " << exchange.body();
  const uint64_t token = std::strtoull(
      exchange.header("Ryefold-Fence-Token").c_str(), nullptr, 10);
  ++promotions_;
  wire::HttpReply reply;
  reply.status = databases_.Promote(
      exchange.body().substr(exchange.body().find("db-"), 4), token);
  exchange.Reply(reply);
}

void PlannedWork::AddInstance(size_t index) {
  standins::InstanceConfig config;
  config.program = Program();
  config.folder = folder_;
  config.name = "i" + std::to_string(index);
  config.failure_domain = std::string(1, static_cast<char>('a' + index % 3));
  config.host = ports_.host();
  config.session_port = ports_.NextFree();
  config.ready_port = ports_.NextFree();
  config.peer_port = ports_.NextFree();
  config.store_port = store_.port();
  config.promotion_port = promotion_.port();
  config.stop_grace = options_.grace;
  instances_.push_back(std::make_unique<standins::InstanceProcess>(config));
  stops_.emplace_back();
  instances_.back()->Start();
}

std::string PlannedWork::AddressOf(size_t instance) const {
  return ports_.Address(instances_[instance]->config().session_port);
}

void PlannedWork::RunFor(milliseconds duration) {
  bool elapsed = false;
  After(base_, duration, [&elapsed] { elapsed = true; });
  while (!elapsed) event_base_loop(base_, EVLOOP_ONCE);
}

// ---- planned work ----

void PlannedWork::Terminate(size_t instance) {
  Stop& stop = stops_[instance];
  if (stop.starting) return;
  instances_[instance]->SendSignal(SIGTERM);
  if (std::exchange(stop.active, true)) return;
  ++stops_made_;
  stop.kill_at = steady_clock::now() + options_.grace;
}

void PlannedWork::Reload(size_t instance) {
  if (!stops_[instance].starting) instances_[instance]->SendSignal(SIGHUP);
}

void PlannedWork::ChangeConfiguration() {
  store_.Put("op/config", MakeConfig(++version_, options_.max_connections));
}

void PlannedWork::DoRandomWork() {
  const size_t instance = RandomBelow(instances_.size());
  switch (RandomBelow(5)) {
    case 0:
      return ChangeConfiguration();
    case 1:
      return Reload(instance);
    default:
      return Terminate(instance);
  }
}

/// Kills what outlasts the grace, and restarts what has ended.
void PlannedWork::WatchStops() {
  for (size_t i = 0; i < instances_.size(); ++i) {
    Stop& stop = stops_[i];
    standins::InstanceProcess& instance = *instances_[i];
    if (stop.starting || !stop.active) {
      EXPECT_TRUE(instance.IsRunning())
          << instance.config().name << " ended by itself, logs in " << folder_;
      continue;
    }
    if (instance.pid() != 0 && instance.IsRunning()) {
      if (steady_clock::now() < stop.kill_at) continue;
      ADD_FAILURE() << instance.config().name
                    << " outlasted its grace, logs in " << folder_;
      instance.Kill();
    }
    if (finishing_) continue;
    After(base_, kRestartDelay, [this, i] {
      if (instances_[i]->pid() != 0) return;
      instances_[i]->Start();
      stops_[i].starting = true;
      AwaitAccepted(i);
    });
  }
  RecordOwnDelay();
  LoseCommitsDuringStops();
  After(base_, kPoll, [this] { WatchStops(); });
}

void PlannedWork::LoseCommitsDuringStops() {
  if (options_.lose_commits_one_in == 0) return;
  const bool stopping = std::any_of(
      stops_.begin(), stops_.end(),
      [](const Stop& stop) { return stop.active && !stop.starting; });
  const std::string primary = databases_.cluster().primary();
  for (const char* id : {"db-a", "db-b", "db-c"}) {
    databases_.cluster().database(id).lose_commits_one_in =
        stopping && id == primary ? options_.lose_commits_one_in : 0;
  }
}

/// Repeats until the instance accepts a session: a signal that arrives before
/// it handles signals would end it.
void PlannedWork::AwaitAccepted(size_t instance) {
  const auto probe = std::make_shared<RecordingCaller>(
      base_, AddressOf(instance), "primary", OnNotice::kClose, milliseconds(0));
  probe->SetCallbacks({[this, instance] {
                         stops_[instance].starting = false;
                         stops_[instance].active = false;
                       },
                       [](const Reply&) {}, [] {}});
  After(base_, kProbeInterval, [this, instance, probe] {
    probe->Close();
    if (stops_[instance].starting) AwaitAccepted(instance);
  });
}

/// Notes when this process has not run for so long that instances have closed
/// the connections of its callers.
void PlannedWork::RecordOwnDelay() {
  const auto now = steady_clock::now();
  if (now - last_ran_at_ > kReadWithin) delays_ended_at_.push_back(now);
  last_ran_at_ = now;
}

bool PlannedWork::WasDelayed(RecordedStatement::Time when) const {
  return std::any_of(delays_ended_at_.begin(), delays_ended_at_.end(),
                     [when](RecordedStatement::Time end) {
                       return when >= end - kReadWithin &&
                              when < end + kDelayEffect;
                     });
}

void PlannedWork::AwaitStops() {
  const auto stopping = [this] {
    for (const Stop& stop : stops_) {
      if (stop.active) return true;
    }
    return false;
  };
  while (stopping()) RunFor(kPoll);
}

// ---- callers ----

void PlannedWork::AddCallers(size_t count, const CallerStyle& style) {
  for (size_t i = 0; i < count; ++i) {
    Caller caller;
    caller.style = style;
    caller.instance = callers_.size() % instances_.size();
    callers_.push_back(caller);
    Connect(callers_.size() - 1);
  }
}

void PlannedWork::Connect(size_t number) {
  if (finishing_) return;
  Caller& caller = callers_[number];
  const char* route = number % 2 == 0 ? "primary" : "session";
  caller.session = std::make_shared<RecordingCaller>(
      base_, AddressOf(caller.instance), route, caller.style.on_notice,
      options_.latency);
  caller.operation = Operation();
  caller.outstanding = 0;
  caller.session->SetCallbacks(
      {[this, number] { SendOperation(number); },
       [this, number](const Reply& reply) { OnAnswer(number, reply); },
       [this, number] { OnEnded(number); }});
}

void PlannedWork::OnEnded(size_t number) {
  Caller& caller = callers_[number];
  EXPECT_FALSE(caller.session->unasked())
      << "an answer to nothing, logs in " << folder_;
  // Kept, because its handlers are on the call stack.
  ended_sessions_.push_back(std::move(caller.session));
  caller.session = nullptr;
  if (!instances_[caller.instance]->IsRunning()) {
    caller.instance = RandomBelow(instances_.size());
  }
  After(base_, kReconnectDelay, [this, number] { Connect(number); });
}

void PlannedWork::SendOperation(size_t number) {
  Caller& caller = callers_[number];
  if (caller.session == nullptr || caller.outstanding > 0) return;
  if (finishing_) {
    caller.session->Close();
    return;
  }
  caller.operation = Operation();
  if (RandomBelow(100) < caller.style.transactions) {
    caller.operation.open = true;
    caller.operation.steps_left = static_cast<uint32_t>(1 + RandomBelow(3));
    Send(number, "BEGIN", false);
    return;
  }
  for (uint32_t i = 0; i < caller.style.pipelined; ++i) {
    const bool write = RandomBelow(100) < 30;
    const std::string item = "k" + std::to_string(RandomBelow(20));
    Send(number, write ? "WRITE " + item + " data" : "READ " + item, write);
    if (caller.session == nullptr) return;
  }
}

void PlannedWork::SendNextOfTransaction(size_t number) {
  Caller& caller = callers_[number];
  Operation& operation = caller.operation;
  if (operation.steps_left > 0 && !operation.roll_back) {
    --operation.steps_left;
    const std::string item = "k" + std::to_string(RandomBelow(20));
    const bool write = RandomBelow(2) == 0;
    Send(number, write ? "WRITE " + item + " data" : "READ " + item, write);
    return;
  }
  Send(number, operation.roll_back ? "ROLLBACK" : "COMMIT", false);
  operation.open = false;
}

void PlannedWork::Send(size_t number, const std::string& text, bool write) {
  Caller& caller = callers_[number];
  auto statement = std::make_shared<RecordedStatement>();
  statement->id = NewId();
  statement->text = text;
  statement->instance = instances_[caller.instance]->config().name;
  statement->in_transaction = caller.operation.open;
  statement->on_notice = caller.style.on_notice;
  if (write) caller.operation.writes.push_back(statement->id);
  if (text == "COMMIT") statement->commits = caller.operation.writes;
  if (write && !caller.operation.open) statement->commits = {statement->id};
  statements_.push_back(statement);
  ++caller.outstanding;
  caller.session->Send(statement);
}

void PlannedWork::OnAnswer(size_t number, const Reply& reply) {
  Caller& caller = callers_[number];
  --caller.outstanding;
  Operation& operation = caller.operation;
  const StatementRef statement = caller.session->last_answered();
  const bool no_effect =
      reply.error == ErrorCode::kBusy || reply.error == ErrorCode::kAborted;
  const bool write = statement->text.rfind("WRITE", 0) == 0;
  const bool single = !statement->in_transaction && write;
  if (no_effect && single) must_not_commit_.insert(statement->id);
  if (reply.ok() && single) must_commit_.insert(statement->id);
  if (no_effect && statement->in_transaction) {
    must_not_commit_.insert(operation.writes.begin(), operation.writes.end());
  }
  if (statement->text == "COMMIT" && reply.ok()) {
    must_commit_.insert(operation.writes.begin(), operation.writes.end());
  }
  operation.open = reply.state != TransactionState::kIdle;
  if (!reply.ok()) operation.roll_back = true;
  if (caller.outstanding > 0) return;
  const milliseconds pause =
      milliseconds(RandomBelow(caller.style.pause.count() + 1)) +
      (no_effect ? kRetryDelay : milliseconds(0));
  const auto next = [this, number, session = caller.session] {
    Caller& again = callers_[number];
    if (again.session != session) return;
    if (again.operation.open) {
      SendNextOfTransaction(number);
    } else if (again.style.one_operation) {
      again.session->Close();
    } else {
      SendOperation(number);
    }
  };
  if (pause > milliseconds(0)) {
    After(base_, pause, next);
  } else {
    next();
  }
}

// ---- checks ----

void PlannedWork::FinishAndCheck() {
  AwaitStops();
  finishing_ = true;
  RunFor(kFinishTime);
  for (const auto& instance : instances_) {
    EXPECT_FALSE(instance->crashed())
        << instance->config().name << ", logs in " << folder_;
  }
  size_t unanswered = 0;
  std::map<std::string, size_t> outcomes;
  for (const StatementRef& statement : statements_) {
    CheckStatement(*statement);
    if (statement->error == ErrorCode::kBusy ||
        statement->error == ErrorCode::kAborted) {
      must_not_commit_.insert(statement->commits.begin(),
                              statement->commits.end());
    }
    unanswered += statement->answered ? 0 : 1;
    if (statement->answered) {
      ++outcomes[std::string(core::session::ErrorName(statement->error))];
    }
  }
  for (const std::string& id : must_not_commit_) {
    EXPECT_FALSE(WasKept(id))
        << "committed although its answer denied it: " << id;
  }
  EXPECT_TRUE(options_.lose_commits_one_in == 0 ||
              databases_.cluster().lost_commits() > 0);
  for (const std::string& id : must_commit_) {
    EXPECT_EQ(databases_.cluster().TimesCommitted(id), 1U)
        << "acknowledged, not committed once: " << id;
  }
  std::cout << "seed=" << options_.seed << " stops=" << stops_made_
            << " lost_commits=" << databases_.cluster().lost_commits()
            << " promotions=" << promotions_
            << " own_delays=" << delays_ended_at_.size()
            << " statements=" << statements_.size()
            << " unanswered=" << unanswered;
  for (const auto& [name, count] : outcomes) {
    std::cout << " " << name << "=" << count;
  }
  std::cout << std::endl;
}

/// Whether a write took effect. Only where losing answers is part of the test
/// may the primary be replaced, and a promotion discards commits.
bool PlannedWork::WasKept(const std::string& id) {
  const bool committed = databases_.cluster().TimesCommitted(id) > 0;
  if (options_.lose_commits_one_in == 0 || promotions_ == 0) return committed;
  return databases_.cluster().SurvivingWrites().count(id) > 0;
}

void PlannedWork::CheckStatement(const RecordedStatement& statement) {
  if (statement.answered) return;
  const auto waited = statement.ended_at - statement.sent_at;
  const auto waited_ms =
      std::chrono::duration_cast<milliseconds>(waited).count();
  EXPECT_FALSE(databases_.HasReceived(statement.id))
      << statement.id << " " << statement.text << " at " << statement.instance
      << " was passed on and got no answer; its connection ended after "
      << waited_ms << " ms, logs in " << folder_;
  // While this process did not run, it noticed no end of a connection.
  if (WasDelayed(statement.ended_at)) return;
  EXPECT_LE(waited, kReadWithin)
      << statement.id << " " << statement.text << " at " << statement.instance
      << " got no answer, logs in " << folder_;
  if (statement.on_notice == OnNotice::kClose) {
    ADD_FAILURE() << statement.id << " " << statement.text << " at "
                  << statement.instance
                  << " was sent on an open session and got no answer after "
                  << waited_ms << " ms, logs in " << folder_;
  }
}

}  // namespace ryefold::testsuite
