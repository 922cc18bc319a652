#pragma once

// The platform's list of instances and databases, shown late.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "ryefold/core/types.h"

namespace ryefold::standins {

class InstanceList {
 public:
  InstanceList();

  /// How late a change is shown.
  void SetLag(std::chrono::milliseconds lag) { lag_ = lag; }

  /// Adds or changes one entry: members of the JSON object `body` replace
  /// those known under its "name"; state "gone" removes it. False when the
  /// body is not an object with a name.
  bool Change(core::TimePoint now, const std::string& body);

  /// Wrongly leaves out these names, at once, until told otherwise.
  void Omit(std::set<std::string> names);

  /// `{"version":V,"instances":[...]}` as shown at `now`.
  std::string Show(core::TimePoint now);

 private:
  struct Snapshot {
    core::TimePoint shown_from;
    uint64_t version = 0;
    /// JSON text of each entry by name.
    std::map<std::string, std::string> entries;
  };

  std::chrono::milliseconds lag_{0};
  /// The one shown now, then those that wait for their time.
  std::deque<Snapshot> snapshots_;
  std::set<std::string> omitted_;
  /// Changes of `omitted_`; part of the version, so that readers notice.
  uint64_t omissions_ = 0;
};

}  // namespace ryefold::standins
