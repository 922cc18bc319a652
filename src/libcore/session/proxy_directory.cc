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
constexpr milliseconds kUnlistedGracePeriod{2500};
/// Pace of working out shares anew while statements wait.
constexpr milliseconds kWeightUpdateInterval{1000};

}  // namespace

Group* Proxy::Impl::EnsureGroup(const std::string& name) {
  std::unique_ptr<Group>& group = groups_[name];
  if (group == nullptr) {
    group = std::make_unique<Group>(name, settings_.seed + groups_.size());
    group->is_keeper = forwarder_ == nullptr;
  }
  return group.get();
}

/// Shares of the group's lines, by what each asks for as a rule.
void Proxy::Impl::UpdateQueueShares(TimePoint now, Group* group) {
  std::vector<WorkspacePolicy> policies;
  for (const auto& [queue_key, priority] : group->queue_priorities) {
    WorkspacePolicy policy;
    policy.workspace = queue_key;
    policy.priority = priority;
    policy.weight = group->demand.weight(now, queue_key);
    policies.push_back(std::move(policy));
  }
  group->primary_queue.SetPolicies(policies, kQueueLimit);
  group->read_queue.SetPolicies(policies, kQueueLimit);
  group->next_weight_update = now + kWeightUpdateInterval;
}

void Proxy::Impl::OnRoutes(TimePoint now, const RouteTable& routes) {
  if (have_routes_ && routes.version <= route_table_.version) return;
  Event(events_, EventWeight::kState, "config_in_force")
      .Add("version", routes.version)
      .Add("previous", route_table_.version)
      .Add("routes", routes.routes.size());
  route_table_ = routes;
  const bool keys_dropped = workspaces_.Replace(routes.workspaces);
  have_routes_ = true;
  routes_.clear();
  for (const auto& [name, limits] : route_table_.groups) {
    EnsureGroup(name)->limits = limits;
  }
  // Databases of a group that is configured only now have been passed over.
  if (have_roster_) OnRoster(now, Roster(roster_));
  for (auto& [name, group] : groups_) {
    group->routes.clear();
    group->queue_priorities.clear();
  }
  for (const auto& [name, route] : route_table_.routes) {
    routes_[name] = std::make_shared<const Route>(route);
    EnsureGroup(route.group)->routes.push_back(routes_[name]);
  }
  for (auto& [name, group] : groups_) UpdateQueueShares(now, group.get());
  AssignKeepers(now);
  if (keys_dropped) RevokeSessions(now);
  ServeAllQueues(now);
}

void Proxy::Impl::OnRoster(TimePoint now, const Roster& roster) {
  have_roster_ = true;
  roster_ = roster;
  for (const auto& [id, info] : roster) {
    // One of a group that nobody has configured is of no use, and its address
    // may be anybody's.
    const bool unconfigured =
        databases_.count(id) == 0 && route_table_.groups.count(info.group) == 0;
    if (have_routes_ && unconfigured) continue;
    DatabaseState& database = databases_[id];
    const bool known = !database.info.id.empty();
    if (known && database.info == info && !database.unlisted) continue;
    Event(events_, EventWeight::kState,
          known ? "database_changed" : "database_added")
        .Add("database", id)
        .Add("group", info.group)
        .Add("address", info.address)
        .Add("draining", info.draining ? "yes" : "no")
        .Add("claims_primary", info.claims_primary ? "yes" : "no")
        .Add("was_unlisted", database.unlisted ? "yes" : "no");
    if (known && info.born != database.info.born)
      ResetRestartedDatabase(now, &database);
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
    if (!known && group->is_keeper) OpenDatabaseConnection(now, &database, "");
  }
  for (auto& [id, database] : databases_) {
    if (roster.count(id) > 0 || database.unlisted) continue;
    Event(events_, EventWeight::kState, "database_unlisted")
        .Add("database", id)
        .Add("group", database.info.group);
    database.unlisted = true;
    database.removal_at = now + kUnlistedGracePeriod;
  }
  for (auto& [name, group] : groups_) {
    AdoptNewestClaim(now, group.get());
    ServeQueues(now, group.get());
  }
}

/// The database has started again under its id and holds nothing of before.
/// What it was known to have received must confirm no commit any more, nor name
/// it the most advanced: callers would lose what they were told is saved. Nor
/// may its former lead or what it said of terms prove anything.
void Proxy::Impl::ResetRestartedDatabase(TimePoint now,
                                         DatabaseState* database) {
  Event(events_, EventWeight::kState, "database_started_anew")
      .Add("database", database->info.id)
      .Add("group", database->info.group)
      .Add("had_received", database->status.received.index)
      .Add("had_applied", database->applied_position.index);
  database->applied_position = LogPosition();
  database->status = StatusReport();
  // Not known, rather than known to be nothing: a choice of successor waits for
  // the status of a database that has not told it.
  database->status_as_of = TimePoint();
  database->status_valid_after = now;
  database->lag = LagEstimate();
  Group* group = EnsureGroup(database->info.group);
  group->proof.Forget(database->info.id);
  if (group->primary == database->info.id) {
    MarkDeposed(now, group, database->info.id, "started anew");
  }
}

}  // namespace ryefold::core::session
