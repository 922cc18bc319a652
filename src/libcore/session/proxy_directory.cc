// What is configured and which databases there are, as it changes.

#include <algorithm>
#include <utility>
#include <vector>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// A database missing from the list is kept for this long: entries lapse while
/// the store is away, and are back within two seconds of its return.
constexpr milliseconds kUnlistedGrace{2500};
/// Pace of working out shares anew while statements wait.
constexpr milliseconds kWeighPace{1000};

}  // namespace

Group* Proxy::Impl::EnsureGroup(const std::string& name) {
  std::unique_ptr<Group>& group = groups_[name];
  if (group == nullptr) {
    group = std::make_unique<Group>(name, settings_.seed + groups_.size());
    group->kept = forwarder_ == nullptr;
  }
  return group.get();
}

/// Shares of the group's lines, by what each asks for as a rule.
void Proxy::Impl::SetPolicies(TimePoint now, Group* group) {
  std::vector<WorkspacePolicy> policies;
  for (const auto& [line, priority] : group->lines) {
    WorkspacePolicy policy;
    policy.workspace = line;
    policy.priority = priority;
    policy.weight = group->demand.weight(now, line);
    policies.push_back(std::move(policy));
  }
  group->primary_queue.SetPolicies(policies, kQueueLimit);
  group->read_queue.SetPolicies(policies, kQueueLimit);
  group->weigh_at = now + kWeighPace;
}

void Proxy::Impl::OnRoutes(TimePoint now, const RouteTable& routes) {
  if (have_routes_ && routes.version <= table_.version) return;
  Event(events_, EventPriority::kState, "config_in_force")
      .Add("version", routes.version)
      .Add("previous", table_.version)
      .Add("routes", routes.routes.size());
  table_ = routes;
  const bool keys_dropped = workspaces_.Replace(routes.workspaces);
  have_routes_ = true;
  routes_.clear();
  for (const auto& [name, limits] : table_.groups) {
    EnsureGroup(name)->limits = limits;
  }
  // Databases of a group that is configured only now have been passed over.
  if (have_roster_) OnRoster(now, Roster(roster_));
  for (auto& [name, group] : groups_) {
    group->routes.clear();
    group->lines.clear();
  }
  for (const auto& [name, route] : table_.routes) {
    routes_[name] = std::make_shared<const Route>(route);
    EnsureGroup(route.group)->routes.push_back(routes_[name]);
  }
  for (auto& [name, group] : groups_) SetPolicies(now, group.get());
  ChooseAllKeepers(now);
  if (keys_dropped) RevokeSessions(now);
  PumpAll(now);
}

void Proxy::Impl::OnRoster(TimePoint now, const Roster& roster) {
  have_roster_ = true;
  roster_ = roster;
  for (const auto& [id, info] : roster) {
    // One of a group that nobody has configured is of no use, and its address
    // may be anybody's.
    const bool unconfigured =
        databases_.count(id) == 0 && table_.groups.count(info.group) == 0;
    if (have_routes_ && unconfigured) continue;
    DatabaseState& database = databases_[id];
    const bool known = !database.info.id.empty();
    if (known && database.info == info && !database.unlisted) continue;
    Event(events_, EventPriority::kState,
          known ? "database_changed" : "database_added")
        .Add("database", id)
        .Add("group", info.group)
        .Add("address", info.address)
        .Add("draining", info.draining ? "yes" : "no")
        .Add("claims_primary", info.claims_primary ? "yes" : "no")
        .Add("was_unlisted", database.unlisted ? "yes" : "no");
    if (known && info.started_at != database.info.started_at) {
      StartedAnew(now, &database);
    }
    if (info.draining && !database.info.draining) database.draining_since = now;
    if (!info.claims_primary) database.claims_since = TimePoint();
    if (info.claims_primary && database.claims_since == TimePoint()) {
      database.claims_since = now;
      if (known) EnsureGroup(info.group)->deposed.erase(id);
    }
    database.info = info;
    database.unlisted = false;
    Group* group = EnsureGroup(info.group);
    if (!known) group->databases.push_back(id);
    if (!known && group->kept) Open(now, &database, "");
  }
  for (auto& [id, database] : databases_) {
    if (roster.count(id) > 0 || database.unlisted) continue;
    Event(events_, EventPriority::kState, "database_unlisted")
        .Add("database", id)
        .Add("group", database.info.group);
    database.unlisted = true;
    database.gone_at = now + kUnlistedGrace;
  }
  for (auto& [name, group] : groups_) {
    AdoptClaims(now, group.get());
    Pump(now, group.get());
  }
}

/// The database has started again under its id and holds nothing of before.
/// What it was known to have received must confirm no commit any more, nor name
/// it the most advanced: callers would lose what they were told is saved. Nor
/// may its former lead or what it said of terms prove anything.
void Proxy::Impl::StartedAnew(TimePoint now, DatabaseState* database) {
  Event(events_, EventPriority::kState, "database_started_anew")
      .Add("database", database->info.id)
      .Add("group", database->info.group)
      .Add("had_received", database->status.received.index)
      .Add("had_applied", database->known.index);
  database->known = LogPosition();
  database->status = StatusReport();
  // Not known, rather than known to be nothing: a choice of successor waits for
  // the status of a database that has not told it.
  database->status_from = TimePoint();
  database->status_not_before = now;
  database->lag = LagEstimate();
  Group* group = EnsureGroup(database->info.group);
  group->proof.DiscardEvidence(database->info.id);
  if (group->primary == database->info.id) {
    Deposed(now, group, database->info.id, "started anew");
  }
}

}  // namespace ryefold::core::session
