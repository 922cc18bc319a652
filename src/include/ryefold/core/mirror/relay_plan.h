#pragma once

// Decides which instances follow the store and from which relays the others
// read.

#include <string>
#include <vector>

namespace ryefold::core::mirror {

/// An instance as input of the plan.
struct Member {
  std::string instance;
  std::string failure_domain;
};

struct RelayPlan {
  /// This instance follows the store itself.
  bool follows_store = true;
  /// This instance is a relay for others, so it should receive changes early.
  bool relays = false;
  /// Relays to read from, in order of preference.
  std::vector<std::string> sources;
};

/// Returns the plan for `self`. In a small fleet all instances follow the
/// store. In a large one the store would send each change in full to every
/// instance and hold one call for each. There a part of each failure domain,
/// which all instances compute alike, follows the store and relays the changes.
/// A plan made from an outdated list of instances only costs a refused call:
/// instances that do not follow the store answer so.
RelayPlan PlanRelays(const Member& self, const std::vector<Member>& members);

}  // namespace ryefold::core::mirror
