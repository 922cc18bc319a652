#include "ryefold/wire/mirror_codec.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "compression.h"
#include "msgpack_body.h"

namespace ryefold::wire {
namespace {

using core::mirror::Change;
using core::mirror::Entry;
using core::mirror::ReadError;
using core::mirror::Reading;
using core::mirror::ReadResult;
using core::mirror::RelayAnswer;
using std::chrono::milliseconds;

/// Everything that the store holds at the target size is some two megabytes.
constexpr size_t kMostBytes = size_t{64} << 20;
/// Longest wait that a question may ask for.
constexpr milliseconds kMostWait{30000};

struct QuestionMap {
  uint64_t after = 0;
  int64_t wait_ms = 0;
  bool any_copy = false;
  bool accepts_packed = false;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("a", after), MSGPACK_NVP("w", wait_ms),
                     MSGPACK_NVP("n", any_copy),
                     MSGPACK_NVP("z", accepts_packed))
};

struct ChangeMap {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  uint64_t created = 0;
  uint64_t lease = 0;
  bool deleted = false;
  /// Not 0: `value` is compressed against the value of this revision.
  uint64_t base = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("k", key), MSGPACK_NVP("v", value),
                     MSGPACK_NVP("r", revision), MSGPACK_NVP("c", created),
                     MSGPACK_NVP("l", lease), MSGPACK_NVP("d", deleted),
                     MSGPACK_NVP("b", base))
};

struct AnswerMap {
  bool current = false;
  bool whole = false;
  uint64_t as_of = 0;
  uint64_t digest = 0;
  int64_t age_ms = 0;
  std::vector<ChangeMap> changes;
  /// Further changes: a compressed array of them.
  std::string packed;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("o", current), MSGPACK_NVP("w", whole),
                     MSGPACK_NVP("a", as_of), MSGPACK_NVP("h", digest),
                     MSGPACK_NVP("y", age_ms), MSGPACK_NVP("c", changes),
                     MSGPACK_NVP("z", packed))
};

ChangeMap ToMap(const Change& change) {
  const Entry& entry = change.entry;
  ChangeMap map;
  map.key = entry.key;
  map.revision = entry.revision;
  map.created = entry.created;
  map.lease = entry.lease;
  map.deleted = entry.deleted;
  if (change.base != nullptr) {
    map.base = change.base_revision;
    map.value = Compress(entry.value, *change.base);
  } else {
    map.value = entry.value;
  }
  return map;
}

enum class Outcome : uint8_t { kRead, kKnown, kOtherBase, kUnreadable };

/// `kKnown`: this side holds the revision already.
Outcome FromMap(ChangeMap map, const EntryLookup& lookup, Entry* entry) {
  entry->key = std::move(map.key);
  entry->revision = map.revision;
  entry->created = map.created;
  entry->lease = map.lease;
  entry->deleted = map.deleted;
  if (map.base == 0) {
    entry->value = std::move(map.value);
    return Outcome::kRead;
  }
  const Entry* held = lookup(entry->key);
  if (held != nullptr && held->revision == map.revision) return Outcome::kKnown;
  if (held == nullptr || held->revision != map.base) return Outcome::kOtherBase;
  auto value = Decompress(map.value, held->value, kMostBytes);
  if (!value.has_value()) return Outcome::kUnreadable;
  entry->value = std::move(*value);
  return Outcome::kRead;
}

std::vector<ChangeMap> ToMaps(const std::vector<Change>& changes) {
  std::vector<ChangeMap> maps;
  maps.reserve(changes.size());
  for (const Change& each : changes) maps.push_back(ToMap(each));
  return maps;
}

/// Returns the answer without its changes.
AnswerMap HeadOf(core::TimePoint now, const RelayAnswer& answer) {
  AnswerMap map;
  map.current = answer.current;
  map.whole = answer.whole;
  map.as_of = answer.as_of;
  map.digest = answer.digest;
  map.age_ms =
      std::chrono::ceil<milliseconds>(now - answer.confirmed_at).count();
  return map;
}

/// Moves the packed changes to the others. Returns false if they are
/// unreadable.
bool UnpackChanges(AnswerMap* map) {
  if (map->packed.empty()) return true;
  const auto text = Decompress(map->packed, "", kMostBytes);
  return text.has_value() && Unpack(*text, &map->changes);
}

}  // namespace

std::string WriteRelayQuestion(const RelayQuestion& question) {
  return Pack(QuestionMap{question.after, question.wait.count(),
                          question.any_copy, question.accepts_packed});
}

std::optional<RelayQuestion> ReadRelayQuestion(std::string_view body) {
  QuestionMap map;
  if (!Unpack(body, &map) || map.wait_ms < 0 ||
      map.wait_ms > kMostWait.count()) {
    return std::nullopt;
  }
  return RelayQuestion{map.after, milliseconds(map.wait_ms), map.any_copy,
                       map.accepts_packed};
}

std::string WriteRelayAnswer(core::TimePoint now, const RelayAnswer& answer) {
  AnswerMap map = HeadOf(now, answer);
  map.changes = ToMaps(answer.changes);
  return Compress(Pack(map), "");
}

std::string RelayAnswerWriter::Write(core::TimePoint now,
                                     const RelayAnswer& answer) {
  AnswerMap map = HeadOf(now, answer);
  if (!answer.changes.empty()) {
    if (std::exchange(digest_, answer.digest) != answer.digest) packed_.clear();
    std::string& packed = packed_[answer.after];
    if (packed.empty()) {
      ++packed_count_;
      packed = Compress(Pack(ToMaps(answer.changes)), "");
    }
    map.packed = packed;
  }
  return Compress(Pack(map), "");
}

ReadResult ReadRelayAnswer(std::string_view body, const EntryLookup& lookup) {
  const auto text = Decompress(body, "", kMostBytes);
  AnswerMap map;
  if (!text.has_value() || !Unpack(*text, &map) || !UnpackChanges(&map)) {
    return ReadError::kUnreadable;
  }
  if (!map.current) return ReadError::kNotCurrent;
  Reading reading;
  reading.whole = map.whole;
  reading.as_of = map.as_of;
  reading.digest = map.digest;
  reading.age = milliseconds(std::max<int64_t>(map.age_ms, 0));
  for (ChangeMap& change : map.changes) {
    Entry entry;
    switch (FromMap(std::move(change), lookup, &entry)) {
      case Outcome::kRead:
        reading.entries.push_back(std::move(entry));
        break;
      case Outcome::kKnown:
        break;
      case Outcome::kOtherBase:
        return ReadError::kHistoryCompacted;
      case Outcome::kUnreadable:
        return ReadError::kUnreadable;
    }
  }
  return reading;
}

}  // namespace ryefold::wire
