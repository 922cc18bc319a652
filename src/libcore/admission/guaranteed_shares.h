#pragma once

// Minimum service of each queue key while a class serves cheap statements
// first.

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// Number of ranks by work per statement.
inline constexpr size_t kWorkRanks = 16;

/// Entitlements of the queue keys of one class. A quarter of the work served
/// is credited to the keys that had requests within the last second, by weight;
/// any service consumes credit. Another quarter may go to keys that have not
/// been served for half of their callers' patience, whose share may be too
/// small for one statement in that time. At least half of the work is left to
/// the order by work per statement. Work is in seconds.
class GuaranteedShares {
 public:
  /// Records a request of the key, whether it is queued or refused. `rank` is
  /// the key's place in the order by work.
  void RecordRequest(TimePoint now, const std::string& key, double weight,
                     double work, size_t rank, TimePoint::duration patience);
  /// Records that a statement of the key was started.
  void RecordServed(TimePoint now, const std::string& key, double work);

  /// Returns the part of `rate` work per second to which keys above this rank
  /// are entitled at most.
  double PartAbove(size_t rank, double rate) const;

  /// Whether the next statement of the key is to be served before the order by
  /// work.
  bool IsDue(TimePoint now, const std::string& key, double work) const;
  /// Returns the longest time until `total` work of the key, of which each
  /// statement takes `work`, is served by its entitlement alone, at `rate`
  /// work per second.
  double SecondsUntilServed(TimePoint now, const std::string& key, double work,
                            double total, double rate) const;

 private:
  struct Key {
    double weight = 1;
    double work = 1;
    size_t rank = 0;
    double credit = 0;
    /// `clock_` when `credit` was last updated.
    double credited_at = 0;
    TimePoint last_request_at;
    TimePoint last_served_at;
    TimePoint::duration patience{};
  };

  double CreditOf(const Key& key, double work) const;
  bool IsOverdue(TimePoint now, const Key& key) const;
  void UpdateActiveWeight(TimePoint now);

  std::unordered_map<std::string, Key> keys_;
  /// Credit of a key of weight 1 since the start.
  double clock_ = 0;
  double overdue_budget_ = 0;
  double active_weight_ = 0;
  /// By rank: the weights of active keys, and the work per second that they
  /// take if each is served whenever it is overdue.
  std::array<double, kWorkRanks> weights_{};
  std::array<double, kWorkRanks> overdue_rates_{};
  TimePoint next_weight_update_;
};

}  // namespace ryefold::core::admission
