// Requests from arrival until they are sent.

#include <algorithm>
#include <utility>

#include "keeper_impl.h"
#include "ryefold/core/session/token.h"

namespace ryefold::core::group {
namespace {

using std::chrono::milliseconds;

/// Retry hint while the group cannot have a primary or confirms too slowly.
constexpr milliseconds kRetryAfterUnavailable{500};
constexpr milliseconds kMinRetryAfter{20};
/// Limit of failed routing attempts per event. While many reads wait for a
/// replica to catch up, each event would otherwise route all of them again and
/// take up all of the keeper's time.
constexpr uint32_t kMaxRouteAttemptsPerEvent = 64;

milliseconds MaxAgeOf(const StatementRequest& request,
                      const std::vector<WorkspacePolicy>& workspaces) {
  if (request.max_age.has_value()) return *request.max_age;
  for (const WorkspacePolicy& policy : workspaces) {
    if (policy.workspace == request.workspace) return policy.max_age;
  }
  return milliseconds(0);
}

}  // namespace

void Keeper::Impl::Enqueue(PendingRequest* pending) {
  pending->read.arrived = now_;
  pending->read.seen = pending->request.seen;
  pending->read.max_age = MaxAgeOf(pending->request, workspaces_);
  deadlines_.emplace(pending->request.deadline, pending->tag);
  if (RefuseOnArrival(*pending)) return;
  retry_budget_.RecordFirstAttempt();
  PushToQueue(pending);
}

bool Keeper::Impl::RefuseOnArrival(const PendingRequest& pending) {
  const StatementRequest& request = pending.request;
  Reason reason = Reason::kNone;
  milliseconds retry_after{0};
  const bool begins = request.step == Step::kBegin;
  const bool ends =
      request.step == Step::kCommit || request.step == Step::kRollback;
  if (pending.in_transaction() || ends) {
    const Transaction* open =
        transactions_.Find(request.transaction, request.workspace);
    if (open == nullptr || begins) reason = Reason::kUnknownTransaction;
  } else if (stepping_down_) {
    reason = Reason::kShuttingDown;
    retry_after = kRetryAfterStepDown;
  } else if (pending.needs_primary() && ShouldFailFast()) {
    reason = Reason::kNoPrimary;
    retry_after = kRetryAfterUnavailable;
  } else if (pending.needs_primary() && outage_end_ &&
             request.deadline < *outage_end_) {
    reason = Reason::kNoPrimary;
    retry_after = RetryAfterOutage();
  } else if (pending.needs_confirmation() &&
             IsConfirmationTooSlow(request.deadline)) {
    reason = Reason::kConfirmationSlow;
    retry_after = kRetryAfterUnavailable;
  }
  if (request.deadline <= now_) reason = Reason::kDeadline;
  if (reason == Reason::kNone) return false;
  FinishNotRun(FindRequest(pending.tag), NotRunProof::NeverSent(), reason,
               retry_after);
  return true;
}

bool Keeper::Impl::IsConfirmationTooSlow(TimePoint deadline) const {
  if (unconfirmed_since_.empty()) return false;
  const auto oldest_wait = now_ - unconfirmed_since_.begin()->first;
  return now_ + oldest_wait > deadline;
}

milliseconds Keeper::Impl::RetryAfterOutage() const {
  if (!outage_end_ || *outage_end_ <= now_) return kMinRetryAfter;
  const auto left =
      std::chrono::duration_cast<milliseconds>(*outage_end_ - now_);
  return std::max(left, kMinRetryAfter);
}

void Keeper::Impl::PushToQueue(PendingRequest* pending) {
  pending->state = RequestState::kQueued;
  admission::Ticket ticket;
  ticket.tag = pending->tag;
  ticket.workspace = pending->request.workspace;
  ticket.deadline = pending->request.deadline;
  ticket.enqueued = pending->read.arrived;
  ticket.in_transaction = pending->in_transaction();
  pending->queued = true;
  RefuseFromQueue(queue_.Push(now_, ticket));
}

void Keeper::Impl::RefuseFromQueue(
    const std::vector<admission::Refusal>& refusals) {
  for (const admission::Refusal& refusal : refusals) {
    PendingRequest* pending = FindRequest(refusal.tag);
    if (pending == nullptr) continue;
    if (pending->may_have_run) {
      MarkInDoubt(pending);
    } else {
      FinishNotRun(pending, NotRunProof::NeverSent(), refusal.reason,
                   refusal.retry_after);
    }
  }
}

void Keeper::Impl::RefuseWaitingForPrimary() {
  const bool fail_fast = ShouldFailFast();
  if (!fail_fast && !outage_end_) return;
  const auto refusals = queue_.Drop(
      now_, Reason::kNoPrimary, [this, fail_fast](const auto& ticket) {
        const PendingRequest* pending = FindRequest(ticket.tag);
        if (pending == nullptr || !pending->needs_primary()) return false;
        return fail_fast || ticket.deadline < *outage_end_;
      });
  const milliseconds retry_after =
      fail_fast ? kRetryAfterUnavailable : RetryAfterOutage();
  for (const admission::Refusal& refusal : refusals) {
    PendingRequest* pending = FindRequest(refusal.tag);
    if (pending == nullptr) continue;
    if (pending->may_have_run) {
      MarkInDoubt(pending);
    } else {
      FinishNotRun(pending, NotRunProof::NeverSent(), Reason::kNoPrimary,
                   retry_after);
    }
  }
}

ReadContext Keeper::Impl::read_context() const {
  const std::string& primary = leadership_.primary();
  const uint64_t term = std::max<uint64_t>(leadership_.term(), 1);
  return {group_,
          health_,
          confirmation_,
          pool_,
          primary,
          term,
          confirmation_.TermConfirmedAt(term),
          confirmation_.LastContactAt(primary, term)};
}

bool Keeper::Impl::IsAnyRunning() const {
  return std::any_of(group_.databases.begin(), group_.databases.end(),
                     [this](const DatabaseSpec& spec) {
                       return pool_.running_count(spec.database) > 0;
                     });
}

bool Keeper::Impl::HasAnyFreeSlot() const {
  return std::any_of(group_.databases.begin(), group_.databases.end(),
                     [this](const DatabaseSpec& spec) {
                       return pool_.HasFreeSlot(spec.database);
                     });
}

void Keeper::Impl::DispatchQueue() {
  DispatchRunnable();
  // Reads that wait for a heartbeat round, and writes that wait for a primary,
  // leave every slot free. If that time counted as work, the measured service
  // rate would drop to almost zero and requests with seconds left would be
  // refused.
  queue_.SetStatementsRunning(now_, IsAnyRunning());
}

void Keeper::Impl::DispatchRunnable() {
  round_needed_for_.reset();
  next_read_check_ = TimePoint::max();
  waiting_workspaces_ = queue_.waiting_workspaces();
  const ReadContext context = read_context();
  route_attempts_left_ = kMaxRouteAttemptsPerEvent;
  // Without a free slot, examining all queued requests is useless.
  while (queue_.size() > 0 && HasAnyFreeSlot()) {
    reads_possible_ = CanServeAnyRead();
    const auto ticket =
        queue_.Pop(now_, [this, &context](const admission::Ticket& next) {
          return CanRun(next, context);
        });
    if (!ticket.has_value()) return;
    if (PendingRequest* pending = FindRequest(ticket->tag)) Dispatch(pending);
  }
}

bool Keeper::Impl::CanServeAnyRead() const {
  return std::any_of(group_.databases.begin(), group_.databases.end(),
                     [this](const DatabaseSpec& spec) {
                       return !spec.leaving &&
                              pool_.HasFreeSlot(spec.database) &&
                              pool_.FindIdle(spec.database).has_value() &&
                              health_.IsReachable(now_, spec.database);
                     });
}

bool Keeper::Impl::CanRun(const admission::Ticket& ticket,
                          const ReadContext& context) {
  PendingRequest* pending = FindRequest(ticket.tag);
  if (pending == nullptr) return false;
  if (pending->in_transaction()) return CanRunInTransaction(pending);
  if (pending->needs_primary()) return CanRunOnPrimary(pending);
  return CanRunRead(pending, context);
}

bool Keeper::Impl::CanRunInTransaction(PendingRequest* pending) {
  const Transaction* open = transactions_.Find(pending->request.transaction,
                                               pending->request.workspace);
  // The transaction has ended: dequeue the request, so that it is refused.
  if (open == nullptr) return true;
  if (open->running || !pool_.HasFreeSlot(open->database)) return false;
  target_ = open->database;
  target_connection_ = open->connection;
  return true;
}

bool Keeper::Impl::CanRunOnPrimary(PendingRequest* pending) {
  if (!IsPrimaryAvailable()) return false;
  const std::string& primary = leadership_.primary();
  if (leadership_.term() < pending->min_term) return false;
  if (!pool_.HasFreeSlot(primary)) return false;
  if (pending->is_begin() && !pool_.CanBeginTransaction(primary)) return false;
  if (!shares(primary).CanAcquire(pending->request.workspace,
                                  waiting_workspaces_)) {
    return false;
  }
  const auto idle = pool_.FindIdle(primary);
  if (!idle.has_value()) return false;
  target_ = primary;
  target_connection_ = *idle;
  return true;
}

bool Keeper::Impl::CanRunRead(PendingRequest* pending,
                              const ReadContext& context) {
  if (reads_.NeedsHeartbeatRound(context, &pending->read)) {
    round_needed_for_ = std::max(round_needed_for_.value_or(TimePoint{}),
                                 pending->read.arrived);
    return false;
  }
  if (!reads_possible_ || route_attempts_left_ == 0) return false;
  --route_attempts_left_;
  const routing::Route route = reads_.ChooseRoute(now_, context, pending->read,
                                                  pending->request.deadline);
  if (route.kind == routing::RouteKind::kWait) {
    next_read_check_ = std::min(next_read_check_, route.retry_at);
  }
  if (route.kind != routing::RouteKind::kServe) return false;
  if (!shares(route.database)
           .CanAcquire(pending->request.workspace, waiting_workspaces_)) {
    return false;
  }
  const auto idle = pool_.FindIdle(route.database);
  if (!idle.has_value()) return false;
  ++route_attempts_left_;
  target_ = route.database;
  target_connection_ = *idle;
  return true;
}

void Keeper::Impl::Dispatch(PendingRequest* pending) {
  const StatementRequest& request = pending->request;
  pending->queued = false;
  if (pending->in_transaction()) {
    Transaction* open =
        transactions_.Find(request.transaction, request.workspace);
    if (open == nullptr) {
      FinishNotRun(pending, NotRunProof::NeverSent(), Reason::kTransactionLost,
                   milliseconds(0));
      return;
    }
    transactions_.SetRunning(now_, open, true);
  } else {
    shares(target_).Acquire(request.workspace);
  }
  pending->state = RequestState::kRunning;
  pending->database = target_;
  pending->connection = target_connection_;
  pool_.MarkRunning(target_connection_, pending->tag, request.workspace);
  if (pending->needs_confirmation()) ++writes_;

  ExecuteCall call;
  const DatabaseStatus* status = health_.status(target_);
  call.term = leadership_.term();
  if (!pending->needs_primary() && status != nullptr) {
    call.term = status->adopted_term;
  }
  pending->sent_term = call.term;
  call.step = request.step;
  call.kind = request.kind;
  call.request_id = request.request_id;
  call.workspace = request.workspace;
  // With a record, a repeat of the request through any keeper is answered
  // without running the write again.
  call.record = pending->needs_confirmation() && !request.request_id.empty();
  call.sql = request.sql;
  call.params_json = request.params_json;
  actions_->push_back(Execute{target_connection_, std::move(call)});
}

void Keeper::Impl::CloseTransaction(const std::string& id) {
  for (const Transaction& open : transactions_.FindOn("")) {
    if (open.id != id) continue;
    transactions_.Erase(id);
    shares(open.database).Release(open.workspace);
    const auto closed = pool_.Close(open.connection, actions_);
    if (closed.has_value()) OnConnectionClosed(*closed, open.connection);
    return;
  }
}

void Keeper::Impl::EndExpiredTransactions() {
  for (const Transaction& open : transactions_.FindAbandoned(now_)) {
    CloseTransaction(open.id);
  }
  for (const auto& [database, since] : leaving_since_) {
    const bool primary = database == leadership_.primary();
    if (now_ <
        since + (primary ? kTransactionHandoverTimeout : kFinishTimeout)) {
      continue;
    }
    for (const Transaction& open : transactions_.FindOn(database)) {
      CloseTransaction(open.id);
    }
    if (now_ < since + kFinishTimeout) continue;
    for (const ConnectionId id : pool_.ConnectionsTo(database)) {
      const auto closed = pool_.Close(id, actions_);
      if (closed.has_value()) OnConnectionClosed(*closed, id);
    }
  }
}

void Keeper::Impl::RefillPool() {
  if (stepping_down_) return;
  for (const DatabaseSpec& spec : group_.databases) {
    if (spec.leaving || !health_.IsReachable(now_, spec.database)) continue;
    pool_.Refill(now_, spec.database, actions_);
  }
}

admission::ConnectionShares& Keeper::Impl::shares(const std::string& database) {
  return shares_
      .try_emplace(database, admission::ConnectionShares(workspaces_,
                                                         pool_.usable_limit()))
      .first->second;
}

}  // namespace ryefold::core::group
