#pragma once

// Time limits of a call to another process.

#include <chrono>

#include "ryefold/core/types.h"

namespace ryefold::core {

struct AnswerLimits {
  /// The call fails at this time in any case.
  TimePoint deadline;
  /// The call fails once nothing has arrived for this long, counted from
  /// sending and then from each arrival; 0 disables the limit. For calls with
  /// long deadlines: a peer that accepts a call but never answers would
  /// otherwise block the caller until the deadline, long after the peer has
  /// recovered.
  std::chrono::milliseconds inactivity_timeout{0};
};

}  // namespace ryefold::core
