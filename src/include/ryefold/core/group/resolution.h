#pragma once

// Requests whose answer was lost and which the primary has to be asked about.

#include <map>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

/// When to ask the primary about each request in doubt. Only the primary can
/// tell: it finds the record that the write left, or fences the id so that a
/// copy of the statement still under way cannot run later.
class Resolution {
 public:
  void Add(TimePoint now, RequestTag tag);
  void Remove(RequestTag tag) { doubts_.erase(tag); }

  /// Requests to ask the primary of `term` about now; they count as asked.
  std::vector<RequestTag> TakeDue(TimePoint now, uint64_t term);

  /// The primary of `term` refused for its term: ask again once there is a
  /// newer one, or after a pause.
  void Refused(TimePoint now, RequestTag tag, uint64_t term);
  /// No answer, or the statement is still running: ask again after a pause.
  void AskAgain(TimePoint now, RequestTag tag);

  bool empty() const { return doubts_.empty(); }
  TimePoint next_deadline(TimePoint now) const;

 private:
  struct Doubt {
    bool asked = false;
    TimePoint ask_at;
    uint64_t refused_term = 0;
  };
  std::map<RequestTag, Doubt> doubts_;
};

}  // namespace ryefold::core::group
