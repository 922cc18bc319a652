#pragma once

// How long an answer is waited for.

#include <chrono>

#include "ryefold/core/types.h"

namespace ryefold::core {

struct AnswerLimits {
  /// The call is given up then in any case.
  TimePoint deadline;
  /// The call is given up once nothing has come for this long, reckoned from
  /// when it was sent and then from each arrival; 0: no such limit. For calls
  /// whose answers may take long to arrive: one that was sent to somebody who
  /// takes calls and answers none would be waited for just as long, well after
  /// the other side is back.
  std::chrono::milliseconds silence{0};
};

}  // namespace ryefold::core
