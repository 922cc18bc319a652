#include "ryefold/core/limits/granted_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ryefold::core::limits {
namespace {

using std::chrono::milliseconds;

/// Time for an owner's answer: a round trip, or a process that stands still for
/// a part of a tenth of a second under a processor quota.
constexpr milliseconds kAnswerTime{60};
/// An answer that comes later than this is for another moment; what it grants
/// is not used. Counted on a clock that goes on while the process is suspended.
constexpr milliseconds kGrantLife{150};
/// Pace of probes to an owner that did not answer.
constexpr milliseconds kProbePace{500};
/// Bounds of the time in which a workspace that is over its limit is refused
/// without another question.
constexpr milliseconds kLeastDry{10};
constexpr milliseconds kMostDry{100};
/// The same when no owner could be asked.
constexpr milliseconds kNobody{30};
/// Pace of the log line on a workspace that is over its limit.
constexpr milliseconds kTellPace{1000};

}  // namespace

GrantedLimiter::GrantedLimiter(Granter self, uint64_t seed,
                               AllowanceLedger* ledger, AllowancePort* port,
                               LimitListener* listener, EventSink* events)
    : self_(std::move(self)),
      ledger_(ledger),
      port_(port),
      listener_(listener),
      events_(events),
      plan_(seed) {}

void GrantedLimiter::SetTable(const ShardTable& table) {
  table_ = table;
  for (auto& [name, line] : lines_) line.order = OrderFor(name);
}

void GrantedLimiter::SetConfiguration(
    uint64_t version,
    const std::map<std::string, workspace::WorkspaceRef>& workspaces) {
  config_version_ = version;
  for (auto it = lines_.begin(); it != lines_.end();) {
    const auto configured = workspaces.find(it->first);
    if (configured != workspaces.end()) {
      it->second.workspace = configured->second;
      ++it;
    } else if (it->second.waiting.empty()) {
      calls_.erase(it->second.call);
      it = lines_.erase(it);
    } else {
      ++it;
    }
  }
}

GrantedLimiter::Line* GrantedLimiter::LineOf(
    const workspace::WorkspaceRef& workspace) {
  const auto [found, added] = lines_.try_emplace(workspace->name);
  Line& line = found->second;
  line.workspace = workspace;
  if (added) line.order = OrderFor(workspace->name);
  return &line;
}

/// The own part first, then those of the own failure domain; instances differ
/// in the rest, so that all parts are asked for. Nothing while there is no
/// table.
std::vector<uint32_t> GrantedLimiter::OrderFor(
    const std::string& workspace) const {
  std::vector<uint32_t> order;
  if (table_.shards.empty()) return order;
  for (uint32_t part = 0; part < kParts; ++part) order.push_back(part);
  const auto rank = [this, &workspace](uint32_t part) {
    const Granter& owner = table_.shards[ShardOf(workspace, part)].owner;
    return std::make_tuple(
        owner != self_, owner.failure_domain != self_.failure_domain,
        XXH64(self_.instance.data(), self_.instance.size(), part));
  };
  std::sort(order.begin(), order.end(),
            [&rank](uint32_t a, uint32_t b) { return rank(a) < rank(b); });
  return order;
}

LimitAnswer GrantedLimiter::Ask(TimePoint now,
                                const workspace::WorkspaceRef& workspace,
                                OperationId operation) {
  if (workspace == nullptr || !workspace->limit.has_value()) return {};
  Line* line = LineOf(workspace);
  if (now < line->refuse_until) return Refusal(now, line);
  line->waiting.push_back(operation);
  if (line->call != 0) return {Verdict::kPending};
  Decisions decisions;
  Proceed(now, line, &decisions);
  if (decisions.empty()) return {Verdict::kPending};
  return decisions.front().answer;
}

void GrantedLimiter::Cancel(const std::string& workspace,
                            OperationId operation) {
  const auto found = lines_.find(workspace);
  if (found == lines_.end()) return;
  std::erase(found->second.waiting, operation);
}

AllowanceRequest GrantedLimiter::RequestFor(const Line& line,
                                            uint32_t part) const {
  AllowanceRequest request;
  request.workspace = line.workspace->name;
  request.part = part;
  request.wanted = static_cast<uint32_t>(line.waiting.size());
  request.limit = *line.workspace->limit;
  request.config_version = config_version_;
  return request;
}

/// Goes on to the next owner for what waits, or refuses it when all were asked.
void GrantedLimiter::Proceed(TimePoint now, Line* line, Decisions* decisions) {
  if (line->tried == 0) {
    line->dry = 0;
    line->least_wait = kMostDry;
  }
  while (!line->waiting.empty() && line->tried < line->order.size()) {
    const uint32_t part = line->order[line->tried++];
    const Granter owner =
        table_.shards[ShardOf(line->workspace->name, part)].owner;
    const AllowanceRequest request = RequestFor(*line, part);
    if (owner == self_) {
      Take(ledger_->Grant(now, request), request.wanted, line, decisions);
      continue;
    }
    if (IsSuspected(now, owner, request)) continue;
    line->call = ++last_call_;
    line->wanted = request.wanted;
    line->asked_at = now;
    line->asked = owner;
    calls_[line->call] = request.workspace;
    port_->AskOwner(line->call, owner, request, now + kAnswerTime);
    return;
  }
  if (!line->waiting.empty()) RefuseWaiting(now, line, decisions);
  line->tried = 0;
}

/// An operation costs its caller the time for an answer once, when the owner
/// falls silent; from then on only probes find out that it is back.
bool GrantedLimiter::IsSuspected(TimePoint now, const Granter& owner,
                                 const AllowanceRequest& request) {
  const auto found = suspected_.find(owner);
  if (found == suspected_.end()) return false;
  if (now < found->second) return true;
  found->second = now + kProbePace;
  AllowanceRequest probe = request;
  probe.wanted = 0;
  probes_[++last_call_] = owner;
  port_->AskOwner(last_call_, owner, probe, now + kAnswerTime);
  return true;
}

void GrantedLimiter::Suspect(TimePoint now, const Line& line) {
  const bool news = suspected_.count(line.asked) == 0;
  suspected_[line.asked] = now + kProbePace;
  if (!news) return;
  Event(events_, EventPriority::kState, "limit_owner_suspected")
      .Add("owner", line.asked.instance)
      .Add("workspace", line.workspace->name)
      .Add("waiting", line.waiting.size())
      .Add("after", now - line.asked_at);
}

void GrantedLimiter::Unsuspect(const Granter& owner) {
  if (suspected_.erase(owner) == 0) return;
  Event(events_, EventPriority::kState, "limit_owner_heard")
      .Add("owner", owner.instance);
}

void GrantedLimiter::Take(const AllowanceAnswer& answer, uint32_t wanted,
                          Line* line, Decisions* decisions) {
  if (answer.not_owner) return;
  for (uint32_t i = 0; i < answer.granted && !line->waiting.empty(); ++i) {
    decisions->push_back({line->waiting.front(), {}});
    line->waiting.pop_front();
    ++line->usage.allowed;
  }
  if (answer.granted >= wanted) {
    // Whatever has come since begins with the first part.
    line->tried = 0;
    return;
  }
  ++line->dry;
  line->least_wait = std::min(line->least_wait, answer.wait);
}

void GrantedLimiter::RefuseWaiting(TimePoint now, Line* line,
                                   Decisions* decisions) {
  const bool over = line->dry > 0;
  const milliseconds pause =
      over ? std::clamp(line->least_wait, kLeastDry, kMostDry) : kNobody;
  line->refuse_until = now + pause;
  if (over) TellOverLimit(now, line);
  while (!line->waiting.empty()) {
    decisions->push_back({line->waiting.front(), Refusal(now, line)});
    line->waiting.pop_front();
  }
}

LimitAnswer GrantedLimiter::Refusal(TimePoint now, Line* line) {
  ++(line->dry > 0 ? line->usage.over_limit : line->usage.unanswered);
  const double rate = std::max(line->workspace->limit->rate, 1.0);
  return {Verdict::kRefused,
          plan_.NextRetryAfter(now, rate, 0, &line->promised),
          /*unknown=*/line->dry == 0};
}

void GrantedLimiter::TellOverLimit(TimePoint now, Line* line) {
  if (now - line->told_over_limit < kTellPace) return;
  line->told_over_limit = now;
  Event(events_, EventPriority::kState, "workspace_over_limit")
      .Add("workspace", line->workspace->name)
      .Add("rate", static_cast<uint64_t>(line->workspace->limit->rate))
      .Add("burst", static_cast<uint64_t>(line->workspace->limit->burst))
      .Add("waiting", line->waiting.size())
      .Add("dry_parts", line->dry)
      .Add("allowed", line->usage.allowed)
      .Add("over_limit", line->usage.over_limit)
      .Add("config_version", config_version_);
}

void GrantedLimiter::Answered(TimePoint now, uint64_t call,
                              const std::optional<AllowanceAnswer>& answer) {
  const auto probe = probes_.extract(call);
  if (!probe.empty()) {
    if (answer.has_value()) Unsuspect(probe.mapped());
    return;
  }
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const auto entry = lines_.find(found->second);
  calls_.erase(found);
  if (entry == lines_.end() || entry->second.call != call) return;
  Line* line = &entry->second;
  line->call = 0;
  Decisions decisions;
  const bool in_time = now - line->asked_at < kGrantLife;
  if (answer.has_value() && in_time) {
    Take(*answer, line->wanted, line, &decisions);
  } else if (!answer.has_value()) {
    Suspect(now, *line);
  }
  if (!in_time) line->tried = 0;
  Proceed(now, line, &decisions);
  Tell(now, decisions);
}

void GrantedLimiter::Tell(TimePoint now, const Decisions& decisions) {
  for (const Decision& each : decisions) {
    if (each.answer.verdict == Verdict::kAllowed) {
      listener_->OperationAllowed(now, each.operation);
    } else {
      listener_->OperationRefused(now, each.operation, each.answer);
    }
  }
}

std::map<std::string, LimitUsage> GrantedLimiter::usage() const {
  std::map<std::string, LimitUsage> usage;
  for (const auto& [name, line] : lines_) usage[name] = line.usage;
  return usage;
}

}  // namespace ryefold::core::limits
