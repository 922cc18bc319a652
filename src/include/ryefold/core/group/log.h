#pragma once

// What a database's status says about its log.

#include <cstddef>
#include <vector>

#include "ryefold/core/messages.h"

namespace ryefold::core::group {

/// How many databases out of `count` make a majority.
constexpr size_t Majority(size_t count) { return count / 2 + 1; }

/// Term of the entry at `index` in a log with these term starts, 0 when the
/// log has no entry there that `starts` could place.
uint64_t TermAt(const std::vector<TermStart>& starts, uint64_t index);

/// Whether a log that ends at `last` with these term starts holds the very
/// entry named by `position`, and so everything before it.
///
/// The index alone does not tell: a log can be longer and still hold an entry
/// of an older term there, which a later promotion kept.
bool HoldsEntry(const LogPosition& last, const std::vector<TermStart>& starts,
                const LogPosition& position);

}  // namespace ryefold::core::group
