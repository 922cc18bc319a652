#pragma once

// Size of the advance that a part of a limit starts with after a restart.

#include <chrono>
#include <cstdint>

#include "ryefold/core/workspace/workspaces.h"

namespace ryefold::core::limits {

/// Refill pays an advance back within this time after the start of a bucket. A
/// process that is killed takes longer until its successor owns the same parts,
/// so that advances of successive processes do not add up.
inline constexpr std::chrono::milliseconds kMaxRepayment{1000};

/// Returns the advance of all parts of `limit` together, in operations.
uint32_t TotalAdvance(const workspace::RateLimit& limit);

/// Returns the advance of one part, whose bucket refills at `part_rate`
/// operations per second. The parts' advances add up to `TotalAdvance`, or to
/// less where a part could not pay a whole token back within `kMaxRepayment`.
uint32_t PartAdvance(const workspace::RateLimit& limit, uint32_t part,
                     double part_rate);

}  // namespace ryefold::core::limits
