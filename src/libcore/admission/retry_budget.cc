#include <algorithm>

#include "ryefold/core/admission/queue.h"

namespace ryefold::core::admission {

void RetryBudget::RecordFirstAttempt() {
  available_ = std::min(burst_, available_ + ratio_);
}

bool RetryBudget::TakeRetry() {
  if (available_ < 1) return false;
  available_ -= 1;
  return true;
}

}  // namespace ryefold::core::admission
