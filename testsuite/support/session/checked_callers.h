#pragma once

// Callers that send random operations through several instances and check every
// reply against what the databases executed.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testsuite/support/session/instance_host.h"

namespace ryefold::testsuite {

/// Returns whether the error guarantees that the operation had no effect.
inline bool GuaranteesNoEffect(ErrorCode code) {
  return code == ErrorCode::kBusy || code == ErrorCode::kAborted ||
         code == ErrorCode::kLagging || code == ErrorCode::kReadOnly ||
         code == ErrorCode::kWrongDatabase ||
         code == ErrorCode::kTooManyConnections;
}

/// Models callers with one session each that send reads, writes, SET, PARSE and
/// transactions, one statement at a time, and checks every reply against what
/// the databases executed. Subclasses implement the transport.
class CallerModel {
 public:
  struct Tally {
    uint32_t done = 0;
    uint32_t refused = 0;
    uint32_t in_doubt = 0;
    uint32_t acknowledged_writes = 0;
  };

  explicit CallerModel(uint64_t seed) : random_(seed) {}
  virtual ~CallerModel() = default;

  std::mt19937_64& random() { return random_; }
  const Tally& tally() const { return tally_; }
  /// Lets open transactions finish and sends nothing else.
  void StopNewWork() { stopped_ = true; }

  /// Checks conditions that hold only at the end of the run: no statement is
  /// committed twice, and none after a reply that guaranteed no effect.
  void CheckFinalState() {
    for (const auto& [id, statement] : sent_) {
      EXPECT_LE(TimesCommitted(id), 1U) << "committed more than once: " << id;
    }
    for (const std::string& id : must_not_commit_) {
      EXPECT_EQ(TimesCommitted(id), 0U)
          << "committed although its reply guaranteed no effect: " << id;
    }
  }

  /// Returns the positions of acknowledged commits that did not survive.
  std::vector<LogPosition> LostCommits() {
    std::vector<LogPosition> lost;
    for (FakeCluster* each : clusters()) {
      const std::set<LogPosition> surviving = each->SurvivingPositions();
      for (const AcknowledgedCommit& commit : acknowledged_) {
        if (commit.cluster != each) continue;
        if (surviving.count(commit.position) == 0) {
          lost.push_back(commit.position);
        }
      }
    }
    return lost;
  }

 protected:
  virtual TimePoint Now() const = 0;
  virtual FakeCluster& cluster() = 0;
  /// Returns the maximum staleness of all routes.
  virtual milliseconds max_staleness() const { return milliseconds(1500); }
  /// Returns the databases of all groups that routes may lead to.
  virtual std::vector<FakeCluster*> clusters() { return {&cluster()}; }
  /// Calls `SendNext` for the caller after the pause, unless its session ends
  /// first.
  virtual void SendNextAfter(CallerId caller, milliseconds pause) = 0;
  /// Opens a session at an instance that the implementation selects.
  virtual void OpenSession(CallerId caller, const std::string& route) = 0;
  virtual void SendStatement(CallerId caller, const std::string& id,
                             const Statement& statement) = 0;

  void StartCaller(CallerId id) {
    CallerState& state = callers_[id];
    state.id = id;
    const char* routes[] = {"primary", "bounded", "session"};
    state.route = routes[id % 3];
    OpenSession(id, state.route);
    ScheduleNext(id);
  }

  /// Resets the caller after the loss of its session. The outcome of a pending
  /// statement stays unknown.
  void OnSessionLost(CallerId id) {
    CallerState& state = callers_.at(id);
    if (!state.pending_statement.empty()) ++tally_.in_doubt;
    state = CallerState();
    pending_variable_.erase(id);
    pending_prepared_.erase(id);
    ++session_numbers_[id];
  }
  /// The instance has ended the session with `error`.
  void OnSessionEnded(CallerId id, ErrorCode error) {
    const CallerState& state = callers_.at(id);
    if (GuaranteesNoEffect(error)) {
      must_not_commit_.insert(state.writes.begin(), state.writes.end());
    }
    OnSessionLost(id);
  }
  uint64_t session_number(CallerId id) { return session_numbers_[id]; }

  void SendNext(CallerId id) {
    CallerState& state = callers_.at(id);
    if (state.transaction != 0) {
      AdvanceTransaction(&state);
      return;
    }
    if (stopped_) return;
    const uint64_t roll = RandomBelow(100);
    if (roll < 8) {
      const std::string name = "v" + std::to_string(RandomBelow(3));
      const std::string value = std::to_string(RandomBelow(4));
      pending_variable_[id] = {name, value};
      Send(&state, StatementKind::kSet, "SET " + name + " " + value, {}, name,
           value);
    } else if (roll < 14) {
      const std::string name = "p" + std::to_string(RandomBelow(2));
      const std::string statement_template =
          (RandomBelow(2) == 0 ? "w" : "r") + std::to_string(RandomBelow(3));
      pending_prepared_[id] = {name, statement_template};
      Send(&state, StatementKind::kPrepare,
           "PARSE " + name +
               (statement_template[0] == 'w' ? " WRITE " : " READ ") +
               statement_template,
           {}, name, statement_template);
    } else if (roll < 30) {
      state.transaction = ++last_transaction_;
      state.transaction_started_at = Now();
      state.steps_left = 1 + static_cast<uint32_t>(RandomBelow(4));
      state.writes.clear();
      state.database_transaction = 0;
      Send(&state, StatementKind::kBegin, "BEGIN", {});
    } else {
      SendReadOrWrite(&state);
    }
  }

  void OnStatementReply(CallerId id, const Reply& reply) {
    CallerState& state = callers_.at(id);
    ASSERT_FALSE(state.pending_statement.empty())
        << "reply without a pending statement";
    const std::string statement = state.pending_statement;
    state.pending_statement.clear();
    const SentStatement& sent = sent_.at(statement);
    if (reply.ok()) {
      ++tally_.done;
      HandleSuccess(&state, statement, sent, reply);
    } else {
      HandleFailure(&state, statement, sent, reply);
    }
    ScheduleNext(id);
  }

 private:
  struct SentStatement {
    CallerId caller = 0;
    std::string text;
    /// Text that the database has to execute; for a prepared statement, its
    /// template and arguments.
    std::string expected_text;
    TimePoint sent_at;
    TimePoint transaction_started_at;
    bool read = false;
    bool write = false;
    bool commit = false;
    uint64_t transaction = 0;
  };
  struct CallerState {
    CallerId id = 0;
    std::string route;
    std::map<std::string, std::string> variables;
    std::map<std::string, std::string> prepared;
    std::vector<LogPosition> own_commits;
    std::string pending_statement;
    uint64_t transaction = 0;
    TimePoint transaction_started_at;
    uint32_t steps_left = 0;
    bool must_roll_back = false;
    std::vector<std::string> writes;
    /// Transaction number assigned by the database; 0 before the first
    /// statement.
    uint64_t database_transaction = 0;
  };
  struct AcknowledgedCommit {
    TimePoint acknowledged_at;
    FakeCluster* cluster = nullptr;
    LogPosition position;
    CallerId caller = 0;
    /// Ordinal of the session among the caller's sessions.
    uint64_t session_number = 0;
  };

  uint64_t RandomBelow(uint64_t limit) { return random_() % limit; }

  void ScheduleNext(CallerId id) {
    SendNextAfter(id, milliseconds(1 + RandomBelow(60)));
  }

  void Send(CallerState* state, StatementKind kind, const std::string& text,
            SentStatement sent, const std::string& name = "",
            const std::string& argument = "") {
    const std::string id = "s" + std::to_string(++last_statement_);
    sent.caller = state->id;
    sent.text = text;
    if (sent.expected_text.empty()) sent.expected_text = text;
    sent.sent_at = Now();
    sent.transaction = state->transaction;
    sent.transaction_started_at =
        state->transaction != 0 ? state->transaction_started_at : Now();
    sent_[id] = sent;
    state->pending_statement = id;
    Statement statement = MakeStatement(kind, text);
    statement.name = name;
    statement.argument = argument;
    statement.writes = !argument.empty() && argument[0] == 'w';
    SendStatement(state->id, id, statement);
  }

  /// Sends a read or a write, directly or as a prepared statement.
  void SendReadOrWrite(CallerState* state) {
    SentStatement sent;
    const bool bounded = state->route == "bounded";
    if (!state->prepared.empty() && RandomBelow(3) == 0) {
      const auto& [name, statement_template] = *state->prepared.begin();
      sent.write = statement_template[0] == 'w';
      if (!(bounded && sent.write)) {
        sent.read = !sent.write;
        sent.expected_text = std::string(sent.write ? "WRITE " : "READ ") +
                             statement_template + " k";
        if (sent.write) RecordWrite(state);
        Send(state, StatementKind::kExecute, "EXECUTE " + name + " k", sent,
             name, "k");
        return;
      }
    }
    sent = SentStatement();
    sent.write = !bounded && RandomBelow(100) < 30;
    sent.read = !sent.write;
    const std::string item = "k" + std::to_string(RandomBelow(20));
    if (sent.write) {
      RecordWrite(state);
      Send(state, StatementKind::kWrite, "WRITE " + item + " data", sent);
    } else {
      Send(state, StatementKind::kRead, "READ " + item, sent);
    }
  }

  void RecordWrite(CallerState* state) {
    state->writes.push_back("s" + std::to_string(last_statement_ + 1));
  }

  void AdvanceTransaction(CallerState* state) {
    if (state->steps_left > 0) {
      --state->steps_left;
      SendReadOrWrite(state);
    } else if (state->must_roll_back || RandomBelow(5) == 0) {
      Send(state, StatementKind::kRollback, "ROLLBACK", {});
    } else {
      SentStatement sent;
      sent.commit = true;
      Send(state, StatementKind::kCommit, "COMMIT", sent);
    }
  }

  void HandleSuccess(CallerState* state, const std::string& statement,
                     const SentStatement& sent, const Reply& reply) {
    if (sent.read || sent.write || sent.commit) {
      CheckExecution(state, statement, sent, reply);
    } else {
      EXPECT_EQ(reply.digest, "");
    }
    const auto variable = pending_variable_.find(state->id);
    if (variable != pending_variable_.end() && sent.text.rfind("SET", 0) == 0) {
      state->variables[variable->second.first] = variable->second.second;
    }
    const auto prepared = pending_prepared_.find(state->id);
    if (prepared != pending_prepared_.end() &&
        sent.text.rfind("PARSE", 0) == 0) {
      state->prepared[prepared->second.first] = prepared->second.second;
    }
    const bool single_write = sent.write && sent.transaction == 0;
    const bool committed_writes = sent.commit && !state->writes.empty();
    if (single_write || committed_writes) {
      ++tally_.acknowledged_writes;
      for (const std::string& id : state->writes) {
        EXPECT_EQ(TimesCommitted(id), 1U)
            << "acknowledged write not committed exactly once: " << id;
      }
      const Execution execution = FindExecuted(reply.digest);
      ASSERT_NE(execution.cluster, nullptr);
      EXPECT_FALSE(
          execution.cluster->CommittedByReplacedPrimary(*reply.position))
          << "acknowledged a commit of a replaced primary";
      acknowledged_.push_back({Now(), execution.cluster, *reply.position,
                               state->id, session_numbers_[state->id]});
      state->own_commits.push_back(*reply.position);
    }
    if (sent.transaction == 0) state->writes.clear();
    if (sent.commit || sent.text == "ROLLBACK") EndTransaction(state);
  }

  void EndTransaction(CallerState* state) {
    state->transaction = 0;
    state->must_roll_back = false;
    state->writes.clear();
  }

  void HandleFailure(CallerState* state, const std::string& statement,
                     const SentStatement& sent, const Reply& reply) {
    const bool no_effect = GuaranteesNoEffect(reply.error);
    ++(no_effect ? tally_.refused : tally_.in_doubt);
    if (no_effect) {
      must_not_commit_.insert(state->writes.begin(), state->writes.end());
      if (sent.write) must_not_commit_.insert(statement);
    }
    if (state->transaction == 0) {
      state->writes.clear();
      return;
    }
    if (reply.state == TransactionState::kIdle) {
      EndTransaction(state);
    } else {
      state->steps_left = 0;
      state->writes.clear();
      state->must_roll_back = true;
    }
  }

  /// A statement that a database executed, and the databases of its group.
  struct Execution {
    FakeCluster* cluster = nullptr;
    const testsuite::ExecutedStatement* statement = nullptr;
  };

  /// Returns the execution with the digest; null members if there is none.
  Execution FindExecuted(const std::string& digest) {
    for (FakeCluster* each : clusters()) {
      for (auto it = each->executed_statements().rbegin();
           it != each->executed_statements().rend(); ++it) {
        if (it->digest == digest) return {each, &*it};
      }
    }
    return {};
  }

  uint32_t TimesCommitted(const std::string& statement_id) {
    uint32_t times = 0;
    for (FakeCluster* each : clusters()) {
      times += each->TimesCommitted(statement_id);
    }
    return times;
  }

  void CheckExecution(CallerState* state, const std::string& statement,
                      const SentStatement& sent, const Reply& reply) {
    const Execution execution = FindExecuted(reply.digest);
    const testsuite::ExecutedStatement* executed = execution.statement;
    ASSERT_NE(executed, nullptr)
        << "success reported for a statement that was not executed: "
        << sent.text;
    EXPECT_EQ(executed->statement_id, statement)
        << "reply belongs to another statement";
    EXPECT_EQ(executed->text, sent.expected_text) << "statement text differs";
    EXPECT_EQ(executed->variables, state->variables)
        << "session variables differ";
    if (sent.read) {
      ASSERT_EQ(reply.rows.size(), 1U);
      EXPECT_EQ(reply.rows[0], "row-" + statement);
      CheckFreshness(*state, sent, execution);
    }
    if (sent.transaction != 0 && !sent.commit) {
      EXPECT_NE(executed->transaction, 0U)
          << "executed outside its transaction";
      if (state->database_transaction == 0) {
        state->database_transaction = executed->transaction;
        EXPECT_TRUE(seen_transactions_
                        .insert({execution.cluster, executed->transaction})
                        .second)
            << "executed in another caller's transaction";
      }
      EXPECT_EQ(executed->transaction, state->database_transaction)
          << "executed on another connection than the transaction's first "
             "statement";
    }
  }

  void CheckFreshness(const CallerState& state, const SentStatement& sent,
                      const Execution& execution) {
    const testsuite::ExecutedStatement& executed = *execution.statement;
    const std::set<LogPosition> applied(executed.log.begin(),
                                        executed.log.end());
    const std::set<LogPosition> surviving =
        execution.cluster->SurvivingPositions();
    const TimePoint started_at =
        sent.transaction != 0 ? sent.transaction_started_at : sent.sent_at;
    const bool primary = state.route == "primary";
    const TimePoint must_include_before =
        primary ? started_at : started_at - max_staleness();
    for (const AcknowledgedCommit& commit : acknowledged_) {
      if (commit.cluster != execution.cluster) continue;
      const bool own = state.route == "session" && commit.caller == state.id &&
                       commit.session_number == session_numbers_.at(state.id) &&
                       commit.acknowledged_at < started_at;
      if (!(commit.acknowledged_at < must_include_before || own)) continue;
      if (surviving.count(commit.position) == 0) continue;
      EXPECT_EQ(applied.count(commit.position), 1U)
          << "stale read by " << state.route << " on " << executed.database
          << ": missing commit " << commit.position.term << "."
          << commit.position.index;
    }
  }

  std::mt19937_64 random_;
  std::map<CallerId, uint64_t> session_numbers_;
  std::map<CallerId, CallerState> callers_;
  std::map<CallerId, std::pair<std::string, std::string>> pending_variable_;
  std::map<CallerId, std::pair<std::string, std::string>> pending_prepared_;
  std::map<std::string, SentStatement> sent_;
  std::set<std::string> must_not_commit_;
  std::set<std::pair<FakeCluster*, uint64_t>> seen_transactions_;
  std::vector<AcknowledgedCommit> acknowledged_;
  uint64_t last_statement_ = 0;
  uint64_t last_transaction_ = 0;
  bool stopped_ = false;
  Tally tally_;
};

/// Connects the caller model to several instances in virtual time.
class CheckedCallers : public CallerModel, public CallerListener {
 public:
  /// Instances without database connections forward their statements; a low
  /// connection limit makes some instances do so.
  struct FleetSize {
    uint32_t callers = 12;
    uint32_t instances = 2;
    uint32_t connection_limit = 21;
    /// Adds a second group, to which routes can be led.
    bool two_groups = false;
  };

  CheckedCallers(uint64_t seed, FleetSize size)
      : CallerModel(seed), cluster_(&clock_, seed + 1) {
    fleet_.connection_limit = size.connection_limit;
    if (size.two_groups) AddOtherGroup(seed);
    for (uint32_t i = 0; i < size.instances; ++i) {
      const std::string domain(1, static_cast<char>('a' + i % 3));
      hosts_.push_back(std::make_unique<InstanceHost>(
          &clock_, &cluster_, this, "i" + std::to_string(i), domain, &fleet_));
    }
    for (const auto& host : hosts_) {
      host->proxy()->SetInstances(clock_.now(), host->name(),
                                  fleet_.candidates);
    }
    clock_.RunUntil(clock_.now() + milliseconds(100));
    callers_ = size.callers;
    for (CallerId id = 1; id <= callers_; ++id) StartCaller(id);
  }

  VirtualClock& clock() { return clock_; }
  FakeCluster& cluster() override { return cluster_; }
  std::vector<FakeCluster*> clusters() override {
    std::vector<FakeCluster*> clusters = {&cluster_};
    if (other_cluster_ != nullptr) clusters.push_back(other_cluster_.get());
    return clusters;
  }
  /// Leads the route to another group. Each instance learns of it after a delay
  /// of its own, up to `max_delay`. Only with two groups.
  void LeadRouteTo(const std::string& route, const std::string& group,
                   milliseconds max_delay) {
    RouteTable& routes = *fleet_.routes;
    ++routes.version;
    routes.routes.at(route).group = group;
    for (const auto& host : hosts_) {
      const milliseconds delay(random()() %
                               static_cast<uint64_t>(max_delay.count()));
      clock_.After(delay, [this, host = host.get(), routes] {
        host->proxy()->OnRoutes(clock_.now(), routes);
      });
    }
  }
  InstanceHost& host(size_t index) { return *hosts_.at(index); }
  size_t hosts() const { return hosts_.size(); }
  FakeFleet& fleet() { return fleet_; }
  void Run(milliseconds duration) { clock_.RunUntil(clock_.now() + duration); }

  /// Restarts an instance; its callers open new sessions.
  void RestartHost(size_t index) {
    InstanceHost* host = hosts_.at(index).get();
    host->Restart();
    for (CallerId id = 1; id <= callers_; ++id) {
      if (HostOf(id) != host) continue;
      OnSessionLost(id);
      StartCaller(id);
    }
  }
  /// Stops an instance as the platform does: it drains, then starts again.
  void StopHost(size_t index, milliseconds transactions_for,
                milliseconds ends_after) {
    Proxy* proxy = hosts_.at(index)->proxy();
    const TimePoint now = clock_.now();
    proxy->Drain(now, now + transactions_for, now + ends_after);
    clock_.After(ends_after + kRestartDelay, [this, index, proxy] {
      if (hosts_.at(index)->proxy() == proxy) RestartHost(index);
    });
  }
  /// Sends the current roster to all instances, as the platform's list does.
  void PublishRoster() {
    for (const auto& host : hosts_) {
      host->proxy()->OnRoster(clock_.now(), host->CurrentRoster());
    }
  }

 private:
  void AddOtherGroup(uint64_t seed) {
    other_cluster_ =
        std::make_unique<FakeCluster>(&clock_, seed + 2, "other", "ob-");
    fleet_.other_clusters = {other_cluster_.get()};
    fleet_.routes = TestRoutes(fleet_.connection_limit);
    fleet_.routes->groups["other"] = fleet_.routes->groups.at("group");
  }

  InstanceHost* HostOf(CallerId id) { return hosts_[id % hosts_.size()].get(); }

  TimePoint Now() const override { return clock_.now(); }
  void SendNextAfter(CallerId id, milliseconds pause) override {
    clock_.After(pause, [this, id, number = session_number(id)] {
      if (number == session_number(id)) SendNext(id);
    });
  }
  void OpenSession(CallerId id, const std::string& route) override {
    HostOf(id)->proxy()->CallerStarted(clock_.now(), id, route);
    ASSERT_TRUE(HostOf(id)->accepted(id));
  }
  void SendStatement(CallerId caller, const std::string& id,
                     const Statement& statement) override {
    HostOf(caller)->proxy()->CallerStatement(clock_.now(), caller, id,
                                             statement);
  }
  void OnReply(CallerId caller, const Reply& reply) override {
    OnStatementReply(caller, reply);
  }
  void OnClosed(CallerId caller, ErrorCode error) override {
    OnSessionEnded(caller, error);
  }

  /// Time from the end of a drain to the start of the next process.
  static constexpr milliseconds kRestartDelay{100};

  VirtualClock clock_;
  FakeCluster cluster_;
  std::unique_ptr<FakeCluster> other_cluster_;
  FakeFleet fleet_;
  std::vector<std::unique_ptr<InstanceHost>> hosts_;
  CallerId callers_ = 0;
};

}  // namespace ryefold::testsuite
