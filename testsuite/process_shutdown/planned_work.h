#pragma once

// Real daemons under callers while planned work goes on: stops and restarts,
// SIGHUP and changes of the configuration. No fault is injected, so each
// statement has to be answered.

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ryefold/wire/http.h"
#include "testsuite/standins/lib/instance_process.h"
#include "testsuite/standins/lib/key_value.h"
#include "testsuite/standins/lib/line_databases.h"
#include "testsuite/standins/lib/local_ports.h"
#include "testsuite/support/event/recording_caller.h"

namespace ryefold::testsuite {

/// How a caller sends its statements.
struct CallerStyle {
  /// Longest pause between an answer and the next statement.
  std::chrono::milliseconds pause{0};
  /// Statements sent at once, outside of transactions.
  uint32_t pipelined = 1;
  /// Share of operations, in percent, that are transactions.
  uint32_t transactions = 30;
  /// Opens a session for each operation.
  bool one_operation = false;
  OnNotice on_notice = OnNotice::kClose;
};

struct PlannedWorkOptions {
  uint64_t seed = 1;
  size_t instances = 1;
  /// Connections that each database accepts; few make some instances forward
  /// their statements.
  uint32_t max_connections = 21;
  std::chrono::seconds grace{2};
  /// One-way latency between callers and instances.
  std::chrono::milliseconds latency{0};
  /// While an instance is being stopped, the primary loses about one in this
  /// many replies to commits; 0 loses none. Its callers may then have it
  /// replaced.
  uint32_t lose_commits_one_in = 0;
};

class PlannedWork {
 public:
  explicit PlannedWork(const PlannedWorkOptions& options);
  ~PlannedWork();
  PlannedWork(const PlannedWork&) = delete;
  PlannedWork& operator=(const PlannedWork&) = delete;

  /// Starts the instances and waits until each accepts a session.
  void Start();
  /// Adds callers that reconnect to the same instance for as long as it
  /// accepts them, else to any.
  void AddCallers(size_t count, const CallerStyle& style);
  void RunFor(std::chrono::milliseconds duration);

  /// Sends SIGTERM, unless the instance is just starting. The platform kills
  /// what is left after the grace; the instance starts again once it has ended.
  void Terminate(size_t instance);
  void Reload(size_t instance);
  void ChangeConfiguration();
  /// Does one of the three to a random instance.
  void DoRandomWork();
  uint64_t RandomBelow(uint64_t bound) { return random_() % bound; }
  /// Waits until no instance is being stopped.
  void AwaitStops();

  /// Lets callers finish, then checks every statement.
  void FinishAndCheck();

 private:
  struct Operation {
    std::vector<std::string> writes;
    uint32_t steps_left = 0;
    bool open = false;
    bool roll_back = false;
  };
  struct Caller {
    CallerStyle style;
    size_t instance = 0;
    std::shared_ptr<RecordingCaller> session;
    Operation operation;
    uint32_t outstanding = 0;
  };
  using StatementRef = std::shared_ptr<RecordedStatement>;

  void AddInstance(size_t index);
  void OnPromote(const wire::HttpExchange& exchange);
  std::string AddressOf(size_t instance) const;
  void Connect(size_t caller);
  void SendOperation(size_t caller);
  void SendNextOfTransaction(size_t caller);
  void Send(size_t caller, const std::string& text, bool write);
  void OnAnswer(size_t caller, const core::session::Reply& reply);
  void OnEnded(size_t caller);
  void WatchStops();
  void LoseCommitsDuringStops();
  void AwaitAccepted(size_t instance);
  void RecordOwnDelay();
  bool WasDelayed(RecordedStatement::Time when) const;
  bool WasKept(const std::string& id);
  void CheckStatement(const RecordedStatement& statement);
  std::string NewId() {
    return "s" + std::to_string(options_.seed) + "-" +
           std::to_string(++last_id_);
  }

  struct Stop {
    std::chrono::steady_clock::time_point kill_at;
    bool active = false;
    /// Started again, and has not accepted a session yet.
    bool starting = false;
  };

  const PlannedWorkOptions options_;
  std::mt19937_64 random_;
  event_base* base_;
  std::string folder_;
  standins::LocalPorts ports_;
  standins::KeyValueStandin store_;
  standins::LineDatabases databases_;
  wire::HttpServer promotion_;
  std::vector<std::unique_ptr<standins::InstanceProcess>> instances_;
  std::vector<Stop> stops_;
  std::vector<Caller> callers_;
  std::vector<std::shared_ptr<RecordingCaller>> ended_sessions_;
  std::vector<StatementRef> statements_;
  std::set<std::string> must_not_commit_;
  std::set<std::string> must_commit_;
  uint64_t last_id_ = 0;
  uint64_t version_ = 1;
  uint64_t stops_made_ = 0;
  uint64_t promotions_ = 0;
  bool finishing_ = false;
  /// When this process last ran, with its callers and databases, and when each
  /// pause of more than 200 ms ended.
  RecordedStatement::Time last_ran_at_ = std::chrono::steady_clock::now();
  std::vector<RecordedStatement::Time> delays_ended_at_;
};

}  // namespace ryefold::testsuite
