#pragma once

// A group of three databases without sockets, pulled by hand.

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "testsuite/standins/lib/database.h"
#include "testsuite/standins/lib/log_codec.h"

namespace ryefold::standins {

class Group : public ::testing::Test {
 protected:
  static constexpr SessionId kFirst = 1;
  static constexpr SessionId kSecond = 2;

  void SetUp() override {
    ASSERT_TRUE(Write(&a_, "table", "CREATE TABLE t (id INTEGER, n TEXT)"));
    Pull(&a_, &b_);
    Pull(&a_, &c_);
  }

  static core::ExecuteCall Call(uint64_t term, core::StatementKind kind,
                                std::string id, std::string sql) {
    core::ExecuteCall call;
    call.term = term;
    call.kind = kind;
    call.request_id = std::move(id);
    call.workspace = "gates";
    call.record = kind == core::StatementKind::kWrite;
    call.sql = std::move(sql);
    return call;
  }

  static core::ExecuteCall WriteCall(const Database& database, std::string id,
                                     std::string sql) {
    return Call(database.adopted_term(), core::StatementKind::kWrite,
                std::move(id), std::move(sql));
  }

  static core::ExecuteCall StepCall(const Database& database, core::Step step,
                                    std::string id) {
    core::ExecuteCall call = WriteCall(database, std::move(id), "");
    call.step = step;
    return call;
  }

  std::optional<core::ExecuteAnswer> Run(Database* database, SessionId session,
                                         const core::ExecuteCall& call) {
    return database->Execute(now_, session, call);
  }

  /// Nothing when the call has to wait for the writer.
  std::optional<core::ExecuteStatus> StatusOf(Database* database,
                                              SessionId session,
                                              const core::ExecuteCall& call) {
    const auto answer = Run(database, session, call);
    if (!answer) return std::nullopt;
    return answer->status;
  }

  bool Write(Database* database, std::string id, std::string sql) {
    const auto call = WriteCall(*database, std::move(id), std::move(sql));
    return StatusOf(database, kFirst, call) == core::ExecuteStatus::kOk;
  }

  bool Insert(Database* database, const std::string& id) {
    return Write(database, id, "INSERT INTO t VALUES (1, '" + id + "')");
  }

  /// Rows of the table as JSON text.
  std::string Rows(Database* database, SessionId session = kFirst) {
    const auto call = Call(database->adopted_term(), core::StatementKind::kRead,
                           "", "SELECT n FROM t ORDER BY rowid");
    const auto answer = Run(database, session, call);
    return answer ? answer->result_json : "";
  }

  /// Ships everything from one database to another through the wire form, as
  /// often as the two logs need to meet. False when either side refuses.
  bool Pull(Database* source, Database* target) {
    core::LogPosition after = target->log().last();
    for (int turn = 0; turn < 3; ++turn) {
      const LogCall call{
          target->adopted_term(), target->name(), after, lag_, {}};
      const auto answer = source->ReadLog(now_, call);
      auto shipped = ReadLogAnswer(ToJson(answer, source->log()));
      if (!shipped) return false;
      if (shipped->answer.status == LogStatus::kMismatch) {
        after = target->log().CommonWith(shipped->answer.term_starts,
                                         shipped->answer.last);
        continue;
      }
      if (shipped->answer.status != LogStatus::kOk) return false;
      return target->TakeEntries(call.term, std::move(shipped->entries));
    }
    return false;
  }

  /// Makes `primary` the primary of `term` with `other` behind it.
  void Promote(uint64_t term, Database* primary, Database* other) {
    ASSERT_TRUE(primary->Adopt({term, "keeper"}).accepted);
    ASSERT_TRUE(other->Adopt({term, "keeper"}).accepted);
    ASSERT_TRUE(primary->Promote(now_, {term, "keeper"}).accepted);
    ASSERT_TRUE(other->Follow({term, "keeper", primary->name()}).accepted);
  }

  core::TimePoint now_{std::chrono::seconds(1000)};
  std::chrono::milliseconds lag_{0};
  Database a_{"a", "a", now_};
  Database b_{"b", "a", now_};
  Database c_{"c", "a", now_};
};

}  // namespace ryefold::standins
