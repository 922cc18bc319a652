#pragma once

// Keys of the store as instances hold and pass them on.

#include <boost/outcome/result.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ryefold::core::mirror {

/// One key as stored, or its removal.
struct Entry {
  std::string key;
  std::string value;
  /// Store revision of its last change.
  uint64_t revision = 0;
  /// Store revision at which it came to exist.
  uint64_t created = 0;
  uint64_t lease = 0;
  bool deleted = false;

  bool operator==(const Entry&) const = default;
};

/// By key.
using EntryMap = std::map<std::string, Entry>;

/// What one call on a source brought.
struct Reading {
  std::vector<Entry> entries;
  /// A listing goes on after the last of `entries`.
  bool more = false;
  /// `entries` are all there are, whatever was known before.
  bool whole = false;
  /// Store revision up to which the answer speaks.
  uint64_t as_of = 0;
  /// How long ago, at the most, all of this was known to be so. 0 for the store
  /// itself; a relay tells the age of its own copy.
  std::chrono::milliseconds age{0};
  /// What `ChangeLog::digest` is at the source. Copies with the same digest
  /// hold the same keys at the same revisions.
  std::optional<uint64_t> digest;
};

enum class ReadError : uint8_t {
  kUnreachable,  ///< No answer, or one that says nothing was done.
  kHistoryGone,  ///< Changes since the revision asked for are not kept.
  kUnreadable,   ///< Answered with something that cannot be read.
  kNotCurrent,   ///< The relay does not follow the store at present.
};

/// Short name for logs.
std::string_view ReadErrorName(ReadError error);

using ReadResult = boost::outcome_v2::unchecked<Reading, ReadError>;

}  // namespace ryefold::core::mirror
