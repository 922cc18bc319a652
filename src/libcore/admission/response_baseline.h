#pragma once

// Response times of a database relative to its unloaded response times.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// Estimates by which factor a database's response times exceed those without a
/// queue. Each kind of statement has a baseline of its own, so that a change of
/// the mix is not taken for a queue.
class ResponseBaseline {
 public:
  /// Records a response. `unloaded`: there is reason to believe that the
  /// database has free slots, so that the baselines may rise. `assumed_ratio`
  /// is that of the first responses of all.
  void Record(TimePoint now, std::chrono::microseconds response_time,
              std::string_view kind, bool unloaded);
  /// Scales all baselines so that the present ratio becomes `ratio`.
  void Rescale(double ratio);

  /// Returns whether recent responses are faster than those before, so that the
  /// baselines may soon prove too high.
  bool IsFalling() const;
  /// Returns whether the ratios show that the database has become faster.
  bool IsTooHigh() const;
  /// Returns the mean ratio of recent response times to the baselines; 1 while
  /// it is unknown.
  double ratio(TimePoint now) const;
  /// Returns the mean response time over all kinds; zero while it is unknown.
  std::chrono::microseconds mean() const;

 private:
  struct Kind {
    uint32_t samples = 0;
    double mean_us = 0;
    double baseline_us = 0;
  };

  std::map<std::string, Kind, std::less<>> kinds_;
  double ratio_ = 1;
  /// The same over four times as many responses.
  double slow_ratio_ = 1;
  double mean_us_ = 0;
  TimePoint recorded_at_;
};

}  // namespace ryefold::core::admission
