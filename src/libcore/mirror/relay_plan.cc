#include "ryefold/core/mirror/relay_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace ryefold::core::mirror {
namespace {

/// Fleet size up to which all instances follow the store. A store that answers
/// hundreds of calls a second can hold one for each, and changes arrive without
/// a relay's delay.
constexpr size_t kMaxFleetWithoutRelays = 16;
/// Instances per relay. Each sends a call every second when nothing changes,
/// about 120 bytes both ways: 1.4 KB/s of the 2 KB/s that control traffic may
/// use.
constexpr size_t kInstancesPerRelay = 12;
/// Minimum number of relays in a failure domain, so that one may fail.
constexpr size_t kMinRelaysPerDomain = 2;
/// Relays of other failure domains that serve as fallback.
constexpr size_t kFallbackSources = 2;

/// Instances asked for a first copy: relays, which have one first after a loss
/// of all power, then others, of which more are alive after a smaller loss.
constexpr size_t kFirstCopyRelays = 4;
constexpr size_t kFirstCopyOthers = 2;

uint64_t Rank(const std::string& key, const std::string& instance) {
  return XXH64(key.data(), key.size(),
               XXH64(instance.data(), instance.size(), 0));
}

using Ranked = std::vector<std::pair<uint64_t, std::string>>;

std::map<std::string, Ranked> RelaysByDomain(
    const std::vector<Member>& members) {
  std::map<std::string, Ranked> domains;
  for (const Member& member : members) {
    domains[member.failure_domain].emplace_back(Rank("relay", member.instance),
                                                member.instance);
  }
  for (auto& [domain, ranked] : domains) {
    std::sort(ranked.begin(), ranked.end());
    const size_t relay_count =
        std::max(kMinRelaysPerDomain,
                 (ranked.size() + kInstancesPerRelay - 1) / kInstancesPerRelay);
    ranked.resize(std::min(relay_count, ranked.size()));
  }
  return domains;
}

/// Returns `relays` in an order that depends on `self`, to spread the load.
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

/// Returns whether the instance is among the first in rank of its failure
/// domain, as far as can be told without knowing the others.
bool IsLikelyRelay(const std::string& instance) {
  return Rank("relay", instance) < UINT64_MAX / kInstancesPerRelay;
}

}  // namespace

RelayPlan PlanRelays(const Member& self, const std::vector<Member>& members) {
  const std::map<std::string, Ranked> domains = RelaysByDomain(members);
  RelayPlan plan;
  Ranked other_domains;
  for (const auto& [domain, relays] : domains) {
    if (domain == self.failure_domain) {
      plan.sources = OrderFor(self.instance, relays);
      plan.relays = Contains(relays, self.instance);
    } else {
      other_domains.insert(other_domains.end(), relays.begin(), relays.end());
    }
  }
  std::vector<std::string> fallback = OrderFor(self.instance, other_domains);
  fallback.resize(std::min(fallback.size(), kFallbackSources));
  plan.sources.insert(plan.sources.end(), fallback.begin(), fallback.end());
  const bool is_member = std::any_of(
      members.begin(), members.end(),
      [&self](const Member& each) { return each.instance == self.instance; });
  plan.follows_store =
      members.size() <= kMaxFleetWithoutRelays || plan.relays || !is_member;
  plan.relays = plan.relays && members.size() > kMaxFleetWithoutRelays;
  if (!plan.relays) return plan;
  // The first relay of each failure domain lists the store.
  const std::string& first = domains.at(self.failure_domain).front().second;
  if (first != self.instance) plan.verify_with = first;
  return plan;
}

FirstCopyPlan PlanFirstCopy(const Member& self,
                            const std::vector<Member>& sample) {
  FirstCopyPlan plan;
  plan.from_store =
      sample.size() <= kMaxFleetWithoutRelays || IsLikelyRelay(self.instance);
  if (plan.from_store) return plan;
  Ranked near_relays;
  Ranked far_relays;
  Ranked others;
  for (const Member& each : sample) {
    const bool near = each.failure_domain == self.failure_domain;
    Ranked& group = !IsLikelyRelay(each.instance) ? others
                    : near                        ? near_relays
                                                  : far_relays;
    group.emplace_back(0, each.instance);
  }
  const auto add = [&plan, &self](const Ranked& group, size_t most) {
    std::vector<std::string> order = OrderFor(self.instance, group);
    order.resize(std::min(order.size(), most));
    plan.sources.insert(plan.sources.end(), order.begin(), order.end());
  };
  add(near_relays, kFirstCopyRelays);
  add(far_relays, kFirstCopyRelays - plan.sources.size());
  add(others, kFirstCopyOthers);
  return plan;
}

}  // namespace ryefold::core::mirror
