// What this instance believes of the others: who keeps which group, who keeps
// silent, and whether any of them is reached at all. Nothing rests on these
// beliefs but where statements go; a wrong one costs an attempt, or a refusal
// that is true.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// How long an instance that kept silent is passed over. Trying it again costs
/// one statement the time that it has for a sign of life.
constexpr milliseconds kSuspicion{1000};
/// Time for the answer to a probe: two silent keepers may be tried one after
/// the other until the probes have told which of the rest live.
constexpr milliseconds kProbeTime{100};
/// Cost of another failure domain in the choice of a keeper, in statements
/// under way there.
constexpr uint32_t kOtherDomain = 3;
/// The same for each keeper of the same failure domain that comes before it in
/// the order for the workspace: statements of one workspace meet where its
/// connections are, and go on to the next keeper when that one has much to do.
constexpr uint32_t kNextInOrder = 1;

}  // namespace

void Proxy::Impl::SetKeepers(TimePoint now, const std::string& self,
                             const std::vector<KeeperCandidate>& instances) {
  self_ = self;
  if (!have_instances_) instances_since_ = now;
  have_instances_ = true;
  instances_ = instances;
  std::vector<std::string> others;
  for (const KeeperCandidate& each : instances_) {
    if (each.instance != self_) others.push_back(each.instance);
  }
  // Names sort by failure domain, which can fail as a whole.
  std::shuffle(others.begin(), others.end(), std::mt19937_64(settings_.seed));
  isolation_.SetPeers(std::move(others));
  ChooseAllKeepers(now);
  PumpAll(now);
}

void Proxy::Impl::InstanceProbed(TimePoint now, const std::string& instance,
                                 bool alive) {
  const auto probe = probes_.extract(instance);
  if (alive) {
    InstanceHeard(now);
    return;
  }
  InstanceSilent(now, instance, probe.empty() ? TimePoint() : probe.mapped());
}

void Proxy::Impl::InstanceHeard(TimePoint now) {
  const TimePoint before = isolation_.last_contact();
  if (!isolation_.RecordResponse(now)) return;
  Event(events_, EventPriority::kState, "in_touch").Add("after", now - before);
}

void Proxy::Impl::InstanceSilent(TimePoint now, const std::string& instance,
                                 TimePoint asked) {
  others_[instance].silent_until = now + kSuspicion;
  if (!isolation_.RecordTimeout(instance, asked)) return;
  Event(events_, EventPriority::kState, "cut_off")
      .Add("silent", isolation_.timed_out_count())
      .Add("instances", instances_.size())
      .Add("last_heard", now - isolation_.last_contact());
}

bool Proxy::Impl::KeptSilent(TimePoint now, const std::string& instance) const {
  const auto state = others_.find(instance);
  return state != others_.end() && now < state->second.silent_until;
}

bool Proxy::Impl::IsStarting(TimePoint now, const std::string& instance) const {
  const auto state = others_.find(instance);
  return state != others_.end() && now < state->second.starting_until;
}

/// One keeper of the group keeps silent. Whatever took it may have taken others
/// too; they are asked at once, or the next statements would find out one by
/// one.
void Proxy::Impl::ProbeKeepers(TimePoint now, const Group& group) {
  for (const KeeperCandidate& keeper : group.keepers) {
    if (keeper.instance == self_) continue;
    if (KeptSilent(now, keeper.instance)) continue;
    ProbeInstance(now, keeper.instance);
  }
}

void Proxy::Impl::ProbeInstance(TimePoint now, const std::string& instance) {
  const auto found = probes_.find(instance);
  // One whose answer is long overdue went with its stream.
  const bool under_way =
      found != probes_.end() && now - found->second < 2 * kProbeTime;
  if (under_way) return;
  probes_[instance] = now;
  forwarder_->Probe(instance, now + kProbeTime);
}

void Proxy::Impl::MaintainTouch(TimePoint now) {
  if (forwarder_ == nullptr) return;
  for (const std::string& instance : isolation_.TakeDueProbes(now)) {
    ProbeInstance(now, instance);
  }
}

/// Until the instances are known nobody can tell who keeps a group, and this
/// instance takes itself for none of its keepers. Otherwise a fleet that starts
/// at one moment, after a loss of power, opens a connection from every instance
/// to every database; each takes a slot for a while, beyond the limit the
/// database resets them, and callers wait for all of it.
void Proxy::Impl::ChooseAllKeepers(TimePoint now) {
  if (!have_instances_) return;
  for (auto& [name, group] : groups_) {
    const size_t count =
        KeeperCount(group->limits.connection_limit, instances_.size(),
                    workspaces_.keys_required());
    std::vector<KeeperCandidate> keepers;
    if (count > 0) keepers = ChooseKeepers(name, instances_, count);
    const bool among = std::any_of(
        keepers.begin(), keepers.end(),
        [this](const KeeperCandidate& each) { return each.instance == self_; });
    const bool kept = count == 0 || among;
    if (kept != group->kept) {
      Event(events_, EventPriority::kState, kept ? "group_kept" : "group_left")
          .Add("group", name)
          .Add("keepers", keepers.size())
          .Add("instances", instances_.size());
    }
    group->kept = kept;
    group->keepers = std::move(keepers);
    group->keepers_of_domain.clear();
    for (const KeeperCandidate& each : group->keepers) {
      group->keepers_of_domain[each.failure_domain].push_back(each);
    }
    if (kept) OpenFirst(now, *group);
  }
}

/// The keeper with the least under way, the own failure domain preferred;
/// among equals callers spread by their numbers.
const KeeperCandidate* Proxy::Impl::ChooseKeeper(TimePoint now,
                                                 const Request& request,
                                                 const Group& group) const {
  const KeeperCandidate* best = nullptr;
  uint32_t best_cost = 0;
  const size_t count = group.keepers.size();
  const std::string& workspace = callers_.at(request.caller).workspace;
  for (size_t i = 0; i < count; ++i) {
    const KeeperCandidate& keeper = group.keepers[(i + request.caller) % count];
    const auto& refused = request.turned_down;
    if (std::count(refused.begin(), refused.end(), keeper.instance) > 0) {
      continue;
    }
    const auto state = others_.find(keeper.instance);
    uint32_t cost = 0;
    if (state != others_.end()) {
      if (KeptSilent(now, keeper.instance)) continue;
      if (IsStarting(now, keeper.instance)) continue;
      if (NoPrimaryThere(now, request, group, state->second)) continue;
      cost = state->second.under_way;
    }
    if (keeper.failure_domain != settings_.failure_domain) {
      cost += kOtherDomain;
    }
    if (!workspace.empty()) {
      const auto& neighbours =
          group.keepers_of_domain.at(keeper.failure_domain);
      cost += kNextInOrder * static_cast<uint32_t>(RendezvousRank(
                                 workspace, keeper.instance, neighbours));
    }
    if (best != nullptr && cost >= best_cost) continue;
    best = &keeper;
    best_cost = cost;
  }
  return best;
}

/// Whether the statement needs a primary that the keeper is known not to reach.
bool Proxy::Impl::NoPrimaryThere(TimePoint now, const Request& request,
                                 const Group& group,
                                 const InstanceState& keeper) const {
  if (request.need == Need::kCoveredRead) return false;
  const auto found = keeper.no_primary_until.find(group.name);
  return found != keeper.no_primary_until.end() && now < found->second;
}

/// A partition can leave this instance with the databases of a group and
/// without any of its keepers. It then opens a connection of its own: keepers
/// leave a part of those that a database takes, and it needs one for a moment.
/// Its callers would be refused for as long as the partition lasts.
bool Proxy::Impl::MayRunAlone(TimePoint now, const Request& request,
                              const Group& group) const {
  const bool none_in_reach =
      std::all_of(group.keepers.begin(), group.keepers.end(),
                  [this, now](const KeeperCandidate& each) {
                    return KeptSilent(now, each.instance);
                  });
  if (!none_in_reach || !have_instances_) return false;
  if (request.need != Need::kCoveredRead) {
    const auto primary = databases_.find(group.primary);
    return primary != databases_.end() && MayAnswer(now, primary->second);
  }
  return std::any_of(group.databases.begin(), group.databases.end(),
                     [this, now](const std::string& id) {
                       return MayAnswer(now, databases_.at(id));
                     });
}

}  // namespace ryefold::core::session
