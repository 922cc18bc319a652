// What the keeper does with requests until they are sent.

#include <algorithm>
#include <utility>

#include "keeper_impl.h"
#include "ryefold/core/session/token.h"

namespace ryefold::core::group {
namespace {

using std::chrono::milliseconds;

/// When to come back while the group cannot have a primary at all.
constexpr milliseconds kRetryAfterGivenUp{500};
constexpr milliseconds kMinRetryAfter{20};
/// Reads that may be routed in vain for one event. While many wait for a
/// replica to catch up, each event would otherwise route all of them again, and
/// the keeper would have time for nothing else.
constexpr uint32_t kRoutesPerEvent = 64;

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
  retries_.FirstTry();
  Retry(pending);
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
  } else if (pending.needs_primary() && given_up()) {
    reason = Reason::kNoPrimary;
    retry_after = kRetryAfterGivenUp;
  } else if (pending.needs_primary() && gap_until_ &&
             request.deadline < *gap_until_) {
    reason = Reason::kNoPrimary;
    retry_after = RetryAfterGap();
  } else if (pending.changes() && ConfirmationTooSlow(request.deadline)) {
    reason = Reason::kConfirmationSlow;
    retry_after = kRetryAfterGivenUp;
  }
  if (request.deadline <= now_) reason = Reason::kDeadline;
  if (reason == Reason::kNone) return false;
  NotRun(Find(pending.tag), NotRunProof::NeverSent(), reason, retry_after);
  return true;
}

bool Keeper::Impl::ConfirmationTooSlow(TimePoint deadline) const {
  if (unconfirmed_since_.empty()) return false;
  const auto waited = now_ - unconfirmed_since_.begin()->first;
  return now_ + waited > deadline;
}

milliseconds Keeper::Impl::RetryAfterGap() const {
  if (!gap_until_ || *gap_until_ <= now_) return kMinRetryAfter;
  const auto left =
      std::chrono::duration_cast<milliseconds>(*gap_until_ - now_);
  return std::max(left, kMinRetryAfter);
}

void Keeper::Impl::Retry(PendingRequest* pending) {
  pending->state = RequestState::kQueued;
  admission::Ticket ticket;
  ticket.tag = pending->tag;
  ticket.workspace = pending->request.workspace;
  ticket.deadline = pending->request.deadline;
  ticket.enqueued = pending->read.arrived;
  ticket.in_transaction = pending->in_transaction();
  pending->queued = true;
  RefuseEarly(queue_.Push(now_, ticket));
}

void Keeper::Impl::RefuseEarly(
    const std::vector<admission::Refusal>& refusals) {
  for (const admission::Refusal& refusal : refusals) {
    PendingRequest* pending = Find(refusal.tag);
    if (pending == nullptr) continue;
    if (pending->doubtful) {
      PutInDoubt(pending);
    } else {
      NotRun(pending, NotRunProof::NeverSent(), refusal.reason,
             refusal.retry_after);
    }
  }
}

void Keeper::Impl::RefuseWaitingForPrimary() {
  const bool hopeless = given_up();
  if (!hopeless && !gap_until_) return;
  const auto refusals = queue_.Drop(
      now_, Reason::kNoPrimary, [this, hopeless](const auto& ticket) {
        const PendingRequest* pending = Find(ticket.tag);
        if (pending == nullptr || !pending->needs_primary()) return false;
        return hopeless || ticket.deadline < *gap_until_;
      });
  const milliseconds retry_after =
      hopeless ? kRetryAfterGivenUp : RetryAfterGap();
  for (const admission::Refusal& refusal : refusals) {
    PendingRequest* pending = Find(refusal.tag);
    if (pending == nullptr) continue;
    if (pending->doubtful) {
      PutInDoubt(pending);
    } else {
      NotRun(pending, NotRunProof::NeverSent(), Reason::kNoPrimary,
             retry_after);
    }
  }
}

ReadView Keeper::Impl::read_view() const {
  const std::string& primary = leadership_.primary();
  const uint64_t term = std::max<uint64_t>(leadership_.term(), 1);
  return {group_,
          health_,
          confirmation_,
          pool_,
          primary,
          term,
          confirmation_.VouchedAt(term),
          confirmation_.HeardAt(primary, term)};
}

bool Keeper::Impl::AnyRunning() const {
  return std::any_of(group_.databases.begin(), group_.databases.end(),
                     [this](const DatabaseSpec& spec) {
                       return pool_.running(spec.database) > 0;
                     });
}

bool Keeper::Impl::AnySlotFree() const {
  return std::any_of(group_.databases.begin(), group_.databases.end(),
                     [this](const DatabaseSpec& spec) {
                       return pool_.HasSlot(spec.database);
                     });
}

void Keeper::Impl::Pump() {
  SendWhatCanRun();
  // Reads that wait for a confirmation, and writes for a primary, wait while
  // every slot is free. Counted as a busy group that finishes nothing, they
  // made it look all but stopped, and callers with seconds left were refused.
  queue_.SetWorking(now_, AnyRunning());
}

void Keeper::Impl::SendWhatCanRun() {
  round_wanted_.reset();
  look_again_ = TimePoint::max();
  wanted_ = queue_.waiting();
  const ReadView view = read_view();
  routes_left_ = kRoutesPerEvent;
  // A full group is not worth the walk over everything that waits.
  while (queue_.size() > 0 && AnySlotFree()) {
    reads_open_ = AnyReadPossible();
    const auto ticket =
        queue_.Pop(now_, [this, &view](const admission::Ticket& next) {
          return CanRun(next, view);
        });
    if (!ticket.has_value()) return;
    if (PendingRequest* pending = Find(ticket->tag)) Start(pending);
  }
}

bool Keeper::Impl::AnyReadPossible() const {
  return std::any_of(group_.databases.begin(), group_.databases.end(),
                     [this](const DatabaseSpec& spec) {
                       return !spec.leaving && pool_.HasSlot(spec.database) &&
                              pool_.IdleOn(spec.database).has_value() &&
                              health_.reachable(now_, spec.database);
                     });
}

bool Keeper::Impl::CanRun(const admission::Ticket& ticket,
                          const ReadView& view) {
  PendingRequest* pending = Find(ticket.tag);
  if (pending == nullptr) return false;
  if (pending->in_transaction()) return CanRunInTransaction(pending);
  if (pending->needs_primary()) return CanRunOnPrimary(pending);
  return CanRunRead(pending, view);
}

bool Keeper::Impl::CanRunInTransaction(PendingRequest* pending) {
  const Transaction* open = transactions_.Find(pending->request.transaction,
                                               pending->request.workspace);
  // Of a transaction that is gone: taken out, to be refused.
  if (open == nullptr) return true;
  if (open->running || !pool_.HasSlot(open->database)) return false;
  target_ = open->database;
  target_connection_ = open->connection;
  return true;
}

bool Keeper::Impl::CanRunOnPrimary(PendingRequest* pending) {
  if (!primary_open()) return false;
  const std::string& primary = leadership_.primary();
  if (leadership_.term() < pending->min_term) return false;
  if (!pool_.HasSlot(primary)) return false;
  if (pending->is_begin() && !pool_.MayOwn(primary)) return false;
  if (!shares(primary).MayTake(pending->request.workspace, wanted_)) {
    return false;
  }
  const auto idle = pool_.IdleOn(primary);
  if (!idle.has_value()) return false;
  target_ = primary;
  target_connection_ = *idle;
  return true;
}

bool Keeper::Impl::CanRunRead(PendingRequest* pending, const ReadView& view) {
  if (reads_.NeedsRound(view, &pending->read)) {
    round_wanted_ =
        std::max(round_wanted_.value_or(TimePoint{}), pending->read.arrived);
    return false;
  }
  if (!reads_open_ || routes_left_ == 0) return false;
  --routes_left_;
  const routing::Route route =
      reads_.Choose(now_, view, pending->read, pending->request.deadline);
  if (route.kind == routing::RouteKind::kWait) {
    look_again_ = std::min(look_again_, route.retry_at);
  }
  if (route.kind != routing::RouteKind::kServe) return false;
  if (!shares(route.database).MayTake(pending->request.workspace, wanted_)) {
    return false;
  }
  const auto idle = pool_.IdleOn(route.database);
  if (!idle.has_value()) return false;
  ++routes_left_;
  target_ = route.database;
  target_connection_ = *idle;
  return true;
}

void Keeper::Impl::Start(PendingRequest* pending) {
  const StatementRequest& request = pending->request;
  pending->queued = false;
  if (pending->in_transaction()) {
    Transaction* open =
        transactions_.Find(request.transaction, request.workspace);
    if (open == nullptr) {
      NotRun(pending, NotRunProof::NeverSent(), Reason::kTransactionLost,
             milliseconds(0));
      return;
    }
    transactions_.SetRunning(now_, open, true);
  } else {
    shares(target_).Take(request.workspace);
  }
  pending->state = RequestState::kRunning;
  pending->database = target_;
  pending->connection = target_connection_;
  pool_.Run(target_connection_, pending->tag, request.workspace);
  if (pending->changes()) ++writes_;

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
  // The record answers a repeat, by this keeper or by the caller through any
  // other, without running the write again.
  call.record = pending->changes() && !request.request_id.empty();
  call.sql = request.sql;
  call.params_json = request.params_json;
  actions_->push_back(Execute{target_connection_, std::move(call)});
}

void Keeper::Impl::CloseTransaction(const std::string& id) {
  for (const Transaction& open : transactions_.On("")) {
    if (open.id != id) continue;
    transactions_.Erase(id);
    shares(open.database).Release(open.workspace);
    const auto closed = pool_.Close(open.connection, actions_);
    if (closed.has_value()) ConnectionGone(*closed, open.connection);
    return;
  }
}

void Keeper::Impl::EndTransactionsOnLeaving() {
  for (const Transaction& open : transactions_.Idle(now_)) {
    CloseTransaction(open.id);
  }
  for (const auto& [database, since] : leaving_since_) {
    const bool primary = database == leadership_.primary();
    if (now_ < since + (primary ? kTransactionHandover : kFinishBound)) {
      continue;
    }
    for (const Transaction& open : transactions_.On(database)) {
      CloseTransaction(open.id);
    }
    if (now_ < since + kFinishBound) continue;
    for (const ConnectionId id : pool_.ConnectionsTo(database)) {
      const auto closed = pool_.Close(id, actions_);
      if (closed.has_value()) ConnectionGone(*closed, id);
    }
  }
}

void Keeper::Impl::RefillPool() {
  if (stepping_down_) return;
  for (const DatabaseSpec& spec : group_.databases) {
    if (spec.leaving || !health_.reachable(now_, spec.database)) continue;
    pool_.Refill(now_, spec.database, actions_);
  }
}

admission::ConnectionShares& Keeper::Impl::shares(const std::string& database) {
  return shares_
      .try_emplace(database,
                   admission::ConnectionShares(workspaces_, pool_.usable()))
      .first->second;
}

}  // namespace ryefold::core::group
