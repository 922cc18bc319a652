#pragma once

// Schedules settle calls for requests whose answers were lost.

#include <map>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

/// Decides when to ask the primary about each request in doubt. Only the
/// primary can resolve it: it finds the record of the write, or fences the
/// request id so that a copy of the statement still in flight cannot run later.
class InDoubtResolver {
 public:
  void Add(TimePoint now, RequestTag tag);
  void Remove(RequestTag tag) { requests_.erase(tag); }

  /// Returns the requests to ask the primary of `term` about now, and marks
  /// them as in flight.
  std::vector<RequestTag> TakeDueCalls(TimePoint now, uint64_t term);

  /// Schedules another call after a lost answer, a refusal, or while the
  /// statement still runs: after a pause, or as soon as there is a newer
  /// primary.
  void ScheduleRetry(TimePoint now, RequestTag tag);

  bool empty() const { return requests_.empty(); }
  TimePoint next_deadline(TimePoint now) const;

 private:
  struct InDoubtRequest {
    bool in_flight = false;
    TimePoint next_call;
    uint64_t called_term = 0;
  };
  std::map<RequestTag, InDoubtRequest> requests_;
};

}  // namespace ryefold::core::group
