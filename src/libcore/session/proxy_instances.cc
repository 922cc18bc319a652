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
constexpr milliseconds kSuspicionPeriod{1000};
/// Time for the answer to a probe: two silent keepers may be tried one after
/// the other until the probes have told which of the rest live.
constexpr milliseconds kProbeTimeout{100};
/// Cost of another failure domain in the choice of a keeper, in statements
/// under way there.
constexpr uint32_t kOtherDomainCost = 3;
/// The same for each keeper of the same failure domain that comes before it in
/// the order for the workspace: statements of one workspace meet where its
/// connections are, and go on to the next keeper when that one has much to do.
constexpr uint32_t kRankCost = 1;

}  // namespace

void Proxy::Impl::SetInstances(TimePoint now, const std::string& self,
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
  isolation_.SetOthers(std::move(others));
  AssignKeepers(now);
  ServeAllQueues(now);
}

void Proxy::Impl::InstanceProbed(TimePoint now, const std::string& instance,
                                 bool alive) {
  const auto probe = pending_probes_.extract(instance);
  if (alive) {
    RecordPeerContact(now);
    return;
  }
  SuspectInstance(now, instance, probe.empty() ? TimePoint() : probe.mapped());
}

void Proxy::Impl::RecordPeerContact(TimePoint now) {
  const TimePoint before = isolation_.heard_at();
  if (!isolation_.Heard(now)) return;
  Event(events_, EventWeight::kState, "in_touch").Add("after", now - before);
}

void Proxy::Impl::SuspectInstance(TimePoint now, const std::string& instance,
                                  TimePoint requested_at) {
  peers_[instance].suspected_until = now + kSuspicionPeriod;
  if (!isolation_.Silent(instance, requested_at)) return;
  Event(events_, EventWeight::kState, "cut_off")
      .Add("silent", isolation_.silent())
      .Add("instances", instances_.size())
      .Add("last_heard", now - isolation_.heard_at());
}

bool Proxy::Impl::IsInstanceSuspected(TimePoint now,
                                      const std::string& instance) const {
  const auto state = peers_.find(instance);
  return state != peers_.end() && now < state->second.suspected_until;
}

bool Proxy::Impl::IsStarting(TimePoint now, const std::string& instance) const {
  const auto state = peers_.find(instance);
  return state != peers_.end() && now < state->second.starting_until;
}

/// One keeper of the group keeps silent. Whatever took it may have taken others
/// too; they are asked at once, or the next statements would find out one by
/// one.
void Proxy::Impl::ProbeKeepers(TimePoint now, const Group& group) {
  for (const KeeperCandidate& keeper : group.keepers) {
    if (keeper.instance == self_) continue;
    if (IsInstanceSuspected(now, keeper.instance)) continue;
    ProbeInstance(now, keeper.instance);
  }
}

void Proxy::Impl::ProbeInstance(TimePoint now, const std::string& instance) {
  const auto found = pending_probes_.find(instance);
  // One whose answer is long overdue went with its stream.
  const bool pending =
      found != pending_probes_.end() && now - found->second < 2 * kProbeTimeout;
  if (pending) return;
  pending_probes_[instance] = now;
  forwarder_->Probe(instance, now + kProbeTimeout);
}

void Proxy::Impl::ProbePeers(TimePoint now) {
  if (forwarder_ == nullptr) return;
  for (const std::string& instance : isolation_.ProbesDue(now)) {
    ProbeInstance(now, instance);
  }
}

/// Until the instances are known nobody can tell who keeps a group, and this
/// instance takes itself for none of its keepers. Otherwise a fleet that starts
/// at one moment, after a loss of power, opens a connection from every instance
/// to every database; each takes a slot for a while, beyond the limit the
/// database resets them, and callers wait for all of it.
void Proxy::Impl::AssignKeepers(TimePoint now) {
  if (!have_instances_) return;
  for (auto& [name, group] : groups_) {
    const size_t count =
        KeeperCount(group->limits.connection_limit, instances_.size(),
                    workspaces_.keys_required());
    std::vector<KeeperCandidate> keepers;
    if (count > 0) keepers = ChooseKeepers(name, instances_, count);
    const bool selected = std::any_of(
        keepers.begin(), keepers.end(),
        [this](const KeeperCandidate& each) { return each.instance == self_; });
    const bool is_keeper = count == 0 || selected;
    if (is_keeper != group->is_keeper) {
      Event(events_, EventWeight::kState,
            is_keeper ? "group_kept" : "group_left")
          .Add("group", name)
          .Add("keepers", keepers.size())
          .Add("instances", instances_.size());
    }
    group->is_keeper = is_keeper;
    group->keepers = std::move(keepers);
    group->keepers_by_domain.clear();
    for (const KeeperCandidate& each : group->keepers) {
      group->keepers_by_domain[each.failure_domain].push_back(each);
    }
    if (is_keeper) OpenStandbyConnections(now, *group);
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
    const auto& refused = request.rejected_by;
    if (std::count(refused.begin(), refused.end(), keeper.instance) > 0) {
      continue;
    }
    const auto state = peers_.find(keeper.instance);
    uint32_t cost = 0;
    if (state != peers_.end()) {
      if (IsInstanceSuspected(now, keeper.instance)) continue;
      if (IsStarting(now, keeper.instance)) continue;
      if (LacksPrimary(now, request, group, state->second)) continue;
      cost = state->second.forwards_in_flight;
    }
    if (keeper.failure_domain != settings_.failure_domain) {
      cost += kOtherDomainCost;
    }
    if (!workspace.empty()) {
      const auto& domain_keepers =
          group.keepers_by_domain.at(keeper.failure_domain);
      cost += kRankCost * static_cast<uint32_t>(RankAmong(
                              workspace, keeper.instance, domain_keepers));
    }
    if (best != nullptr && cost >= best_cost) continue;
    best = &keeper;
    best_cost = cost;
  }
  return best;
}

/// Whether the statement needs a primary that the keeper is known not to reach.
bool Proxy::Impl::LacksPrimary(TimePoint now, const Request& request,
                               const Group& group,
                               const InstanceState& keeper) const {
  if (request.requirement == Requirement::kReadAtPosition) return false;
  const auto found = keeper.no_primary_until.find(group.name);
  return found != keeper.no_primary_until.end() && now < found->second;
}

/// A partition can leave this instance with the databases of a group and
/// without any of its keepers. It then opens a connection of its own: keepers
/// leave a part of those that a database takes, and it needs one for a moment.
/// Its callers would be refused for as long as the partition lasts.
bool Proxy::Impl::MayRunLocally(TimePoint now, const Request& request,
                                const Group& group) const {
  const bool none_in_reach =
      std::all_of(group.keepers.begin(), group.keepers.end(),
                  [this, now](const KeeperCandidate& each) {
                    return IsInstanceSuspected(now, each.instance);
                  });
  if (!none_in_reach || !have_instances_) return false;
  if (request.requirement != Requirement::kReadAtPosition) {
    const auto primary = databases_.find(group.primary);
    return primary != databases_.end() &&
           MayAcceptConnection(now, primary->second);
  }
  return std::any_of(group.databases.begin(), group.databases.end(),
                     [this, now](const std::string& id) {
                       return MayAcceptConnection(now, databases_.at(id));
                     });
}

}  // namespace ryefold::core::session
