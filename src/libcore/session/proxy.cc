#include "ryefold/core/session/proxy.h"

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Interval of periodic work: idle transactions, pools, probes. Well below the
/// shortest timeout that this work enforces.
constexpr milliseconds kMaintenanceInterval{50};
}  // namespace

Group::Group(const std::string& group_name, uint64_t seed,
             admission::QueueShares shares)
    : name(group_name),
      primary_queue({}, kQueueLimit, seed,
                    shares == admission::QueueShares::kWork ? &work : nullptr),
      read_queue({}, kQueueLimit, seed + 1,
                 shares == admission::QueueShares::kWork ? &work : nullptr) {}

Proxy::Impl::Impl(ProxySettings settings, SessionPort* port, EventSink* events,
                  AnswerObserver* observer)
    : settings_(std::move(settings)),
      port_(port),
      events_(events),
      observer_(observer),
      retry_after_(settings_.seed) {}

void Proxy::Impl::Tick(TimePoint now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const RequestId id = timers_.begin()->second;
    Request* request = FindRequest(id);
    timers_.erase(timers_.begin());
    if (request == nullptr) continue;
    request->timer = TimePoint();
    if (now >= request->timeout_at) {
      TimeOut(now, request);
    } else {
      OnRequestTimer(now, request);
    }
  }
  if (now < next_maintenance_) return;
  next_maintenance_ = now + kMaintenanceInterval;
  EndIdleTransactions(now);
  CloseRevokedSessions(now);
  ProbePeers(now);
  MaintainPools(now);
  LogUsage(now);
  for (const auto& [name, group] : active_groups_) {
    MaintainLeadership(now, group);
    MaintainCommits(now, group);
  }
  counters_.group_visits += active_groups_.size();
  ServeActiveQueues(now);
  DeactivateGroups(now);
  if (draining_) DrainCallers(now);
}

/// Includes the group in the periodic work. A primary that the list has named
/// meanwhile is taken over, since nothing did while the group was idle.
void Proxy::Impl::Activate(TimePoint now, Group* group) {
  const bool added = active_groups_.emplace(group->name, group).second;
  if (added) AdoptNewestClaim(now, group);
}

/// Returns whether nothing is left to do for the group: this instance does not
/// keep it, has no connection to its databases, and waits for nothing.
bool Proxy::Impl::IsQuiescent(TimePoint now, const Group& group) const {
  const bool waits = group.primary_queue.size() + group.read_queue.size() > 0 ||
                     !group.unconfirmed_commits.empty() ||
                     !group.unproved_reads.empty() ||
                     group.writes_held_position != LogPosition() ||
                     AwaitsPromotion(now, group);
  if (group.is_keeper || waits) return false;
  if (now - group.last_used_at < kGroupIdleTimeout) return false;
  return std::all_of(group.databases.begin(), group.databases.end(),
                     [this](const std::string& id) {
                       return databases_.at(id).pool.size() == 0;
                     });
}

void Proxy::Impl::DeactivateGroups(TimePoint now) {
  std::erase_if(active_groups_, [this, now](const auto& each) {
    return IsQuiescent(now, *each.second);
  });
}

TimePoint Proxy::Impl::next_deadline() const {
  if (timers_.empty()) return next_maintenance_;
  return std::min(next_maintenance_, timers_.begin()->first);
}

bool Proxy::Impl::IsInitialized() const {
  const bool keepers_known = forwarder_ == nullptr || have_instances_;
  return have_routes_ && have_roster_ && keepers_known;
}

bool Proxy::Impl::ready() const {
  return IsInitialized() && !isolation_.cut_off();
}

bool Proxy::Impl::LacksDatabases() const {
  return std::any_of(groups_.begin(), groups_.end(), [](const auto& entry) {
    return entry.second->databases.empty();
  });
}

Group* Proxy::Impl::FindGroup(const std::string& name) {
  const auto found = groups_.find(name);
  return found == groups_.end() ? nullptr : found->second.get();
}

Request* Proxy::Impl::FindRequest(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Caller* Proxy::Impl::FindCaller(CallerId id) {
  const auto found = callers_.find(id);
  return found == callers_.end() ? nullptr : &found->second;
}

Connection* Proxy::Impl::FindConnection(ConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

DatabaseState* Proxy::Impl::FindDatabase(const std::string& id) {
  const auto found = databases_.find(id);
  return found == databases_.end() ? nullptr : &found->second;
}

DatabaseView Proxy::Impl::MakeDatabaseView(
    TimePoint now, const Group& group, const DatabaseState& database) const {
  DatabaseView view;
  view.id = database.info.id;
  view.failure_domain = database.info.failure_domain;
  view.draining = database.info.draining;
  view.primary = group.primary == database.info.id;
  view.responsive = !IsDatabaseSuspected(now, database);
  view.last_contact = database.last_contact;
  view.unanswered_since = database.unanswered_since;
  view.refusals = database.refusals;
  view.status = database.status;
  view.applied = database.applied_position;
  view.status_requested_at = database.status_as_of;
  view.connections = database.pool.size();
  view.in_flight = database.in_flight;
  view.in_flight_limit = InFlightLimitOf(now, database);
  view.usage = database.usage;
  return view;
}

GroupView Proxy::Impl::MakeGroupView(TimePoint now, const Group& group) const {
  GroupView view;
  view.group = group.name;
  view.primary = group.primary;
  view.term = group.term;
  view.waiting = group.primary_queue.size() + group.read_queue.size();
  view.is_keeper = group.is_keeper;
  view.keepers = group.keepers.size();
  view.writes_held = group.writes_held_position != LogPosition();
  for (const std::string& id : group.databases) {
    view.databases.push_back(MakeDatabaseView(now, group, databases_.at(id)));
  }
  return view;
}

std::vector<GroupView> Proxy::Impl::GroupViews(TimePoint now) const {
  std::vector<GroupView> views;
  for (const auto& [name, group] : groups_) {
    views.push_back(MakeGroupView(now, *group));
  }
  return views;
}

std::vector<GroupView> Proxy::Impl::ActiveGroupViews(TimePoint now) const {
  std::vector<GroupView> views;
  for (const auto& [name, group] : active_groups_) {
    views.push_back(MakeGroupView(now, *group));
  }
  return views;
}

Proxy::Proxy(ProxySettings settings, SessionPort* port, EventSink* events,
             AnswerObserver* observer)
    : impl_(std::make_unique<Impl>(std::move(settings), port, events,
                                   observer)) {}
Proxy::~Proxy() = default;

void Proxy::CallerStarted(TimePoint now, CallerId caller,
                          const std::string& route,
                          const workspace::KeyDigest& key) {
  impl_->CallerStarted(now, caller, route, key);
}
void Proxy::CallerStatement(TimePoint now, CallerId caller,
                            const std::string& id, Statement statement) {
  impl_->CallerStatement(now, caller, id, std::move(statement));
}
void Proxy::CallerDisconnected(TimePoint now, CallerId caller) {
  impl_->CallerDisconnected(now, caller);
}
void Proxy::ConnectionOpened(TimePoint now, ConnectionId connection) {
  impl_->ConnectionOpened(now, connection);
}
void Proxy::ConnectionRefused(TimePoint now, ConnectionId connection,
                              ErrorCode error) {
  impl_->ConnectionRefused(now, connection, error);
}
void Proxy::ConnectionLost(TimePoint now, ConnectionId connection) {
  impl_->ConnectionLost(now, connection);
}
void Proxy::CallAnswered(TimePoint now, ConnectionId connection, Reply reply) {
  impl_->CallAnswered(now, connection, std::move(reply));
}
void Proxy::OnRoutes(TimePoint now, const RouteTable& routes) {
  impl_->OnRoutes(now, routes);
}
void Proxy::OnRoster(TimePoint now, const Roster& roster) {
  impl_->OnRoster(now, roster);
}
void Proxy::OnRosterChange(TimePoint now, const RosterChange& change) {
  impl_->OnRosterChange(now, change);
}
void Proxy::SetForwarder(Forwarder* forwarder) {
  impl_->SetForwarder(forwarder);
}
void Proxy::SetLimiter(limits::OperationLimiter* limiter) {
  impl_->SetLimiter(limiter);
}
void Proxy::OperationAllowed(TimePoint now, limits::OperationId operation) {
  impl_->OperationAllowed(now, operation);
}
void Proxy::OperationRefused(TimePoint now, limits::OperationId operation,
                             const limits::LimitAnswer& answer) {
  impl_->OperationRefused(now, operation, answer);
}
void Proxy::SetInstances(TimePoint now, const std::string& self,
                         const std::vector<KeeperCandidate>& instances) {
  impl_->SetInstances(now, self, instances);
}
void Proxy::ForwardAnswered(TimePoint now, ForwardId call,
                            ForwardOutcome outcome, Reply reply) {
  impl_->ForwardAnswered(now, call, outcome, std::move(reply));
}
void Proxy::InstanceProbed(TimePoint now, const std::string& instance,
                           bool alive) {
  impl_->InstanceProbed(now, instance, alive);
}
void Proxy::AdoptStatement(TimePoint now, CallerId caller,
                           ForwardedStatement statement) {
  impl_->AdoptStatement(now, caller, std::move(statement));
}
void Proxy::ProbeGroup(TimePoint now, const std::string& group) {
  Group* found = impl_->FindGroup(group);
  if (found != nullptr) impl_->ProbeGroup(now, found);
}
void Proxy::PauseReplication(TimePoint now, const std::string& database,
                             uint64_t term) {
  impl_->PauseReplication(now, database, term);
}
void Proxy::ResumeReplication(TimePoint now, const std::string& database) {
  impl_->ResumeReplication(now, database);
}
void Proxy::ExpectPrimary(TimePoint now, const std::string& group,
                          const std::string& database) {
  Group* found = impl_->FindGroup(group);
  if (found != nullptr) impl_->ExpectPrimary(now, found, database);
}
void Proxy::Drain(TimePoint now, TimePoint transactions_until, TimePoint end) {
  impl_->Drain(now, transactions_until, end);
}
void Proxy::EndSessions(TimePoint now) { impl_->EndSessions(now); }
bool Proxy::drained() const { return impl_->drained(); }
void Proxy::ReportCutRequests(TimePoint now, std::string_view reason) {
  impl_->ReportCutRequests(now, reason);
}
size_t Proxy::requests() const { return impl_->requests(); }
void Proxy::Tick(TimePoint now) { impl_->Tick(now); }
TimePoint Proxy::next_deadline() const { return impl_->next_deadline(); }
bool Proxy::ready() const { return impl_->ready(); }
bool Proxy::LacksDatabases() const { return impl_->LacksDatabases(); }
void Proxy::RoutesConfirmed(TimePoint when) { impl_->RoutesConfirmed(when); }
const workspace::Workspaces& Proxy::workspaces() const {
  return impl_->workspaces();
}
std::map<std::string, uint32_t> Proxy::connections_by_workspace() const {
  return impl_->ConnectionsByWorkspace();
}
uint64_t Proxy::route_version() const { return impl_->route_version(); }
std::vector<GroupView> Proxy::groups(TimePoint now) const {
  return impl_->GroupViews(now);
}
std::vector<GroupView> Proxy::active_groups(TimePoint now) const {
  return impl_->ActiveGroupViews(now);
}
std::optional<GroupView> Proxy::group(TimePoint now,
                                      const std::string& name) const {
  const Group* found = impl_->FindGroup(name);
  if (found == nullptr) return std::nullopt;
  return impl_->MakeGroupView(now, *found);
}
const ProxyCounters& Proxy::counters() const { return impl_->counters(); }
size_t Proxy::callers() const { return impl_->callers(); }

}  // namespace ryefold::core::session
