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
/// Interval between log lines about a workspace over its limit.
constexpr milliseconds kLogInterval{1000};

}  // namespace

GrantedLimiter::GrantedLimiter(ShardOwner self, uint64_t seed,
                               AllowanceLedger* ledger, AllowancePort* port,
                               LimitListener* listener, EventSink* events)
    : self_(std::move(self)),
      ledger_(ledger),
      port_(port),
      listener_(listener),
      events_(events),
      return_plan_(seed) {}

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
    OperationId operation) {
  if (workspace == nullptr || !workspace->limit.has_value()) return {};
  WorkspaceQueue* queue = QueueOf(workspace);
  if (now < queue->refuse_until) return MakeRefusal(now, queue);
  queue->waiting.push_back(operation);
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
  std::erase(found->second.waiting, operation);
}

AllowanceRequest GrantedLimiter::RequestFor(const WorkspaceQueue& queue,
                                            uint32_t part) const {
  AllowanceRequest request;
  request.workspace = queue.workspace->name;
  request.part = part;
  request.wanted = static_cast<uint32_t>(queue.waiting.size());
  request.limit = *queue.workspace->limit;
  request.config_version = config_version_;
  return request;
}

/// Requests an allowance from the next owner for the waiting operations, or
/// refuses them when all owners were tried.
void GrantedLimiter::RequestNextPart(TimePoint now, WorkspaceQueue* queue,
                                     Decisions* decisions) {
  if (queue->parts_tried == 0) {
    queue->parts_exhausted = 0;
    queue->min_wait = kMaxRefusalSpan;
  }
  while (!queue->waiting.empty() &&
         queue->parts_tried < queue->part_order.size()) {
    const uint32_t part = queue->part_order[queue->parts_tried++];
    const ShardOwner owner =
        table_.shards[ShardOf(queue->workspace->name, part)].owner;
    const AllowanceRequest request = RequestFor(*queue, part);
    if (owner == self_) {
      ApplyAnswer(ledger_->Grant(now, request), request.wanted, queue,
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

void GrantedLimiter::ApplyAnswer(const AllowanceAnswer& answer, uint32_t wanted,
                                 WorkspaceQueue* queue, Decisions* decisions) {
  if (answer.not_owner) return;
  for (uint32_t i = 0; i < answer.granted && !queue->waiting.empty(); ++i) {
    decisions->push_back({queue->waiting.front(), {}});
    queue->waiting.pop_front();
    ++queue->usage.allowed;
  }
  if (answer.granted >= wanted) {
    // Operations that arrived since then start with the first part.
    queue->parts_tried = 0;
    return;
  }
  ++queue->parts_exhausted;
  queue->min_wait = std::min(queue->min_wait, answer.wait);
}

void GrantedLimiter::RefuseWaiting(TimePoint now, WorkspaceQueue* queue,
                                   Decisions* decisions) {
  const bool is_over_limit = queue->parts_exhausted > 0;
  const milliseconds refusal_span =
      is_over_limit
          ? std::clamp(queue->min_wait, kMinRefusalSpan, kMaxRefusalSpan)
          : kUnansweredRefusalSpan;
  queue->refuse_until = now + refusal_span;
  if (is_over_limit) LogOverLimit(now, queue);
  while (!queue->waiting.empty()) {
    decisions->push_back({queue->waiting.front(), MakeRefusal(now, queue)});
    queue->waiting.pop_front();
  }
}

LimitAnswer GrantedLimiter::MakeRefusal(TimePoint now, WorkspaceQueue* queue) {
  ++(queue->parts_exhausted > 0 ? queue->usage.over_limit
                                : queue->usage.unanswered);
  const double rate = std::max(queue->workspace->limit->rate, 1.0);
  return {Verdict::kRefused,
          return_plan_.NextRetryAfter(now, rate, 0, &queue->latest_return),
          /*unknown=*/queue->parts_exhausted == 0};
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
    ApplyAnswer(*answer, queue->wanted, queue, &decisions);
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
