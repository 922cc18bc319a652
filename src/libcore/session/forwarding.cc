#include "ryefold/core/session/forwarding.h"

#include <xxhash.h>

#include <algorithm>

namespace ryefold::core::session {
namespace {

/// Connections to each database that an instance needs to serve a group without
/// forwarding: one in use and one to spare for transactions.
constexpr size_t kDirectConnections = 2;
/// Maximum number of instances that all hold connections. With more, each sends
/// so few statements to a database that its connections are closed as idle in
/// between, and opening one occupies a slot of the database.
constexpr size_t kMaxDirectInstances = 16;
/// Connections of one keeper: enough that an idle transaction does not block
/// the others, few enough that several keepers share a group.
constexpr size_t kConnectionsPerKeeper = 4;
/// Share of a database's connections that all keepers together hold, in
/// percent. The rest is for connections of instances that lost power, which the
/// database counts for seconds more, and for changes of keepers.
constexpr size_t kKeeperSharePercent = 60;
/// The same if each connection serves one workspace. Such connections stay
/// open, so all of them can be left behind by a power loss at once.
constexpr size_t kKeeperSharePercentByWorkspace = 50;
/// Statements of all holders in flight at a database, per slot. One runs, the
/// others queue inside the database, where priorities do not apply. A database
/// rejects more than eight per slot.
constexpr size_t kInFlightPerSlot = 3;
/// Bounds of the number of keepers: the loss of one must not stop a group, and
/// with more than the maximum a keeper's queue is too short to order by
/// priority.
constexpr size_t kMinKeepers = 3;
constexpr size_t kMaxKeepers = 8;
/// The same if each connection serves one workspace.
constexpr size_t kMaxKeepersByWorkspace = 4;

size_t ConnectionsForKeepers(uint32_t connection_limit, bool by_workspace) {
  const size_t percent =
      by_workspace ? kKeeperSharePercentByWorkspace : kKeeperSharePercent;
  return connection_limit * percent / 100;
}

uint64_t HashOf(std::string_view key, const std::string& instance) {
  return RendezvousHash(key, RendezvousSeed(instance));
}

}  // namespace

uint64_t RendezvousSeed(std::string_view instance) {
  return XXH64(instance.data(), instance.size(), 0);
}

uint64_t RendezvousHash(std::string_view key, uint64_t seed) {
  return XXH64(key.data(), key.size(), seed);
}

size_t KeeperCount(uint32_t connection_limit, size_t instances,
                   bool by_workspace) {
  const bool all_fit = instances * kDirectConnections <= connection_limit;
  if (all_fit && instances <= kMaxDirectInstances) return 0;
  return std::clamp(ConnectionsForKeepers(connection_limit, by_workspace) /
                        kConnectionsPerKeeper,
                    kMinKeepers,
                    by_workspace ? kMaxKeepersByWorkspace : kMaxKeepers);
}

uint32_t ConnectionsPerKeeper(uint32_t connection_limit, size_t keepers,
                              bool by_workspace) {
  const size_t share = ConnectionsForKeepers(connection_limit, by_workspace) /
                       std::max<size_t>(keepers, 1);
  return static_cast<uint32_t>(std::max(share, kDirectConnections));
}

uint32_t InFlightLimit(uint32_t slots, size_t holders) {
  const size_t total = size_t{slots} * kInFlightPerSlot;
  const size_t share = (total + holders - 1) / std::max<size_t>(holders, 1);
  return static_cast<uint32_t>(std::max<size_t>(share, 1));
}

size_t RendezvousRank(std::string_view key, const std::string& instance,
                      const std::vector<KeeperCandidate>& candidates) {
  const uint64_t own_hash = HashOf(key, instance);
  return static_cast<size_t>(
      std::count_if(candidates.begin(), candidates.end(),
                    [key, own_hash](const KeeperCandidate& each) {
                      return HashOf(key, each.instance) < own_hash;
                    }));
}

std::vector<KeeperCandidate> ChooseKeepers(
    std::string_view group, const std::vector<KeeperCandidate>& candidates,
    size_t count) {
  std::vector<std::pair<uint64_t, size_t>> ranked;
  ranked.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    ranked.emplace_back(HashOf(group, candidates[i].instance), i);
  }
  const size_t chosen = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<int64_t>(chosen),
                    ranked.end());
  std::vector<KeeperCandidate> keepers;
  keepers.reserve(chosen);
  for (size_t i = 0; i < chosen; ++i) {
    keepers.push_back(candidates[ranked[i].second]);
  }
  return keepers;
}

}  // namespace ryefold::core::session
