#pragma once

// Backoff before retries and retry delays for callers, both with jitter.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace ryefold::core::entry {

/// Doubles the delay on each round. The jitter keeps requests that failed
/// together from being retried together.
class Backoff {
 public:
  Backoff(std::chrono::milliseconds first, uint64_t seed)
      : first_(first), random_(seed) {}

  /// Returns the delay before the retry of this round, from 0.
  std::chrono::milliseconds Delay(uint32_t round) {
    return Jitter(first_ * (1 << std::min(round, kMaxDoublings)));
  }

  /// Returns the retry delay for the caller of a request that is given up.
  std::chrono::milliseconds RetryAfter() {
    return Jitter(first_ * kRetryAfterFactor);
  }

 private:
  static constexpr uint32_t kMaxDoublings = 5;
  static constexpr int kRetryAfterFactor = 10;

  std::chrono::milliseconds Jitter(std::chrono::milliseconds middle) {
    const int64_t half = std::max<int64_t>(middle.count() / 2, 1);
    std::uniform_int_distribution<int64_t> distribution(half, 3 * half);
    return std::chrono::milliseconds(distribution(random_));
  }

  std::chrono::milliseconds first_;
  std::mt19937_64 random_;
};

}  // namespace ryefold::core::entry
