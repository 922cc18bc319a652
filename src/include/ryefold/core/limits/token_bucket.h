#pragma once

// A token bucket that starts empty, or with an advance on its first tokens.

#include <chrono>
#include <cstdint>

#include "ryefold/core/types.h"

namespace ryefold::core::limits {

/// Within any span of length t at most `rate` x t + `capacity` tokens are
/// taken. This also holds across rate changes and when another bucket replaces
/// this one, because a bucket starts empty. An advance is within the same
/// bound: in the time t after the start at most max(advance, `rate` x t) tokens
/// are taken.
class TokenBucket {
 public:
  explicit TokenBucket(TimePoint start) : refilled_at_(start) {}

  /// Discards tokens beyond a smaller `capacity`.
  void SetRate(TimePoint now, double rate, double capacity);
  /// Makes up to `tokens` tokens available at once and withholds as many from
  /// the refill that follows. Returns their number, which is limited by the
  /// capacity. Called once, after the first `SetRate`.
  uint32_t Advance(uint32_t tokens);
  /// Takes up to `wanted` whole tokens, leaves at least `reserve` tokens, and
  /// returns the number taken.
  uint32_t Take(TimePoint now, uint32_t wanted, double reserve = 0);
  /// Returns the time until one token above `reserve` is available, at most
  /// 5 s.
  std::chrono::milliseconds WaitTime(TimePoint now, double reserve = 0) const;
  double rate() const { return rate_; }
  double capacity() const { return capacity_; }

 private:
  void Refill(TimePoint now);

  double rate_ = 0;
  double capacity_ = 0;
  double tokens_ = 0;
  /// Part of the advance that refill has not paid back yet.
  double debt_ = 0;
  TimePoint refilled_at_;
};

}  // namespace ryefold::core::limits
