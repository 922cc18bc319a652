#include "ryefold/core/session/token.h"

#include <xxhash.h>

#include <algorithm>

#include "base64.h"

namespace ryefold::core::session {
namespace {

// Layout: version, flags, number of groups, the groups ordered by name (length,
// name, term, index), checksum of everything before it. Numbers are
// little-endian base-128 varints.
constexpr uint8_t kVersion = 1;
constexpr uint8_t kOverflowFlag = 1;
constexpr size_t kChecksumBytes = 4;
constexpr size_t kMaxVarintBytes = 10;
constexpr size_t kMaxEntryBytes = kMaxGroupName + 3 * kMaxVarintBytes;
constexpr size_t kMaxTextBytes = 2 * kMaxGroups * kMaxEntryBytes;
constexpr uint8_t kContinuationBit = 0x80;
constexpr uint32_t kVarintBits = 7;

uint32_t Checksum(const uint8_t* bytes, size_t size) {
  return XXH32(bytes, size, kVersion);
}

void PutVarint(std::vector<uint8_t>* bytes, uint64_t number) {
  while (number >= kContinuationBit) {
    bytes->push_back(static_cast<uint8_t>(number) | kContinuationBit);
    number >>= kVarintBits;
  }
  bytes->push_back(static_cast<uint8_t>(number));
}

void PutChecksum(std::vector<uint8_t>* bytes) {
  const uint32_t sum = Checksum(bytes->data(), bytes->size());
  for (size_t i = 0; i < kChecksumBytes; ++i) {
    bytes->push_back(static_cast<uint8_t>(sum >> (8 * i)));
  }
}

/// Reads values from the front of the bytes. A truncated or out-of-range value
/// marks the whole token as damaged.
class Reader {
 public:
  Reader(const uint8_t* bytes, size_t size)
      : next_(bytes), end_(bytes + size) {}

  uint8_t ReadByte() {
    if (next_ == end_) return Fail();
    return *next_++;
  }

  uint64_t ReadVarint() {
    uint64_t number = 0;
    for (uint32_t shift = 0; shift < 64; shift += kVarintBits) {
      const uint8_t byte = ReadByte();
      const uint64_t part = byte & (kContinuationBit - 1);
      if ((part << shift) >> shift != part) return Fail();
      number |= part << shift;
      if ((byte & kContinuationBit) == 0) return number;
    }
    return Fail();
  }

  std::string ReadName() {
    const uint64_t size = ReadVarint();
    if (size > kMaxGroupName || size > static_cast<uint64_t>(end_ - next_)) {
      Fail();
      return {};
    }
    std::string name(next_, next_ + size);
    next_ += size;
    return name;
  }

  void Reject() { Fail(); }
  bool IsDamaged() const { return damaged_; }
  bool IsComplete() const { return !damaged_ && next_ == end_; }

 private:
  uint8_t Fail() {
    damaged_ = true;
    next_ = end_;
    return 0;
  }

  const uint8_t* next_;
  const uint8_t* end_;
  bool damaged_ = false;
};

bool HasValidChecksum(const std::vector<uint8_t>& bytes) {
  if (bytes.size() < kChecksumBytes) return false;
  const size_t size = bytes.size() - kChecksumBytes;
  const uint32_t sum = Checksum(bytes.data(), size);
  for (size_t i = 0; i < kChecksumBytes; ++i) {
    if (bytes[size + i] != static_cast<uint8_t>(sum >> (8 * i))) return false;
  }
  return true;
}

std::optional<Token> Parse(Reader input) {
  Token token;
  if (input.ReadByte() != kVersion) return std::nullopt;
  token.overflow = (input.ReadByte() & kOverflowFlag) != 0;
  const uint64_t groups = input.ReadVarint();
  if (groups > kMaxGroups) return std::nullopt;
  for (uint64_t i = 0; i < groups && !input.IsDamaged(); ++i) {
    std::string name = input.ReadName();
    LogPosition position;
    position.term = input.ReadVarint();
    position.index = input.ReadVarint();
    if (!token.seen.emplace(std::move(name), position).second) input.Reject();
  }
  if (!input.IsComplete()) return std::nullopt;
  return token;
}

bool HasRoomFor(const Token& token, const std::string& group) {
  return token.seen.size() < kMaxGroups && group.size() <= kMaxGroupName;
}

/// Returns the term of the entry at `index` of a log with these term starts, or
/// 0 if the starts do not reach back that far.
uint64_t TermAt(const std::vector<TermStart>& starts, uint64_t index) {
  uint64_t term = 0;
  for (const TermStart& start : starts) {
    if (start.index <= index) term = std::max(term, start.term);
  }
  return term;
}

}  // namespace

std::string Encode(const Token& token) {
  // A token built by the caller may exceed the limits; `Advance` applies them.
  Token bounded;
  bounded.overflow = token.overflow;
  for (const auto& [group, position] : token.seen) {
    Advance(&bounded, group, position);
  }
  std::vector<uint8_t> bytes;
  bytes.push_back(kVersion);
  bytes.push_back(bounded.overflow ? kOverflowFlag : 0);
  PutVarint(&bytes, bounded.seen.size());
  for (const auto& [group, position] : bounded.seen) {
    PutVarint(&bytes, group.size());
    bytes.insert(bytes.end(), group.begin(), group.end());
    PutVarint(&bytes, position.term);
    PutVarint(&bytes, position.index);
  }
  PutChecksum(&bytes);
  return ToBase64(bytes);
}

std::optional<Token> Decode(std::string_view text) {
  if (text.empty()) return Token();
  if (text.size() > kMaxTextBytes) return std::nullopt;
  const auto bytes = FromBase64(text);
  if (!bytes.has_value() || !HasValidChecksum(*bytes)) return std::nullopt;
  return Parse(Reader(bytes->data(), bytes->size() - kChecksumBytes));
}

void Advance(Token* token, const std::string& group,
             const LogPosition& position) {
  const auto found = token->seen.find(group);
  if (found != token->seen.end()) {
    found->second = std::max(found->second, position);
    return;
  }
  // A position before the first entry needs no place in the token.
  if (position == LogPosition()) return;
  if (!HasRoomFor(*token, group)) {
    token->overflow = true;
    return;
  }
  token->seen.emplace(group, position);
}

ReadRequirement RequirementOf(const Token& token, const std::string& group) {
  const auto found = token.seen.find(group);
  if (found != token.seen.end()) return ReadRequirement{found->second, false};
  return ReadRequirement{LogPosition(), token.overflow};
}

LogPosition LimitToExisting(const LogPosition& position,
                            const std::vector<TermStart>& starts) {
  uint64_t index = position.index;
  bool newer = false;
  for (const TermStart& start : starts) {
    if (start.term <= position.term || start.index == 0) continue;
    newer = true;
    index = std::min(index, start.index - 1);
  }
  if (!newer) return position;
  // All entries of the position's term may have been discarded even if no newer
  // term starts before the position: the log then has an older term at this
  // index.
  const uint64_t term = TermAt(starts, index);
  if (index == 0) return LogPosition();
  return LogPosition{term == 0 ? position.term : term, index};
}

bool Covers(const LogPosition& last, const std::vector<TermStart>& starts,
            const LogPosition& position) {
  if (position == LogPosition()) return true;
  if (position.term > last.term) return false;
  // Logs that contain the same entry are equal up to it, as in Raft.
  if (position.term == last.term) return position.index <= last.index;
  return position.index <= last.index &&
         TermAt(starts, position.index) == position.term;
}

}  // namespace ryefold::core::session
