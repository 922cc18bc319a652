#pragma once

// The members of the fleet: the platform's list, which may be outdated,
// combined with the failures that this instance has observed.

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
  /// How long an instance is suspected after a failure; doubled with each
  /// further failure before it answers again, up to `max_suspicion_time`.
  std::chrono::milliseconds suspicion_time{5000};
  std::chrono::milliseconds max_suspicion_time{60000};
};

/// Members by name, their suspicions, and the rank order of the instances for
/// each group: the first is the intended keeper, the next its successor. Not
/// thread-safe; owned by one task and shared there by entries and duties.
class Roster {
 public:
  explicit Roster(RosterTiming timing = {});

  /// Replaces all members, as returned by `configuration::Node::members`.
  void SetMembers(const std::vector<Member>& members);

  /// Suspects the instance because a call to it failed or timed out. Failures
  /// are observed on regular calls; the whole fleet is never probed.
  void Suspect(TimePoint now, const std::string& instance);
  /// Clears the suspicion of an instance that answered.
  void Trust(const std::string& instance);
  bool IsSuspected(TimePoint now, const std::string& instance) const;

  /// Returns the names of the instances that may keep `group` in rank order,
  /// which is by xxhash64 of group and instance (rendezvous hashing), so that
  /// a lost instance moves only its own groups. Leaving instances follow live
  /// ones; suspected ones are last. Returns the first 16, or all if all of the
  /// first 16 are suspected.
  ///
  /// Only instances in the region with most of the group's databases count
  /// while the list has a live one there: a region that is partitioned from the
  /// databases must not propose terms for them.
  ///
  /// The first two may be in the same failure domain. An order that separates
  /// them would also move other instances when the first is lost, so that each
  /// loss would move a group twice.
  std::vector<std::string> RankedInstances(TimePoint now,
                                           const std::string& group) const;
  /// Returns the rank order without regard to suspicions. The reference is
  /// valid until the next `SetMembers`.
  const std::vector<std::string>& RankOrder(const std::string& group) const;

  /// Returns nullptr if the name is not listed.
  const Member* Find(const std::string& name) const;
  /// Returns the databases listed for the group, ordered by name.
  std::vector<Member> DatabasesOf(const std::string& group) const;
  /// Returns live and leaving instances, ordered by name.
  std::vector<Member> instances() const;

 private:
  struct Suspicion {
    TimePoint until;
    std::chrono::milliseconds duration{0};
  };

  /// An instance with the precomputed hash of its name.
  struct Candidate {
    const Member* member = nullptr;
    uint64_t hash = 0;
  };

  /// Cached rank order of one group, and the region of its instances.
  struct Order {
    std::string region;
    std::vector<std::string> names;
  };

  /// Drops the cached orders that the change from `before` to the current
  /// members may affect.
  void DropStaleOrders(const std::map<std::string, Member>& before);
  /// Returns whether `added` may rank among the instances of `order`.
  bool IsAffectedBy(const std::string& group, const Order& order,
                    const Candidate& added) const;
  /// Returns the region whose instances may keep the group; empty for all.
  std::string KeeperRegion(const std::string& group) const;
  std::vector<std::string> ComputeOrder(const std::string& group,
                                        size_t max_count) const;

  RosterTiming timing_;
  std::map<std::string, Member> members_;
  std::vector<Candidate> instances_;
  std::map<std::string, std::vector<std::string>> databases_;
  std::map<std::string, Suspicion> suspicions_;
  /// Cache by group. Entries read an order for each request; computing the
  /// hashes for the whole fleet each time would occupy a processor core.
  mutable std::unordered_map<std::string, Order> orders_;
};

}  // namespace ryefold::core::membership
