#pragma once

// Callers that play random operations through several instances and check
// every promise against what the databases ran.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "testsuite/support/session/instance_host.h"

namespace ryefold::testsuite {

/// A promise that nothing of what was asked is kept.
inline bool PromisesNothingKept(ErrorCode code) {
  return code == ErrorCode::kBusy || code == ErrorCode::kAborted ||
         code == ErrorCode::kLagging || code == ErrorCode::kReadOnly ||
         code == ErrorCode::kWrongDatabase ||
         code == ErrorCode::kTooManyConnections;
}

/// Callers that each keep one session and, one after the other, read, write,
/// set variables, prepare, and run transactions. Every answer is checked
/// against what the databases ran. How statements travel is left open.
class CallerModel {
 public:
  struct Tally {
    uint32_t done = 0;
    uint32_t refused = 0;
    uint32_t doubtful = 0;
    uint32_t acknowledged_writes = 0;
  };

  explicit CallerModel(uint64_t seed) : random_(seed) {}
  virtual ~CallerModel() = default;

  std::mt19937_64& random() { return random_; }
  const Tally& tally() const { return tally_; }
  /// Callers ask nothing new.
  void Stop() { stopped_ = true; }

  /// Checks that only the whole of the run can tell.
  void CheckAtEnd() {
    for (const auto& [id, statement] : asked_) {
      EXPECT_LE(cluster().TimesCommitted(id), 1U) << "written twice: " << id;
    }
    for (const std::string& id : promised_not_kept_) {
      EXPECT_EQ(cluster().TimesCommitted(id), 0U)
          << "kept although promised not to be: " << id;
    }
  }

  /// Where commits that callers were told of are missing now.
  std::vector<LogPosition> LostCommits() {
    const std::set<LogPosition> surviving = cluster().Surviving();
    std::vector<LogPosition> lost;
    for (const Acknowledged& commit : acknowledged_) {
      if (surviving.count(commit.position) == 0) {
        lost.push_back(commit.position);
      }
    }
    return lost;
  }

 protected:
  virtual TimePoint Now() const = 0;
  virtual FakeCluster& cluster() = 0;
  /// Calls `Ask` for the caller after the pause, unless its session ends.
  virtual void AskAfter(CallerId caller, milliseconds pause) = 0;
  /// Opens a session, at the instance that the caller's number stands for.
  virtual void OpenSession(CallerId caller, const std::string& route) = 0;
  virtual void SendStatement(CallerId caller, const std::string& id,
                             const Statement& statement) = 0;

  void StartCaller(CallerId id) {
    State& state = callers_[id];
    state.id = id;
    const char* routes[] = {"primary", "bounded", "session"};
    state.route = routes[id % 3];
    OpenSession(id, state.route);
    AskSoon(id);
  }

  /// The session is gone. What the caller was waiting for stays unknown; it
  /// comes back with a new session.
  void SessionLost(CallerId id) {
    State& state = callers_.at(id);
    if (!state.waiting_for.empty()) ++tally_.doubtful;
    state = State();
    pending_variable_.erase(id);
    pending_prepared_.erase(id);
    ++lives_[id];
  }
  uint64_t life(CallerId id) { return lives_[id]; }

  void Ask(CallerId id) {
    State& state = callers_.at(id);
    if (state.transaction != 0) {
      Step(&state);
      return;
    }
    if (stopped_) return;
    const uint64_t choice = Draw(100);
    if (choice < 8) {
      const std::string name = "v" + std::to_string(Draw(3));
      const std::string value = std::to_string(Draw(4));
      pending_variable_[id] = {name, value};
      Send(&state, StatementKind::kSet, "SET " + name + " " + value, {}, name,
           value);
    } else if (choice < 14) {
      const std::string name = "p" + std::to_string(Draw(2));
      const std::string shape =
          (Draw(2) == 0 ? "w" : "r") + std::to_string(Draw(3));
      pending_prepared_[id] = {name, shape};
      Send(&state, StatementKind::kPrepare,
           "PARSE " + name + (shape[0] == 'w' ? " WRITE " : " READ ") + shape,
           {}, name, shape);
    } else if (choice < 30) {
      state.transaction = ++last_transaction_;
      state.transaction_at = Now();
      state.steps_left = 1 + static_cast<uint32_t>(Draw(4));
      state.writes.clear();
      state.database_transaction = 0;
      Send(&state, StatementKind::kBegin, "BEGIN", {});
    } else {
      SendWork(&state);
    }
  }

  void Replied(CallerId id, const Reply& reply) {
    State& state = callers_.at(id);
    ASSERT_FALSE(state.waiting_for.empty()) << "an answer to nothing";
    const std::string statement = state.waiting_for;
    state.waiting_for.clear();
    const Asked& asked = asked_.at(statement);
    if (reply.ok()) {
      ++tally_.done;
      Succeeded(&state, statement, asked, reply);
    } else {
      Failed(&state, statement, asked, reply);
    }
    AskSoon(id);
  }

 private:
  struct Asked {
    CallerId caller = 0;
    std::string text;
    /// What the databases have to run; a prepared one by its shape.
    std::string runs_as;
    TimePoint at;
    TimePoint transaction_at;
    bool read = false;
    bool write = false;
    bool commit = false;
    uint64_t transaction = 0;
  };
  struct State {
    CallerId id = 0;
    std::string route;
    std::map<std::string, std::string> variables;
    std::map<std::string, std::string> prepared;
    std::vector<LogPosition> own_commits;
    std::string waiting_for;
    uint64_t transaction = 0;
    TimePoint transaction_at;
    uint32_t steps_left = 0;
    bool must_roll_back = false;
    std::vector<std::string> writes;
    /// Number that the database gave the transaction; 0 before the first run.
    uint64_t database_transaction = 0;
  };
  struct Acknowledged {
    TimePoint at;
    LogPosition position;
    CallerId caller = 0;
    /// Which of the caller's sessions.
    uint64_t life = 0;
  };

  uint64_t Draw(uint64_t below) { return random_() % below; }

  void AskSoon(CallerId id) { AskAfter(id, milliseconds(1 + Draw(60))); }

  void Send(State* state, StatementKind kind, const std::string& text,
            Asked asked, const std::string& name = "",
            const std::string& argument = "") {
    const std::string id = "s" + std::to_string(++last_statement_);
    asked.caller = state->id;
    asked.text = text;
    if (asked.runs_as.empty()) asked.runs_as = text;
    asked.at = Now();
    asked.transaction = state->transaction;
    asked.transaction_at =
        state->transaction != 0 ? state->transaction_at : Now();
    asked_[id] = asked;
    state->waiting_for = id;
    Statement statement = MakeStatement(kind, text);
    statement.name = name;
    statement.argument = argument;
    statement.writes = !argument.empty() && argument[0] == 'w';
    SendStatement(state->id, id, statement);
  }

  /// A read, a write, or a prepared one of either.
  void SendWork(State* state) {
    Asked asked;
    const bool bounded = state->route == "bounded";
    if (!state->prepared.empty() && Draw(3) == 0) {
      const auto& [name, shape] = *state->prepared.begin();
      asked.write = shape[0] == 'w';
      if (!(bounded && asked.write)) {
        asked.read = !asked.write;
        asked.runs_as =
            std::string(asked.write ? "WRITE " : "READ ") + shape + " k";
        if (asked.write) RememberWrite(state);
        Send(state, StatementKind::kExecute, "EXECUTE " + name + " k", asked,
             name, "k");
        return;
      }
    }
    asked = Asked();
    asked.write = !bounded && Draw(100) < 30;
    asked.read = !asked.write;
    const std::string item = "k" + std::to_string(Draw(20));
    if (asked.write) {
      RememberWrite(state);
      Send(state, StatementKind::kWrite, "WRITE " + item + " data", asked);
    } else {
      Send(state, StatementKind::kRead, "READ " + item, asked);
    }
  }

  void RememberWrite(State* state) {
    state->writes.push_back("s" + std::to_string(last_statement_ + 1));
  }

  void Step(State* state) {
    if (state->steps_left > 0) {
      --state->steps_left;
      SendWork(state);
    } else if (state->must_roll_back || Draw(5) == 0) {
      Send(state, StatementKind::kRollback, "ROLLBACK", {});
    } else {
      Asked asked;
      asked.commit = true;
      Send(state, StatementKind::kCommit, "COMMIT", asked);
    }
  }

  void Succeeded(State* state, const std::string& statement, const Asked& asked,
                 const Reply& reply) {
    if (asked.read || asked.write || asked.commit) {
      CheckRun(state, statement, asked, reply);
    } else {
      EXPECT_EQ(reply.digest, "");
    }
    const auto variable = pending_variable_.find(state->id);
    if (variable != pending_variable_.end() &&
        asked.text.rfind("SET", 0) == 0) {
      state->variables[variable->second.first] = variable->second.second;
    }
    const auto prepared = pending_prepared_.find(state->id);
    if (prepared != pending_prepared_.end() &&
        asked.text.rfind("PARSE", 0) == 0) {
      state->prepared[prepared->second.first] = prepared->second.second;
    }
    const bool single_write = asked.write && asked.transaction == 0;
    const bool wrote = asked.commit && !state->writes.empty();
    if (single_write || wrote) {
      ++tally_.acknowledged_writes;
      for (const std::string& id : state->writes) {
        EXPECT_EQ(cluster().TimesCommitted(id), 1U) << "lost: " << id;
      }
      EXPECT_FALSE(cluster().CommittedTooLate(*reply.position))
          << "acknowledged although its primary had been replaced";
      acknowledged_.push_back(
          {Now(), *reply.position, state->id, lives_[state->id]});
      state->own_commits.push_back(*reply.position);
    }
    if (asked.transaction == 0) state->writes.clear();
    if (asked.commit || asked.text == "ROLLBACK") EndTransaction(state);
  }

  void EndTransaction(State* state) {
    state->transaction = 0;
    state->must_roll_back = false;
    state->writes.clear();
  }

  void Failed(State* state, const std::string& statement, const Asked& asked,
              const Reply& reply) {
    const bool promise = PromisesNothingKept(reply.error);
    ++(promise ? tally_.refused : tally_.doubtful);
    if (promise) {
      promised_not_kept_.insert(state->writes.begin(), state->writes.end());
      if (asked.write) promised_not_kept_.insert(statement);
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

  const testsuite::Run* FindRun(const std::string& digest) {
    for (auto it = cluster().runs().rbegin(); it != cluster().runs().rend();
         ++it) {
      if (it->digest == digest) return &*it;
    }
    return nullptr;
  }

  void CheckRun(State* state, const std::string& statement, const Asked& asked,
                const Reply& reply) {
    const testsuite::Run* run = FindRun(reply.digest);
    ASSERT_NE(run, nullptr) << "success without a run: " << asked.text;
    EXPECT_EQ(run->statement_id, statement) << "another statement's answer";
    EXPECT_EQ(run->text, asked.runs_as) << "text was changed";
    EXPECT_EQ(run->variables, state->variables) << "other session's variables";
    if (asked.read) {
      ASSERT_EQ(reply.rows.size(), 1U);
      EXPECT_EQ(reply.rows[0], "row-" + statement);
      CheckFresh(*state, asked, *run);
    }
    if (asked.transaction != 0 && !asked.commit) {
      EXPECT_NE(run->transaction, 0U) << "ran outside its transaction";
      if (state->database_transaction == 0) {
        state->database_transaction = run->transaction;
        EXPECT_TRUE(taken_transactions_.insert(run->transaction).second)
            << "inside another caller's transaction";
      }
      EXPECT_EQ(run->transaction, state->database_transaction)
          << "on another connection than the transaction's first statement";
    }
  }

  void CheckFresh(const State& state, const Asked& asked,
                  const testsuite::Run& run) {
    const std::set<LogPosition> held(run.log.begin(), run.log.end());
    const std::set<LogPosition> surviving = cluster().Surviving();
    const TimePoint begun =
        asked.transaction != 0 ? asked.transaction_at : asked.at;
    const bool primary = state.route == "primary";
    const TimePoint before = primary ? begun : begun - milliseconds(1500);
    for (const Acknowledged& commit : acknowledged_) {
      const bool own = state.route == "session" && commit.caller == state.id &&
                       commit.life == lives_.at(state.id) && commit.at < begun;
      if (!(commit.at < before || own)) continue;
      if (surviving.count(commit.position) == 0) continue;
      EXPECT_EQ(held.count(commit.position), 1U)
          << "stale read by " << state.route << " on " << run.database
          << ": misses " << commit.position.term << "."
          << commit.position.index;
    }
  }

  std::mt19937_64 random_;
  std::map<CallerId, uint64_t> lives_;
  std::map<CallerId, State> callers_;
  std::map<CallerId, std::pair<std::string, std::string>> pending_variable_;
  std::map<CallerId, std::pair<std::string, std::string>> pending_prepared_;
  std::map<std::string, Asked> asked_;
  std::set<std::string> promised_not_kept_;
  std::set<uint64_t> taken_transactions_;
  std::vector<Acknowledged> acknowledged_;
  uint64_t last_statement_ = 0;
  uint64_t last_transaction_ = 0;
  bool stopped_ = false;
  Tally tally_;
};

/// The callers of several instances in virtual time.
class CheckedCallers : public CallerModel, public CallerListener {
 public:
  /// With few connections for the number of instances, some forward.
  struct Size {
    uint32_t callers = 12;
    uint32_t instances = 2;
    uint32_t connection_limit = 21;
  };

  CheckedCallers(uint64_t seed, Size size)
      : CallerModel(seed), cluster_(&clock_, seed + 1) {
    fleet_.connection_limit = size.connection_limit;
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
  InstanceHost& host(size_t index) { return *hosts_.at(index); }
  size_t hosts() const { return hosts_.size(); }
  FakeFleet& fleet() { return fleet_; }
  void Run(milliseconds span) { clock_.RunUntil(clock_.now() + span); }

  /// Kills an instance; its callers come back with new sessions.
  void RestartHost(size_t index) {
    InstanceHost* host = hosts_.at(index).get();
    host->Restart();
    for (CallerId id = 1; id <= callers_; ++id) {
      if (HostOf(id) != host) continue;
      SessionLost(id);
      StartCaller(id);
    }
  }
  /// All instances hear who leads, as from the platform's list.
  void TellRoster() {
    for (const auto& host : hosts_) {
      host->proxy()->OnRoster(clock_.now(), TestRoster(cluster_));
    }
  }

 private:
  InstanceHost* HostOf(CallerId id) { return hosts_[id % hosts_.size()].get(); }

  TimePoint Now() const override { return clock_.now(); }
  void AskAfter(CallerId id, milliseconds pause) override {
    clock_.After(pause, [this, id, since = life(id)] {
      if (since == life(id)) Ask(id);
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
    Replied(caller, reply);
  }
  void OnClosed(CallerId /*caller*/, ErrorCode /*error*/) override {}

  VirtualClock clock_;
  FakeCluster cluster_;
  FakeFleet fleet_;
  std::vector<std::unique_ptr<InstanceHost>> hosts_;
  CallerId callers_ = 0;
};

}  // namespace ryefold::testsuite
