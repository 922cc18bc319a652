#include "ryefold/core/session/forwarding.h"

#include <xxhash.h>

#include <algorithm>

namespace ryefold::core::session {
namespace {

/// Connections that each instance needs to serve a group without a hop: one
/// in use and one to spare for transactions.
constexpr size_t kOwnConnections = 2;
/// Instances that may all hold connections. Beyond, each has so little to do
/// for each database that its connections are closed as idle between two
/// statements, and opening one takes a slot of the database.
constexpr size_t kMostOwn = 16;
/// Connections of one keeper: enough that a transaction at rest does not stop
/// the others, few enough that several keepers share a group.
constexpr size_t kKeeperConnections = 4;
/// Part of a database's connections that keepers hold together, in percent.
/// The rest is for those of instances that have lost power, which the database
/// counts for seconds, and for keepers that come and go.
constexpr size_t kUsedPercent = 60;
/// The same where each connection serves one workspace: they stay open, so all
/// of them are there to be lost at once.
constexpr size_t kUsedPercentByWorkspace = 50;
/// Statements under way at a database for each of its slots, from all holders
/// together. One runs, the others wait inside it, out of reach of the order by
/// priority; databases turn away what exceeds eight for each slot.
constexpr size_t kInFlightPerSlot = 3;
/// Bounds of the number of keepers: the loss of one must not stop a group, and
/// beyond the most a keeper's queue would be too short to order by priority.
constexpr size_t kLeastKeepers = 3;
constexpr size_t kMostKeepers = 8;
/// The same where each connection serves one workspace.
constexpr size_t kMostByWorkspace = 4;

size_t Usable(uint32_t connection_limit, bool by_workspace) {
  const size_t percent = by_workspace ? kUsedPercentByWorkspace : kUsedPercent;
  return connection_limit * percent / 100;
}

uint64_t Rank(std::string_view group, const std::string& instance) {
  return XXH64(group.data(), group.size(),
               XXH64(instance.data(), instance.size(), 0));
}

}  // namespace

size_t KeeperCount(uint32_t connection_limit, size_t instances,
                   bool by_workspace) {
  const bool enough = instances * kOwnConnections <= connection_limit;
  if (enough && instances <= kMostOwn) return 0;
  return std::clamp(Usable(connection_limit, by_workspace) / kKeeperConnections,
                    kLeastKeepers,
                    by_workspace ? kMostByWorkspace : kMostKeepers);
}

uint32_t ConnectionsOfKeeper(uint32_t connection_limit, size_t keepers,
                             bool by_workspace) {
  const size_t share =
      Usable(connection_limit, by_workspace) / std::max<size_t>(keepers, 1);
  return static_cast<uint32_t>(std::max(share, kOwnConnections));
}

uint32_t WindowOf(uint32_t slots, size_t holders) {
  const size_t all = size_t{slots} * kInFlightPerSlot;
  const size_t share = (all + holders - 1) / std::max<size_t>(holders, 1);
  return static_cast<uint32_t>(std::max<size_t>(share, 1));
}

size_t RankAmong(std::string_view key, const std::string& instance,
                 const std::vector<KeeperCandidate>& candidates) {
  const uint64_t own = Rank(key, instance);
  return static_cast<size_t>(
      std::count_if(candidates.begin(), candidates.end(),
                    [key, own](const KeeperCandidate& each) {
                      return Rank(key, each.instance) < own;
                    }));
}

std::vector<KeeperCandidate> ChooseKeepers(
    std::string_view group, const std::vector<KeeperCandidate>& candidates,
    size_t count) {
  std::vector<std::pair<uint64_t, size_t>> ranked;
  ranked.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    ranked.emplace_back(Rank(group, candidates[i].instance), i);
  }
  const size_t taken = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<int64_t>(taken), ranked.end());
  std::vector<KeeperCandidate> keepers;
  keepers.reserve(taken);
  for (size_t i = 0; i < taken; ++i) {
    keepers.push_back(candidates[ranked[i].second]);
  }
  return keepers;
}

}  // namespace ryefold::core::session
