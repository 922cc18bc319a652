// Statements and transactions of one database.

#include <utility>

#include "testsuite/standins/lib/database.h"
#include "testsuite/standins/lib/json.h"

namespace ryefold::standins {

using core::ExecuteAnswer;
using core::ExecuteCall;
using core::ExecuteStatus;
using core::StatementKind;
using core::Step;

ExecuteAnswer Database::Answer(ExecuteStatus status, std::string error) const {
  ExecuteAnswer answer;
  answer.status = status;
  answer.error = std::move(error);
  answer.position = log_.last();
  answer.adopted_term = adopted_term_;
  return answer;
}

std::optional<ExecuteAnswer> Database::Execute(core::TimePoint now,
                                               SessionId id,
                                               const ExecuteCall& call) {
  if (call.term < adopted_term_) return Answer(ExecuteStatus::kStaleTerm);
  Session& session = sessions_[id];
  if (call.step == Step::kBegin) return Begin(&session, call);
  if (call.step == Step::kRollback) return EndTransaction(id, &session);
  const bool blocked = writer_ && *writer_ != id;
  if (call.step == Step::kCommit) {
    if (blocked && call.record) return std::nullopt;
    return Commit(now, id, &session, call);
  }
  if (session.state == TransactionState::kAborted) {
    return Answer(ExecuteStatus::kBadCall, "the transaction was ended");
  }
  if (call.kind == StatementKind::kRead) return Read(session, call);
  if (!Writable(call)) return Answer(ExecuteStatus::kNotPrimary);
  if (blocked) return std::nullopt;
  if (session.state == TransactionState::kOpen) {
    return WriteInTransaction(id, &session, call);
  }
  return Write(now, call);
}

bool Database::Writable(const ExecuteCall& call) const {
  return primary() && call.term == adopted_term_;
}

ExecuteAnswer Database::Begin(Session* session, const ExecuteCall& call) {
  if (session->state != TransactionState::kNone) {
    return Answer(ExecuteStatus::kBadCall, "a transaction is open");
  }
  if (call.kind == StatementKind::kWrite && !Writable(call)) {
    return Answer(ExecuteStatus::kNotPrimary);
  }
  session->state = TransactionState::kOpen;
  session->ids.emplace_back(call.workspace, call.request_id);
  return Answer(ExecuteStatus::kOk);
}

ExecuteAnswer Database::Read(const Session& session, const ExecuteCall& call) {
  // Only the transaction itself sees what it wrote: its writes are run again
  // before the read and taken back after it.
  const bool wrote = !session.writes.empty();
  if (wrote) {
    sql_->Begin();
    Replay(session.writes);
  }
  SqlResult result = sql_->Run(call.sql, call.params_json, true);
  if (wrote) sql_->Rollback();
  if (!result.ok()) return Answer(ExecuteStatus::kSqlError, result.error);
  ExecuteAnswer answer = Answer(ExecuteStatus::kOk);
  answer.result_json = std::move(result.json);
  return answer;
}

std::optional<ExecuteAnswer> Database::FromRecord(const ExecuteCall& call,
                                                  bool use_result) {
  if (call.request_id.empty()) return std::nullopt;
  auto record = sql_->FindRecord(call.workspace, call.request_id);
  if (!record) return std::nullopt;
  if (record->fenced) return Answer(ExecuteStatus::kFenced);
  if (!use_result) return std::nullopt;
  ExecuteAnswer answer = Answer(ExecuteStatus::kOk);
  answer.from_record = true;
  answer.result_json = std::move(record->result_json);
  answer.position = record->position;
  return answer;
}

ExecuteAnswer Database::Write(core::TimePoint now, const ExecuteCall& call) {
  if (auto known = FromRecord(call, call.record)) return *std::move(known);
  Entry entry = NewEntry(now, EntryKind::kStatement);
  sql_->Begin();
  SqlResult result = sql_->Run(call.sql, call.params_json, false);
  if (!result.ok()) {
    sql_->Rollback();
    return Answer(ExecuteStatus::kSqlError, result.error);
  }
  entry.record = call.record && !call.request_id.empty();
  if (entry.record) {
    sql_->PutRecord(call.workspace, call.request_id,
                    {false, result.json, entry.position});
  }
  if (!sql_->Commit()) {
    return Answer(ExecuteStatus::kSqlError, "a constraint failed at commit");
  }
  entry.workspace = call.workspace;
  entry.request_id = call.request_id;
  entry.statements.push_back({call.sql, call.params_json});
  entry.result_json = result.json;
  Append(std::move(entry));
  ExecuteAnswer answer = Answer(ExecuteStatus::kOk);
  answer.result_json = std::move(result.json);
  return answer;
}

ExecuteAnswer Database::WriteInTransaction(SessionId id, Session* session,
                                           const ExecuteCall& call) {
  if (auto fenced = FromRecord(call, false)) return *std::move(fenced);
  sql_->Begin();
  Replay(session->writes);
  SqlResult result = sql_->Run(call.sql, call.params_json, false);
  sql_->Rollback();
  if (!result.ok()) return Answer(ExecuteStatus::kSqlError, result.error);
  writer_ = id;
  session->writes.push_back({call.sql, call.params_json});
  session->ids.emplace_back(call.workspace, call.request_id);
  session->changes += result.changes;
  ExecuteAnswer answer = Answer(ExecuteStatus::kOk);
  answer.result_json = std::move(result.json);
  return answer;
}

ExecuteAnswer Database::Commit(core::TimePoint now, SessionId id,
                               Session* session, const ExecuteCall& call) {
  if (auto known = FromRecord(call, call.record)) {
    EndTransaction(id, session);
    return *std::move(known);
  }
  if (session->state != TransactionState::kOpen) {
    EndTransaction(id, session);
    return Answer(ExecuteStatus::kBadCall, "no transaction is open");
  }
  const bool record = call.record && !call.request_id.empty();
  ExecuteAnswer answer = Answer(ExecuteStatus::kOk);
  answer.result_json = R"({"columns":[],"rows":[],"changes":0})";
  if (!session->writes.empty() || record) {
    answer = CommitWrites(now, *session, call);
  }
  EndTransaction(id, session);
  return answer;
}

ExecuteAnswer Database::CommitWrites(core::TimePoint now,
                                     const Session& session,
                                     const ExecuteCall& call) {
  if (!Writable(call)) return Answer(ExecuteStatus::kNotPrimary);
  Entry entry = NewEntry(now, EntryKind::kTransaction);
  entry.workspace = call.workspace;
  entry.request_id = call.request_id;
  entry.record = call.record && !call.request_id.empty();
  entry.statements = session.writes;
  entry.result_json = R"({"columns":[],"rows":[],"changes":)";
  AppendInt(&entry.result_json, session.changes);
  entry.result_json.push_back('}');
  sql_->Begin();
  if (!Replay(session.writes)) {
    sql_->Rollback();
    return Answer(ExecuteStatus::kSqlError, "a statement failed at commit");
  }
  if (entry.record) {
    sql_->PutRecord(call.workspace, call.request_id,
                    {false, entry.result_json, entry.position});
  }
  if (!sql_->Commit()) {
    return Answer(ExecuteStatus::kSqlError, "a constraint failed at commit");
  }
  std::string result = entry.result_json;
  Append(std::move(entry));
  ExecuteAnswer answer = Answer(ExecuteStatus::kOk);
  answer.result_json = std::move(result);
  return answer;
}

ExecuteAnswer Database::EndTransaction(SessionId id, Session* session) {
  session->state = TransactionState::kNone;
  session->writes.clear();
  session->ids.clear();
  session->changes = 0;
  ReleaseWriter(id);
  return Answer(ExecuteStatus::kOk);
}

void Database::NoteReceived(SessionId id, const ExecuteCall& call) {
  sessions_[id].running = RequestKey(call.workspace, call.request_id);
}

void Database::NoteAnswered(SessionId id) {
  const auto found = sessions_.find(id);
  if (found != sessions_.end()) found->second.running.reset();
}

void Database::Close(SessionId id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  sessions_.erase(found);
  ReleaseWriter(id);
}

}  // namespace ryefold::standins
