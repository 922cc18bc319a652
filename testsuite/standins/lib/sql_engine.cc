#include "testsuite/standins/lib/sql_engine.h"

#include <glog/logging.h>
#include <sqlite3.h>

#include <string_view>

#include "testsuite/standins/lib/json.h"

namespace ryefold::standins {
namespace {

constexpr char kRecordTable[] = "standin_records";
constexpr size_t kStatementCacheLimit = 1000;

int Authorize(void* engine, int action, const char* first, const char* /*arg*/,
              const char* /*database*/, const char* /*trigger*/) {
  if (static_cast<SqlEngine*>(engine)->internal()) return SQLITE_OK;
  switch (action) {
    case SQLITE_TRANSACTION:
    case SQLITE_SAVEPOINT:
    case SQLITE_ATTACH:
    case SQLITE_DETACH:
    case SQLITE_PRAGMA:
      return SQLITE_DENY;
    case SQLITE_INSERT:
    case SQLITE_UPDATE:
    case SQLITE_DELETE:
    case SQLITE_DROP_TABLE:
      return first != nullptr && std::string_view(first) == kRecordTable
                 ? SQLITE_DENY
                 : SQLITE_OK;
    default:
      return SQLITE_OK;
  }
}

void BindText(sqlite3_stmt* statement, int place, const std::string& text) {
  sqlite3_bind_text(statement, place, text.data(),
                    static_cast<int>(text.size()), SQLITE_TRANSIENT);
}

bool BindValue(sqlite3_stmt* statement, int place, const Json::Value& value) {
  switch (value.type()) {
    case Json::nullValue:
      return sqlite3_bind_null(statement, place) == SQLITE_OK;
    case Json::booleanValue:
      return sqlite3_bind_int(statement, place, value.asBool() ? 1 : 0) ==
             SQLITE_OK;
    case Json::intValue:
      return sqlite3_bind_int64(statement, place, value.asInt64()) == SQLITE_OK;
    case Json::uintValue:
      if (!value.isInt64()) return false;
      return sqlite3_bind_int64(statement, place, value.asInt64()) == SQLITE_OK;
    case Json::realValue:
      return sqlite3_bind_double(statement, place, value.asDouble()) ==
             SQLITE_OK;
    case Json::stringValue:
      BindText(statement, place, value.asString());
      return true;
    default:
      return false;
  }
}

std::string BindParams(sqlite3_stmt* statement,
                       const std::string& params_json) {
  const int wanted = sqlite3_bind_parameter_count(statement);
  if (wanted == 0 && (params_json.empty() || params_json == "[]")) return {};
  const std::optional<Json::Value> params = ParseJson(params_json);
  if (!params || !params->isArray()) return "params must be an array";
  if (static_cast<int>(params->size()) != wanted) {
    return "statement has " + std::to_string(wanted) + " parameters, " +
           std::to_string(params->size()) + " given";
  }
  for (int i = 0; i < wanted; ++i) {
    if (!BindValue(statement, i + 1, (*params)[i])) {
      return "parameter " + std::to_string(i + 1) + " cannot be bound";
    }
  }
  return {};
}

void AppendBlob(std::string* out, sqlite3_stmt* statement, int column) {
  static constexpr char kHex[] = "0123456789abcdef";
  const auto* bytes =
      static_cast<const unsigned char*>(sqlite3_column_blob(statement, column));
  const int size = sqlite3_column_bytes(statement, column);
  out->push_back('"');
  for (int i = 0; i < size; ++i) {
    out->push_back(kHex[bytes[i] >> 4]);
    out->push_back(kHex[bytes[i] & 15]);
  }
  out->push_back('"');
}

void AppendColumn(std::string* out, sqlite3_stmt* statement, int column) {
  switch (sqlite3_column_type(statement, column)) {
    case SQLITE_INTEGER:
      AppendInt(out, sqlite3_column_int64(statement, column));
      return;
    case SQLITE_FLOAT:
      AppendDouble(out, sqlite3_column_double(statement, column));
      return;
    case SQLITE_TEXT:
      AppendString(
          out, {reinterpret_cast<const char*>(
                    sqlite3_column_text(statement, column)),
                static_cast<size_t>(sqlite3_column_bytes(statement, column))});
      return;
    case SQLITE_BLOB:
      AppendBlob(out, statement, column);
      return;
    default:
      out->append("null");
  }
}

void AppendColumnNames(std::string* out, sqlite3_stmt* statement) {
  const int columns = sqlite3_column_count(statement);
  out->append("{\"columns\":[");
  for (int i = 0; i < columns; ++i) {
    if (i > 0) out->push_back(',');
    AppendString(out, sqlite3_column_name(statement, i));
  }
  out->append("],\"rows\":[");
}

void AppendRow(std::string* out, sqlite3_stmt* statement, bool first) {
  const int columns = sqlite3_column_count(statement);
  out->append(first ? "[" : ",[");
  for (int i = 0; i < columns; ++i) {
    if (i > 0) out->push_back(',');
    AppendColumn(out, statement, i);
  }
  out->push_back(']');
}

// Steps through the whole result; the last step's code is returned.
int Collect(sqlite3_stmt* statement, std::string* out) {
  int code = sqlite3_step(statement);
  // Names are read after the first step, which may recompile the statement.
  AppendColumnNames(out, statement);
  for (bool first = true; code == SQLITE_ROW; first = false) {
    AppendRow(out, statement, first);
    code = sqlite3_step(statement);
  }
  return code;
}

std::string ColumnText(sqlite3_stmt* statement, int column) {
  return {reinterpret_cast<const char*>(sqlite3_column_text(statement, column)),
          static_cast<size_t>(sqlite3_column_bytes(statement, column))};
}

}  // namespace

SqlEngine::SqlEngine() {
  CHECK_EQ(sqlite3_open(":memory:", &database_), SQLITE_OK);
  internal_ = true;
  const std::string create =
      std::string("CREATE TABLE ") + kRecordTable +
      " (workspace TEXT, request_id TEXT, fenced INTEGER, result TEXT,"
      " term INTEGER, log_index INTEGER,"
      " PRIMARY KEY (workspace, request_id)) WITHOUT ROWID";
  CHECK_EQ(sqlite3_exec(database_, create.c_str(), nullptr, nullptr, nullptr),
           SQLITE_OK);
  sqlite3_set_authorizer(database_, Authorize, this);
  begin_ = PrepareInternal("BEGIN");
  commit_ = PrepareInternal("COMMIT");
  rollback_ = PrepareInternal("ROLLBACK");
  find_record_ = PrepareInternal(
      "SELECT fenced, result, term, log_index FROM standin_records"
      " WHERE workspace = ? AND request_id = ?");
  put_record_ = PrepareInternal(
      "INSERT OR REPLACE INTO standin_records VALUES (?, ?, ?, ?, ?, ?)");
  internal_ = false;
}

SqlEngine::~SqlEngine() {
  DropStatements();
  for (sqlite3_stmt* statement :
       {begin_, commit_, rollback_, find_record_, put_record_}) {
    sqlite3_finalize(statement);
  }
  sqlite3_close(database_);
}

sqlite3_stmt* SqlEngine::PrepareInternal(const char* sql) {
  sqlite3_stmt* statement = nullptr;
  CHECK_EQ(sqlite3_prepare_v3(database_, sql, -1, SQLITE_PREPARE_PERSISTENT,
                              &statement, nullptr),
           SQLITE_OK)
      << sqlite3_errmsg(database_);
  return statement;
}

void SqlEngine::DropStatements() {
  for (const auto& [sql, statement] : statements_) sqlite3_finalize(statement);
  statements_.clear();
}

void SqlEngine::RunInternal(sqlite3_stmt* statement) {
  internal_ = true;
  sqlite3_step(statement);
  internal_ = false;
}

void SqlEngine::Begin() {
  RunInternal(begin_);
  sqlite3_reset(begin_);
}

bool SqlEngine::Commit() {
  // A conflict clause of a statement may have rolled all back already.
  if (sqlite3_get_autocommit(database_) != 0) return false;
  RunInternal(commit_);
  const bool committed = sqlite3_reset(commit_) == SQLITE_OK;
  if (!committed) Rollback();
  return committed;
}

void SqlEngine::Rollback() {
  if (sqlite3_get_autocommit(database_) != 0) return;
  RunInternal(rollback_);
  sqlite3_reset(rollback_);
}

sqlite3_stmt* SqlEngine::Prepare(const std::string& sql, std::string* error) {
  const auto known = statements_.find(sql);
  if (known != statements_.end()) return known->second;
  sqlite3_stmt* statement = nullptr;
  const char* tail = nullptr;
  if (sqlite3_prepare_v3(
          database_, sql.c_str(), static_cast<int>(sql.size()) + 1,
          SQLITE_PREPARE_PERSISTENT, &statement, &tail) != SQLITE_OK) {
    *error = sqlite3_errmsg(database_);
    return nullptr;
  }
  const std::string_view rest = tail == nullptr ? "" : tail;
  if (statement == nullptr ||
      rest.find_first_not_of("; \t\r\n") != std::string_view::npos) {
    *error = "exactly one statement is expected";
    sqlite3_finalize(statement);
    return nullptr;
  }
  if (statements_.size() >= kStatementCacheLimit) DropStatements();
  statements_.emplace(sql, statement);
  return statement;
}

SqlResult SqlEngine::Run(const std::string& sql, const std::string& params_json,
                         bool read_only) {
  SqlResult result;
  sqlite3_stmt* statement = Prepare(sql, &result.error);
  if (statement == nullptr) return result;
  if (read_only && sqlite3_stmt_readonly(statement) == 0) {
    result.error = "a read must not change data";
    return result;
  }
  result.error = BindParams(statement, params_json);
  if (result.ok()) {
    const int64_t before = sqlite3_total_changes64(database_);
    if (Collect(statement, &result.json) == SQLITE_DONE) {
      const bool changed = sqlite3_total_changes64(database_) != before;
      result.changes = changed ? sqlite3_changes64(database_) : 0;
      result.json.append("],\"changes\":");
      AppendInt(&result.json, result.changes);
      result.json.push_back('}');
    } else {
      result.error = sqlite3_errmsg(database_);
      result.json.clear();
    }
  }
  sqlite3_reset(statement);
  sqlite3_clear_bindings(statement);
  return result;
}

std::optional<RequestRecord> SqlEngine::FindRecord(
    const std::string& workspace, const std::string& request_id) {
  BindText(find_record_, 1, workspace);
  BindText(find_record_, 2, request_id);
  internal_ = true;
  std::optional<RequestRecord> found;
  if (sqlite3_step(find_record_) == SQLITE_ROW) {
    found.emplace();
    found->fenced = sqlite3_column_int(find_record_, 0) != 0;
    found->result_json = ColumnText(find_record_, 1);
    found->position = {
        static_cast<uint64_t>(sqlite3_column_int64(find_record_, 2)),
        static_cast<uint64_t>(sqlite3_column_int64(find_record_, 3))};
  }
  internal_ = false;
  sqlite3_reset(find_record_);
  return found;
}

void SqlEngine::PutRecord(const std::string& workspace,
                          const std::string& request_id,
                          const RequestRecord& record) {
  BindText(put_record_, 1, workspace);
  BindText(put_record_, 2, request_id);
  sqlite3_bind_int(put_record_, 3, record.fenced ? 1 : 0);
  BindText(put_record_, 4, record.result_json);
  sqlite3_bind_int64(put_record_, 5,
                     static_cast<int64_t>(record.position.term));
  sqlite3_bind_int64(put_record_, 6,
                     static_cast<int64_t>(record.position.index));
  RunInternal(put_record_);
  CHECK_EQ(sqlite3_reset(put_record_), SQLITE_OK) << sqlite3_errmsg(database_);
}

}  // namespace ryefold::standins
