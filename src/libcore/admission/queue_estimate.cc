// Estimates of queue wait, and the refusals that follow from them.

#include <algorithm>

#include "queue_impl.h"

namespace ryefold::core::admission {
namespace {

using std::chrono::milliseconds;

/// Fraction of the remaining time that a ticket may spend in the queue; the
/// rest is for running it. Without this reserve an overloaded group would serve
/// every ticket just as its deadline passes, and no caller would get an answer.
constexpr double kMaxQueueFraction = 0.75;
/// One tenth of a ticket's total time is reserved for running it.
constexpr int kRunTimeDivisor = 10;
/// Minimum fraction of the drain rate assumed for any class.
constexpr double kMinClassFraction = 0.02;

double SecondsUntil(TimePoint now, TimePoint then) {
  return std::chrono::duration<double>(then - now).count();
}

/// Returns the latest time at which a ticket can start and still be answered in
/// time.
TimePoint LatestStart(const Ticket& ticket) {
  const auto total_time = ticket.deadline - ticket.enqueued;
  return ticket.deadline - total_time / kRunTimeDivisor;
}

}  // namespace

Queue::Impl::Policy Queue::Impl::PolicyFor(const std::string& workspace) const {
  const auto found = policies_.find(workspace);
  return found == policies_.end() ? Policy() : found->second;
}

Queue::Impl::InsertionPoint Queue::Impl::InsertionPointFor(
    const std::string& workspace) const {
  const auto found = queues_.find(workspace);
  if (found != queues_.end()) {
    const WorkspaceQueue& queue = found->second;
    return InsertionPoint{queue.priority, queue.weight, queue.tickets.size()};
  }
  const Policy policy = PolicyFor(workspace);
  return InsertionPoint{policy.priority, policy.weight, 0};
}

double Queue::Impl::TicketsAheadOfClass(uint32_t priority) const {
  double ahead = static_cast<double>(transaction_tickets_);
  for (const auto& [other, priority_class] : classes_) {
    if (other >= priority) break;
    ahead += static_cast<double>(priority_class.size());
  }
  return ahead;
}

double Queue::Impl::TicketsAhead(const InsertionPoint& insertion) const {
  const PriorityClass& priority_class = classes_.at(insertion.priority);
  return TicketsAheadOfClass(insertion.priority) +
         priority_class.TicketsAhead(insertion.weight, insertion.queued + 1,
                                     insertion.queued > 0);
}

std::optional<double> Queue::Impl::TypicalDrainRate() const {
  return external_rate_.has_value() ? external_rate_
                                    : typical_rate_.per_second();
}

std::optional<double> Queue::Impl::CurrentDrainRate(TimePoint now) const {
  if (external_rate_.has_value()) return external_rate_;
  DrainRate drain = drain_rate_;
  drain.Advance(now, IsBusy());
  return drain.per_second();
}

/// Returns the part of `rate` left for a class after the arrivals of higher
/// classes. By the whole rate, a low class would always appear to be nearly
/// served while higher classes keep arriving.
std::optional<double> Queue::Impl::RateForClass(std::optional<double> rate,
                                                TimePoint now,
                                                uint32_t priority) const {
  if (!rate.has_value()) return std::nullopt;
  double left = *rate;
  for (const auto& [other, priority_class] : classes_) {
    if (other >= priority) break;
    left -= priority_class.arrivals.per_second(now);
  }
  return std::max(left, *rate * kMinClassFraction);
}

double Queue::Impl::EstimateWaitSeconds(TimePoint now,
                                        const InsertionPoint& insertion) const {
  const std::optional<double> rate =
      RateForClass(CurrentDrainRate(now), now, insertion.priority);
  return rate.has_value() ? TicketsAhead(insertion) / *rate : 0;
}

milliseconds Queue::Impl::ExpectedWait(TimePoint now,
                                       const std::string& workspace) const {
  const double seconds = EstimateWaitSeconds(now, InsertionPointFor(workspace));
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(seconds));
}

/// Returns the reason to refuse the ticket regardless of free room; nullopt if
/// there is none.
std::optional<Reason> Queue::Impl::ReasonToRefuse(TimePoint now,
                                                  const Ticket& ticket) const {
  if (ticket.deadline <= now) return Reason::kDeadline;
  if (ticket.in_transaction) return std::nullopt;
  const double wait =
      EstimateWaitSeconds(now, InsertionPointFor(ticket.workspace));
  const double left = SecondsUntil(now, ticket.deadline);
  if (wait > kMaxQueueFraction * left) return Reason::kOverloaded;
  return std::nullopt;
}

/// Returns the tickets that cannot be served in time, unordered. Steps of open
/// transactions are excluded: they are served next, and refusing one would
/// waste the work of its transaction.
std::vector<uint64_t> Queue::Impl::LateTickets(TimePoint now) const {
  std::vector<uint64_t> late_tags;
  for (const auto& [priority, priority_class] : classes_) {
    const std::optional<double> rate =
        RateForClass(CurrentDrainRate(now), now, priority);
    if (!rate.has_value()) break;
    const double before = TicketsAheadOfClass(priority);
    for (const WorkspaceQueue* queue : priority_class.queues()) {
      size_t ordinal = 0;
      for (const Ticket& ticket : queue->tickets) {
        const double ahead =
            before +
            priority_class.TicketsAhead(queue->weight, ordinal + 1, true) - 1;
        const double left = SecondsUntil(now, LatestStart(ticket));
        if (ahead / *rate > left) {
          late_tags.push_back(ticket.tag);
        } else {
          ++ordinal;
        }
      }
    }
  }
  return late_tags;
}

}  // namespace ryefold::core::admission
