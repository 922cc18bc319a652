#include "ryefold/wire/peer_codec.h"

#include <algorithm>
#include <exception>
#include <msgpack.hpp>
#include <utility>

namespace ryefold::wire {
namespace {

using std::chrono::microseconds;

/// What travels. Each map lists its keys once, for both directions. Key names
/// are short because each call carries them; they may be added to but never
/// change their meaning.
struct PositionMap {
  uint64_t term = 0;
  uint64_t index = 0;

  template <class Self, class Visit>
  static void Each(Self& self, const Visit& visit) {
    visit("t", self.term);
    visit("i", self.index);
  }
};

struct RequestMap {
  std::string request_id;
  std::string group;
  std::string workspace;
  uint8_t step = 0;
  uint8_t kind = 0;
  bool repeatable = false;
  std::string sql;
  std::string params = "[]";
  std::string transaction;
  std::optional<int64_t> max_age_ms;
  PositionMap seen;
  int64_t left_us = 0;

  template <class Self, class Visit>
  static void Each(Self& self, const Visit& visit) {
    visit("id", self.request_id);
    visit("g", self.group);
    visit("w", self.workspace);
    visit("st", self.step);
    visit("k", self.kind);
    visit("rep", self.repeatable);
    visit("sql", self.sql);
    visit("par", self.params);
    visit("tx", self.transaction);
    visit("age", self.max_age_ms);
    visit("seen", self.seen);
    visit("left", self.left_us);
  }
};

struct SettleMap {
  std::string request_id;
  std::string group;
  std::string workspace;
  int64_t left_us = 0;

  template <class Self, class Visit>
  static void Each(Self& self, const Visit& visit) {
    visit("id", self.request_id);
    visit("g", self.group);
    visit("w", self.workspace);
    visit("left", self.left_us);
  }
};

/// The outcome travels by name and has no default: an answer that lost it must
/// not read as any of the three.
struct AnswerMap {
  std::string outcome;
  std::string reason;
  std::string detail;
  std::string result;
  int64_t retry_after_ms = 0;
  PositionMap seen;
  std::string transaction;
  std::string database;
  bool replica = false;

  template <class Self, class Visit>
  static void Each(Self& self, const Visit& visit) {
    visit("out", self.outcome);
    visit("why", self.reason);
    visit("txt", self.detail);
    visit("res", self.result);
    visit("retry", self.retry_after_ms);
    visit("seen", self.seen);
    visit("tx", self.transaction);
    visit("db", self.database);
    visit("rpl", self.replica);
  }
};

constexpr std::string_view kDone = "done";
constexpr std::string_view kNotRun = "not_run";
constexpr std::string_view kUnknown = "unknown";

/// Longest time left that is believed; keeps the sum with `now` in range.
constexpr int64_t kMaxLeftUs = int64_t{3600} * 1000 * 1000;

/// Whether `Value` is one of the maps above.
template <class Value>
concept IsMap = requires(Value& value) {
  Value::Each(value, [](std::string_view, auto&) {});
};

using Packer = msgpack::packer<msgpack::sbuffer>;

template <class Value>
void PackValue(Packer* packer, const Value& value) {
  if constexpr (IsMap<Value>) {
    uint32_t count = 0;
    Value::Each(value, [&](std::string_view, const auto&) { ++count; });
    packer->pack_map(count);
    Value::Each(value, [&](std::string_view key, const auto& member) {
      packer->pack(key);
      PackValue(packer, member);
    });
  } else {
    packer->pack(value);
  }
}

template <class Map>
std::string Pack(const Map& map) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  PackValue(&packer, map);
  return {buffer.data(), buffer.size()};
}

/// Reads what is known of a map. Throws msgpack's type error for a known key
/// with a value of a wrong type. msgpack's own way to read maps builds a tree
/// of all keys for each, which costs as much as all the rest.
template <class Value>
void UnpackValue(const msgpack::object& object, Value* value) {
  if constexpr (IsMap<Value>) {
    if (object.type != msgpack::type::MAP) throw msgpack::type_error();
    for (uint32_t i = 0; i < object.via.map.size; ++i) {
      const msgpack::object_kv& pair = object.via.map.ptr[i];
      if (pair.key.type != msgpack::type::STR) continue;
      const msgpack::object_str& text = pair.key.via.str;
      const std::string_view key(text.ptr, text.size);
      Value::Each(*value, [&](std::string_view name, auto& member) {
        if (name == key) UnpackValue(pair.val, &member);
      });
    }
  } else {
    object.convert(*value);
  }
}

/// Strings of the body are read in place instead of being copied twice.
bool ReferTo(msgpack::type::object_type /*type*/, std::size_t /*size*/,
             void* /*data*/) {
  return true;
}

/// False for a body that is no map of this kind; never throws.
template <class Map>
bool Unpack(std::string_view body, Map* map) {
  constexpr size_t kMaxItems = 256;
  constexpr size_t kMaxDepth = 16;
  const msgpack::unpack_limit limit(kMaxItems, kMaxItems, body.size(),
                                    body.size(), body.size(), kMaxDepth);
  try {
    bool referenced = false;
    const msgpack::object_handle handle = msgpack::unpack(
        body.data(), body.size(), referenced, ReferTo, nullptr, limit);
    UnpackValue(handle.get(), map);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

/// Time left, rounded down: a deadline may shrink on its way, never grow.
int64_t LeftUs(core::TimePoint now, core::TimePoint deadline) {
  return std::chrono::floor<microseconds>(deadline - now).count();
}

core::TimePoint FromLeft(core::TimePoint now, int64_t left_us) {
  return now + microseconds(std::clamp<int64_t>(left_us, 0, kMaxLeftUs));
}

PositionMap ToMap(const core::LogPosition& position) {
  return {position.term, position.index};
}

core::LogPosition FromMap(const PositionMap& map) {
  return {map.term, map.index};
}

std::string_view OutcomeName(core::OutcomeKind kind) {
  switch (kind) {
    case core::OutcomeKind::kDone:
      return kDone;
    case core::OutcomeKind::kNotRun:
      return kNotRun;
    case core::OutcomeKind::kUnknown:
      break;
  }
  return kUnknown;
}

std::optional<core::StatementAnswer> FromMap(AnswerMap map) {
  const core::Reason reason = core::ReasonFromName(map.reason);
  const core::LogPosition seen = FromMap(map.seen);
  std::optional<core::StatementAnswer> answer;
  if (map.outcome == kDone) {
    answer = core::StatementAnswer::Done(std::move(map.result), seen);
  } else if (map.outcome == kNotRun) {
    answer = core::StatementAnswer::NotRun(
        core::NotRunProof::ReportedByPeer(), reason,
        std::chrono::milliseconds(map.retry_after_ms), std::move(map.detail));
  } else if (map.outcome == kUnknown) {
    answer = core::StatementAnswer::Unknown(reason, std::move(map.detail));
  } else {
    return std::nullopt;
  }
  answer->WithSeen(seen);
  answer->WithTransaction(std::move(map.transaction));
  answer->WithServer(std::move(map.database), map.replica);
  return answer;
}

}  // namespace

std::string WritePeerRequest(core::TimePoint now,
                             const core::StatementRequest& request) {
  RequestMap map;
  map.request_id = request.request_id;
  map.group = request.group;
  map.workspace = request.workspace;
  map.step = static_cast<uint8_t>(request.step);
  map.kind = static_cast<uint8_t>(request.kind);
  map.repeatable = request.repeatable;
  map.sql = request.sql;
  map.params = request.params_json;
  map.transaction = request.transaction;
  if (request.max_age) map.max_age_ms = request.max_age->count();
  map.seen = ToMap(request.seen);
  map.left_us = LeftUs(now, request.deadline);
  return Pack(map);
}

std::optional<core::StatementRequest> ReadPeerRequest(core::TimePoint now,
                                                      std::string_view body) {
  RequestMap map;
  if (!Unpack(body, &map)) return std::nullopt;
  // A value that only a newer version knows must not run as something else.
  if (map.step > static_cast<uint8_t>(core::Step::kRollback)) return {};
  if (map.kind > static_cast<uint8_t>(core::StatementKind::kWrite)) return {};
  core::StatementRequest request;
  request.request_id = std::move(map.request_id);
  request.group = std::move(map.group);
  request.workspace = std::move(map.workspace);
  request.step = static_cast<core::Step>(map.step);
  request.kind = static_cast<core::StatementKind>(map.kind);
  request.repeatable = map.repeatable;
  request.sql = std::move(map.sql);
  request.params_json = std::move(map.params);
  request.transaction = std::move(map.transaction);
  if (map.max_age_ms) {
    request.max_age = std::chrono::milliseconds(*map.max_age_ms);
  }
  request.seen = FromMap(map.seen);
  request.deadline = FromLeft(now, map.left_us);
  return request;
}

std::string WritePeerSettle(core::TimePoint now,
                            const core::SettleRequest& request) {
  return Pack(SettleMap{request.request_id, request.group, request.workspace,
                        LeftUs(now, request.deadline)});
}

std::optional<core::SettleRequest> ReadPeerSettle(core::TimePoint now,
                                                  std::string_view body) {
  SettleMap map;
  if (!Unpack(body, &map)) return std::nullopt;
  return core::SettleRequest{std::move(map.request_id), std::move(map.group),
                             std::move(map.workspace),
                             FromLeft(now, map.left_us)};
}

std::string WritePeerAnswer(const core::StatementAnswer& answer) {
  AnswerMap map;
  map.outcome = OutcomeName(answer.kind());
  map.reason = core::ReasonName(answer.reason());
  map.detail = answer.detail();
  map.result = answer.result_json();
  map.retry_after_ms = answer.retry_after().count();
  map.seen = ToMap(answer.seen());
  map.transaction = answer.transaction();
  map.database = answer.database();
  map.replica = answer.from_replica();
  return Pack(map);
}

std::optional<core::StatementAnswer> ReadPeerAnswer(std::string_view body) {
  AnswerMap map;
  if (!Unpack(body, &map)) return std::nullopt;
  return FromMap(std::move(map));
}

}  // namespace ryefold::wire
