#pragma once

// Evaluates the log positions reported by databases.

#include <cstddef>
#include <vector>

#include "ryefold/core/messages.h"

namespace ryefold::core::group {

/// Returns the smallest number of databases out of `count` that is a majority.
constexpr size_t Majority(size_t count) { return count / 2 + 1; }

/// Returns the term of the entry at `index` in a log with these term starts.
/// Returns 0 if `index` precedes all of them.
uint64_t TermAt(const std::vector<TermStart>& starts, uint64_t index);

/// Returns whether a log that ends at `last` with these term starts contains
/// the entry at `position`, and therefore all entries before it.
///
/// Comparing indexes is not enough: a longer log may have an entry of an older
/// term at that index, kept by a later promotion.
bool HoldsEntry(const LogPosition& last, const std::vector<TermStart>& starts,
                const LogPosition& position);

}  // namespace ryefold::core::group
