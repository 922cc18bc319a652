#include "queue_impl.h"

#include <algorithm>

namespace ryefold::core::admission {
namespace {

using std::chrono::milliseconds;

/// Interval between scans for tickets that cannot be served in time.
constexpr milliseconds kSweepInterval{20};

}  // namespace

void Queue::Impl::SetPolicies(const std::vector<WorkspacePolicy>& workspaces,
                              uint32_t limit) {
  limit_ = limit;
  policies_.clear();
  std::map<uint32_t, double> min_weights;
  for (const WorkspacePolicy& policy : workspaces) {
    const double weight = std::max<uint32_t>(policy.weight, 1);
    policies_[policy.workspace] = Policy{policy.priority, weight};
    const auto [found, added] = min_weights.emplace(policy.priority, weight);
    if (!added) found->second = std::min(found->second, weight);
  }
  for (auto& [workspace, queue] : queues_) {
    if (queue.owner != nullptr) queue.owner->Detach(&queue);
  }
  for (const auto& [priority, weight] : min_weights) {
    classes_[priority].min_weight = weight;
  }
  classes_[kLowestPriority].min_weight = 1;
  for (auto& [workspace, queue] : queues_) {
    const Policy policy = PolicyFor(workspace);
    queue.priority = policy.priority;
    queue.weight = policy.weight;
    SetWork(&queue);
    classes_[queue.priority].Attach(&queue);
  }
}

WorkspaceQueue* Queue::Impl::QueueFor(const std::string& workspace) {
  const auto [found, added] = queues_.try_emplace(workspace);
  WorkspaceQueue* queue = &found->second;
  if (added) {
    const Policy policy = PolicyFor(workspace);
    queue->id = next_queue_id_++;
    queue->workspace = workspace;
    queue->priority = policy.priority;
    queue->weight = policy.weight;
    SetWork(queue);
  }
  return queue;
}

/// Updates the work of a queue that is in no class.
void Queue::Impl::SetWork(WorkspaceQueue* queue) const {
  queue->work = WorkOf(queue->workspace);
  if (work_ != nullptr) queue->rank = WorkRank(queue->work);
}

/// Records a new ticket, whether it will be queued or refused.
void Queue::Impl::RecordRequest(TimePoint now, const Ticket& ticket) {
  if (work_ == nullptr || ticket.in_transaction) return;
  const InsertionPoint insertion = InsertionPointFor(ticket.workspace);
  PriorityClass& owner = classes_.at(insertion.priority);
  owner.requested[WorkRank(insertion.work)].Add(now, insertion.work);
  const bool known = ticket.patience != TimePoint();
  owner.guaranteed.RecordRequest(
      now, ticket.workspace, insertion.weight, insertion.work,
      WorkRank(insertion.work),
      known ? ticket.patience - ticket.enqueued : TimePoint::duration::zero());
}

/// Records that the class of a refused ticket could not be served completely.
void Queue::Impl::RecordShortage(TimePoint now, const Ticket& ticket,
                                 Reason reason) {
  if (work_ == nullptr || reason != Reason::kOverloaded) return;
  classes_.at(InsertionPointFor(ticket.workspace).priority).RecordShortage(now);
}

std::vector<uint32_t> Queue::Impl::ShortClasses(TimePoint now) const {
  std::vector<uint32_t> priorities;
  for (const auto& [priority, priority_class] : classes_) {
    if (priority_class.IsShort(now)) priorities.push_back(priority);
  }
  return priorities;
}

Refusal Queue::Impl::MakeRefusal(TimePoint now, const Ticket& ticket,
                                 Reason reason) {
  RecordShortage(now, ticket, reason);
  const InsertionPoint insertion = InsertionPointFor(ticket.workspace);
  TimePoint* last_retry_at = &classes_.at(insertion.priority).last_retry_at;
  Refusal refusal;
  refusal.tag = ticket.tag;
  refusal.reason = reason;
  // The planner counts in tickets of this one's work.
  std::optional<double> rate =
      RateForClass(WorkRate(TypicalDrainRate()), now, insertion.priority);
  if (rate.has_value()) *rate /= insertion.work;
  const RetryDelay retry = retry_after_.NextRetryAfter(
      now, rate, TicketsAhead(insertion) / insertion.work,
      LatestRetry(now, ticket.enqueued, ticket.patience), last_retry_at);
  refusal.retry_after = retry.delay;
  refusal.moved_up = retry.moved_up;
  return refusal;
}

Refusal Queue::Impl::RefuseQueued(TimePoint now, uint64_t tag, Reason reason) {
  const Ticket ticket = *locations_.at(tag).ticket;
  Remove(tag);
  return MakeRefusal(now, ticket, reason);
}

/// Returns the tag of the queued ticket to evict for `ticket`; nullopt if all
/// queued tickets come before it. Within a class the most loaded workspace
/// gives way, so that one with many requests cannot shut out the others.
std::optional<uint64_t> Queue::Impl::EvictionCandidate(
    const Ticket& ticket) const {
  const InsertionPoint insertion = InsertionPointFor(ticket.workspace);
  for (auto it = classes_.rbegin(); it != classes_.rend(); ++it) {
    const WorkspaceQueue* most_loaded = it->second.most_loaded();
    if (most_loaded == nullptr) continue;
    const double load = static_cast<double>(insertion.queued + 1) *
                        insertion.work / insertion.weight;
    const bool lower = it->first > insertion.priority;
    const bool heavier =
        it->first == insertion.priority && most_loaded->load() > load;
    if (!ticket.in_transaction && !lower && !heavier) return std::nullopt;
    return most_loaded->tickets.back().tag;
  }
  return std::nullopt;
}

void Queue::Impl::Insert(TimePoint now, Ticket ticket) {
  const uint64_t tag = ticket.tag;
  const uint32_t priority = InsertionPointFor(ticket.workspace).priority;
  PriorityClass* owner = &classes_.at(priority);
  owner->arrivals.Add(now, WorkOf(ticket.workspace));
  deadlines_.emplace(ticket.deadline, tag);
  Location location;
  if (ticket.in_transaction) {
    location.owner = owner;
    location.ticket = owner->transactions.insert(owner->transactions.end(),
                                                 std::move(ticket));
    ++transaction_tickets_;
  } else {
    location.queue = QueueFor(ticket.workspace);
    location.ticket = owner->Add(location.queue, std::move(ticket));
  }
  locations_.emplace(tag, location);
}

std::vector<Refusal> Queue::Impl::Push(TimePoint now, Ticket ticket) {
  Advance(now);
  if (ticket.enqueued == TimePoint()) ticket.enqueued = now;
  RecordRequest(now, ticket);
  std::vector<Refusal> refused;
  if (const auto reason = ReasonToRefuse(now, ticket)) {
    refused.push_back(MakeRefusal(now, ticket, *reason));
    return refused;
  }
  if (size() >= limit_) {
    const auto candidate = EvictionCandidate(ticket);
    if (!candidate.has_value()) {
      refused.push_back(MakeRefusal(now, ticket, Reason::kOverloaded));
      return refused;
    }
    refused.push_back(RefuseQueued(now, *candidate, Reason::kOverloaded));
  }
  Insert(now, std::move(ticket));
  return refused;
}

void Queue::Impl::EraseIndexes(const Ticket& ticket) {
  locations_.erase(ticket.tag);
  deadlines_.erase({ticket.deadline, ticket.tag});
  const auto queue = queues_.find(ticket.workspace);
  if (queue != queues_.end() && queue->second.tickets.empty()) {
    queues_.erase(queue);
  }
}

std::optional<Ticket> Queue::Impl::TakeNext(TimePoint now,
                                            const TicketPredicate& can_run) {
  for (auto& [priority, priority_class] : classes_) {
    Tickets& waiting = priority_class.transactions;
    const auto next = std::find_if(waiting.begin(), waiting.end(), can_run);
    if (next == waiting.end()) continue;
    Ticket taken = std::move(*next);
    waiting.erase(next);
    --transaction_tickets_;
    return taken;
  }
  for (auto& [priority, priority_class] : classes_) {
    auto taken = work_ == nullptr
                     ? priority_class.TakeNext(can_run)
                     : priority_class.TakeNextByWork(now, MeanWork(), can_run);
    if (!taken.has_value()) continue;
    if (work_ != nullptr) {
      priority_class.guaranteed.RecordServed(now, taken->workspace,
                                             WorkOf(taken->workspace));
    }
    return taken;
  }
  return std::nullopt;
}

// `Expire` handles tickets past their deadline: running one would spend
// capacity on an answer that no caller waits for.
std::optional<Ticket> Queue::Impl::Pop(TimePoint now,
                                       const TicketPredicate& can_run) {
  Advance(now);
  auto taken = TakeNext(now, [this, now, &can_run](const Ticket& ticket) {
    return MayStart(now, ticket) && can_run(ticket);
  });
  if (taken.has_value()) EraseIndexes(*taken);
  return taken;
}

bool Queue::Impl::Remove(uint64_t tag) {
  const auto found = locations_.find(tag);
  if (found == locations_.end()) return false;
  const Location location = found->second;
  const Ticket ticket = *location.ticket;
  if (location.queue == nullptr) {
    location.owner->transactions.erase(location.ticket);
    --transaction_tickets_;
  } else {
    location.queue->owner->Remove(location.queue, location.ticket);
  }
  EraseIndexes(ticket);
  return true;
}

std::vector<Refusal> Queue::Impl::Expire(TimePoint now) {
  Advance(now);
  std::vector<Refusal> refused;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t tag = deadlines_.begin()->second;
    refused.push_back(RefuseQueued(now, tag, Reason::kDeadline));
  }
  if (now < next_sweep_) return refused;
  next_sweep_ = now + kSweepInterval;
  for (const uint64_t tag : LateTickets(now)) {
    refused.push_back(RefuseQueued(now, tag, Reason::kOverloaded));
  }
  return refused;
}

std::vector<Refusal> Queue::Impl::Drop(TimePoint now, Reason reason,
                                       const TicketPredicate& drop) {
  Advance(now);
  std::vector<uint64_t> tags;
  for (const auto& [deadline, tag] : deadlines_) {
    if (drop(*locations_.at(tag).ticket)) tags.push_back(tag);
  }
  std::vector<Refusal> refused;
  refused.reserve(tags.size());
  for (const uint64_t tag : tags) {
    refused.push_back(RefuseQueued(now, tag, reason));
  }
  return refused;
}

void Queue::Impl::SetStatementsRunning(TimePoint now, bool running) {
  Advance(now);
  statements_running_ = running;
}

void Queue::Impl::RecordFinished(TimePoint now) {
  Advance(now);
  typical_rate_.RecordFinished(now, size() > 0);
  if (size() > 0) drain_rate_.RecordFinished();
}

std::vector<std::string> Queue::Impl::WaitingWorkspaces() const {
  std::set<std::string> names;
  for (const auto& [workspace, queue] : queues_) names.insert(workspace);
  for (const auto& [priority, priority_class] : classes_) {
    for (const Ticket& ticket : priority_class.transactions) {
      names.insert(ticket.workspace);
    }
  }
  return {names.begin(), names.end()};
}

}  // namespace ryefold::core::admission
