#include "ryefold/wire/session_codec.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "msgpack_body.h"

namespace ryefold::wire {
namespace {

using core::LogPosition;
using core::session::ErrorCode;
using core::session::ForwardedStatement;
using core::session::Freshness;
using core::session::QueueWaits;
using core::session::Reply;
using core::session::StatementKind;
using core::session::TransactionState;
using std::chrono::milliseconds;

/// Value of a wait in a reply that carries no load report.
constexpr int32_t kNoWait = -1;
/// Longer waits are reported as this: no caller waits for a minute, and the
/// number stays within three bytes.
constexpr milliseconds kMaxWait{60000};

int32_t WaitNumber(milliseconds wait) {
  return static_cast<int32_t>(
      std::clamp(wait, milliseconds(0), kMaxWait).count());
}

/// Key names are short because each call carries them.
struct PositionMap {
  uint64_t term = 0;
  uint64_t index = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("t", term), MSGPACK_NVP("i", index))
};

struct RouteMap {
  std::string name;
  std::string group;
  uint8_t freshness = 0;
  int64_t timeout_ms = 0;
  int64_t goal_ms = 0;
  int64_t staleness_ms = 0;
  uint32_t priority = 0;
  bool open_to_all = false;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("n", name), MSGPACK_NVP("g", group),
                     MSGPACK_NVP("f", freshness), MSGPACK_NVP("to", timeout_ms),
                     MSGPACK_NVP("go", goal_ms),
                     MSGPACK_NVP("st", staleness_ms),
                     MSGPACK_NVP("p", priority), MSGPACK_NVP("o", open_to_all))
};

struct PreparedMap {
  bool writes = false;
  std::string shape;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("w", writes), MSGPACK_NVP("s", shape))
};

struct StatementMap {
  std::string session;
  std::string id;
  uint8_t kind = 0;
  std::string text;
  std::string name;
  std::string argument;
  bool writes = false;
  RouteMap route;
  uint64_t config_version = 0;
  std::string workspace;
  uint64_t key_high = 0;
  uint64_t key_low = 0;
  std::map<std::string, std::string> variables;
  std::map<std::string, PreparedMap> prepared;
  PositionMap committed;
  bool in_transaction = false;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("s", session), MSGPACK_NVP("id", id),
                     MSGPACK_NVP("k", kind), MSGPACK_NVP("t", text),
                     MSGPACK_NVP("n", name), MSGPACK_NVP("a", argument),
                     MSGPACK_NVP("w", writes), MSGPACK_NVP("r", route),
                     MSGPACK_NVP("cv", config_version),
                     MSGPACK_NVP("ws", workspace), MSGPACK_NVP("kh", key_high),
                     MSGPACK_NVP("kl", key_low), MSGPACK_NVP("v", variables),
                     MSGPACK_NVP("p", prepared), MSGPACK_NVP("c", committed),
                     MSGPACK_NVP("tx", in_transaction))
};

struct ReplyMap {
  std::vector<std::string> rows;
  std::string digest;
  uint8_t error = 0;
  std::string text;
  uint8_t state = 0;
  bool positioned = false;
  PositionMap position;
  int32_t primary_wait_ms = kNoWait;
  int32_t reads_wait_ms = kNoWait;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("r", rows), MSGPACK_NVP("d", digest),
                     MSGPACK_NVP("e", error), MSGPACK_NVP("t", text),
                     MSGPACK_NVP("s", state), MSGPACK_NVP("h", positioned),
                     MSGPACK_NVP("p", position),
                     MSGPACK_NVP("pw", primary_wait_ms),
                     MSGPACK_NVP("rw", reads_wait_ms))
};

}  // namespace

std::string WriteForwarded(const ForwardedStatement& statement) {
  StatementMap map;
  map.session = statement.session;
  map.id = statement.statement_id;
  map.kind = static_cast<uint8_t>(statement.statement.kind);
  map.text = statement.statement.text;
  map.name = statement.statement.name;
  map.argument = statement.statement.argument;
  map.writes = statement.statement.writes;
  map.route = {statement.route.name,
               statement.route.group,
               static_cast<uint8_t>(statement.route.freshness),
               statement.route.statement_timeout.count(),
               statement.route.goal.count(),
               statement.route.max_staleness.count(),
               statement.route.priority,
               statement.route.open_to_all};
  map.config_version = statement.config_version;
  map.workspace = statement.workspace;
  map.key_high = statement.key.high;
  map.key_low = statement.key.low;
  map.variables = statement.variables;
  for (const auto& [name, prepared] : statement.prepared) {
    map.prepared[name] = {prepared.writes, prepared.text};
  }
  map.committed = {statement.committed.term, statement.committed.index};
  map.in_transaction = statement.in_transaction;
  return Pack(map);
}

std::optional<ForwardedStatement> ReadForwarded(std::string_view body) {
  StatementMap map;
  if (!Unpack(body, &map)) return std::nullopt;
  if (map.kind > static_cast<uint8_t>(StatementKind::kMalformed) ||
      map.route.freshness > static_cast<uint8_t>(Freshness::kSession) ||
      map.session.empty()) {
    return std::nullopt;
  }
  ForwardedStatement statement;
  statement.session = std::move(map.session);
  statement.statement_id = std::move(map.id);
  statement.statement.kind = static_cast<StatementKind>(map.kind);
  statement.statement.text = std::move(map.text);
  statement.statement.name = std::move(map.name);
  statement.statement.argument = std::move(map.argument);
  statement.statement.writes = map.writes;
  statement.route.name = std::move(map.route.name);
  statement.route.group = std::move(map.route.group);
  statement.route.freshness = static_cast<Freshness>(map.route.freshness);
  statement.route.statement_timeout = milliseconds(map.route.timeout_ms);
  statement.route.goal = milliseconds(map.route.goal_ms);
  statement.route.max_staleness = milliseconds(map.route.staleness_ms);
  statement.route.priority = map.route.priority;
  statement.route.open_to_all = map.route.open_to_all;
  statement.config_version = map.config_version;
  statement.workspace = std::move(map.workspace);
  statement.key = {map.key_high, map.key_low};
  statement.variables = std::move(map.variables);
  for (auto& [name, prepared] : map.prepared) {
    statement.prepared[name] = {prepared.writes, std::move(prepared.shape)};
  }
  statement.committed = {map.committed.term, map.committed.index};
  statement.in_transaction = map.in_transaction;
  return statement;
}

std::string WriteForwardedReply(const Reply& reply) {
  ReplyMap map;
  map.rows = reply.rows;
  map.digest = reply.digest;
  map.error = static_cast<uint8_t>(reply.error);
  map.text = reply.error_text;
  map.state = static_cast<uint8_t>(reply.state);
  map.positioned = reply.position.has_value();
  if (map.positioned) {
    map.position = {reply.position->term, reply.position->index};
  }
  if (reply.queue_waits.has_value()) {
    map.primary_wait_ms = WaitNumber(reply.queue_waits->primary);
    map.reads_wait_ms = WaitNumber(reply.queue_waits->reads);
  }
  return Pack(map);
}

std::optional<Reply> ReadForwardedReply(std::string_view body) {
  ReplyMap map;
  if (!Unpack(body, &map)) return std::nullopt;
  if (map.error > static_cast<uint8_t>(ErrorCode::kUnknownCode) ||
      map.state > static_cast<uint8_t>(TransactionState::kFailed)) {
    return std::nullopt;
  }
  Reply reply;
  reply.rows = std::move(map.rows);
  reply.digest = std::move(map.digest);
  reply.error = static_cast<ErrorCode>(map.error);
  reply.error_text = std::move(map.text);
  reply.state = static_cast<TransactionState>(map.state);
  if (map.positioned) {
    reply.position = LogPosition{map.position.term, map.position.index};
  }
  if (map.primary_wait_ms >= 0 && map.reads_wait_ms >= 0) {
    reply.queue_waits = QueueWaits{milliseconds(map.primary_wait_ms),
                                   milliseconds(map.reads_wait_ms)};
  }
  return reply;
}

}  // namespace ryefold::wire
