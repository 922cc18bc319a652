#pragma once

// How urgent an operation is, and whether that decides who is served first
// under a rate limit.

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "ryefold/core/types.h"

namespace ryefold::core::limits {

/// Number of priorities that limits tell apart. Higher priority numbers count
/// as the last one, which bounds the state of a part.
inline constexpr uint32_t kPriorityLevels = 8;

enum class LimitOrder : uint8_t {
  kArrival,   ///< Operations are granted in order of arrival.
  kPriority,  ///< More important operations are granted first.
};

/// Returns the order that the setting `limit_order` names; any other name than
/// "priority" is the order of arrival.
inline LimitOrder LimitOrderFromName(std::string_view name) {
  return name == "priority" ? LimitOrder::kPriority : LimitOrder::kArrival;
}

struct Urgency {
  /// Priority of the route; 0 is served first.
  uint32_t priority = 0;
  /// Latest time at which the caller is known to wait for a retry.
  TimePoint latest_retry = TimePoint::max();
};

inline uint32_t PriorityLevel(uint32_t priority) {
  return std::min(priority, kPriorityLevels - 1);
}

}  // namespace ryefold::core::limits
