#pragma once

// Who follows the store and who hears from whom.

#include <string>
#include <vector>

namespace ryefold::core::mirror {

/// An instance as the plan sees it.
struct Member {
  std::string instance;
  std::string failure_domain;
};

struct RelayPlan {
  /// This instance follows the store itself, and others may hear from it.
  bool follows_store = true;
  /// Others follow this one, so that it should hear of changes early.
  bool relays = false;
  /// Instances to hear from, the first choice first.
  std::vector<std::string> sources;
};

/// The plan of `self`. In a small fleet everybody follows the store. In a large
/// one each change would reach every instance whole and from one place, and the
/// store counts each waiting call; so a part of each failure domain, the same
/// by everybody's reckoning, follows the store and tells the others what has
/// changed. A plan made from an older list of instances only costs a refused
/// call: instances that do not follow the store say so.
RelayPlan PlanRelays(const Member& self, const std::vector<Member>& members);

}  // namespace ryefold::core::mirror
