#pragma once

// Requests whose answer was lost and which the primary has to be asked about.

#include <map>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

/// When to ask the primary about each request in doubt. Only the primary can
/// tell: it finds the record that the write left, or fences the id so that a
/// copy of the statement still under way cannot run later.
class InDoubtResolver {
 public:
  void Add(TimePoint now, RequestTag tag);
  void Remove(RequestTag tag) { requests_.erase(tag); }

  /// Requests to ask the primary of `term` about now; they count as asked.
  std::vector<RequestTag> TakeDueCalls(TimePoint now, uint64_t term);

  /// No answer, a refusal, or the statement is still running: ask again after
  /// a pause, or once there is a newer primary.
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
