#pragma once

// Store entries as instances hold and exchange them.

#include <boost/outcome/result.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ryefold::core::mirror {

/// A stored key with its value, or the removal of a key.
struct Entry {
  std::string key;
  std::string value;
  /// Store revision of the last change.
  uint64_t revision = 0;
  /// Store revision at which the key was created.
  uint64_t created = 0;
  uint64_t lease = 0;
  bool deleted = false;

  bool operator==(const Entry&) const = default;
};

/// Entries by key.
using EntryMap = std::map<std::string, Entry>;

/// The answer of a source to one call.
struct Reading {
  std::vector<Entry> entries;
  /// The listing has a further page, which begins after the last of `entries`.
  bool more = false;
  /// `entries` is a complete copy, not a list of changes.
  bool whole = false;
  /// Store revision that the answer reflects.
  uint64_t as_of = 0;
  /// Upper bound of the age of the data: 0 from the store itself, the age of
  /// its own copy from a relay.
  std::chrono::milliseconds age{0};
  /// `ChangeLog::digest` of the source. Copies with the same digest hold the
  /// same keys at the same revisions.
  std::optional<uint64_t> digest;
};

enum class ReadError : uint8_t {
  kUnreachable,       ///< No answer, or a refusal of the call.
  kHistoryCompacted,  ///< The requested changes are no longer in the history.
  kUnreadable,        ///< The answer cannot be parsed.
  kNotCurrent,        ///< The relay is not following the store.
};

/// Returns the name used in log lines.
std::string_view ReadErrorName(ReadError error);

using ReadResult = boost::outcome_v2::unchecked<Reading, ReadError>;

}  // namespace ryefold::core::mirror
