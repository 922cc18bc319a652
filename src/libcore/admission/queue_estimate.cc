// Estimates of queue wait, and the refusals that follow from them.

#include <algorithm>
#include <limits>

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
/// At most half of it is reserved. Otherwise, after a database was slow for a
/// while, a key whose statements take longer than the whole time would never be
/// served and never measured again.
constexpr int kMaxRunTimeDivisor = 2;
/// Minimum fraction of the drain rate assumed for any class.
constexpr double kMinClassFraction = 0.02;

double SecondsUntil(TimePoint now, TimePoint then) {
  return std::chrono::duration<double>(then - now).count();
}

}  // namespace

/// Returns the latest time at which a ticket can start and still be answered in
/// time.
TimePoint Queue::Impl::LatestStart(const Ticket& ticket) const {
  const auto total_time = ticket.deadline - ticket.enqueued;
  TimePoint::duration run_time = total_time / kRunTimeDivisor;
  if (work_ != nullptr) {
    run_time = std::min<TimePoint::duration>(
        std::max<TimePoint::duration>(run_time, work_->work(ticket.workspace)),
        total_time / kMaxRunTimeDivisor);
  }
  return ticket.deadline - run_time;
}

bool Queue::Impl::MayStart(TimePoint now, const Ticket& ticket) const {
  if (work_ == nullptr || ticket.in_transaction) return ticket.deadline > now;
  return LatestStart(ticket) > now;
}

/// Returns the work of a ticket in seconds, or 1 if tickets count alike.
double Queue::Impl::WorkOf(const std::string& workspace) const {
  if (work_ == nullptr) return 1;
  return std::chrono::duration<double>(work_->work(workspace)).count();
}

double Queue::Impl::MeanWork() const {
  if (work_ == nullptr) return 1;
  return std::chrono::duration<double>(work_->mean()).count();
}

/// Converts a rate in statements per second to work per second.
std::optional<double> Queue::Impl::WorkRate(std::optional<double> rate) const {
  if (!rate.has_value()) return std::nullopt;
  return *rate * MeanWork();
}

Queue::Impl::Policy Queue::Impl::PolicyFor(const std::string& workspace) const {
  const auto found = policies_.find(workspace);
  return found == policies_.end() ? Policy() : found->second;
}

Queue::Impl::InsertionPoint Queue::Impl::InsertionPointFor(
    const std::string& workspace) const {
  const auto found = queues_.find(workspace);
  if (found != queues_.end()) {
    const WorkspaceQueue& queue = found->second;
    return InsertionPoint{queue.priority, queue.weight, queue.tickets.size(),
                          queue.work};
  }
  const Policy policy = PolicyFor(workspace);
  return InsertionPoint{policy.priority, policy.weight, 0, WorkOf(workspace)};
}

double Queue::Impl::WorkAheadOfClass(uint32_t priority) const {
  double ahead = static_cast<double>(transaction_tickets_) * MeanWork();
  for (const auto& [other, priority_class] : classes_) {
    if (other >= priority) break;
    ahead += priority_class.work();
  }
  return ahead;
}

double Queue::Impl::TicketsAhead(const InsertionPoint& insertion) const {
  const PriorityClass& priority_class = classes_.at(insertion.priority);
  const double before = WorkAheadOfClass(insertion.priority);
  if (work_ != nullptr) {
    return before + priority_class.WorkUntil(insertion.weight, insertion.work,
                                             insertion.queued + 1,
                                             insertion.queued > 0);
  }
  return before + priority_class.TicketsAhead(insertion.weight,
                                              insertion.queued + 1,
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
                                        const std::string& workspace) const {
  const InsertionPoint insertion = InsertionPointFor(workspace);
  const std::optional<double> rate =
      RateForClass(WorkRate(CurrentDrainRate(now)), now, insertion.priority);
  if (!rate.has_value()) return 0;
  const PriorityClass& priority_class = classes_.at(insertion.priority);
  if (work_ != nullptr && priority_class.IsShort(now)) {
    return WorkAheadOfClass(insertion.priority) / *rate +
           priority_class.SecondsUntilServed(
               now, workspace,
               priority_class.PositionInOrder(now, insertion.weight,
                                              insertion.work,
                                              insertion.queued > 0, *rate),
               insertion.queued + 1);
  }
  return TicketsAhead(insertion) / *rate;
}

milliseconds Queue::Impl::ExpectedWait(TimePoint now,
                                       const std::string& workspace) const {
  const double seconds = EstimateWaitSeconds(now, workspace);
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(seconds));
}

/// Returns the reason to refuse the ticket regardless of free room; nullopt if
/// there is none.
std::optional<Reason> Queue::Impl::ReasonToRefuse(TimePoint now,
                                                  const Ticket& ticket) const {
  if (ticket.deadline <= now) return Reason::kDeadline;
  if (ticket.in_transaction) return std::nullopt;
  const double wait = EstimateWaitSeconds(now, ticket.workspace);
  const double left = SecondsUntil(now, ticket.deadline);
  if (wait > kMaxQueueFraction * left) return Reason::kOverloaded;
  return std::nullopt;
}

/// Returns a function from the ordinal of a queue's ticket (from 1) to the
/// seconds until it is started, with work `before` in more important classes.
std::function<double(size_t)> Queue::Impl::WaitOf(
    TimePoint now, const PriorityClass& priority_class,
    const WorkspaceQueue& queue, double before, double rate) const {
  if (work_ == nullptr) {
    return [&priority_class, &queue, before, rate](size_t ordinal) {
      const double ahead =
          before + priority_class.TicketsAhead(queue.weight, ordinal, true) - 1;
      return ahead / rate;
    };
  }
  if (!priority_class.IsShort(now)) {
    return [&priority_class, &queue, before, rate](size_t ordinal) {
      const double until =
          priority_class.WorkUntil(queue.weight, queue.work, ordinal, true);
      return (before + until - queue.work) / rate;
    };
  }
  const OrderPosition position = priority_class.PositionInOrder(
      now, queue.weight, queue.work, /*active=*/true, rate);
  return
      [now, &priority_class, &queue, before, rate, position](size_t ordinal) {
        const double seconds = priority_class.SecondsUntilServed(
            now, queue.workspace, position, ordinal);
        return (before - queue.work) / rate + seconds;
      };
}

/// Returns the tickets that cannot be served in time, unordered. Steps of open
/// transactions are excluded: they are served next, and refusing one would
/// waste the work of its transaction.
std::vector<uint64_t> Queue::Impl::LateTickets(TimePoint now) const {
  std::vector<uint64_t> late_tags;
  for (const auto& [priority, priority_class] : classes_) {
    const std::optional<double> rate =
        RateForClass(WorkRate(CurrentDrainRate(now)), now, priority);
    // Without a measured rate, only tickets past their latest start are known
    // to be late.
    if (!rate.has_value() && work_ == nullptr) break;
    const double per_second =
        rate.value_or(std::numeric_limits<double>::infinity());
    const double before = WorkAheadOfClass(priority);
    for (const WorkspaceQueue* queue : priority_class.queues()) {
      const auto wait = WaitOf(now, priority_class, *queue, before, per_second);
      size_t ordinal = 0;
      for (const Ticket& ticket : queue->tickets) {
        const double left = SecondsUntil(now, LatestStart(ticket));
        if (wait(ordinal + 1) > left) {
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
