#pragma once

// Plain types that every part of the decision core shares.

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace ryefold::core {

/// A point on the monotonic clock. The core never reads a clock: each event
/// is handed in together with the time at which it happened, so tests run the
/// same code in virtual time.
using TimePoint = std::chrono::steady_clock::time_point;

/// A place in a database group's log. Compared by term first, then by index,
/// as in Raft: an entry written under a later term is always further on.
struct LogPosition {
  /// Term under which the entry was written; 0 means "nothing yet".
  uint64_t term = 0;
  /// Ordinal of the entry in the log, from 1.
  uint64_t index = 0;

  auto operator<=>(const LogPosition&) const = default;  // NOLINT
};

/// Where a term begins: `index` is the first entry written under `term`.
/// Entries of older terms at or past this index were discarded.
struct TermStart {
  uint64_t term = 0;
  uint64_t index = 0;

  auto operator<=>(const TermStart&) const = default;  // NOLINT
};

}  // namespace ryefold::core
