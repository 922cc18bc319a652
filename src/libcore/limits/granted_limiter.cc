#include "ryefold/core/limits/granted_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ryefold::core::limits {
namespace {

using std::chrono::milliseconds;

/// Covers a round trip, or a pause of the owner's process of part of 100 ms
/// under a CPU quota.
constexpr milliseconds kAnswerTimeout{60};
/// Grants in an answer older than this are discarded, because they belong to an
/// earlier period of the limit. Measured on a clock that includes the time
/// while the process is suspended.
constexpr milliseconds kMaxAnswerAge{150};
/// Interval between probes to a suspected owner.
constexpr milliseconds kProbeInterval{500};
/// Bounds of the time for which a workspace over its limit is refused without
/// another request.
constexpr milliseconds kMinRefusalSpan{10};
constexpr milliseconds kMaxRefusalSpan{100};
/// The same if no owner answered.
constexpr milliseconds kUnansweredRefusalSpan{30};
/// Bounds of the retry delay under `LimitOrder::kPriority`. The longest applies
/// if the caller's patience is unknown or longer.
constexpr milliseconds kMinRetryDelay{20};
constexpr milliseconds kMaxRetryDelay{10000};
/// Interval between log lines about a workspace over its limit.
constexpr milliseconds kLogInterval{1000};

}  // namespace

GrantedLimiter::GrantedLimiter(ShardOwner self, uint64_t seed,
                               AllowanceLedger* ledger, AllowancePort* port,
                               LimitListener* listener, EventSink* events,
                               LimitOrder order)
    : self_(std::move(self)),
      order_(order),
      ledger_(ledger),
      port_(port),
      listener_(listener),
      events_(events),
      return_plan_(seed),
      random_(seed) {}

void GrantedLimiter::SetTable(const ShardTable& table) {
  table_ = table;
  for (auto& [name, queue] : queues_) queue.part_order = OrderParts(name);
}

void GrantedLimiter::SetConfiguration(
    uint64_t version,
    const std::map<std::string, workspace::WorkspaceRef>& workspaces) {
  config_version_ = version;
  for (auto it = queues_.begin(); it != queues_.end();) {
    const auto configured = workspaces.find(it->first);
    if (configured != workspaces.end()) {
      it->second.workspace = configured->second;
      ++it;
    } else if (it->second.waiting.empty()) {
      calls_.erase(it->second.call);
      it = queues_.erase(it);
    } else {
      ++it;
    }
  }
}

GrantedLimiter::WorkspaceQueue* GrantedLimiter::QueueOf(
    const workspace::WorkspaceRef& workspace) {
  const auto [found, added] = queues_.try_emplace(workspace->name);
  WorkspaceQueue& queue = found->second;
  queue.workspace = workspace;
  if (added) queue.part_order = OrderParts(workspace->name);
  return &queue;
}

/// Puts parts owned by this instance first, then those of its failure domain.
/// The order of the rest differs between instances, so that requests spread
/// over all parts. Returns an empty list without a table.
std::vector<uint32_t> GrantedLimiter::OrderParts(
    const std::string& workspace) const {
  std::vector<uint32_t> order;
  if (table_.shards.empty()) return order;
  for (uint32_t part = 0; part < kPartsPerLimit; ++part) order.push_back(part);
  const auto rank = [this, &workspace](uint32_t part) {
    const ShardOwner& owner = table_.shards[ShardOf(workspace, part)].owner;
    return std::make_tuple(
        owner != self_, owner.failure_domain != self_.failure_domain,
        XXH64(self_.instance.data(), self_.instance.size(), part));
  };
  std::sort(order.begin(), order.end(),
            [&rank](uint32_t a, uint32_t b) { return rank(a) < rank(b); });
  return order;
}

LimitAnswer GrantedLimiter::RequestAdmission(
    TimePoint now, const workspace::WorkspaceRef& workspace,
    OperationId operation, const Urgency& urgency) {
  if (workspace == nullptr || !workspace->limit.has_value()) return {};
  WorkspaceQueue* queue = QueueOf(workspace);
  // Without order by priority all operations are of one priority.
  Urgency counted;
  if (order_ == LimitOrder::kPriority) {
    counted = {PriorityLevel(urgency.priority), urgency.latest_retry};
  }
  for (const auto& [priority, refusal] : queue->refusals) {
    if (priority > counted.priority) break;
    if (now < refusal.refuse_until) {
      return MakeRefusal(now, refusal, counted, queue);
    }
  }
  const auto place = std::upper_bound(
      queue->waiting.begin(), queue->waiting.end(), counted.priority,
      [](uint32_t priority, const WaitingOperation& waiting) {
        return priority < waiting.urgency.priority;
      });
  queue->waiting.insert(place, {operation, counted});
  if (queue->call != 0) return {Verdict::kPending};
  Decisions decisions;
  RequestNextPart(now, queue, &decisions);
  if (decisions.empty()) return {Verdict::kPending};
  return decisions.front().answer;
}

void GrantedLimiter::Cancel(const std::string& workspace,
                            OperationId operation) {
  const auto found = queues_.find(workspace);
  if (found == queues_.end()) return;
  std::erase_if(found->second.waiting,
                [operation](const WaitingOperation& waiting) {
                  return waiting.operation == operation;
                });
}

AllowanceRequest GrantedLimiter::RequestFor(TimePoint now,
                                            const WorkspaceQueue& queue,
                                            uint32_t part) const {
  AllowanceRequest request;
  request.workspace = queue.workspace->name;
  request.part = part;
  request.wanted = static_cast<uint32_t>(queue.waiting.size());
  request.limit = *queue.workspace->limit;
  request.config_version = config_version_;
  if (order_ == LimitOrder::kArrival) return request;
  for (const WaitingOperation& waiting : queue.waiting) {
    const uint32_t priority = waiting.urgency.priority;
    if (request.demand.empty() || request.demand.back().priority != priority) {
      request.demand.push_back({priority, 0, milliseconds(0)});
    }
    PriorityDemand& demand = request.demand.back();
    ++demand.wanted;
    demand.longest_retry = std::clamp(
        std::chrono::floor<milliseconds>(waiting.urgency.latest_retry - now),
        demand.longest_retry, kMaxRetryDelay);
  }
  request.last_owner = IsLastOwner(queue);
  return request;
}

/// Whether no owner is asked after the last one of `parts_tried`. Suspected
/// owners are never asked.
bool GrantedLimiter::IsLastOwner(const WorkspaceQueue& queue) const {
  for (size_t i = queue.parts_tried; i < queue.part_order.size(); ++i) {
    const Shard& shard =
        table_.shards[ShardOf(queue.workspace->name, queue.part_order[i])];
    if (suspected_.count(shard.owner) == 0) return false;
  }
  return true;
}

/// Requests an allowance from the next owner for the waiting operations, or
/// refuses them when all owners were tried.
void GrantedLimiter::RequestNextPart(TimePoint now, WorkspaceQueue* queue,
                                     Decisions* decisions) {
  if (queue->parts_tried == 0) {
    queue->parts_exhausted = 0;
    queue->min_wait = kMaxRefusalSpan;
    for (WaitingOperation& waiting : queue->waiting) waiting.in_round = true;
  }
  while (!queue->waiting.empty() &&
         queue->parts_tried < queue->part_order.size()) {
    const uint32_t part = queue->part_order[queue->parts_tried++];
    const ShardOwner owner =
        table_.shards[ShardOf(queue->workspace->name, part)].owner;
    const AllowanceRequest request = RequestFor(now, *queue, part);
    if (owner == self_) {
      ApplyAnswer(now, ledger_->Grant(now, request), request.wanted, queue,
                  decisions);
      continue;
    }
    if (IsSuspected(now, owner, request)) continue;
    queue->call = ++last_call_;
    queue->wanted = request.wanted;
    queue->requested_at = now;
    queue->requested_from = owner;
    calls_[queue->call] = request.workspace;
    port_->RequestAllowance(queue->call, owner, request, now + kAnswerTimeout);
    return;
  }
  if (!queue->waiting.empty()) RefuseWaiting(now, queue, decisions);
  queue->parts_tried = 0;
  // More important operations that arrived during the round have one of their
  // own, in which all that wait take part.
  if (!queue->waiting.empty()) RequestNextPart(now, queue, decisions);
}

/// Sends a probe if one is due. Only the request that leads to the suspicion
/// waits for the timeout; afterwards probes detect that the owner answers
/// again.
bool GrantedLimiter::IsSuspected(TimePoint now, const ShardOwner& owner,
                                 const AllowanceRequest& request) {
  const auto found = suspected_.find(owner);
  if (found == suspected_.end()) return false;
  if (now < found->second) return true;
  found->second = now + kProbeInterval;
  AllowanceRequest probe = request;
  probe.wanted = 0;
  probe.demand.clear();
  probes_[++last_call_] = owner;
  port_->RequestAllowance(last_call_, owner, probe, now + kAnswerTimeout);
  return true;
}

void GrantedLimiter::MarkSuspected(TimePoint now, const WorkspaceQueue& queue) {
  const bool newly_suspected = suspected_.count(queue.requested_from) == 0;
  suspected_[queue.requested_from] = now + kProbeInterval;
  if (!newly_suspected) return;
  Event(events_, EventPriority::kState, "limit_owner_suspected")
      .Add("owner", queue.requested_from.instance)
      .Add("workspace", queue.workspace->name)
      .Add("waiting", queue.waiting.size())
      .Add("after", now - queue.requested_at);
}

void GrantedLimiter::ClearSuspected(const ShardOwner& owner) {
  if (suspected_.erase(owner) == 0) return;
  Event(events_, EventPriority::kState, "limit_owner_heard")
      .Add("owner", owner.instance);
}

void GrantedLimiter::ApplyAnswer(TimePoint now, const AllowanceAnswer& answer,
                                 uint32_t wanted, WorkspaceQueue* queue,
                                 Decisions* decisions) {
  if (answer.not_owner) return;
  // The first in the queue are the most important ones. They may have arrived
  // after the request, in which case those that were granted ask again.
  for (uint32_t i = 0; i < answer.granted && !queue->waiting.empty(); ++i) {
    decisions->push_back({queue->waiting.front().operation, {}});
    queue->waiting.pop_front();
    ++queue->usage.allowed;
  }
  if (answer.granted >= wanted) {
    // Operations that arrived since then start with the first part.
    queue->parts_tried = 0;
    return;
  }
  TakeRetryPlan(now, answer, queue);
  ++queue->parts_exhausted;
  queue->min_wait = std::min(queue->min_wait, answer.wait);
}

void GrantedLimiter::TakeRetryPlan(TimePoint now, const AllowanceAnswer& answer,
                                   WorkspaceQueue* queue) const {
  if (order_ == LimitOrder::kArrival) return;
  for (const PriorityGrant& grant : answer.grants) {
    if (grant.first_retry == milliseconds(0)) continue;
    RefusalState& state = queue->refusals[PriorityLevel(grant.priority)];
    state.next_retry = now + grant.first_retry;
    state.retry_interval = grant.retry_interval;
    state.planned_retries = static_cast<uint32_t>(
        std::count_if(queue->waiting.begin(), queue->waiting.end(),
                      [&grant](const WaitingOperation& waiting) {
                        return waiting.urgency.priority == grant.priority;
                      }));
  }
}

/// Refuses the operations of this round, and those that arrived during it and
/// are not more important than each of them.
void GrantedLimiter::RefuseWaiting(TimePoint now, WorkspaceQueue* queue,
                                   Decisions* decisions) {
  auto first = queue->waiting.begin();
  if (order_ == LimitOrder::kPriority) {
    first = std::find_if(
        first, queue->waiting.end(),
        [](const WaitingOperation& waiting) { return waiting.in_round; });
    if (first == queue->waiting.end()) return;
    const uint32_t refused_priority = first->urgency.priority;
    first = std::find_if(queue->waiting.begin(), queue->waiting.end(),
                         [refused_priority](const WaitingOperation& waiting) {
                           return waiting.urgency.priority == refused_priority;
                         });
  }
  const bool is_over_limit = queue->parts_exhausted > 0;
  const milliseconds refusal_span =
      is_over_limit
          ? std::clamp(queue->min_wait, kMinRefusalSpan, kMaxRefusalSpan)
          : kUnansweredRefusalSpan;
  RefusalState& refusal = queue->refusals[first->urgency.priority];
  refusal.refuse_until = now + refusal_span;
  refusal.over_limit = is_over_limit;
  if (is_over_limit) LogOverLimit(now, queue);
  for (auto each = first; each != queue->waiting.end(); ++each) {
    decisions->push_back(
        {each->operation, MakeRefusal(now, refusal, each->urgency, queue)});
  }
  queue->waiting.erase(first, queue->waiting.end());
}

LimitAnswer GrantedLimiter::MakeRefusal(TimePoint now,
                                        const RefusalState& cause,
                                        const Urgency& urgency,
                                        WorkspaceQueue* queue) {
  ++(cause.over_limit ? queue->usage.over_limit : queue->usage.unanswered);
  const double rate = std::max(queue->workspace->limit->rate, 1.0);
  RefusalState& own = queue->refusals[urgency.priority];
  return {Verdict::kRefused,
          RetryDelay(now, urgency, rate, cause.over_limit, &own),
          /*unknown=*/!cause.over_limit};
}

/// Returns the retry delay of one refused caller. Callers for whom the owner
/// planned get the times of its plan. Others are spread over the time between
/// the end of the plan and the caller's patience, at least its second half,
/// since this instance does not know how many others do the same.
milliseconds GrantedLimiter::RetryDelay(TimePoint now, const Urgency& urgency,
                                        double rate, bool over_limit,
                                        RefusalState* state) {
  if (order_ == LimitOrder::kArrival) {
    return return_plan_.NextRetryAfter(now, rate, 0, &state->latest_return);
  }
  const milliseconds longest =
      std::clamp(std::chrono::floor<milliseconds>(urgency.latest_retry - now),
                 kMinRetryDelay, kMaxRetryDelay);
  if (!over_limit) {
    // No owner answered, which may end soon.
    const milliseconds delay =
        return_plan_.NextRetryAfter(now, rate, 0, &state->latest_return);
    if (delay <= longest) return delay;
  }
  const milliseconds planned =
      std::chrono::floor<milliseconds>(state->next_retry - now);
  if (state->planned_retries > 0) {
    --state->planned_retries;
    state->next_retry += state->retry_interval;
    if (planned >= kMinRetryDelay && planned <= longest) return planned;
  }
  const milliseconds earliest =
      planned >= kMinRetryDelay ? std::min(planned, longest / 2) : longest / 2;
  std::uniform_int_distribution<int64_t> spread(earliest.count(),
                                                longest.count());
  return std::max(kMinRetryDelay, milliseconds(spread(random_)));
}

void GrantedLimiter::LogOverLimit(TimePoint now, WorkspaceQueue* queue) {
  if (now - queue->over_limit_logged_at < kLogInterval) return;
  queue->over_limit_logged_at = now;
  Event(events_, EventPriority::kState, "workspace_over_limit")
      .Add("workspace", queue->workspace->name)
      .Add("rate", static_cast<uint64_t>(queue->workspace->limit->rate))
      .Add("burst", static_cast<uint64_t>(queue->workspace->limit->burst))
      .Add("waiting", queue->waiting.size())
      .Add("dry_parts", queue->parts_exhausted)
      .Add("allowed", queue->usage.allowed)
      .Add("over_limit", queue->usage.over_limit)
      .Add("config_version", config_version_);
}

void GrantedLimiter::AllowanceAnswered(
    TimePoint now, uint64_t call,
    const std::optional<AllowanceAnswer>& answer) {
  const auto probe = probes_.extract(call);
  if (!probe.empty()) {
    if (answer.has_value()) ClearSuspected(probe.mapped());
    return;
  }
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const auto entry = queues_.find(found->second);
  calls_.erase(found);
  if (entry == queues_.end() || entry->second.call != call) return;
  WorkspaceQueue* queue = &entry->second;
  queue->call = 0;
  Decisions decisions;
  const bool in_time = now - queue->requested_at < kMaxAnswerAge;
  if (answer.has_value() && in_time) {
    ApplyAnswer(now, *answer, queue->wanted, queue, &decisions);
  } else if (!answer.has_value()) {
    MarkSuspected(now, *queue);
  }
  if (!in_time) queue->parts_tried = 0;
  RequestNextPart(now, queue, &decisions);
  NotifyListener(now, decisions);
}

void GrantedLimiter::NotifyListener(TimePoint now, const Decisions& decisions) {
  for (const Decision& decision : decisions) {
    if (decision.answer.verdict == Verdict::kAllowed) {
      listener_->OperationAllowed(now, decision.operation);
    } else {
      listener_->OperationRefused(now, decision.operation, decision.answer);
    }
  }
}

std::map<std::string, LimitUsage> GrantedLimiter::usage() const {
  std::map<std::string, LimitUsage> usage;
  for (const auto& [name, queue] : queues_) usage[name] = queue.usage;
  return usage;
}

}  // namespace ryefold::core::limits
