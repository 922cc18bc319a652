#include "lines.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace ryefold::core::admission {
namespace {

using std::chrono::milliseconds;

/// Time without a refusal for lack of capacity after which a class counts as
/// served completely. Shorter than a burst, longer than the gaps between the
/// refusals of one.
constexpr milliseconds kShortagePeriod{1000};
/// Work of the first rank in seconds, and the ratio between ranks. Statements
/// of 12 and 19 ms are in different ranks.
constexpr double kFirstRankSeconds = 0.0012;
constexpr double kRankRatio = 1.5;

}  // namespace

size_t WorkRank(double work) {
  if (work <= kFirstRankSeconds) return 0;
  const double rank = std::log(work / kFirstRankSeconds) / std::log(kRankRatio);
  return std::min(static_cast<size_t>(rank) + 1, kWorkRanks - 1);
}

Tickets::iterator PriorityClass::Add(WorkspaceQueue* queue, Ticket ticket) {
  SubtractFromTotals(queue);
  const auto added =
      queue->tickets.insert(queue->tickets.end(), std::move(ticket));
  if (queue->owner == nullptr) {
    queue->ring_position = ring_.insert(ring_.end(), queue);
    queue->owner = this;
  }
  AddToTotals(queue);
  return added;
}

void PriorityClass::Remove(WorkspaceQueue* queue, Tickets::iterator ticket) {
  SubtractFromTotals(queue);
  queue->tickets.erase(ticket);
  AddToTotals(queue);
  // An empty queue loses its turn and its unused deficit: shares are for
  // workspaces with queued tickets, not for those that may return.
  if (queue->tickets.empty()) Detach(queue);
}

std::optional<Ticket> PriorityClass::TakeNext(const TicketPredicate& can_run) {
  for (size_t turns = ring_.size(); turns > 0; --turns) {
    WorkspaceQueue* queue = ring_.front();
    if (queue->deficit < 1) queue->deficit += queue->weight / min_weight;
    const auto next =
        std::find_if(queue->tickets.begin(), queue->tickets.end(), can_run);
    if (next == queue->tickets.end()) {
      EndTurn();
      continue;
    }
    Ticket taken = std::move(*next);
    queue->deficit -= 1;
    Remove(queue, next);
    if (!queue->tickets.empty() && queue->deficit < 1) EndTurn();
    return taken;
  }
  return std::nullopt;
}

std::optional<Ticket> PriorityClass::TakeNextByWork(
    TimePoint now, double mean_work, const TicketPredicate& can_run) {
  if (ring_.empty()) return std::nullopt;
  ++takes_;
  std::optional<Ticket> taken;
  if (!IsShort(now)) {
    taken = TakeFromRank(std::nullopt, mean_work, can_run);
  } else {
    taken = TakeDue(now, can_run);
    std::set<size_t> ranks;
    for (const WorkspaceQueue* queue : ring_) ranks.insert(queue->rank);
    for (const size_t rank : ranks) {
      if (taken.has_value()) break;
      taken = TakeFromRank(rank, mean_work, can_run);
    }
  }
  return taken;
}

std::optional<Ticket> PriorityClass::TakeDue(TimePoint now,
                                             const TicketPredicate& can_run) {
  for (WorkspaceQueue* queue : ring_) {
    if (!guaranteed.IsDue(now, queue->workspace, queue->work)) continue;
    const auto next =
        std::find_if(queue->tickets.begin(), queue->tickets.end(), can_run);
    if (next == queue->tickets.end()) {
      queue->blocked_in = takes_;
      continue;
    }
    Ticket taken = std::move(*next);
    Remove(queue, next);
    return taken;
  }
  return std::nullopt;
}

/// Serves the queues of one rank, or all, by deficit round robin.
std::optional<Ticket> PriorityClass::TakeFromRank(
    std::optional<size_t> rank, double mean_work,
    const TicketPredicate& can_run) {
  const auto is_open = [this, rank](const WorkspaceQueue* queue) {
    return queue->blocked_in != takes_ &&
           (!rank.has_value() || queue->rank == *rank);
  };
  auto open = std::count_if(ring_.begin(), ring_.end(), is_open);
  while (open > 0) {
    WorkspaceQueue* queue = ring_.front();
    if (!is_open(queue)) {
      EndTurn();
      continue;
    }
    // A deficit below zero is paid back before the next turn, so that a queue
    // of long statements does not gain by its last one.
    if (queue->deficit <= 0) {
      queue->deficit += mean_work * queue->weight / min_weight;
    }
    if (queue->deficit <= 0) {
      EndTurn();
      continue;
    }
    const auto next =
        std::find_if(queue->tickets.begin(), queue->tickets.end(), can_run);
    if (next == queue->tickets.end()) {
      queue->blocked_in = takes_;
      --open;
      EndTurn();
      continue;
    }
    Ticket taken = std::move(*next);
    queue->deficit -= queue->work;
    Remove(queue, next);
    if (!queue->tickets.empty() && queue->deficit <= 0) EndTurn();
    return taken;
  }
  return std::nullopt;
}

void PriorityClass::RecordShortage(TimePoint now) {
  short_until_ = now + kShortagePeriod;
}

OrderPosition PriorityClass::PositionInOrder(TimePoint now, double weight,
                                             double work, bool active,
                                             double rate) const {
  const size_t rank = WorkRank(work);
  OrderPosition position;
  position.work = work;
  position.same_rank = work;
  double same_weight = active ? 0 : weight;
  for (const WorkspaceQueue* queue : ring_) {
    if (queue->rank < rank) position.before += queue->queued_work();
    if (queue->rank != rank) continue;
    position.same_rank += queue->queued_work();
    same_weight += queue->weight;
  }
  position.relative_weight = same_weight / weight;
  position.rate = rate;
  position.rate_left = rate * (1 - guaranteed.PartAbove(rank, rate));
  for (size_t lower = 0; lower < rank; ++lower) {
    position.rate_left -= requested[lower].per_second(now);
  }
  return position;
}

double PriorityClass::SecondsUntilServed(TimePoint now, const std::string& key,
                                         const OrderPosition& position,
                                         size_t ordinal) const {
  const double own = static_cast<double>(ordinal) * position.work;
  const double by_guarantee = guaranteed.SecondsUntilServed(
      now, key, position.work, own, position.rate);
  if (position.rate_left <= 0) return by_guarantee;
  const double by_order =
      (position.before +
       std::min(own * position.relative_weight, position.same_rank)) /
      position.rate_left;
  return std::min(by_order, by_guarantee);
}

double PriorityClass::WorkUntil(double weight, double work, size_t ordinal,
                                bool active) const {
  const double own = static_cast<double>(ordinal) * work;
  const double total_weight = active_weight_ + (active ? 0 : weight);
  // The ordinal of a new ticket is not part of the queued work yet.
  return std::min(own * total_weight / weight, work_ + work);
}

double PriorityClass::TicketsAhead(double weight, size_t ordinal,
                                   bool active) const {
  const double total_weight = active_weight_ + (active ? 0 : weight);
  const double by_share = static_cast<double>(ordinal) * total_weight / weight;
  return std::min(by_share, static_cast<double>(size_));
}

WorkspaceQueue* PriorityClass::most_loaded() const {
  return by_load_.empty() ? nullptr
                          : std::get<WorkspaceQueue*>(*by_load_.rbegin());
}

void PriorityClass::Detach(WorkspaceQueue* queue) {
  if (queue->owner != this) return;
  SubtractFromTotals(queue);
  ring_.erase(queue->ring_position);
  queue->owner = nullptr;
  queue->deficit = 0;
}

void PriorityClass::Attach(WorkspaceQueue* queue) {
  if (queue->tickets.empty()) return;
  queue->ring_position = ring_.insert(ring_.end(), queue);
  queue->owner = this;
  AddToTotals(queue);
}

void PriorityClass::AddToTotals(WorkspaceQueue* queue) {
  if (queue->tickets.empty()) return;
  by_load_.insert(LoadKeyOf(queue));
  size_ += queue->tickets.size();
  work_ += queue->queued_work();
  active_weight_ += queue->weight;
}

void PriorityClass::SubtractFromTotals(WorkspaceQueue* queue) {
  if (queue->tickets.empty()) return;
  by_load_.erase(LoadKeyOf(queue));
  size_ -= queue->tickets.size();
  work_ -= queue->queued_work();
  // Without rounding errors that would add up.
  if (size_ == 0) work_ = 0;
  active_weight_ -= queue->weight;
}

void PriorityClass::EndTurn() {
  ring_.splice(ring_.end(), ring_, ring_.begin());
}

}  // namespace ryefold::core::admission
