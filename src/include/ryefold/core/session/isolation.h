#pragma once

// Whether this instance reaches the others at all.
//
// A network can part one instance from all others while callers still reach
// it. Each of their statements would try one keeper after the other and be
// refused when its time is over. What the answers and silences of all peers say
// together shows it after a few tenths of a second: then statements are refused
// at once, and the balancer is told to send callers elsewhere.

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// Belief of one instance about itself, from what it hears of the others. A
/// single answer ends it, so an instance on the smaller side of a partition, or
/// in a fleet of which half has lost power, does not take itself for cut off.
class Isolation {
 public:
  /// The other instances that there are.
  void SetOthers(std::vector<std::string> others);

  /// Any of the others has answered, or answered a probe. True when the
  /// instance was taken for cut off until now.
  bool Heard(TimePoint now);
  /// `instance` was asked at `asked` and gave no sign of life. That says
  /// nothing when another one was heard since. True when this instance is taken
  /// for cut off from now on.
  bool Silent(const std::string& instance, TimePoint asked);

  bool cut_off() const { return cut_off_; }
  /// When any of the others was last heard; epoch if never.
  TimePoint heard_at() const { return heard_at_; }
  /// Different instances that have kept silent since.
  size_t silent() const { return silent_.size(); }

  /// Instances to be asked for a sign of life now: some of all, drawn evenly,
  /// while a few keep silent and none answers, until one does.
  std::vector<std::string> ProbesDue(TimePoint now);

 private:
  std::vector<std::string> others_;
  /// Silent since any other was heard.
  std::set<std::string> silent_;
  /// Probed last, and neither heard nor known to be silent yet.
  std::set<std::string> unanswered_;
  bool cut_off_ = false;
  TimePoint heard_at_;
  TimePoint probe_not_before_;
  /// Where in `others_` the next probes go.
  size_t next_ = 0;
};

}  // namespace ryefold::core::session
