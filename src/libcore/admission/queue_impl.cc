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
  std::map<uint32_t, double> least;
  for (const WorkspacePolicy& policy : workspaces) {
    const double weight = std::max<uint32_t>(policy.weight, 1);
    policies_[policy.workspace] = Policy{policy.priority, weight};
    const auto [found, added] = least.emplace(policy.priority, weight);
    if (!added) found->second = std::min(found->second, weight);
  }
  for (auto& [workspace, line] : lines_) {
    if (line.home != nullptr) line.home->Leave(&line);
  }
  for (const auto& [priority, weight] : least) {
    classes_[priority].least_weight = weight;
  }
  classes_[kLastClass].least_weight = 1;
  for (auto& [workspace, line] : lines_) {
    const Policy policy = PolicyOf(workspace);
    line.priority = policy.priority;
    line.weight = policy.weight;
    classes_[line.priority].Join(&line);
  }
}

Line* Queue::Impl::LineOf(const std::string& workspace) {
  const auto [found, added] = lines_.try_emplace(workspace);
  Line* line = &found->second;
  if (added) {
    const Policy policy = PolicyOf(workspace);
    line->id = next_line_++;
    line->workspace = workspace;
    line->priority = policy.priority;
    line->weight = policy.weight;
  }
  return line;
}

Refusal Queue::Impl::Refuse(TimePoint now, const Ticket& ticket,
                            Reason reason) {
  const Standing standing = StandingOf(ticket.workspace);
  TimePoint* promised = &classes_.at(standing.priority).promised;
  Refusal refusal;
  refusal.tag = ticket.tag;
  refusal.reason = reason;
  refusal.retry_after =
      plan_.Next(now, PartOf(UsualPerSecond(), now, standing.priority),
                 Ahead(standing), promised);
  return refusal;
}

Refusal Queue::Impl::RefuseWaiting(TimePoint now, uint64_t tag, Reason reason) {
  const Ticket ticket = *places_.at(tag).ticket;
  Remove(tag);
  return Refuse(now, ticket, reason);
}

/// Returns the tag of the queued ticket to evict for `ticket`; nullopt if all
/// queued tickets come before it. Within a class the most loaded workspace
/// gives way, so that one with many requests cannot shut out the others.
std::optional<uint64_t> Queue::Impl::Victim(const Ticket& ticket) const {
  const Standing standing = StandingOf(ticket.workspace);
  for (auto it = classes_.rbegin(); it != classes_.rend(); ++it) {
    const Line* heaviest = it->second.heaviest();
    if (heaviest == nullptr) continue;
    const double load =
        static_cast<double>(standing.waiting + 1) / standing.weight;
    const bool lower = it->first > standing.priority;
    const bool heavier =
        it->first == standing.priority && heaviest->load() > load;
    if (!ticket.in_transaction && !lower && !heavier) return std::nullopt;
    return heaviest->tickets.back().tag;
  }
  return std::nullopt;
}

void Queue::Impl::Insert(TimePoint now, Ticket ticket) {
  const uint64_t tag = ticket.tag;
  const uint32_t priority = StandingOf(ticket.workspace).priority;
  PriorityClass* home = &classes_.at(priority);
  home->arrivals.Add(now);
  deadlines_.emplace(ticket.deadline, tag);
  Place place;
  if (ticket.in_transaction) {
    place.home = home;
    place.ticket =
        home->transactions.insert(home->transactions.end(), std::move(ticket));
    ++transactions_;
  } else {
    place.line = LineOf(ticket.workspace);
    place.ticket = home->Add(place.line, std::move(ticket));
  }
  places_.emplace(tag, place);
}

std::vector<Refusal> Queue::Impl::Push(TimePoint now, Ticket ticket) {
  Advance(now);
  if (ticket.enqueued == TimePoint()) ticket.enqueued = now;
  std::vector<Refusal> refused;
  if (const auto reason = Judge(now, ticket)) {
    refused.push_back(Refuse(now, ticket, *reason));
    return refused;
  }
  if (size() >= limit_) {
    const auto victim = Victim(ticket);
    if (!victim.has_value()) {
      refused.push_back(Refuse(now, ticket, Reason::kOverloaded));
      return refused;
    }
    refused.push_back(RefuseWaiting(now, *victim, Reason::kOverloaded));
  }
  Insert(now, std::move(ticket));
  return refused;
}

void Queue::Impl::Forget(const Ticket& ticket) {
  places_.erase(ticket.tag);
  deadlines_.erase({ticket.deadline, ticket.tag});
  const auto line = lines_.find(ticket.workspace);
  if (line != lines_.end() && line->second.tickets.empty()) {
    lines_.erase(line);
  }
}

std::optional<Ticket> Queue::Impl::Take(const CanRun& can_run) {
  for (auto& [priority, members] : classes_) {
    Tickets& waiting = members.transactions;
    const auto next = std::find_if(waiting.begin(), waiting.end(), can_run);
    if (next == waiting.end()) continue;
    Ticket taken = std::move(*next);
    waiting.erase(next);
    --transactions_;
    return taken;
  }
  for (auto& [priority, members] : classes_) {
    auto taken = members.Take(can_run);
    if (taken.has_value()) return taken;
  }
  return std::nullopt;
}

// `Expire` handles tickets past their deadline: running one would spend
// capacity on an answer that no caller waits for.
std::optional<Ticket> Queue::Impl::Pop(TimePoint now, const CanRun& can_run) {
  Advance(now);
  auto taken = Take([now, &can_run](const Ticket& ticket) {
    return ticket.deadline > now && can_run(ticket);
  });
  if (taken.has_value()) Forget(*taken);
  return taken;
}

bool Queue::Impl::Remove(uint64_t tag) {
  const auto found = places_.find(tag);
  if (found == places_.end()) return false;
  const Place place = found->second;
  const Ticket ticket = *place.ticket;
  if (place.line == nullptr) {
    place.home->transactions.erase(place.ticket);
    --transactions_;
  } else {
    place.line->home->Remove(place.line, place.ticket);
  }
  Forget(ticket);
  return true;
}

std::vector<Refusal> Queue::Impl::Expire(TimePoint now) {
  Advance(now);
  std::vector<Refusal> refused;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t tag = deadlines_.begin()->second;
    refused.push_back(RefuseWaiting(now, tag, Reason::kDeadline));
  }
  if (now < next_sweep_) return refused;
  next_sweep_ = now + kSweepInterval;
  for (const uint64_t tag : LateTickets(now)) {
    refused.push_back(RefuseWaiting(now, tag, Reason::kOverloaded));
  }
  return refused;
}

std::vector<Refusal> Queue::Impl::Drop(TimePoint now, Reason reason,
                                       const CanRun& drop) {
  Advance(now);
  std::vector<uint64_t> tags;
  for (const auto& [deadline, tag] : deadlines_) {
    if (drop(*places_.at(tag).ticket)) tags.push_back(tag);
  }
  std::vector<Refusal> refused;
  refused.reserve(tags.size());
  for (const uint64_t tag : tags) {
    refused.push_back(RefuseWaiting(now, tag, reason));
  }
  return refused;
}

void Queue::Impl::SetWorking(TimePoint now, bool working) {
  Advance(now);
  working_ = working;
}

void Queue::Impl::Finished(TimePoint now) {
  Advance(now);
  usual_.Finished(now, size() > 0);
  if (size() > 0) drain_.Finished();
}

std::vector<std::string> Queue::Impl::Waiting() const {
  std::set<std::string> names;
  for (const auto& [workspace, line] : lines_) names.insert(workspace);
  for (const auto& [priority, members] : classes_) {
    for (const Ticket& ticket : members.transactions) {
      names.insert(ticket.workspace);
    }
  }
  return {names.begin(), names.end()};
}

}  // namespace ryefold::core::admission
