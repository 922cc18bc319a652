#include "adaptive_limit.h"

#include <algorithm>

namespace ryefold::core::admission {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Statements of all sharers in flight at a database, per slot, up to which a
/// waiting statement is sent without evidence of free slots. A database rejects
/// more than eight per slot.
constexpr uint32_t kEqualSharePerSlot = 3;
/// Maximum statements of one sharer in flight, as a percentage of the slots.
/// More than one per slot covers the network round trip between two statements.
constexpr uint32_t kMaxPercentOfSlots = 150;
/// Time without a statement held back after which the limit falls to one.
/// Longer than the gaps within a burst.
constexpr milliseconds kDemandMemory{300};
/// Ratio of response times above which no statement is sent beyond the learned
/// limit: the slots are in use and a queue of about half of them has formed.
constexpr double kCongestedRatio = 1.4;
/// Factor by which a rejection reduces the level.
constexpr double kRejectionFactor = 0.5;
/// Least ratio after a rejection: the database's queue is full.
constexpr double kRejectionRatio = 2;
/// With every sharer at its minimum of one, the ratio is at most the number of
/// sharers for each slot. A ratio above this multiple of it shows a slower
/// database rather than a queue. The margin covers steps of transactions, which
/// are not held back, and sharers that reach their minimum later: with 1.5 a
/// queue is taken for a slowdown, and a database of 4 slots gets 36 statements.
constexpr double kSlowdownMargin = 2;
/// Ratio assumed once a faster database is noticed under demand: the one at
/// which limits stop growing. With one, each change of speed added to the queue
/// inside the database.
constexpr double kRatioUnderDemand = 1.5;
/// Ratio assumed once a slowdown is noticed. Below the one above, so that a
/// single sharer grows again.
constexpr double kRatioOnceSlow = 1.4;
/// Time at the minimum, and response times in it, after which a high ratio is
/// taken for a slowdown. By then the statements that the sharers had queued
/// before have been answered.
constexpr milliseconds kSlowdownDelay{300};
constexpr int kSlowdownResponseTimes = 2;
/// Validity of a report of free slots: about the time for which the load of a
/// database stays the same.
constexpr milliseconds kFreeSlotsValidity{250};

}  // namespace

void AdaptiveLimit::SetCapacity(uint32_t slots, size_t sharers) {
  slots_ = std::max(slots, 1U);
  sharers_ = std::max<size_t>(sharers, 1);
  max_limit_ = (slots_ * kMaxPercentOfSlots + 99) / 100;
  const size_t share =
      (size_t{slots_} * kEqualSharePerSlot + sharers_ - 1) / sharers_;
  equal_share_ = std::min(static_cast<uint32_t>(share), max_limit_);
  level_ = std::min(level_, static_cast<double>(max_limit_));
}

void AdaptiveLimit::OnStart(TimePoint now) {
  if (in_flight_++ == 0) silent_since_ = now;
}

void AdaptiveLimit::FinishOne(TimePoint now) {
  if (in_flight_ > 0) --in_flight_;
  silent_since_ = now;
}

void AdaptiveLimit::SetLevel(TimePoint now, double level) {
  level = std::clamp(level, 1.0, static_cast<double>(max_limit_));
  if (level < level_) decreased_at_ = now;
  level_ = level;
  if (level_ >= 2) {
    at_minimum_since_ = TimePoint();
  } else if (at_minimum_since_ == TimePoint()) {
    at_minimum_since_ = now;
  }
}

void AdaptiveLimit::OnResponse(TimePoint now, microseconds response_time,
                               std::string_view kind) {
  FinishOne(now);
  const bool reported_free = now - free_slots_at_ < kFreeSlotsValidity;
  const bool unloaded = reported_free || (!HasDemand(now) && !IsCongested(now));
  baseline_.Record(now, response_time, kind, unloaded);
  if (baseline_.IsTooHigh()) {
    baseline_.Rescale(HasDemand(now) ? kRatioUnderDemand : 1);
  }
  const bool may_decrease = now - decreased_at_ >= baseline_.mean();
  const double step = std::min(
      1.0, static_cast<double>(slots_) / static_cast<double>(sharers_));
  const double level = Adjust(level_, baseline_.ratio(now), step, may_decrease);
  const bool may_grow = HasDemand(now) && !baseline_.IsFalling();
  if (level < level_ || may_grow) SetLevel(now, level);
  DetectSlowdown(now);
}

/// Learns anew what an unloaded response is once the database has become
/// slower: a single sharer at its minimum would leave the other slots unused.
void AdaptiveLimit::DetectSlowdown(TimePoint now) {
  const auto delay = std::max<microseconds>(
      kSlowdownDelay, baseline_.mean() * kSlowdownResponseTimes);
  if (at_minimum_since_ == TimePoint() || now - at_minimum_since_ < delay) {
    return;
  }
  const double explained =
      std::max(1.0, static_cast<double>(sharers_) / slots_);
  if (baseline_.ratio(now) <= explained * kSlowdownMargin) return;
  baseline_.Rescale(kRatioOnceSlow);
  at_minimum_since_ = now;
}

void AdaptiveLimit::OnRejection(TimePoint now) {
  FinishOne(now);
  if (baseline_.ratio(now) < kRejectionRatio) {
    baseline_.Rescale(kRejectionRatio);
  }
  if (now - decreased_at_ < baseline_.mean()) return;
  SetLevel(now, level_ * kRejectionFactor);
}

void AdaptiveLimit::OnDropped(TimePoint /*now*/) {
  // No sign that the database makes progress: the silence continues.
  if (in_flight_ > 0) --in_flight_;
}

void AdaptiveLimit::OnBusySlots(TimePoint as_of, uint32_t busy_slots) {
  // The report may or may not count the status call itself, which takes a slot:
  // one free slot says nothing.
  if (busy_slots + 1 >= slots_) return;
  free_slots_at_ = std::max(free_slots_at_, as_of);
}

void AdaptiveLimit::OnHeldBack(TimePoint now) {
  if (!HasDemand(now)) SetLevel(now, 1);
  held_back_at_ = now;
  if (IsCongested(now) || level_ >= equal_share_) return;
  SetLevel(now, equal_share_);
}

bool AdaptiveLimit::HasDemand(TimePoint now) const {
  return held_back_at_ != TimePoint() && now - held_back_at_ < kDemandMemory;
}

bool AdaptiveLimit::IsCongested(TimePoint now) const {
  return baseline_.ratio(now) >= kCongestedRatio;
}

uint32_t AdaptiveLimit::limit(TimePoint now) const {
  return HasDemand(now) ? static_cast<uint32_t>(level_) : 1;
}

uint32_t AdaptiveLimit::limit_under_demand(TimePoint now) const {
  const uint32_t present = limit(now);
  return IsCongested(now) ? present : std::max(present, equal_share_);
}

microseconds AdaptiveLimit::response_time(TimePoint now) const {
  const microseconds mean = baseline_.mean();
  if (in_flight_ == 0 || mean == microseconds(0)) return mean;
  return std::max(
      mean, std::chrono::duration_cast<microseconds>(now - silent_since_));
}

}  // namespace ryefold::core::admission
