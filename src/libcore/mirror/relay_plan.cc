#include "ryefold/core/mirror/relay_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace ryefold::core::mirror {
namespace {

/// Instances up to which everybody follows the store. A waiting call of each
/// is nothing to a store that answers hundreds a second, and no change waits
/// for another instance.
constexpr size_t kAllFollow = 16;
/// Instances that one relay serves. Each asks once a second when nothing
/// changes, which is about 120 bytes both ways: 1.4 KB/s, of the 2 KB/s that
/// control may use.
constexpr size_t kPerRelay = 12;
/// Relays of a failure domain at least: one may be lost.
constexpr size_t kLeastRelays = 2;
/// Relays of other failure domains that are kept in reserve.
constexpr size_t kForeignSources = 2;

uint64_t Rank(const std::string& key, const std::string& instance) {
  return XXH64(key.data(), key.size(),
               XXH64(instance.data(), instance.size(), 0));
}

using Ranked = std::vector<std::pair<uint64_t, std::string>>;

/// The relays of each failure domain.
std::map<std::string, Ranked> RelaysByDomain(
    const std::vector<Member>& members) {
  std::map<std::string, Ranked> domains;
  for (const Member& member : members) {
    domains[member.failure_domain].emplace_back(Rank("relay", member.instance),
                                                member.instance);
  }
  for (auto& [domain, ranked] : domains) {
    std::sort(ranked.begin(), ranked.end());
    const size_t wanted =
        std::max(kLeastRelays, (ranked.size() + kPerRelay - 1) / kPerRelay);
    ranked.resize(std::min(wanted, ranked.size()));
  }
  return domains;
}

/// `relays` in an order of this instance's own, so that instances spread.
std::vector<std::string> OrderFor(const std::string& self,
                                  const Ranked& relays) {
  Ranked ranked;
  for (const auto& [rank, instance] : relays) {
    if (instance == self) continue;
    ranked.emplace_back(Rank(self, instance), instance);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> order;
  for (const auto& [rank, instance] : ranked) order.push_back(instance);
  return order;
}

bool Contains(const Ranked& relays, const std::string& instance) {
  return std::any_of(relays.begin(), relays.end(),
                     [&](const auto& each) { return each.second == instance; });
}

}  // namespace

RelayPlan PlanRelays(const Member& self, const std::vector<Member>& members) {
  const std::map<std::string, Ranked> domains = RelaysByDomain(members);
  RelayPlan plan;
  Ranked foreign;
  for (const auto& [domain, relays] : domains) {
    if (domain == self.failure_domain) {
      plan.sources = OrderFor(self.instance, relays);
      plan.relays = Contains(relays, self.instance);
    } else {
      foreign.insert(foreign.end(), relays.begin(), relays.end());
    }
  }
  std::vector<std::string> reserve = OrderFor(self.instance, foreign);
  reserve.resize(std::min(reserve.size(), kForeignSources));
  plan.sources.insert(plan.sources.end(), reserve.begin(), reserve.end());
  const bool known = std::any_of(
      members.begin(), members.end(),
      [&self](const Member& each) { return each.instance == self.instance; });
  plan.follows_store = members.size() <= kAllFollow || plan.relays || !known;
  plan.relays = plan.relays && members.size() > kAllFollow;
  return plan;
}

}  // namespace ryefold::core::mirror
