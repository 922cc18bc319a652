#include "ryefold/core/limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace ryefold::core::limits {
namespace {

using std::chrono::milliseconds;

/// Upper bound of the reported wait, also used if the rate is 0.
constexpr milliseconds kMaxWait{5000};

}  // namespace

void TokenBucket::Refill(TimePoint now) {
  if (now <= refilled_at_) return;
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  const double added = rate_ * seconds;
  const double repaid = std::min(debt_, added);
  debt_ -= repaid;
  // The difference is exactly 0 until the advance is paid back: rounding would
  // otherwise take a whole token away.
  tokens_ = std::min(capacity_, tokens_ + (added - repaid));
  refilled_at_ = now;
}

void TokenBucket::SetRate(TimePoint now, double rate, double capacity) {
  if (rate == rate_ && capacity == capacity_) return;
  // Tokens up to now accrue at the old rate. The first rate applies from the
  // start of the bucket.
  if (rate_ > 0) Refill(now);
  rate_ = rate;
  capacity_ = capacity;
  tokens_ = std::min(tokens_, capacity_);
}

uint32_t TokenBucket::Advance(uint32_t tokens) {
  const auto limit = static_cast<uint32_t>(std::floor(capacity_));
  const uint32_t advance = std::min(tokens, limit);
  tokens_ += advance;
  debt_ += advance;
  return advance;
}

uint32_t TokenBucket::Take(TimePoint now, uint32_t wanted, double reserve) {
  Refill(now);
  const auto whole =
      static_cast<uint32_t>(std::floor(std::max(tokens_ - reserve, 0.0)));
  const uint32_t taken = std::min(whole, wanted);
  tokens_ -= taken;
  return taken;
}

milliseconds TokenBucket::WaitTime(TimePoint now, double reserve) const {
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  const double missing = 1 + reserve - tokens_ + debt_ - rate_ * seconds;
  if (missing <= 0 || tokens_ >= 1 + reserve) return milliseconds(0);
  if (rate_ <= 0) return kMaxWait;
  const auto needed = std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(missing / rate_));
  return std::min(needed, kMaxWait);
}

}  // namespace ryefold::core::limits
