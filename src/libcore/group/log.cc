#include "ryefold/core/group/log.h"

namespace ryefold::core::group {

uint64_t TermAt(const std::vector<TermStart>& starts, uint64_t index) {
  uint64_t term = 0;
  for (const TermStart& start : starts) {
    if (start.index > index) break;
    term = start.term;
  }
  return term;
}

bool HoldsEntry(const LogPosition& last, const std::vector<TermStart>& starts,
                const LogPosition& position) {
  if (position.index == 0) return true;
  if (position.index > last.index) return false;
  return TermAt(starts, position.index) == position.term;
}

}  // namespace ryefold::core::group
