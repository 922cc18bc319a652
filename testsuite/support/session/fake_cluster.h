#pragma once

// A simulated database group in virtual time: logs, roles, replication,
// execution slots and injected faults. Accepts the proxy's typed calls without
// a wire protocol.

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

/// Simulates three databases of one group and the connections to them.
class FakeCluster {
 public:
  using ReplyCallback = FakeSession::ReplyCallback;

  using Session = FakeSession;

  /// The databases are `prefix` with "a", "b" and "c"; the first is the
  /// primary. The prefix has three characters.
  FakeCluster(VirtualClock* clock, uint64_t seed, std::string group = "group",
              const std::string& prefix = "db-")
      : clock_(clock), random_(seed), group_(std::move(group)) {
    for (const char* domain : {"a", "b", "c"}) {
      FakeDatabase database;
      database.id = prefix + domain;
      database.failure_domain = domain;
      databases_[database.id] = database;
    }
    databases_.begin()->second.primary = true;
    Replicate();
  }

  const std::string& group() const { return group_; }
  bool Contains(const std::string& id) const {
    return databases_.count(id) > 0;
  }

  FakeDatabase& database(const std::string& id) { return databases_.at(id); }
  std::vector<std::string> ids() const {
    std::vector<std::string> ids;
    for (const auto& [id, database] : databases_) ids.push_back(id);
    return ids;
  }
  /// Adds a replica that holds the primary's log.
  void AddReplica(const std::string& id) {
    FakeDatabase database = databases_.at(primary());
    database.id = id;
    database.failure_domain = id.substr(3);
    database.primary = false;
    database.running = 0;
    database.queue.clear();
    databases_[id] = std::move(database);
  }
  uint64_t term() const { return term_; }
  const std::vector<ExecutedStatement>& executed_statements() const {
    return executed_statements_;
  }
  /// Returns the primary of the newest term, or "" if there is none.
  std::string primary() const {
    for (const auto& [id, database] : databases_) {
      if (database.primary && database.term == term_) return id;
    }
    return "";
  }
  /// Makes replaced primaries stay active in their own term until one second
  /// after they can reach their successor.
  void KeepReplacedActive() { replaced_stay_active_ = true; }
  bool replaced_stay_active() const { return replaced_stay_active_; }
  /// Blocks replication between two databases.
  void Partition(const std::string& one, const std::string& other) {
    databases_.at(one).partitioned_from.insert(other);
    databases_.at(other).partitioned_from.insert(one);
  }
  void HealPartitions() {
    for (auto& [id, database] : databases_) database.partitioned_from.clear();
  }
  /// Returns whether a primary made this commit after it had been replaced.
  bool CommittedByReplacedPrimary(const LogPosition& position) const {
    return stale_commits_.count(position) > 0;
  }
  uint32_t connections(const std::string& id) const {
    uint32_t count = 0;
    for (const auto& [number, session] : sessions_) {
      const bool is_counted =
          !session.closed || clock_->now() < session.counted_until;
      count += is_counted && session.database == id ? 1 : 0;
    }
    return count;
  }

  /// Opens a connection. Returns nullopt if the database is down (`error` is
  /// kNone then) or has reached its connection limit.
  std::optional<uint64_t> Connect(const std::string& id, ErrorCode* error) {
    *error = ErrorCode::kNone;
    FakeDatabase& target = databases_.at(id);
    if (!target.up) return std::nullopt;
    if (connections(id) >= target.max_connections) {
      ++refused_at_limit_;
      *error = ErrorCode::kTooManyConnections;
      return std::nullopt;
    }
    const uint64_t number = ++last_session_;
    sessions_[number].database = id;
    return number;
  }

  void Call(uint64_t number, const BackendCall& call, ReplyCallback on_reply) {
    Session& session = sessions_.at(number);
    session.calls.emplace_back(call, std::move(on_reply));
    if (!session.busy) StartNextCall(number);
  }

  void Disconnect(uint64_t number) {
    const auto found = sessions_.find(number);
    if (found != sessions_.end()) CloseSession(&found->second);
  }

  /// Closes a connection whose client lost power. The database counts it
  /// against its limit until kDeadPeerTimeout has passed.
  void DisconnectByPowerLoss(uint64_t number) {
    Disconnect(number);
    sessions_.at(number).counted_until = clock_->now() + kDeadPeerTimeout;
  }
  /// Number of commits whose replies were lost.
  uint64_t lost_commits() const { return lost_commits_; }
  /// Number of connections refused at the connection limit.
  uint64_t refused_at_limit() const { return refused_at_limit_; }

  /// Keeps the connection open but drops all data on it from now on.
  void Stall(uint64_t number) { sessions_.at(number).stalled = true; }

  /// Stops the database and closes its connections.
  void Crash(const std::string& id) {
    FakeDatabase& target = databases_.at(id);
    target.up = false;
    target.paused_term = 0;
    target.queue.clear();
    target.running = 0;
    for (auto& [number, session] : sessions_) {
      if (session.database == id) CloseSession(&session);
    }
  }
  void Restart(const std::string& id) { databases_.at(id).up = true; }
  /// Restarts the database under the same id with empty state.
  void RestartEmpty(const std::string& id) {
    Crash(id);
    FakeDatabase& database = databases_.at(id);
    database.log.clear();
    database.received_at.clear();
    database.primary = false;
    database.term = 1;
    database.started_at = clock_->now();
    database.up = true;
  }

  /// Makes the database primary of the next term with the log it has received.
  void Promote(const std::string& id) {
    FakeDatabase& new_primary = databases_.at(id);
    ++term_;
    new_primary.primary = true;
    new_primary.term = term_;
    new_primary.paused_term = 0;
    RecordDiscarded(new_primary);
    for (auto& [other, database] : databases_) {
      if (other == id) continue;
      const bool receives_promotion =
          new_primary.partitioned_from.count(other) == 0 && !database.detached;
      const bool stays_active = replaced_stay_active_ && database.up &&
                                (database.primary || !receives_promotion);
      if (!stays_active) Follow(&database, new_primary);
    }
  }

  /// Returns the positions in the primary's log that no promotion discarded.
  std::set<LogPosition> SurvivingPositions() const {
    std::set<LogPosition> positions;
    for (const LogEntry& entry : databases_.at(primary()).log) {
      if (discarded_.count(entry.position) == 0) {
        positions.insert(entry.position);
      }
    }
    return positions;
  }
  /// Returns the ids of the writes in the primary's log.
  std::set<std::string> SurvivingWrites() const {
    std::set<std::string> ids;
    for (const LogEntry& entry : databases_.at(primary()).log) {
      ids.insert(entry.writes.begin(), entry.writes.end());
    }
    return ids;
  }
  uint32_t TimesCommitted(const std::string& statement_id) const {
    return commits_.count(statement_id) > 0 ? commits_.at(statement_id) : 0;
  }

 private:
  static constexpr milliseconds kReplicationInterval{3};
  /// Time for which a connection counts after its client lost power.
  static constexpr milliseconds kDeadPeerTimeout{3000};
  /// Time for which a replaced primary stays active once it can reach its
  /// successor.
  static constexpr milliseconds kStepDownDelay{1000};
  static constexpr uint32_t kQueueCapacity = 24;

  void CloseSession(Session* session) {
    session->closed = true;
    session->calls.clear();
  }

  size_t AppliedCount(const FakeDatabase& database) const {
    if (database.primary) return database.log.size();
    size_t applied = 0;
    while (applied < database.log.size() &&
           database.received_at[applied] + database.lag <= clock_->now()) {
      ++applied;
    }
    return applied;
  }

  LogPosition AppliedPosition(const FakeDatabase& database) const {
    const size_t applied = AppliedCount(database);
    if (applied == 0) return {1, 0};
    return database.log[applied - 1].position;
  }

  bool HasApplied(const FakeDatabase& database,
                  const LogPosition& since) const {
    return since.index == 0 || AppliedPosition(database) >= since;
  }

  /// Records the entries that a promotion discards. A later primary that missed
  /// this promotion may still hold them, but callers cannot rely on them.
  void RecordDiscarded(const FakeDatabase& new_primary) {
    std::set<LogPosition> kept;
    for (const LogEntry& entry : new_primary.log) {
      kept.insert(entry.position);
      // Commits that a replaced primary made become valid when it is promoted
      // again.
      stale_commits_.erase(entry.position);
    }
    for (const auto& [id, database] : databases_) {
      for (const LogEntry& entry : database.log) {
        if (kept.count(entry.position) == 0) discarded_.insert(entry.position);
      }
    }
  }

  /// Adopts the primary's term and truncates entries that its log lacks.
  void Follow(FakeDatabase* database, const FakeDatabase& new_primary) {
    database->primary = false;
    database->term = new_primary.term;
    database->paused_term = 0;
    database->reaches_successor_since = TimePoint();
    size_t same = 0;
    while (same < database->log.size() && same < new_primary.log.size() &&
           database->log[same].position == new_primary.log[same].position) {
      ++same;
    }
    database->log.resize(same);
    database->received_at.resize(same);
  }

  /// Returns the reachable primary with the highest term that is not below the
  /// database's own, or null if there is none.
  const FakeDatabase* ReplicationSource(const FakeDatabase& database) const {
    const FakeDatabase* best = nullptr;
    for (const auto& [id, other] : databases_) {
      const bool is_candidate = other.primary && other.up && id != database.id;
      if (!is_candidate || database.partitioned_from.count(id) > 0) continue;
      if (other.term < std::max(database.term, database.paused_term)) continue;
      if (best == nullptr || other.term > best->term) best = &other;
    }
    return best;
  }

  /// Demotes a replaced primary that has reached its successor for
  /// kStepDownDelay.
  void StepDownIfReplaced(FakeDatabase* database) {
    const FakeDatabase* successor = ReplicationSource(*database);
    if (successor == nullptr || successor->term == database->term) {
      database->reaches_successor_since = TimePoint();
    } else if (database->reaches_successor_since == TimePoint()) {
      database->reaches_successor_since = clock_->now();
    } else if (clock_->now() - database->reaches_successor_since >=
               kStepDownDelay) {
      Follow(database, *successor);
    }
  }

  void Replicate() {
    for (auto& [id, database] : databases_) {
      if (database.detached || !database.up) continue;
      if (database.primary) {
        StepDownIfReplaced(&database);
        continue;
      }
      const FakeDatabase* source = ReplicationSource(database);
      if (source == nullptr) continue;
      if (source->term > database.term) Follow(&database, *source);
      for (size_t i = database.log.size(); i < source->log.size(); ++i) {
        database.log.push_back(source->log[i]);
        database.received_at.push_back(clock_->now());
      }
    }
    clock_->After(kReplicationInterval, [this] { Replicate(); });
  }

  void StartNextCall(uint64_t number) {
    Session& session = sessions_.at(number);
    if (session.closed || session.stalled || session.calls.empty()) return;
    session.busy = true;
    const BackendCall call = session.calls.front().first;
    const bool needs_slot = call.kind == CallKind::kVerbatim ||
                            call.kind == CallKind::kExecute ||
                            core::session::ReturnsStatus(call.kind);
    if (needs_slot) {
      AcquireSlot(number);
    } else {
      FinishCall(number, ExecuteCall(&session, call));
    }
  }

  void AcquireSlot(uint64_t number) {
    FakeDatabase& database = databases_.at(sessions_.at(number).database);
    if (database.running >= database.slots) {
      if (database.queue.size() >= kQueueCapacity) {
        Reply busy = MakeReply(sessions_.at(number), database);
        busy.error = ErrorCode::kBusy;
        FinishCall(number, busy);
        return;
      }
      database.queue.push_back([this, number] { ExecuteInSlot(number); });
      return;
    }
    ExecuteInSlot(number);
  }

  void ExecuteInSlot(uint64_t number) {
    const std::string id = sessions_.at(number).database;
    ++databases_.at(id).running;
    std::uniform_int_distribution<int64_t> work_ms(
        databases_.at(id).min_work.count(), databases_.at(id).max_work.count());
    const milliseconds time(work_ms(random_));
    clock_->After(time + databases_.at(id).extra_latency, [this, number, id] {
      FakeDatabase& database = databases_.at(id);
      if (database.running > 0) --database.running;
      Session& session = sessions_.at(number);
      if (!session.closed && !session.calls.empty()) {
        const BackendCall call = session.calls.front().first;
        FinishCall(number, ExecuteCall(&session, call));
      }
      if (!database.queue.empty() && database.running < database.slots) {
        const auto next = std::move(database.queue.front());
        database.queue.pop_front();
        next();
      }
    });
  }

  void FinishCall(uint64_t number, const Reply& reply) {
    Session& session = sessions_.at(number);
    const bool commit = session.calls.front().first.text == "COMMIT";
    const ReplyCallback on_reply = std::move(session.calls.front().second);
    session.calls.pop_front();
    session.busy = false;
    FakeDatabase& database = databases_.at(session.database);
    if (database.lose_one_in > 0 && random_() % database.lose_one_in == 0) {
      session.stalled = true;
    }
    if (commit && database.lose_commits_one_in > 0 &&
        random_() % database.lose_commits_one_in == 0) {
      ++lost_commits_;
      session.stalled = true;
    }
    if (!session.stalled) {
      clock_->After(milliseconds(1), [this, number, on_reply, reply] {
        if (!sessions_.at(number).closed && !sessions_.at(number).stalled) {
          on_reply(reply);
        }
      });
    }
    StartNextCall(number);
  }

  Reply MakeReply(const Session& session, const FakeDatabase& database) const {
    Reply reply;
    reply.state = session.state;
    reply.position = AppliedPosition(database);
    return reply;
  }

  Reply FailStatement(Session* session, FakeDatabase* database,
                      ErrorCode error) {
    if (session->state == TransactionState::kOpen) {
      session->state = TransactionState::kFailed;
      session->writes.clear();
    }
    Reply reply = MakeReply(*session, *database);
    reply.error = error;
    return reply;
  }

  bool IsToFail(const FakeDatabase& database, CallKind kind) {
    if (database.fail_kinds.count(kind) > 0) return true;
    return database.fail_one_in > 0 && random_() % database.fail_one_in == 0;
  }

  Reply ExecuteCall(Session* session, const BackendCall& call) {
    FakeDatabase& database = databases_.at(session->database);
    if (!IsToFail(database, call.kind)) return RunCall(session, call);
    const bool session_state = call.kind == CallKind::kSet ||
                               call.kind == CallKind::kPrepare ||
                               call.kind == CallKind::kDiscard;
    if (session_state && random_() % 2 == 0) RunCall(session, call);
    return FailStatement(session, &database, ErrorCode::kFailed);
  }

  Reply RunCall(Session* session, const BackendCall& call) {
    FakeDatabase& database = databases_.at(session->database);
    if (call.since.has_value() && !HasApplied(database, *call.since)) {
      return FailStatement(session, &database, ErrorCode::kLagging);
    }
    switch (call.kind) {
      case CallKind::kBegin:
      case CallKind::kBeginRead:
        return BeginTransaction(session, &database,
                                call.kind == CallKind::kBegin);
      case CallKind::kRollback:
        session->state = TransactionState::kIdle;
        session->transaction = 0;
        session->writes.clear();
        return MakeReply(*session, database);
      case CallKind::kSet:
        session->variables[call.name] = call.text;
        return MakeReply(*session, database);
      case CallKind::kPrepare:
        session->prepared[call.name] =
            std::string(call.writes ? "WRITE " : "READ ") + call.text;
        return MakeReply(*session, database);
      case CallKind::kDiscard:
        session->variables.clear();
        session->prepared.clear();
        return MakeReply(*session, database);
      case CallKind::kStatus:
        return ReportStatus(session, &database);
      case CallKind::kPauseReplication:
        if (!database.primary && call.term > database.term) {
          database.paused_term = call.term;
        }
        return ReportStatus(session, &database);
      case CallKind::kStepDown:
        if (call.term > database.term) database.primary = false;
        return ReportStatus(session, &database);
      case CallKind::kResumeReplication:
        database.paused_term = 0;
        return ReportStatus(session, &database);
      case CallKind::kVerbatim:
      case CallKind::kExecute:
        return ExecuteStatement(session, &database, call);
    }
    return MakeReply(*session, database);
  }

  Reply BeginTransaction(Session* session, FakeDatabase* database,
                         bool read_write) {
    if (read_write && !database->primary) {
      return FailStatement(session, database, ErrorCode::kReadOnly);
    }
    session->state = TransactionState::kOpen;
    session->read_write = read_write;
    session->transaction = ++last_transaction_;
    return MakeReply(*session, *database);
  }

  Reply ReportStatus(Session* session, FakeDatabase* database) {
    Reply reply = MakeReply(*session, *database);
    core::session::StatusReport report;
    report.primary = database->primary;
    report.term = database->term;
    report.paused_term = database->paused_term;
    report.lag = database->primary ? milliseconds(0) : database->lag;
    report.busy_slots = database->running;
    if (!database->log.empty()) report.received = database->log.back().position;
    reply.status = report;
    return reply;
  }

  Reply ExecuteStatement(Session* session, FakeDatabase* database,
                         const BackendCall& call) {
    if (session->state == TransactionState::kFailed) {
      return FailStatement(session, database, ErrorCode::kMalformed);
    }
    std::string text = call.text;
    if (call.kind == CallKind::kExecute) {
      const auto found = session->prepared.find(call.name);
      if (found == session->prepared.end()) {
        return FailStatement(session, database, ErrorCode::kNoStatement);
      }
      text = found->second + " " + call.text;
    }
    const bool commit = text == "COMMIT";
    const bool writes = text.rfind("WRITE", 0) == 0;
    const bool open = session->state == TransactionState::kOpen;
    const bool lost_primary_role =
        open && session->read_write && !database->primary;
    const bool empty_commit = commit && session->writes.empty();
    if ((lost_primary_role && !empty_commit) ||
        (writes && !database->primary)) {
      return FailStatement(session, database, ErrorCode::kReadOnly);
    }
    ExecutedStatement executed;
    executed.statement_id = call.id;
    executed.digest =
        "digest-" + std::to_string(executed_statements_.size()) + "-" + call.id;
    executed.database = database->id;
    executed.variables = session->variables;
    executed.text = text;
    executed.transaction = session->transaction;
    const size_t applied = AppliedCount(*database);
    for (size_t i = 0; i < applied; ++i) {
      executed.log.push_back(database->log[i].position);
    }
    if (writes && open) session->writes.push_back(call.id);
    if (writes && !open) AppendCommit(database, {call.id});
    if (commit) {
      AppendCommit(database, session->writes);
      session->writes.clear();
      session->state = TransactionState::kIdle;
      session->transaction = 0;
    }
    Reply reply = MakeReply(*session, *database);
    reply.digest = executed.digest;
    if (!commit && !writes) reply.rows.push_back("row-" + call.id);
    const bool commits = commit || (writes && !open);
    if (commits && database->omit_commit_positions) reply.position.reset();
    executed_statements_.push_back(std::move(executed));
    return reply;
  }

  void AppendCommit(FakeDatabase* database,
                    const std::vector<std::string>& writes) {
    if (writes.empty()) return;
    LogEntry entry;
    entry.position.term = database->term;
    entry.position.index =
        database->log.empty() ? 1 : database->log.back().position.index + 1;
    entry.statement_id = writes.front();
    entry.writes = writes;
    if (database->term < term_) stale_commits_.insert(entry.position);
    database->log.push_back(entry);
    database->received_at.push_back(clock_->now());
    for (const std::string& id : writes) ++commits_[id];
  }

  VirtualClock* clock_;
  std::mt19937_64 random_;
  const std::string group_;
  std::map<std::string, FakeDatabase> databases_;
  std::map<uint64_t, Session> sessions_;
  uint64_t last_session_ = 0;
  uint64_t refused_at_limit_ = 0;
  uint64_t lost_commits_ = 0;
  uint64_t last_transaction_ = 0;
  /// Term of the last promotion.
  uint64_t term_ = 1;
  bool replaced_stay_active_ = false;
  /// Commits that primaries made after their replacement.
  std::set<LogPosition> stale_commits_;
  std::set<LogPosition> discarded_;
  std::vector<ExecutedStatement> executed_statements_;
  std::map<std::string, uint32_t> commits_;
};

}  // namespace ryefold::testsuite
