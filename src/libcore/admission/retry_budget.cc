#include <algorithm>

#include "ryefold/core/admission/queue.h"

namespace ryefold::core::admission {

void RetryBudget::FirstTry() { saved_ = std::min(burst_, saved_ + ratio_); }

bool RetryBudget::TakeRetry() {
  if (saved_ < 1) return false;
  saved_ -= 1;
  return true;
}

}  // namespace ryefold::core::admission
