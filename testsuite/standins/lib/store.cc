#include "testsuite/standins/lib/store.h"

#include <utility>

namespace ryefold::standins {

void Store::Expire(core::TimePoint now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.deadline > now) {
      ++lease;
      continue;
    }
    for (auto& [key, slot] : slots_) {
      if (slot.lease != lease->first) continue;
      slot.present = false;
      slot.value.clear();
      slot.lease.clear();
    }
    lease = leases_.erase(lease);
  }
}

StoredValue Store::Get(core::TimePoint now, const std::string& key) {
  Expire(now);
  const auto found = slots_.find(key);
  if (found == slots_.end() || !found->second.present) return {};
  return {found->second.version, found->second.value};
}

PutAnswer Store::Put(core::TimePoint now, const std::string& key,
                     std::string value, uint64_t expect,
                     const std::string& lease) {
  const uint64_t version = Get(now, key).version;
  if (value.size() > kMaxValue) return {PutStatus::kTooLarge, version};
  if (!lease.empty() && leases_.count(lease) == 0) {
    return {PutStatus::kNoLease, version};
  }
  if (version != expect) return {PutStatus::kConflict, version};
  Slot& slot = slots_[key];
  ++slot.version;
  slot.present = true;
  slot.value = std::move(value);
  slot.lease = lease;
  return {PutStatus::kOk, slot.version};
}

std::vector<std::pair<std::string, uint64_t>> Store::List(
    core::TimePoint now, const std::string& prefix, const std::string& after,
    size_t limit) {
  Expire(now);
  std::vector<std::pair<std::string, uint64_t>> keys;
  for (auto at = slots_.lower_bound(prefix); at != slots_.end(); ++at) {
    if (at->first.compare(0, prefix.size(), prefix) != 0) break;
    if (keys.size() >= limit) break;
    if (!at->second.present || at->first <= after) continue;
    keys.emplace_back(at->first, at->second.version);
  }
  return keys;
}

std::string Store::Grant(core::TimePoint now, std::chrono::milliseconds ttl) {
  Expire(now);
  std::string lease = "lease-" + std::to_string(++last_lease_);
  leases_[lease] = {ttl, now + ttl};
  return lease;
}

bool Store::Renew(core::TimePoint now, const std::string& lease) {
  Expire(now);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.deadline = now + found->second.ttl;
  return true;
}

}  // namespace ryefold::standins
