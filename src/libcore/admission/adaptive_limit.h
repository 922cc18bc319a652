#pragma once

// The parts that all learned concurrency limits share: demand, bounds, and the
// comparison of response times.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "response_baseline.h"
#include "ryefold/core/admission/concurrency_limit.h"

namespace ryefold::core::admission {

class AdaptiveLimit : public ConcurrencyLimit {
 public:
  void SetCapacity(uint32_t slots, size_t sharers) override;
  void OnStart(TimePoint now) override;
  void OnResponse(TimePoint now, std::chrono::microseconds response_time,
                  std::string_view kind) override;
  void OnRejection(TimePoint now) override;
  void OnDropped(TimePoint now) override;
  void OnBusySlots(TimePoint as_of, uint32_t busy_slots) override;
  void OnHeldBack(TimePoint now) override;
  uint32_t limit(TimePoint now) const override;
  uint32_t limit_under_demand(TimePoint now) const override;
  std::chrono::microseconds response_time(TimePoint now) const override;

 protected:
  /// Returns the new level after a response. `ratio` is that of response times
  /// to the unloaded ones. `step` is an increase with which all sharers
  /// together add at most one statement for each slot. `may_decrease`: the
  /// effect of the last decrease shows by now.
  virtual double Adjust(double level, double ratio, double step,
                        bool may_decrease) = 0;

 private:
  bool HasDemand(TimePoint now) const;
  bool IsCongested(TimePoint now) const;
  void FinishOne(TimePoint now);
  void SetLevel(TimePoint now, double level);
  void DetectSlowdown(TimePoint now);

  uint32_t slots_ = 1;
  size_t sharers_ = 1;
  uint32_t equal_share_ = 1;
  uint32_t max_limit_ = 1;
  /// The learned limit before it is rounded down.
  double level_ = 1;
  ResponseBaseline baseline_;
  uint32_t in_flight_ = 0;
  /// Time of the last answer, or of the first start after being idle.
  TimePoint silent_since_;
  TimePoint held_back_at_;
  TimePoint decreased_at_;
  /// Time since which the level has been at its minimum; epoch if it is not.
  TimePoint at_minimum_since_;
  TimePoint free_slots_at_;
};

}  // namespace ryefold::core::admission
