#pragma once

// One database without its sockets: roles and terms, the log, statements,
// transactions and the records of request ids. Rules in docs/PROTOCOLS.md.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/messages.h"
#include "testsuite/standins/lib/log.h"
#include "testsuite/standins/lib/sql_engine.h"

namespace ryefold::standins {

/// Names one statement connection.
using SessionId = uint64_t;

/// A replica asks the database that it follows for what comes after `after`.
struct LogCall {
  uint64_t term = 0;
  std::string database;
  core::LogPosition after;
  /// Entries written less than this ago are not shipped yet.
  std::chrono::milliseconds lag{0};
  std::chrono::milliseconds wait{0};
};

enum class LogStatus : uint8_t {
  kOk,
  kStaleTerm,   ///< The call's term is not the adopted one.
  kNotPrimary,  ///< Nothing is shipped by a database that is no primary.
  kMismatch,    ///< `after` is not in this log; see the term starts.
};

struct LogAnswer {
  LogStatus status = LogStatus::kNotPrimary;
  uint64_t term = 0;
  core::LogPosition last;
  std::vector<core::TermStart> term_starts;
  /// Index of the first entry shipped, and how many there are.
  uint64_t first = 0;
  uint64_t count = 0;
  /// When the next entry may be shipped, if one waits for its lag.
  std::optional<core::TimePoint> next_due;
};

/// State machine of one database. Times are passed in; not thread-safe.
class Database {
 public:
  /// `primary` names the group's primary of term 1.
  Database(std::string name, const std::string& primary, core::TimePoint now);

  // ---- statement connections ----

  /// Runs one call. Nothing is returned, and nothing done, while another
  /// session's transaction holds the writer's lock; see `OnWriterFree`.
  std::optional<core::ExecuteAnswer> Execute(core::TimePoint now,
                                             SessionId session,
                                             const core::ExecuteCall& call);
  /// Marks the call as received, so that `Settle` knows of it until the next
  /// `NoteAnswered` of the session.
  void NoteReceived(SessionId session, const core::ExecuteCall& call);
  void NoteAnswered(SessionId session);
  /// The connection closed: its open transaction is rolled back.
  void Close(SessionId session);
  /// Called when the writer's lock has been given back.
  void OnWriterFree(std::function<void()> free) {
    writer_free_ = std::move(free);
  }

  // ---- control calls ----

  core::DatabaseStatus status() const;
  core::AdoptAnswer Adopt(const core::AdoptCall& call);
  core::RoleAnswer Promote(core::TimePoint now, const core::PromoteCall& call);
  core::RoleAnswer Follow(const core::FollowCall& call);
  core::SettleAnswer Settle(core::TimePoint now, const core::SettleCall& call);

  // ---- log shipping ----

  LogAnswer ReadLog(core::TimePoint now, const LogCall& call) const;
  /// Takes entries that the followed database shipped under `term`. False when
  /// they were refused.
  bool TakeEntries(uint64_t term, std::vector<Entry> entries);

  const Log& log() const { return log_; }
  const std::string& name() const { return name_; }
  uint64_t adopted_term() const { return adopted_term_; }
  bool primary() const { return role_ == core::DatabaseRole::kPrimary; }
  /// Database to pull from, empty when there is none.
  const std::string& following() const { return following_; }

 private:
  enum class TransactionState : uint8_t { kNone, kOpen, kAborted };

  using RequestKey = std::pair<std::string, std::string>;

  struct Session {
    TransactionState state = TransactionState::kNone;
    std::vector<LoggedStatement> writes;
    /// Ids of the open transaction's calls.
    std::vector<RequestKey> ids;
    int64_t changes = 0;
    std::optional<RequestKey> running;
  };

  core::ExecuteAnswer Answer(core::ExecuteStatus status,
                             std::string error = {}) const;
  core::ExecuteAnswer Begin(Session* session, const core::ExecuteCall& call);
  core::ExecuteAnswer Read(const Session& session,
                           const core::ExecuteCall& call);
  core::ExecuteAnswer Write(core::TimePoint now, const core::ExecuteCall& call);
  core::ExecuteAnswer WriteInTransaction(SessionId id, Session* session,
                                         const core::ExecuteCall& call);
  core::ExecuteAnswer Commit(core::TimePoint now, SessionId id,
                             Session* session, const core::ExecuteCall& call);
  core::ExecuteAnswer CommitWrites(core::TimePoint now, const Session& session,
                                   const core::ExecuteCall& call);
  core::ExecuteAnswer EndTransaction(SessionId id, Session* session);
  /// Answer for an id that is fenced or, if `use_result`, already recorded.
  std::optional<core::ExecuteAnswer> FromRecord(const core::ExecuteCall& call,
                                                bool use_result);
  bool Writable(const core::ExecuteCall& call) const;
  bool Replay(const std::vector<LoggedStatement>& statements);
  Entry NewEntry(core::TimePoint now, EntryKind kind) const;
  void Append(Entry entry);
  void ApplyEntry(const Entry& entry);
  void Rebuild();
  void TakeTerm(uint64_t term, const std::string& proposer);
  void AbortTransactions();
  void ReleaseWriter(SessionId session);
  bool InProgress(const RequestKey& key) const;

  std::string name_;
  core::DatabaseRole role_ = core::DatabaseRole::kReplica;
  uint64_t adopted_term_ = 1;
  std::string proposer_;
  std::string following_;
  Log log_;
  std::unique_ptr<SqlEngine> sql_ = std::make_unique<SqlEngine>();
  std::map<SessionId, Session> sessions_;
  std::optional<SessionId> writer_;
  std::function<void()> writer_free_;
};

}  // namespace ryefold::standins
