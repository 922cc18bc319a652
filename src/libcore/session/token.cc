#include "ryefold/core/session/token.h"

#include <xxhash.h>

#include <algorithm>

#include "base64.h"

namespace ryefold::core::session {
namespace {

// Layout: version, flags, number of groups, the groups in order of name
// (length, name, term, index), check sum of all before it. Numbers are
// little-endian groups of seven bits.
constexpr uint8_t kVersion = 1;
constexpr uint8_t kOverflowFlag = 1;
constexpr size_t kCheckBytes = 4;
constexpr size_t kMaxNumberBytes = 10;
constexpr size_t kMaxEntryBytes = kMaxGroupName + 3 * kMaxNumberBytes;
constexpr size_t kMaxTextBytes = 2 * kMaxGroups * kMaxEntryBytes;
constexpr uint8_t kMoreBit = 0x80;
constexpr uint32_t kGroupBits = 7;

uint32_t CheckSum(const uint8_t* bytes, size_t size) {
  return XXH32(bytes, size, kVersion);
}

void PutNumber(std::vector<uint8_t>* bytes, uint64_t number) {
  while (number >= kMoreBit) {
    bytes->push_back(static_cast<uint8_t>(number) | kMoreBit);
    number >>= kGroupBits;
  }
  bytes->push_back(static_cast<uint8_t>(number));
}

void PutCheckSum(std::vector<uint8_t>* bytes) {
  const uint32_t sum = CheckSum(bytes->data(), bytes->size());
  for (size_t i = 0; i < kCheckBytes; ++i) {
    bytes->push_back(static_cast<uint8_t>(sum >> (8 * i)));
  }
}

/// Takes values off the front of the bytes; one that is cut short or out of
/// range makes the whole damaged.
class Input {
 public:
  Input(const uint8_t* bytes, size_t size) : at_(bytes), end_(bytes + size) {}

  uint8_t Byte() {
    if (at_ == end_) return Fail();
    return *at_++;
  }

  uint64_t Number() {
    uint64_t number = 0;
    for (uint32_t shift = 0; shift < 64; shift += kGroupBits) {
      const uint8_t byte = Byte();
      const uint64_t part = byte & (kMoreBit - 1);
      if ((part << shift) >> shift != part) return Fail();
      number |= part << shift;
      if ((byte & kMoreBit) == 0) return number;
    }
    return Fail();
  }

  std::string Name() {
    const uint64_t size = Number();
    if (size > kMaxGroupName || size > static_cast<uint64_t>(end_ - at_)) {
      Fail();
      return {};
    }
    std::string name(at_, at_ + size);
    at_ += size;
    return name;
  }

  void Refuse() { Fail(); }
  bool damaged() const { return damaged_; }
  bool whole() const { return !damaged_ && at_ == end_; }

 private:
  uint8_t Fail() {
    damaged_ = true;
    at_ = end_;
    return 0;
  }

  const uint8_t* at_;
  const uint8_t* end_;
  bool damaged_ = false;
};

bool Sound(const std::vector<uint8_t>& bytes) {
  if (bytes.size() < kCheckBytes) return false;
  const size_t size = bytes.size() - kCheckBytes;
  const uint32_t sum = CheckSum(bytes.data(), size);
  for (size_t i = 0; i < kCheckBytes; ++i) {
    if (bytes[size + i] != static_cast<uint8_t>(sum >> (8 * i))) return false;
  }
  return true;
}

std::optional<Token> Parse(Input input) {
  Token token;
  if (input.Byte() != kVersion) return std::nullopt;
  token.overflow = (input.Byte() & kOverflowFlag) != 0;
  const uint64_t groups = input.Number();
  if (groups > kMaxGroups) return std::nullopt;
  for (uint64_t i = 0; i < groups && !input.damaged(); ++i) {
    std::string name = input.Name();
    LogPosition position;
    position.term = input.Number();
    position.index = input.Number();
    if (!token.seen.emplace(std::move(name), position).second) input.Refuse();
  }
  if (!input.whole()) return std::nullopt;
  return token;
}

bool Fits(const Token& token, const std::string& group) {
  return token.seen.size() < kMaxGroups && group.size() <= kMaxGroupName;
}

/// Term of the entry at `index` of a log with these starts; 0 when the starts
/// do not reach back that far.
uint64_t TermAt(const std::vector<TermStart>& starts, uint64_t index) {
  uint64_t term = 0;
  for (const TermStart& start : starts) {
    if (start.index <= index) term = std::max(term, start.term);
  }
  return term;
}

}  // namespace

std::string Encode(const Token& token) {
  // A token filled by hand may hold more than fits; the rule is the same.
  Token bounded;
  bounded.overflow = token.overflow;
  for (const auto& [group, position] : token.seen) {
    Advance(&bounded, group, position);
  }
  std::vector<uint8_t> bytes;
  bytes.push_back(kVersion);
  bytes.push_back(bounded.overflow ? kOverflowFlag : 0);
  PutNumber(&bytes, bounded.seen.size());
  for (const auto& [group, position] : bounded.seen) {
    PutNumber(&bytes, group.size());
    bytes.insert(bytes.end(), group.begin(), group.end());
    PutNumber(&bytes, position.term);
    PutNumber(&bytes, position.index);
  }
  PutCheckSum(&bytes);
  return ToBase64(bytes);
}

std::optional<Token> Decode(std::string_view text) {
  if (text.empty()) return Token();
  if (text.size() > kMaxTextBytes) return std::nullopt;
  const auto bytes = FromBase64(text);
  if (!bytes.has_value() || !Sound(*bytes)) return std::nullopt;
  return Parse(Input(bytes->data(), bytes->size() - kCheckBytes));
}

void Advance(Token* token, const std::string& group,
             const LogPosition& position) {
  const auto found = token->seen.find(group);
  if (found != token->seen.end()) {
    found->second = std::max(found->second, position);
    return;
  }
  // Nothing seen yet needs no place; the token stays as small as it can.
  if (position == LogPosition()) return;
  if (!Fits(*token, group)) {
    token->overflow = true;
    return;
  }
  token->seen.emplace(group, position);
}

Need NeedOf(const Token& token, const std::string& group) {
  const auto found = token.seen.find(group);
  if (found != token.seen.end()) return Need{found->second, false};
  return Need{LogPosition(), token.overflow};
}

LogPosition CutBack(const LogPosition& position,
                    const std::vector<TermStart>& starts) {
  uint64_t index = position.index;
  bool newer = false;
  for (const TermStart& start : starts) {
    if (start.term <= position.term || start.index == 0) continue;
    newer = true;
    index = std::min(index, start.index - 1);
  }
  if (!newer) return position;
  // The entry may also be gone with its whole term, though no newer term
  // starts before it: the log then has an older term at this index.
  const uint64_t term = TermAt(starts, index);
  if (index == 0) return LogPosition();
  return LogPosition{term == 0 ? position.term : term, index};
}

bool Covers(const LogPosition& last, const std::vector<TermStart>& starts,
            const LogPosition& position) {
  if (position == LogPosition()) return true;
  if (position.term > last.term) return false;
  // Logs with an equal entry are equal up to it, as in Raft.
  if (position.term == last.term) return position.index <= last.index;
  return position.index <= last.index &&
         TermAt(starts, position.index) == position.term;
}

}  // namespace ryefold::core::session
