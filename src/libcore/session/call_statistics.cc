#include "ryefold/core/session/call_statistics.h"

namespace ryefold::core::session {

std::string_view CallUseName(CallUse use) {
  static constexpr std::array<std::string_view, kCallUses> kNames = {
      "statement", "transaction", "hedge", "busy", "behind", "open", "status"};
  return kNames[static_cast<size_t>(use)];
}

void CallStatistics::Record(CallUse use,
                            std::chrono::microseconds response_time) {
  Total& total = totals_[static_cast<size_t>(use)];
  ++total.calls;
  total.time += response_time;
}

uint64_t CallStatistics::calls() const {
  uint64_t sum = 0;
  for (const Total& each : totals_) sum += each.calls;
  return sum;
}

}  // namespace ryefold::core::session
