// Updates of the configuration and of the list of databases.

#include <algorithm>
#include <utility>
#include <vector>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Time for which a database missing from the list is kept: entries expire
/// while the store is unavailable and return within two seconds after it
/// recovers.
constexpr milliseconds kUnlistedGracePeriod{2500};
/// Databases in one change up to which each addition and each presumed primary
/// is logged. Those of a larger change, as the first list of a fleet, are
/// counted in one line.
constexpr size_t kMaxLoggedAdditions = 20;
/// Interval between updates of queue weights while statements wait.
constexpr milliseconds kWeightUpdateInterval{1000};

}  // namespace

Group* Proxy::Impl::EnsureGroup(const std::string& name) {
  std::unique_ptr<Group>& group = groups_[name];
  if (group == nullptr) {
    group = std::make_unique<Group>(name, settings_.seed + groups_.size(),
                                    settings_.queue_shares);
    group->is_keeper = forwarder_ == nullptr;
    if (group->is_keeper) active_groups_[name] = group.get();
  }
  return group.get();
}

/// Sets the shares of the group's queue keys by their usual demand.
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
  Event(events_, EventPriority::kState, "config_in_force")
      .Add("version", routes.version)
      .Add("previous", route_table_.version)
      .Add("routes", routes.routes.size());
  // Databases of groups that were not configured are not in use yet.
  const bool groups_added = std::any_of(
      routes.groups.begin(), routes.groups.end(), [this](const auto& each) {
        return route_table_.groups.count(each.first) == 0;
      });
  route_table_ = routes;
  const bool keys_revoked = workspaces_.Replace(routes.workspaces);
  have_routes_ = true;
  routes_.clear();
  for (const auto& [name, limits] : route_table_.groups) {
    EnsureGroup(name)->limits = limits;
  }
  if (have_roster_ && groups_added) OnRoster(now, Roster(roster_));
  for (auto& [name, group] : groups_) {
    group->routes.clear();
    group->queue_priorities.clear();
  }
  for (const auto& [name, route] : route_table_.routes) {
    routes_[name] = std::make_shared<const Route>(route);
    EnsureGroup(route.group)->routes.push_back(routes_[name]);
  }
  // Shares are worked out for the next statement that is queued.
  for (auto& [name, group] : groups_) group->next_weight_update = now;
  AssignKeepers(now);
  if (keys_revoked) RevokeSessions(now);
  ServeActiveQueues(now);
}

void Proxy::Impl::OnRoster(TimePoint now, const Roster& roster) {
  RosterChange change;
  change.listed = roster;
  for (const auto& [id, info] : roster_) {
    if (roster.count(id) == 0) change.unlisted.push_back(id);
  }
  OnRosterChange(now, change);
}

void Proxy::Impl::OnRosterChange(TimePoint now, const RosterChange& change) {
  have_roster_ = true;
  const size_t known_before = databases_.size();
  const bool summarize = change.listed.size() > kMaxLoggedAdditions;
  std::map<std::string, Group*> affected;
  const auto add_affected = [&affected](Group* group) {
    if (group != nullptr) affected[group->name] = group;
  };
  for (const auto& [id, info] : change.listed) {
    roster_[id] = info;
    add_affected(UpdateDatabase(now, info, /*log_addition=*/!summarize));
  }
  for (const std::string& id : change.unlisted) {
    roster_.erase(id);
    add_affected(MarkUnlisted(now, id));
  }
  size_t primaries = 0;
  for (const auto& [name, group] : affected) {
    if (AdoptNewestClaim(now, group, /*log=*/!summarize)) ++primaries;
    ServeQueues(now, group);
  }
  if (!summarize) return;
  Event(events_, EventPriority::kState, "databases_listed")
      .Add("listed", change.listed.size())
      .Add("count", databases_.size())
      .Add("before", known_before)
      .Add("groups", affected.size())
      .Add("primaries", primaries);
}

/// Returns the database's group; null if nothing changed or the group is not
/// configured.
Group* Proxy::Impl::UpdateDatabase(TimePoint now, const Database& info,
                                   bool log_addition) {
  // Databases of unconfigured groups are not used, and their addresses are not
  // trusted.
  const bool unconfigured = databases_.count(info.id) == 0 &&
                            route_table_.groups.count(info.group) == 0;
  if (have_routes_ && unconfigured) return nullptr;
  DatabaseState& database = databases_[info.id];
  const bool known = !database.info.id.empty();
  if (known && database.info == info && !database.unlisted) return nullptr;
  if (known || log_addition) {
    Event(events_, EventPriority::kState,
          known ? "database_changed" : "database_added")
        .Add("database", info.id)
        .Add("group", info.group)
        .Add("address", info.address)
        .Add("draining", info.draining ? "yes" : "no")
        .Add("claims_primary", info.claims_primary ? "yes" : "no")
        .Add("was_unlisted", database.unlisted ? "yes" : "no");
  }
  if (known && info.started_at != database.info.started_at) {
    ResetRestartedDatabase(now, &database);
  }
  if (info.draining && !database.info.draining) database.draining_since = now;
  if (!info.claims_primary) database.claims_since = TimePoint();
  Group* group = EnsureGroup(info.group);
  if (info.claims_primary && database.claims_since == TimePoint()) {
    database.claims_since = now;
    group->listed_primary = info.id;
    group->listed_primary_since = now;
    if (known) group->deposed.erase(info.id);
  }
  database.info = info;
  if (database.concurrency == nullptr &&
      settings_.database_concurrency == DatabaseConcurrency::kAdaptive) {
    database.concurrency = admission::MakeGradientLimit();
  }
  if (database.concurrency != nullptr) {
    database.concurrency->SetCapacity(info.slots, HoldersOf(database));
  }
  database.unlisted = false;
  unlisted_databases_.erase(info.id);
  if (!known) {
    group->databases.push_back(info.id);
    group->departed.erase(info.id);
  }
  if (!known && group->is_keeper) OpenDatabaseConnection(now, &database, "");
  return group;
}

/// Returns the database's group; null if the database is not known.
Group* Proxy::Impl::MarkUnlisted(TimePoint now, const std::string& id) {
  DatabaseState* database = FindDatabase(id);
  if (database == nullptr || database->unlisted) return nullptr;
  Event(events_, EventPriority::kState, "database_unlisted")
      .Add("database", id)
      .Add("group", database->info.group);
  database->unlisted = true;
  database->unlisted_at = now;
  unlisted_databases_.insert(id);
  database->removal_at = now + kUnlistedGracePeriod;
  return EnsureGroup(database->info.group);
}

/// Discards everything observed of a database that restarted with empty state
/// under the same id. Its earlier positions must neither confirm commits nor
/// make it the most advanced replica, or acknowledged commits would be lost.
/// Its earlier leadership and terms must not count as proof.
void Proxy::Impl::ResetRestartedDatabase(TimePoint now,
                                         DatabaseState* database) {
  Event(events_, EventPriority::kState, "database_restarted")
      .Add("database", database->info.id)
      .Add("group", database->info.group)
      .Add("had_received", database->status.received.index)
      .Add("had_applied", database->applied_position.index);
  database->applied_position = LogPosition();
  database->status = StatusReport();
  // Unknown rather than empty: the choice of a successor waits for the status
  // of databases that have not reported it.
  database->status_as_of = TimePoint();
  database->status_valid_after = now;
  database->lag = LagEstimate();
  Group* group = EnsureGroup(database->info.group);
  group->proof.DiscardEvidence(database->info.id);
  if (group->primary == database->info.id) {
    MarkDeposed(now, group, database->info.id, "restarted with empty state");
  }
}

}  // namespace ryefold::core::session
