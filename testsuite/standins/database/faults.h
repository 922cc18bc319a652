#pragma once

// Faults that a test orders by POST /fault, and the delays of the settings.

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace ryefold::standins {

struct Faults {
  /// No traffic with the other databases of the group; callers are served.
  bool cut = false;
  /// The same towards these databases only.
  std::set<std::string> cut_from;
  /// Closes every connection and answers nothing but /fault.
  bool down = false;
  std::chrono::milliseconds lag{0};
  /// Added to the time that a statement holds its slot.
  std::chrono::milliseconds stall{0};
  std::chrono::microseconds service{0};
  /// Added to every answer.
  std::chrono::milliseconds delay{0};
  std::chrono::milliseconds connect{0};
  /// So many further execute or commit answers are lost after their effect.
  uint64_t drop_answers = 0;
  /// So many further execute or commit answers are sent by half.
  uint64_t truncate_answers = 0;

  bool CutFrom(const std::string& database) const {
    return cut || cut_from.count(database) > 0;
  }
};

/// Changes what `body` names. False, with nothing changed, when it is not an
/// object or names something else.
bool ChangeFaults(std::string_view body, Faults* faults);

}  // namespace ryefold::standins
