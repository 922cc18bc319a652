#include "ryefold/core/group/keeper.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <utility>

#include "keeper_impl.h"

namespace ryefold::core::group {
namespace {

constexpr double kRetryRatio = 0.2;
constexpr double kRetryBurst = 50;

/// Appends the seed to the proposer's name. Otherwise a restarted instance
/// would propose under the name of its previous run, and a term adopted for
/// that run could get a second primary.
std::string MakeUniqueProposer(const std::string& proposer, uint64_t seed) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(seed));
  return proposer + "#" + text.data();
}

std::vector<std::string> DatabaseNames(const GroupSpec& group) {
  std::vector<std::string> names;
  for (const DatabaseSpec& spec : group.databases) {
    names.push_back(spec.database);
  }
  return names;
}

}  // namespace

Keeper::Impl::Impl(GroupSpec group, std::vector<WorkspacePolicy> workspaces,
                   std::string proposer, std::string preferred_domain,
                   KeeperTiming timing, uint64_t seed)
    : timing_(timing),
      health_(timing),
      leadership_(timing, seed),
      promotion_(MakeUniqueProposer(proposer, seed), timing, seed),
      reads_(std::move(preferred_domain)),
      transactions_(std::move(proposer), seed),
      queue_({}, group.queue_limit, seed),
      retry_budget_(kRetryRatio, kRetryBurst) {
  group_ = std::move(group);
  workspaces_ = std::move(workspaces);
}

void Keeper::Impl::Handle(TimePoint now, const Event& event,
                          std::vector<Action>* actions) {
  const bool first = now_ == TimePoint{};
  now_ = now;
  actions_ = actions;
  if (first) {
    primary_deadline_ = now + 2 * timing_.lost_after;
    SetPolicy(group_, workspaces_);
  }
  std::visit([this](const auto& received) { On(received); }, event);
  Advance();
  actions_ = nullptr;
}

void Keeper::Impl::On(const RequestArrived& event) {
  PendingRequest& pending = pending_[event.tag];
  pending.tag = event.tag;
  pending.request = event.request;
  Enqueue(&pending);
}

void Keeper::Impl::On(const SettleArrived& event) {
  if (stepping_down_) {
    // The successor resolves the request; this keeper makes no further calls
    // for it.
    actions_->push_back(
        Respond{event.tag, StatementAnswer::Unknown(Reason::kShuttingDown)});
    return;
  }
  PendingRequest& pending = pending_[event.tag];
  pending.tag = event.tag;
  pending.settle_only = true;
  pending.request.request_id = event.request.request_id;
  pending.request.group = event.request.group;
  pending.request.workspace = event.request.workspace;
  pending.request.kind = StatementKind::kWrite;
  pending.request.deadline = event.request.deadline;
  deadlines_.emplace(pending.request.deadline, event.tag);
  MarkInDoubt(&pending);
}

void Keeper::Impl::On(const RequestAbandoned& event) {
  PendingRequest* pending = FindRequest(event.tag);
  if (pending == nullptr) return;
  const ConnectionId connection = pending->connection;
  const bool running = pending->state == RequestState::kRunning;
  RemoveRequest(pending);
  if (!running) return;
  // A late answer would be matched to the next statement.
  const auto closed = pool_.Close(connection, actions_);
  if (closed.has_value()) OnConnectionClosed(*closed, connection);
}

void Keeper::Impl::On(const ConnectionOpened& event) {
  pool_.OnOpened(event.connection);
}

void Keeper::Impl::On(const ConnectionLost& event) {
  const auto lost = pool_.OnLost(now_, event.connection);
  if (!lost.has_value()) return;
  const bool was_open = lost->state != ConnectionState::kOpening;
  if (was_open) health_.MarkSuspected(now_, lost->database);
  OnConnectionClosed(*lost, event.connection);
}

void Keeper::Impl::On(const ExecuteReturned& event) {
  const PooledConnection* connection = pool_.Find(event.connection);
  if (connection == nullptr) return;
  if (connection->state != ConnectionState::kRunning) return;
  const RequestTag tag = connection->tag;
  const std::string database = connection->database;
  pool_.MarkAnswered(event.connection);
  queue_.RecordFinished(now_);
  PendingRequest* pending = FindRequest(tag);
  if (pending == nullptr) return;
  OnAnswer(pending, event.connection, event.answer);
}

void Keeper::Impl::On(const ControlReturned& event) {
  const auto call = calls_.Take(event.call);
  if (!call.has_value()) return;
  const bool is_status_call = call->purpose == CallPurpose::kStatus ||
                              call->purpose == CallPurpose::kProbe;
  const auto* status = std::get_if<DatabaseStatus>(&event.answer);
  const auto* adopt = std::get_if<AdoptAnswer>(&event.answer);
  const auto* role = std::get_if<RoleAnswer>(&event.answer);
  const auto* settle = std::get_if<SettleAnswer>(&event.answer);
  if (is_status_call && status != nullptr) {
    OnStatus(*call, *status);
  } else if (call->purpose == CallPurpose::kAdopt && adopt != nullptr) {
    promotion_.OnAdoptAnswer(now_, call->term, call->database, *adopt);
    ApplyStatus(call->database, adopt->status, call->sent, /*long_poll=*/false);
  } else if (call->purpose == CallPurpose::kPromote && role != nullptr) {
    promotion_.OnPromoteAnswer(now_, call->term, *role);
    ApplyStatus(call->database, role->status, call->sent, /*long_poll=*/false);
  } else if (call->purpose == CallPurpose::kFollow && role != nullptr) {
    ApplyStatus(call->database, role->status, call->sent, /*long_poll=*/false);
  } else if (call->purpose == CallPurpose::kSettle && settle != nullptr) {
    OnSettleAnswer(*call, *settle);
  } else {
    // No answer, or one that does not match the call.
    OnControlCallFailed(*call, now_ < call->deadline);
  }
}

void Keeper::Impl::On(const PolicyChanged& event) {
  SetPolicy(event.group, event.workspaces);
}

void Keeper::Impl::On(const StepDown& /*event*/) {
  if (stepping_down_) return;
  stepping_down_ = true;
  step_down_deadline_ = now_ + kFinishTimeout;
  // Requests that were never sent can run at the successor.
  const auto dropped =
      queue_.Drop(now_, Reason::kShuttingDown,
                  [](const auto& ticket) { return !ticket.in_transaction; });
  for (const admission::Refusal& refusal : dropped) {
    PendingRequest* pending = FindRequest(refusal.tag);
    if (pending == nullptr) continue;
    if (pending->may_have_run) {
      MarkInDoubt(pending);
      continue;
    }
    FinishNotRun(pending, NotRunProof::NeverSent(), Reason::kShuttingDown,
                 kRetryAfterStepDown);
  }
}

void Keeper::Impl::On(const StepUp& /*event*/) {
  if (!stepping_down_) return;
  stepping_down_ = false;
  if (!stepped_down_) return;
  // All connections were released; restart health monitoring from scratch.
  stepped_down_ = false;
  primary_deadline_ = now_ + 2 * timing_.lost_after;
  health_ = HealthMonitor(timing_);
  health_.SetDatabases(now_, DatabaseNames(group_));
}

void Keeper::Impl::On(const Tick& /*event*/) {}

void Keeper::Impl::SetPolicy(GroupSpec group,
                             std::vector<WorkspacePolicy> workspaces) {
  group_ = std::move(group);
  workspaces_ = std::move(workspaces);
  const std::vector<std::string> names = DatabaseNames(group_);
  health_.SetDatabases(now_, names);
  confirmation_.SetDatabases(names);
  leadership_.SetGroup(now_, group_);
  for (const PooledConnection& closed : pool_.SetGroup(group_, actions_)) {
    OnConnectionClosed(closed, 0);
  }
  queue_.SetPolicies(workspaces_, group_.queue_limit);
  for (const std::string& name : names) {
    shares(name).SetPolicies(workspaces_, pool_.usable_limit());
  }
  for (const DatabaseSpec& spec : group_.databases) {
    if (!spec.leaving) {
      leaving_since_.erase(spec.database);
    } else {
      leaving_since_.try_emplace(spec.database, now_);
    }
  }
}

void Keeper::Impl::Advance() {
  if (stepped_down_) return;
  for (const PendingCall& call : calls_.TakeExpired(now_)) {
    OnControlCallFailed(call, /*refused=*/false);
  }
  ExpireDeadlines();
  leadership_.Update(now_, health_, confirmation_);
  DrivePromotion();
  CloseConnectionsToLost();
  SendFollowCalls();
  CheckUnconfirmed();
  SendSettleCalls();
  EndExpiredTransactions();
  RefuseWaitingForPrimary();
  RefuseFromQueue(queue_.Expire(now_));
  RefillPool();
  DispatchQueue();
  RefillPool();
  SendHeartbeatRound();
  PollStatus();
  AdvanceStepDown();
}

void Keeper::Impl::AdvanceStepDown() {
  if (!stepping_down_) return;
  if (now_ >= step_down_deadline_) {
    for (const Transaction& open : transactions_.FindOn("")) {
      CloseTransaction(open.id);
    }
  }
  if (!pending_.empty() || !transactions_.empty()) return;
  for (const ConnectionId id : pool_.ConnectionsTo("")) {
    pool_.Close(id, actions_);
  }
  calls_.Clear();
  promotion_.Stop();
  stepped_down_ = true;
}

TimePoint Keeper::Impl::next_deadline() const {
  if (stepped_down_) return TimePoint::max();
  // Deadlines that have passed are already processed; returning one would make
  // the caller spin.
  std::array<TimePoint, 13> times = {calls_.next_deadline(),
                                     health_.next_deadline(now_),
                                     leadership_.next_deadline(now_),
                                     promotion_.next_deadline(now_),
                                     following_.next_deadline(now_),
                                     resolution_.next_deadline(now_),
                                     reads_.next_deadline(now_),
                                     pool_.next_deadline(now_),
                                     transactions_.next_deadline(),
                                     queue_.next_deadline(),
                                     next_read_check_,
                                     primary_deadline_,
                                     step_down_deadline_};
  TimePoint next = TimePoint::max();
  for (const TimePoint at : times) {
    if (at > now_) next = std::min(next, at);
  }
  if (!deadlines_.empty()) next = std::min(next, deadlines_.begin()->first);
  if (outage_end_ && *outage_end_ > now_) next = std::min(next, *outage_end_);
  for (const auto& [database, since] : leaving_since_) {
    for (const auto bound : {kTransactionHandoverTimeout, kFinishTimeout}) {
      if (since + bound > now_) next = std::min(next, since + bound);
    }
  }
  return next;
}

bool Keeper::Impl::HasSteppedDown() const { return stepped_down_; }

KeeperView Keeper::Impl::view(TimePoint now) const {
  KeeperView view;
  view.group = group_.group;
  view.primary = leadership_.primary();
  view.term = leadership_.term();
  view.stepping_down = stepping_down_;
  view.queued = static_cast<uint32_t>(queue_.size());
  view.unconfirmed = static_cast<uint32_t>(unconfirmed_.size());
  view.failovers = failovers_;
  view.reads_replica = reads_replica_;
  view.reads_primary = reads_primary_;
  view.writes = writes_;
  view.refused = refused_;
  for (const DatabaseSpec& spec : group_.databases) {
    view.databases.push_back(MakeDatabaseView(now, spec));
  }
  return view;
}

DatabaseView Keeper::Impl::MakeDatabaseView(TimePoint now,
                                            const DatabaseSpec& spec) const {
  DatabaseView view;
  view.database = spec.database;
  view.reachable = health_.IsReachable(now, spec.database);
  view.primary = spec.database == leadership_.primary();
  view.leaving = spec.leaving;
  if (const DatabaseStatus* status = health_.status(spec.database)) {
    view.adopted_term = status->adopted_term;
    view.last = status->last;
  }
  if (!view.primary) view.lag = reads_.lag(now, read_context(), spec.database);
  view.connections = pool_.open_count(spec.database);
  view.running = pool_.running_count(spec.database);
  return view;
}

Keeper::Keeper(GroupSpec group, std::vector<WorkspacePolicy> workspaces,
               std::string proposer, std::string preferred_domain,
               KeeperTiming timing, uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(group), std::move(workspaces),
                                   std::move(proposer),
                                   std::move(preferred_domain), timing, seed)) {
}
Keeper::~Keeper() = default;

void Keeper::Handle(TimePoint now, const Event& event,
                    std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}
TimePoint Keeper::next_deadline() const { return impl_->next_deadline(); }
bool Keeper::HasSteppedDown() const { return impl_->HasSteppedDown(); }
KeeperView Keeper::view(TimePoint now) const { return impl_->view(now); }

}  // namespace ryefold::core::group
