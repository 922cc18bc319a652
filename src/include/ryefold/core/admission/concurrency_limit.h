#pragma once

// Limit on the statements that one instance has in flight at a database,
// learned from the database's answers. Uses no sockets or clocks.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "ryefold/core/types.h"

namespace ryefold::core::admission {

/// Learns how many statements this instance may have in flight at one database
/// that it shares with other instances. All of them run the same algorithm and
/// exchange no messages: a queue inside the database shows in the response
/// times that each of them measures.
class ConcurrencyLimit {
 public:
  virtual ~ConcurrencyLimit() = default;

  /// Sets the number of statements that the database runs concurrently and the
  /// number of instances that share it; both count as at least one.
  virtual void SetCapacity(uint32_t slots, size_t sharers) = 0;

  virtual void OnStart(TimePoint now) = 0;
  /// A statement has run. `kind` groups statements of similar work, such as
  /// those of one route.
  virtual void OnResponse(TimePoint now,
                          std::chrono::microseconds response_time,
                          std::string_view kind) = 0;
  /// A statement was not run because the database's queue was full.
  virtual void OnRejection(TimePoint now) = 0;
  /// A statement ended without a response time: it was rejected for another
  /// reason, or its connection was lost.
  virtual void OnDropped(TimePoint now) = 0;
  /// The database reported at `as_of` how many of its slots were in use.
  virtual void OnBusySlots(TimePoint as_of, uint32_t busy_slots) = 0;
  /// A statement waits because the limit is used up.
  virtual void OnHeldBack(TimePoint now) = 0;

  /// Returns how many statements may be in flight; at least one.
  virtual uint32_t limit(TimePoint now) const = 0;
  /// Returns the limit that statements waiting at `now` would find: at least
  /// `limit`, which falls to one without demand.
  virtual uint32_t limit_under_demand(TimePoint now) const = 0;
  /// Returns the mean response time, or the time since the last answer if that
  /// is longer; zero while unknown.
  virtual std::chrono::microseconds response_time(TimePoint now) const = 0;
};

/// Follows the ratio of the response time to the unloaded response time.
std::unique_ptr<ConcurrencyLimit> MakeGradientLimit();
/// Increases with each response while no queue shows, and decreases by a factor
/// on rejections and on response times above a multiple of the unloaded one.
std::unique_ptr<ConcurrencyLimit> MakeAdditiveLimit();

}  // namespace ryefold::core::admission
