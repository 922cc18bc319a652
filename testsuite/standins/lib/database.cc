#include "testsuite/standins/lib/database.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace ryefold::standins {
namespace {

// One answer ships no more than this, so that a replica far behind does not
// hold up the others.
constexpr uint64_t kEntriesPerAnswer = 2000;

}  // namespace

Database::Database(std::string name, const std::string& primary,
                   core::TimePoint now)
    : name_(std::move(name)) {
  if (name_ != primary) {
    following_ = primary;
    return;
  }
  role_ = core::DatabaseRole::kPrimary;
  Append(NewEntry(now, EntryKind::kTermStart));
}

core::DatabaseStatus Database::status() const {
  return {name_,     role_,       adopted_term_,
          proposer_, log_.last(), log_.term_starts()};
}

core::AdoptAnswer Database::Adopt(const core::AdoptCall& call) {
  const bool repeat = call.term == adopted_term_ && call.proposer == proposer_;
  const bool accepted = repeat || call.term > adopted_term_;
  // A repeat must not undo a promotion under the same term.
  if (accepted && !repeat) TakeTerm(call.term, call.proposer);
  return {accepted, status()};
}

core::RoleAnswer Database::Promote(core::TimePoint now,
                                   const core::PromoteCall& call) {
  if (call.term != adopted_term_ || call.proposer != proposer_) {
    return {false, status()};
  }
  // A database that was told to follow another under this term stays a
  // replica: two primaries of one term could never be told apart.
  if (!following_.empty()) return {false, status()};
  if (!primary()) {
    role_ = core::DatabaseRole::kPrimary;
    Append(NewEntry(now, EntryKind::kTermStart));
  }
  return {true, status()};
}

core::RoleAnswer Database::Follow(const core::FollowCall& call) {
  const bool same =
      call.term == adopted_term_ && call.proposer == proposer_ && !primary();
  if (!same && call.term <= adopted_term_) return {false, status()};
  if (call.primary == name_) return {false, status()};
  if (!same) TakeTerm(call.term, call.proposer);
  following_ = call.primary;
  return {true, status()};
}

void Database::TakeTerm(uint64_t term, const std::string& proposer) {
  adopted_term_ = term;
  proposer_ = proposer;
  role_ = core::DatabaseRole::kReplica;
  following_.clear();
  AbortTransactions();
}

LogAnswer Database::ReadLog(core::TimePoint now, const LogCall& call) const {
  LogAnswer answer;
  answer.term = adopted_term_;
  answer.last = log_.last();
  if (call.term != adopted_term_) {
    answer.status = LogStatus::kStaleTerm;
    return answer;
  }
  if (!primary()) return answer;
  answer.term_starts = log_.term_starts();
  if (!log_.Holds(call.after)) {
    answer.status = LogStatus::kMismatch;
    return answer;
  }
  answer.status = LogStatus::kOk;
  answer.first = call.after.index + 1;
  const std::vector<Entry>& entries = log_.entries();
  for (uint64_t at = call.after.index; at < entries.size(); ++at) {
    const core::TimePoint due = entries[at].written + call.lag;
    if (due > now) {
      answer.next_due = due;
      break;
    }
    if (++answer.count == kEntriesPerAnswer) break;
  }
  return answer;
}

bool Database::TakeEntries(uint64_t term, std::vector<Entry> entries) {
  if (term != adopted_term_ || primary()) return false;
  for (Entry& entry : entries) {
    const uint64_t index = entry.position.index;
    if (log_.Holds(entry.position)) continue;
    if (index > log_.last().index + 1 || index == 0) return false;
    if (index <= log_.last().index) {
      // What stands here was written under a term that a promotion has ended
      // and was never confirmed. Kept, it would serve reads of writes that
      // did not happen.
      log_.CutAfter(index - 1);
      Rebuild();
    }
    ApplyEntry(entry);
    log_.Append(std::move(entry));
  }
  return true;
}

void Database::ApplyEntry(const Entry& entry) {
  if (entry.kind == EntryKind::kTermStart) return;
  sql_->Begin();
  if (!Replay(entry.statements)) {
    LOG(FATAL) << "event=replay_failed database=" << name_
               << " index=" << entry.position.index;
  }
  if (entry.record) {
    sql_->PutRecord(
        entry.workspace, entry.request_id,
        {entry.kind == EntryKind::kFence, entry.result_json, entry.position});
  }
  CHECK(sql_->Commit()) << "event=replay_failed database=" << name_
                        << " index=" << entry.position.index;
}

void Database::Rebuild() {
  sql_ = std::make_unique<SqlEngine>();
  for (const Entry& entry : log_.entries()) ApplyEntry(entry);
}

bool Database::Replay(const std::vector<LoggedStatement>& statements) {
  return std::all_of(
      statements.begin(), statements.end(),
      [this](const LoggedStatement& statement) {
        return sql_->Run(statement.sql, statement.params_json, false).ok();
      });
}

Entry Database::NewEntry(core::TimePoint now, EntryKind kind) const {
  Entry entry;
  entry.position = {adopted_term_, log_.last().index + 1};
  entry.kind = kind;
  entry.written = now;
  return entry;
}

void Database::Append(Entry entry) {
  Serialise(&entry);
  log_.Append(std::move(entry));
}

core::SettleAnswer Database::Settle(core::TimePoint now,
                                    const core::SettleCall& call) {
  core::SettleAnswer answer;
  if (call.term < adopted_term_) {
    answer.status = core::SettleStatus::kStaleTerm;
    return answer;
  }
  if (!primary() || call.term != adopted_term_) return answer;
  const auto record = sql_->FindRecord(call.workspace, call.request_id);
  if (record) {
    answer.status = record->fenced ? core::SettleStatus::kFenced
                                   : core::SettleStatus::kDone;
    answer.result_json = record->result_json;
    answer.position = record->position;
    return answer;
  }
  if (InProgress({call.workspace, call.request_id})) {
    answer.status = core::SettleStatus::kInProgress;
    return answer;
  }
  Entry fence = NewEntry(now, EntryKind::kFence);
  fence.workspace = call.workspace;
  fence.request_id = call.request_id;
  fence.record = true;
  answer.status = core::SettleStatus::kFenced;
  answer.position = fence.position;
  ApplyEntry(fence);
  Append(std::move(fence));
  return answer;
}

bool Database::InProgress(const RequestKey& key) const {
  for (const auto& [id, session] : sessions_) {
    if (session.running == key) return true;
    if (session.state != TransactionState::kOpen) continue;
    if (std::find(session.ids.begin(), session.ids.end(), key) !=
        session.ids.end()) {
      return true;
    }
  }
  return false;
}

void Database::AbortTransactions() {
  for (auto& [id, session] : sessions_) {
    if (session.state != TransactionState::kOpen) continue;
    session.state = TransactionState::kAborted;
    session.writes.clear();
  }
  if (writer_) ReleaseWriter(*writer_);
}

void Database::ReleaseWriter(SessionId session) {
  if (writer_ != session) return;
  writer_.reset();
  if (writer_free_) writer_free_();
}

}  // namespace ryefold::standins
