#include "rates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ryefold::core::admission {
namespace {

/// Decay time constant: a measurement falls to 1/e after this time.
constexpr double kMemorySeconds = 1.0;
/// Minimum number of finished statements or busy time for a valid drain rate.
constexpr uint64_t kLeastFinished = 10;
constexpr double kLeastBusySeconds = 0.5;
/// Cap of one interval in the typical rate, and the number of intervals in its
/// mean.
constexpr double kLongestPause = 0.2;
constexpr uint64_t kPauses = 1000;
/// Minimum reported rate, so that wait times computed from it stay finite.
constexpr double kLeastRate = 0.1;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void DrainRate::Advance(TimePoint now, bool busy) {
  const double passed = started_ ? SecondsBetween(at_, now) : 0;
  at_ = started_ ? std::max(at_, now) : now;
  started_ = true;
  if (!busy || passed <= 0) return;
  const double keep = std::exp(-passed / kMemorySeconds);
  finished_ *= keep;
  busy_seconds_ = busy_seconds_ * keep + kMemorySeconds * (1 - keep);
}

void DrainRate::Finished() {
  ++total_;
  finished_ += 1;
}

std::optional<double> DrainRate::per_second() const {
  if (total_ < kLeastFinished && busy_seconds_ < kLeastBusySeconds) {
    return std::nullopt;
  }
  if (busy_seconds_ <= 0) return std::nullopt;
  return std::max(finished_ / busy_seconds_, kLeastRate);
}

void UsualRate::Finished(TimePoint now, bool busy) {
  if (busy && last_.has_value()) {
    const double pause = std::min(SecondsBetween(*last_, now), kLongestPause);
    pauses_ = std::min(pauses_ + 1, kPauses);
    mean_seconds_ += (pause - mean_seconds_) / static_cast<double>(pauses_);
  }
  last_.reset();
  if (busy) last_ = now;
}

std::optional<double> UsualRate::per_second() const {
  if (pauses_ < kLeastFinished || mean_seconds_ <= 0) return std::nullopt;
  return 1 / mean_seconds_;
}

double ArrivalRate::Faded(TimePoint now) const {
  const double passed = std::max(0.0, SecondsBetween(at_, now));
  return count_ * std::exp(-passed / kMemorySeconds);
}

void ArrivalRate::Add(TimePoint now) {
  count_ = Faded(now) + 1;
  at_ = now;
}

double ArrivalRate::per_second(TimePoint now) const {
  return Faded(now) / kMemorySeconds;
}

}  // namespace ryefold::core::admission
