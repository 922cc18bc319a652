#pragma once

// One in-memory SQLite database with the table that records request ids.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "ryefold/core/types.h"

struct sqlite3;
struct sqlite3_stmt;

namespace ryefold::standins {

struct SqlResult {
  /// Empty when the statement ran.
  std::string error;
  /// `{"columns":[...],"rows":[[...]],"changes":n}`
  std::string json;
  int64_t changes = 0;

  bool ok() const { return error.empty(); }
};

/// What is kept about one request id of a workspace.
struct RequestRecord {
  bool fenced = false;
  std::string result_json;
  core::LogPosition position;
};

/// Runs statements. Callers' SQL cannot start or end transactions, attach
/// files or touch the record table.
class SqlEngine {
 public:
  SqlEngine();
  ~SqlEngine();
  SqlEngine(const SqlEngine&) = delete;
  SqlEngine& operator=(const SqlEngine&) = delete;

  void Begin();
  /// False, with everything rolled back, when a deferred constraint fails.
  bool Commit();
  void Rollback();

  /// Runs one statement with its JSON array of parameters. `read_only` refuses
  /// a statement that could change anything.
  SqlResult Run(const std::string& sql, const std::string& params_json,
                bool read_only);

  std::optional<RequestRecord> FindRecord(const std::string& workspace,
                                          const std::string& request_id);
  void PutRecord(const std::string& workspace, const std::string& request_id,
                 const RequestRecord& record);

  /// Used by the authorizer: whether our own statements are being compiled.
  bool internal() const { return internal_; }

 private:
  sqlite3_stmt* Prepare(const std::string& sql, std::string* error);
  void DropStatements();
  void RunInternal(sqlite3_stmt* statement);
  sqlite3_stmt* PrepareInternal(const char* sql);

  sqlite3* database_ = nullptr;
  bool internal_ = false;
  std::unordered_map<std::string, sqlite3_stmt*> statements_;
  sqlite3_stmt* begin_ = nullptr;
  sqlite3_stmt* commit_ = nullptr;
  sqlite3_stmt* rollback_ = nullptr;
  sqlite3_stmt* find_record_ = nullptr;
  sqlite3_stmt* put_record_ = nullptr;
};

}  // namespace ryefold::standins
