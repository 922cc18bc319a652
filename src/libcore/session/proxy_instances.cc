// State of the other instances: keepers of each group, suspected instances, and
// isolation of this one. It affects only where statements are sent: a wrong
// assumption costs one attempt, or refuses a statement without running it.

#include <algorithm>
#include <cmath>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Time for which a suspected instance is not used. Trying it again delays one
/// statement by the keeper's alive timeout.
constexpr milliseconds kSuspicionPeriod{1000};
/// Timeout of a probe. Until the probes show which keepers are alive, a
/// statement may try two unreachable ones in succession.
constexpr milliseconds kProbeTimeout{100};
/// Cost of another failure domain in the choice of a keeper, in statements in
/// flight.
constexpr uint32_t kOtherDomainCost = 3;
/// Cost of a keeper per keeper of its failure domain that precedes it in the
/// workspace's order: statements of a workspace share the keeper that has its
/// connections, and move to the next one under load.
constexpr uint32_t kRankCost = 1;
/// Chance of a keeper of another failure domain, or of the next rank, to be
/// drawn. A workspace's statements then leave the keeper that has its
/// connections in 0.4% of all cases without need, and find the next one when it
/// is overloaded.
constexpr double kNextInOrderWeight = 1.0 / 8;
/// Minimum interval between log lines of one group about keepers passed over:
/// under load most statements pass one over.
constexpr milliseconds kPassOverLogInterval{1000};

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
  // Names sort by failure domain, and a failure domain can fail as a whole.
  std::shuffle(others.begin(), others.end(), std::mt19937_64(settings_.seed));
  isolation_.SetPeers(std::move(others));
  for (const std::string& name : keeper_assignment_.SetCandidates(instances_)) {
    Group* group = FindGroup(name);
    if (group != nullptr) UpdateKeepers(now, group);
  }
  AssignKeepers(now);
  ServeActiveQueues(now);
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
  const TimePoint before = isolation_.last_contact();
  if (!isolation_.RecordResponse(now)) return;
  Event(events_, EventPriority::kState, "peers_regained")
      .Add("after", now - before);
}

void Proxy::Impl::SuspectInstance(TimePoint now, const std::string& instance,
                                  TimePoint requested_at) {
  peers_[instance].suspected_until = now + kSuspicionPeriod;
  settings_.keeper_choice->Forget(instance);
  if (!isolation_.RecordTimeout(instance, requested_at)) return;
  Event(events_, EventPriority::kState, "cut_off")
      .Add("silent", isolation_.timed_out_count())
      .Add("instances", instances_.size())
      .Add("last_heard", now - isolation_.last_contact());
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

/// Probes the group's other keepers after one became unreachable: they may have
/// failed together, and each would otherwise delay a statement.
void Proxy::Impl::ProbeKeepers(TimePoint now, const Group& group) {
  for (const KeeperCandidate& keeper : group.keepers) {
    if (keeper.instance == self_) continue;
    if (IsInstanceSuspected(now, keeper.instance)) continue;
    ProbeInstance(now, keeper.instance);
  }
}

void Proxy::Impl::ProbeInstance(TimePoint now, const std::string& instance) {
  const auto found = pending_probes_.find(instance);
  // A probe without a result after twice its timeout was lost with its stream.
  const bool pending =
      found != pending_probes_.end() && now - found->second < 2 * kProbeTimeout;
  if (pending) return;
  pending_probes_[instance] = now;
  forwarder_->Probe(instance, now + kProbeTimeout);
}

void Proxy::Impl::ProbePeers(TimePoint now) {
  if (forwarder_ == nullptr) return;
  for (const std::string& instance : isolation_.TakeDueProbes(now)) {
    ProbeInstance(now, instance);
  }
}

/// Until the instances are known, this instance acts as keeper of no group.
/// Otherwise a fleet that starts all at once after a power loss would connect
/// every instance to every database: each connection takes a slot for a while,
/// databases reset connections beyond their limit, and callers wait.
void Proxy::Impl::AssignKeepers(TimePoint now) {
  if (!have_instances_) return;
  for (const auto& [name, group] : groups_) {
    const size_t count =
        KeeperCount(group->limits.connection_limit, instances_.size(),
                    workspaces_.keys_required());
    const bool changed = keeper_assignment_.SetCount(name, count);
    if (changed || !group->keepers_assigned) UpdateKeepers(now, group.get());
  }
}

/// Takes over the group's keepers from the assignment.
void Proxy::Impl::UpdateKeepers(TimePoint now, Group* group) {
  group->keepers_assigned = true;
  group->keepers = keeper_assignment_.keepers(group->name);
  const bool selected = std::any_of(
      group->keepers.begin(), group->keepers.end(),
      [this](const KeeperCandidate& each) { return each.instance == self_; });
  const bool is_keeper = selected || keeper_assignment_.count(group->name) == 0;
  if (is_keeper != group->is_keeper) {
    Event(events_, EventPriority::kState,
          is_keeper ? "group_kept" : "group_left")
        .Add("group", group->name)
        .Add("keepers", group->keepers.size())
        .Add("instances", instances_.size());
  }
  group->is_keeper = is_keeper;
  group->keepers_by_domain.clear();
  for (const KeeperCandidate& each : group->keepers) {
    group->keepers_by_domain[each.failure_domain].push_back(each);
  }
  if (!is_keeper) return;
  Activate(now, group);
  OpenStandbyConnections(now, *group);
}

/// Returns the usable keepers. The caller's id spreads callers over keepers of
/// equal cost.
std::vector<KeeperOption> Proxy::Impl::KeeperOptions(TimePoint now,
                                                     const Request& request,
                                                     const Group& group) const {
  std::vector<KeeperOption> options;
  const size_t count = group.keepers.size();
  const std::string& workspace = callers_.at(request.caller).workspace;
  for (size_t i = 0; i < count; ++i) {
    const KeeperCandidate& keeper = group.keepers[(i + request.caller) % count];
    const auto& rejected = request.rejected_by;
    if (std::count(rejected.begin(), rejected.end(), keeper.instance) > 0) {
      continue;
    }
    KeeperOption option;
    const auto state = peers_.find(keeper.instance);
    if (state != peers_.end()) {
      if (IsInstanceSuspected(now, keeper.instance)) continue;
      if (IsStarting(now, keeper.instance)) continue;
      if (LacksPrimary(now, request, group, state->second)) continue;
      option.in_flight = state->second.forwards_in_flight;
    }
    if (keeper.failure_domain != settings_.failure_domain) {
      option.order_cost += kOtherDomainCost;
      option.weight *= kNextInOrderWeight;
    }
    if (!workspace.empty()) {
      const auto& domain_keepers =
          group.keepers_by_domain.at(keeper.failure_domain);
      const size_t rank =
          RendezvousRank(workspace, keeper.instance, domain_keepers);
      option.order_cost += kRankCost * static_cast<uint32_t>(rank);
      option.weight *= std::pow(kNextInOrderWeight, rank);
    }
    option.instance = keeper.instance;
    options.push_back(std::move(option));
  }
  return options;
}

KeeperQueueRef Proxy::Impl::KeeperQueueOf(const Request& request) {
  const bool replica_read = request.requirement == Requirement::kReadAtPosition;
  return {request.route->group,
          replica_read ? KeeperQueue::kReads : KeeperQueue::kPrimary,
          request.route->priority};
}

/// Returns nullopt if no keeper is usable.
std::optional<std::string> Proxy::Impl::ChooseKeeper(TimePoint now,
                                                     const Request& request,
                                                     Group* group) {
  const std::vector<KeeperOption> options = KeeperOptions(now, request, *group);
  if (options.empty()) return std::nullopt;
  const KeeperDecision decision =
      settings_.keeper_choice->Choose(now, KeeperQueueOf(request), options);
  const KeeperOption& chosen = options[decision.chosen];
  if (!decision.passed_over.has_value()) return chosen.instance;
  ++counters_.keepers_passed_over;
  if (now >= group->pass_over_log_not_before) {
    group->pass_over_log_not_before = now + kPassOverLogInterval;
    const KeeperOption& preferred = options[*decision.passed_over];
    Event(events_, EventPriority::kRequest, "keeper_passed_over")
        .Add("group", group->name)
        .Add("request", request.statement_id)
        .Add("keeper", preferred.instance)
        .Add("expected_wait", decision.passed_over_wait)
        .Add("in_flight", preferred.in_flight)
        .Add("instead", chosen.instance)
        .Add("instead_wait", decision.expected_wait)
        .Add("instead_in_flight", chosen.in_flight);
  }
  return chosen.instance;
}

/// Whether the statement needs a primary that the keeper recently failed to
/// reach.
bool Proxy::Impl::LacksPrimary(TimePoint now, const Request& request,
                               const Group& group,
                               const InstanceState& keeper) const {
  if (request.requirement == Requirement::kReadAtPosition) return false;
  const auto found = keeper.no_primary_until.find(group.name);
  return found != keeper.no_primary_until.end() && now < found->second;
}

/// Whether the statement may run here although this instance is no keeper: a
/// partition can leave it with the group's databases but no keeper, and its
/// callers would be refused for that time. Keepers leave some connections
/// unused, and a connection is needed only briefly.
bool Proxy::Impl::MayRunLocally(TimePoint now, const Request& request,
                                const Group& group) const {
  const bool none_reachable =
      std::all_of(group.keepers.begin(), group.keepers.end(),
                  [this, now](const KeeperCandidate& each) {
                    return IsInstanceSuspected(now, each.instance);
                  });
  if (!none_reachable || !have_instances_) return false;
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
