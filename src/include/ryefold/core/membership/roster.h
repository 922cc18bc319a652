#pragma once

// Who is there: the platform's lagging list, corrected by what this instance
// has itself seen fail.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "ryefold/core/membership/instance.h"
#include "ryefold/core/types.h"

namespace ryefold::core::membership {

struct RosterTiming {
  /// How long one failure counts against an instance; doubled with each
  /// further one before it answers again, up to `suspicion_max`.
  std::chrono::milliseconds suspicion{5000};
  std::chrono::milliseconds suspicion_max{60000};
};

/// Members by name, suspicion, and the order in which instances may keep a
/// group. Owned by one task; entries and duties share it there.
class Roster {
 public:
  explicit Roster(RosterTiming timing = {});

  /// Takes the whole list, as `configuration::Node::members` gives it.
  void SetMembers(const std::vector<Member>& members);

  /// A call to the instance failed or timed out. Evidence comes from calls
  /// that were made anyway; nothing probes the whole fleet.
  void Suspect(TimePoint now, const std::string& instance);
  /// The instance answered.
  void Trust(const std::string& instance);
  bool Suspected(TimePoint now, const std::string& instance) const;

  /// Names of the instances that may keep `group`, the intended keeper first:
  /// by xxhash64 of group and instance, so that a lost instance moves only
  /// its own groups; leaving ones after live ones, suspected ones last. The
  /// first sixteen are given, more only if all of these are suspected. Only
  /// instances in the region that holds most of the group's databases count,
  /// as long as the list names one that is live there: a region that is cut
  /// off from the databases must not propose terms for them.
  ///
  /// The first two may stand in one failure domain. An order that spreads
  /// them could not keep the rest in place when the first one goes, so each
  /// loss would move a group twice.
  std::vector<std::string> Ranked(TimePoint now,
                                  const std::string& group) const;
  /// The same order as if nobody were suspected, without a copy; valid until
  /// the next `SetMembers`.
  const std::vector<std::string>& Intended(const std::string& group) const;

  /// Nothing when the name is not listed.
  const Member* Find(const std::string& name) const;
  /// Databases listed for the group, in order of name.
  std::vector<Member> DatabasesOf(const std::string& group) const;
  /// Live and leaving instances, in order of name.
  std::vector<Member> instances() const;

 private:
  struct Suspicion {
    TimePoint until;
    std::chrono::milliseconds length{0};
  };

  /// An instance with the hash of its name, worked out once.
  struct Candidate {
    const Member* member = nullptr;
    uint64_t hash = 0;
  };

  /// First in rank for one group, and the region that they come from.
  struct Order {
    std::string region;
    std::vector<std::string> names;
  };

  /// Forgets the orders that a change from `before` to the present members
  /// can have touched.
  void DropStale(const std::map<std::string, Member>& before);
  bool Touches(const std::string& group, const Order& order,
               const Candidate& added) const;
  std::string RegionOf(const std::string& group) const;
  std::vector<std::string> Sorted(const std::string& group, size_t most) const;

  RosterTiming timing_;
  std::map<std::string, Member> members_;
  std::vector<Candidate> instances_;
  std::map<std::string, std::vector<std::string>> databases_;
  std::map<std::string, Suspicion> suspicions_;
  /// Orders worked out so far. Entries ask for one with each request; hashing
  /// the fleet each time would cost a core.
  mutable std::unordered_map<std::string, Order> orders_;
};

}  // namespace ryefold::core::membership
