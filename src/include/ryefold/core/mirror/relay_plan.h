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
  /// Relay whose copy this one compares its own with instead of listing the
  /// store from time to time; empty for instances that list it.
  std::string verify_with;
};

/// Returns the plan for `self`. In a small fleet all instances follow the
/// store. In a large one the store would send each change in full to every
/// instance and hold one call for each. There a part of each failure domain,
/// which all instances compute alike, follows the store and relays the changes.
/// A plan made from an outdated list of instances only costs a refused call:
/// instances that do not follow the store answer so.
RelayPlan PlanRelays(const Member& self, const std::vector<Member>& members);

/// How an instance that has just started gets its first copy of the store.
struct FirstCopyPlan {
  bool from_store = true;
  /// Instances to ask for a copy, in order of preference.
  std::vector<std::string> sources;
};

/// Returns the plan for `self` by a part of the list of instances, which may
/// hold some that are gone. In a large fleet that starts at once, a listing for
/// each instance would take the store's link for a time that grows with the
/// square of the fleet, so only those that are likely to be relays list it.
FirstCopyPlan PlanFirstCopy(const Member& self,
                            const std::vector<Member>& sample);

}  // namespace ryefold::core::mirror
