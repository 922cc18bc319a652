#pragma once

// A database group in virtual time: logs, roles, replication, slots, and the
// faults that tests order. Speaks the proxy's typed calls, no wire.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/session/port.h"
#include "testsuite/support/session/fake_database.h"
#include "testsuite/support/session/virtual_clock.h"

namespace ryefold::testsuite {

using core::session::BackendCall;
using core::session::CallKind;
using core::session::ErrorCode;
using core::session::Reply;
using core::session::TransactionState;

/// Databases of one group and the connections to them.
class FakeCluster {
 public:
  using Answer = FakeSession::Answer;

  using Session = FakeSession;

  FakeCluster(VirtualClock* clock, uint64_t seed)
      : clock_(clock), random_(seed) {
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      FakeDatabase database;
      database.id = id;
      database.failure_domain = std::string(id).substr(3);
      databases_[id] = database;
    }
    databases_["db-a"].primary = true;
    Replicate();
  }

  FakeDatabase& database(const std::string& id) { return databases_.at(id); }
  uint64_t term() const { return term_; }
  const std::vector<Run>& runs() const { return runs_; }
  /// The one that leads under the newest term.
  std::string primary() const {
    for (const auto& [id, database] : databases_) {
      if (database.primary && database.term == term_) return id;
    }
    return "";
  }
  /// From now on a replaced primary goes on leading its own term, until a
  /// second after it can reach its successor.
  void LetReplacedGoOn() { replaced_go_on_ = true; }
  bool replaced_go_on() const { return replaced_go_on_; }
  /// Partitions two databases from each other.
  void Cut(const std::string& one, const std::string& other) {
    databases_.at(one).cut_from.insert(other);
    databases_.at(other).cut_from.insert(one);
  }
  void HealCuts() {
    for (auto& [id, database] : databases_) database.cut_from.clear();
  }
  /// Whether the commit was made at a primary that had been replaced.
  bool CommittedTooLate(const LogPosition& position) const {
    return committed_late_.count(position) > 0;
  }
  uint32_t connections(const std::string& id) const {
    uint32_t count = 0;
    for (const auto& [number, session] : sessions_) {
      const bool counts = !session.dead || clock_->now() < session.counts_until;
      count += counts && session.database == id ? 1 : 0;
    }
    return count;
  }

  /// Opens a connection; nothing is answered by a database that is down.
  std::optional<uint64_t> Connect(const std::string& id, ErrorCode* error) {
    *error = ErrorCode::kNone;
    FakeDatabase& target = databases_.at(id);
    if (!target.up) return std::nullopt;
    if (connections(id) >= target.max_connections) {
      ++over_limit_;
      *error = ErrorCode::kTooManyConnections;
      return std::nullopt;
    }
    const uint64_t number = ++last_session_;
    sessions_[number].database = id;
    return number;
  }

  void Call(uint64_t number, const BackendCall& call, Answer answer) {
    Session& session = sessions_.at(number);
    session.calls.emplace_back(call, std::move(answer));
    if (!session.busy) Next(number);
  }

  void Disconnect(uint64_t number) {
    const auto found = sessions_.find(number);
    if (found != sessions_.end()) Abandon(&found->second);
  }

  /// The other side has lost power: the database counts the connection for a
  /// while longer.
  void LosePower(uint64_t number) {
    Disconnect(number);
    sessions_.at(number).counts_until = clock_->now() + kLinger;
  }
  /// Connections turned away since the database held all that it takes.
  uint64_t over_limit() const { return over_limit_; }

  /// The connection goes on but carries nothing any more.
  void Silence(uint64_t number) { sessions_.at(number).silent = true; }

  /// Ends the database with all its connections.
  void Crash(const std::string& id) {
    FakeDatabase& target = databases_.at(id);
    target.up = false;
    target.waiting.clear();
    target.running = 0;
    for (auto& [number, session] : sessions_) {
      if (session.database == id) Abandon(&session);
    }
  }
  void Restart(const std::string& id) { databases_.at(id).up = true; }
  /// Starts it again under its id, with nothing of what it held and knew.
  void StartAnew(const std::string& id) {
    Crash(id);
    FakeDatabase& database = databases_.at(id);
    database.log.clear();
    database.received_at.clear();
    database.primary = false;
    database.term = 1;
    database.born = clock_->now();
    database.up = true;
  }

  /// The database leads the next term with what it has received.
  void Promote(const std::string& id) {
    FakeDatabase& leader = databases_.at(id);
    ++term_;
    leader.primary = true;
    leader.term = term_;
    Discard(leader);
    for (auto& [other, database] : databases_) {
      if (other == id) continue;
      const bool learns = leader.cut_from.count(other) == 0 && !database.deaf;
      const bool goes_on =
          replaced_go_on_ && database.up && (database.primary || !learns);
      if (!goes_on) Follow(&database, leader);
    }
  }

  /// Positions whose commits no promotion has discarded.
  std::set<LogPosition> Surviving() const {
    std::set<LogPosition> positions;
    for (const LogEntry& entry : databases_.at(primary()).log) {
      if (discarded_.count(entry.position) == 0) {
        positions.insert(entry.position);
      }
    }
    return positions;
  }
  uint32_t TimesCommitted(const std::string& statement_id) const {
    return commits_.count(statement_id) > 0 ? commits_.at(statement_id) : 0;
  }

 private:
  static constexpr milliseconds kSync{3};
  /// How long connections count whose other side has lost power.
  static constexpr milliseconds kLinger{3000};
  /// How long an old primary goes on once it reaches its successor.
  static constexpr milliseconds kGoesOn{1000};
  static constexpr uint32_t kSlots = 3;
  static constexpr uint32_t kQueue = 24;

  void Abandon(Session* session) {
    session->dead = true;
    session->calls.clear();
  }

  size_t Applied(const FakeDatabase& database) const {
    if (database.primary) return database.log.size();
    size_t applied = 0;
    while (applied < database.log.size() &&
           database.received_at[applied] + database.lag <= clock_->now()) {
      ++applied;
    }
    return applied;
  }

  LogPosition PositionOf(const FakeDatabase& database) const {
    const size_t applied = Applied(database);
    if (applied == 0) return {1, 0};
    return database.log[applied - 1].position;
  }

  bool Holds(const FakeDatabase& database, const LogPosition& since) const {
    return since.index == 0 || PositionOf(database) >= since;
  }

  /// Remembers what a promotion discards: a later leader that never heard of
  /// it may still have the entries, but callers cannot count on them.
  void Discard(const FakeDatabase& leader) {
    std::set<LogPosition> kept;
    for (const LogEntry& entry : leader.log) {
      kept.insert(entry.position);
      // A replaced primary that is promoted once more makes what it went on to
      // commit part of the newest term's log.
      committed_late_.erase(entry.position);
    }
    for (const auto& [id, database] : databases_) {
      for (const LogEntry& entry : database.log) {
        if (kept.count(entry.position) == 0) discarded_.insert(entry.position);
      }
    }
  }

  /// Takes over the leader's term and drops what it lacks.
  void Follow(FakeDatabase* database, const FakeDatabase& leader) {
    database->primary = false;
    database->term = leader.term;
    database->reaches_successor_since = TimePoint();
    size_t same = 0;
    while (same < database->log.size() && same < leader.log.size() &&
           database->log[same].position == leader.log[same].position) {
      ++same;
    }
    database->log.resize(same);
    database->received_at.resize(same);
  }

  /// The primary of the newest term in reach of the database, not below its
  /// own; null when there is none.
  const FakeDatabase* SourceOf(const FakeDatabase& database) const {
    const FakeDatabase* best = nullptr;
    for (const auto& [id, other] : databases_) {
      const bool leads = other.primary && other.up && id != database.id;
      if (!leads || database.cut_from.count(id) > 0) continue;
      if (other.term < database.term) continue;
      if (best == nullptr || other.term > best->term) best = &other;
    }
    return best;
  }

  /// An old primary that goes on learns of its successor.
  void MeetSuccessor(FakeDatabase* database) {
    const FakeDatabase* successor = SourceOf(*database);
    if (successor == nullptr || successor->term == database->term) {
      database->reaches_successor_since = TimePoint();
    } else if (database->reaches_successor_since == TimePoint()) {
      database->reaches_successor_since = clock_->now();
    } else if (clock_->now() - database->reaches_successor_since >= kGoesOn) {
      Follow(database, *successor);
    }
  }

  void Replicate() {
    for (auto& [id, database] : databases_) {
      if (database.deaf || !database.up) continue;
      if (database.primary) {
        MeetSuccessor(&database);
        continue;
      }
      const FakeDatabase* source = SourceOf(database);
      if (source == nullptr) continue;
      if (source->term > database.term) Follow(&database, *source);
      for (size_t i = database.log.size(); i < source->log.size(); ++i) {
        database.log.push_back(source->log[i]);
        database.received_at.push_back(clock_->now());
      }
    }
    clock_->After(kSync, [this] { Replicate(); });
  }

  void Next(uint64_t number) {
    Session& session = sessions_.at(number);
    if (session.dead || session.silent || session.calls.empty()) return;
    session.busy = true;
    const BackendCall call = session.calls.front().first;
    const bool slot = call.kind == CallKind::kVerbatim ||
                      call.kind == CallKind::kExecute ||
                      call.kind == CallKind::kStatus;
    if (slot) {
      TakeSlot(number);
    } else {
      Conclude(number, Perform(&session, call));
    }
  }

  void TakeSlot(uint64_t number) {
    FakeDatabase& database = databases_.at(sessions_.at(number).database);
    if (database.running >= kSlots) {
      if (database.waiting.size() >= kQueue) {
        Reply busy = Told(sessions_.at(number), database);
        busy.error = ErrorCode::kBusy;
        Conclude(number, busy);
        return;
      }
      database.waiting.push_back([this, number] { Occupy(number); });
      return;
    }
    Occupy(number);
  }

  void Occupy(uint64_t number) {
    const std::string id = sessions_.at(number).database;
    ++databases_.at(id).running;
    std::uniform_int_distribution<int64_t> work(2, 40);
    const milliseconds time(work(random_));
    clock_->After(time + databases_.at(id).slow, [this, number, id] {
      FakeDatabase& database = databases_.at(id);
      if (database.running > 0) --database.running;
      Session& session = sessions_.at(number);
      if (!session.dead && !session.calls.empty()) {
        const BackendCall call = session.calls.front().first;
        Conclude(number, Perform(&session, call));
      }
      if (!database.waiting.empty() && database.running < kSlots) {
        const auto next = std::move(database.waiting.front());
        database.waiting.pop_front();
        next();
      }
    });
  }

  void Conclude(uint64_t number, const Reply& reply) {
    Session& session = sessions_.at(number);
    const Answer answer = std::move(session.calls.front().second);
    session.calls.pop_front();
    session.busy = false;
    FakeDatabase& database = databases_.at(session.database);
    if (database.lose_one_in > 0 && random_() % database.lose_one_in == 0) {
      session.silent = true;
    }
    if (!session.silent) {
      clock_->After(milliseconds(1), [this, number, answer, reply] {
        if (!sessions_.at(number).dead && !sessions_.at(number).silent) {
          answer(reply);
        }
      });
    }
    Next(number);
  }

  Reply Told(const Session& session, const FakeDatabase& database) const {
    Reply reply;
    reply.state = session.state;
    reply.position = PositionOf(database);
    return reply;
  }

  Reply Fail(Session* session, FakeDatabase* database, ErrorCode error) {
    if (session->state == TransactionState::kOpen) {
      session->state = TransactionState::kFailed;
      session->writes.clear();
    }
    Reply reply = Told(*session, *database);
    reply.error = error;
    return reply;
  }

  Reply Perform(Session* session, const BackendCall& call) {
    FakeDatabase& database = databases_.at(session->database);
    if (call.since.has_value() && !Holds(database, *call.since)) {
      return Fail(session, &database, ErrorCode::kLagging);
    }
    switch (call.kind) {
      case CallKind::kBegin:
      case CallKind::kBeginRead:
        return Begin(session, &database, call.kind == CallKind::kBegin);
      case CallKind::kRollback:
        session->state = TransactionState::kIdle;
        session->transaction = 0;
        session->writes.clear();
        return Told(*session, database);
      case CallKind::kSet:
        session->variables[call.name] = call.text;
        return Told(*session, database);
      case CallKind::kPrepare:
        session->prepared[call.name] =
            std::string(call.writes ? "WRITE " : "READ ") + call.text;
        return Told(*session, database);
      case CallKind::kDiscard:
        session->variables.clear();
        session->prepared.clear();
        return Told(*session, database);
      case CallKind::kStatus:
        return Status(session, &database);
      case CallKind::kVerbatim:
      case CallKind::kExecute:
        return Statement(session, &database, call);
    }
    return Told(*session, database);
  }

  Reply Begin(Session* session, FakeDatabase* database, bool plain) {
    if (plain && !database->primary) {
      return Fail(session, database, ErrorCode::kReadOnly);
    }
    session->state = TransactionState::kOpen;
    session->plain = plain;
    session->transaction = ++last_transaction_;
    return Told(*session, *database);
  }

  Reply Status(Session* session, FakeDatabase* database) {
    Reply reply = Told(*session, *database);
    core::session::StatusReport report;
    report.primary = database->primary;
    report.term = database->term;
    if (!database->log.empty()) report.received = database->log.back().position;
    reply.status = report;
    return reply;
  }

  Reply Statement(Session* session, FakeDatabase* database,
                  const BackendCall& call) {
    if (session->state == TransactionState::kFailed) {
      return Fail(session, database, ErrorCode::kMalformed);
    }
    std::string text = call.text;
    if (call.kind == CallKind::kExecute) {
      const auto found = session->prepared.find(call.name);
      if (found == session->prepared.end()) {
        return Fail(session, database, ErrorCode::kNoStatement);
      }
      text = found->second + " " + call.text;
    }
    const bool commit = text == "COMMIT";
    const bool writes = text.rfind("WRITE", 0) == 0;
    const bool open = session->state == TransactionState::kOpen;
    const bool lost_lead = open && session->plain && !database->primary;
    const bool harmless = commit && session->writes.empty();
    if ((lost_lead && !harmless) || (writes && !database->primary)) {
      return Fail(session, database, ErrorCode::kReadOnly);
    }
    Run run;
    run.statement_id = call.id;
    run.digest = "digest-" + std::to_string(runs_.size()) + "-" + call.id;
    run.database = database->id;
    run.variables = session->variables;
    run.text = text;
    run.transaction = session->transaction;
    const size_t applied = Applied(*database);
    for (size_t i = 0; i < applied; ++i) {
      run.log.push_back(database->log[i].position);
    }
    if (writes && open) session->writes.push_back(call.id);
    if (writes && !open) Commit(database, {call.id});
    if (commit) {
      Commit(database, session->writes);
      session->writes.clear();
      session->state = TransactionState::kIdle;
      session->transaction = 0;
    }
    Reply reply = Told(*session, *database);
    reply.digest = run.digest;
    if (!commit && !writes) reply.rows.push_back("row-" + call.id);
    runs_.push_back(std::move(run));
    return reply;
  }

  void Commit(FakeDatabase* database, const std::vector<std::string>& writes) {
    if (writes.empty()) return;
    LogEntry entry;
    entry.position.term = database->term;
    entry.position.index =
        database->log.empty() ? 1 : database->log.back().position.index + 1;
    entry.statement_id = writes.front();
    if (database->term < term_) committed_late_.insert(entry.position);
    database->log.push_back(entry);
    database->received_at.push_back(clock_->now());
    for (const std::string& id : writes) ++commits_[id];
  }

  VirtualClock* clock_;
  std::mt19937_64 random_;
  std::map<std::string, FakeDatabase> databases_;
  std::map<uint64_t, Session> sessions_;
  uint64_t last_session_ = 0;
  uint64_t over_limit_ = 0;
  uint64_t last_transaction_ = 0;
  /// The newest.
  uint64_t term_ = 1;
  bool replaced_go_on_ = false;
  std::set<LogPosition> committed_late_;
  std::set<LogPosition> discarded_;
  std::vector<Run> runs_;
  std::map<std::string, uint32_t> commits_;
};

}  // namespace ryefold::testsuite
