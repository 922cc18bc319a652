#include "rates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ryefold::core::admission {
namespace {

/// Decay time constant: a measurement falls to 1/e after this time.
constexpr double kDecaySeconds = 1.0;
/// Minimum number of finished statements or busy time for a valid drain rate.
constexpr uint64_t kMinFinished = 10;
constexpr double kMinBusySeconds = 0.5;
/// Cap of one interval in the typical rate, and the number of intervals in its
/// mean.
constexpr double kMaxIntervalSeconds = 0.2;
constexpr uint64_t kMaxIntervals = 1000;
/// Minimum reported rate, so that wait times computed from it stay finite.
constexpr double kMinRatePerSecond = 0.1;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void DrainRate::Advance(TimePoint now, bool busy) {
  const double elapsed_seconds =
      started_ ? SecondsBetween(updated_at_, now) : 0;
  updated_at_ = started_ ? std::max(updated_at_, now) : now;
  started_ = true;
  if (!busy || elapsed_seconds <= 0) return;
  const double decay = std::exp(-elapsed_seconds / kDecaySeconds);
  finished_ *= decay;
  busy_seconds_ = busy_seconds_ * decay + kDecaySeconds * (1 - decay);
}

void DrainRate::RecordFinished() {
  ++total_finished_;
  finished_ += 1;
}

std::optional<double> DrainRate::per_second() const {
  if (total_finished_ < kMinFinished && busy_seconds_ < kMinBusySeconds) {
    return std::nullopt;
  }
  if (busy_seconds_ <= 0) return std::nullopt;
  return std::max(finished_ / busy_seconds_, kMinRatePerSecond);
}

void TypicalRate::RecordFinished(TimePoint now, bool busy) {
  if (busy && last_finished_at_.has_value()) {
    const double interval =
        std::min(SecondsBetween(*last_finished_at_, now), kMaxIntervalSeconds);
    intervals_ = std::min(intervals_ + 1, kMaxIntervals);
    mean_interval_ +=
        (interval - mean_interval_) / static_cast<double>(intervals_);
  }
  last_finished_at_.reset();
  if (busy) last_finished_at_ = now;
}

std::optional<double> TypicalRate::per_second() const {
  if (intervals_ < kMinFinished || mean_interval_ <= 0) return std::nullopt;
  return 1 / mean_interval_;
}

double ArrivalRate::Decayed(TimePoint now) const {
  const double elapsed_seconds =
      std::max(0.0, SecondsBetween(updated_at_, now));
  return count_ * std::exp(-elapsed_seconds / kDecaySeconds);
}

void ArrivalRate::Add(TimePoint now, double amount) {
  count_ = Decayed(now) + amount;
  updated_at_ = now;
}

double ArrivalRate::per_second(TimePoint now) const {
  return Decayed(now) / kDecaySeconds;
}

}  // namespace ryefold::core::admission
