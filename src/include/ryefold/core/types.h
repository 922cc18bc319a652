#pragma once

// Basic types shared by all parts of the core library.

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace ryefold::core {

/// A point on the monotonic clock. The core never reads a clock: each event is
/// passed in together with its time, so that tests run the same code in virtual
/// time.
using TimePoint = std::chrono::steady_clock::time_point;

/// A position in a database group's log. Ordered by term, then by index, as in
/// Raft: an entry of a later term comes after all entries of earlier terms.
struct LogPosition {
  /// Term in which the entry was written; 0 means no entry yet.
  uint64_t term = 0;
  /// Index of the entry in the log, starting at 1.
  uint64_t index = 0;

  auto operator<=>(const LogPosition&) const = default;  // NOLINT
};

/// Returns "TERM.INDEX", as in logs and status pages.
inline std::string ToText(const LogPosition& position) {
  return std::to_string(position.term) + "." + std::to_string(position.index);
}

/// The start of a term: `index` is the first entry written in `term`. Entries
/// of older terms at or after this index were discarded.
struct TermStart {
  uint64_t term = 0;
  uint64_t index = 0;

  auto operator<=>(const TermStart&) const = default;  // NOLINT
};

}  // namespace ryefold::core
