// Estimates of queue wait, and the refusals that follow from them.

#include <algorithm>

#include "queue_impl.h"

namespace ryefold::core::admission {
namespace {

using std::chrono::milliseconds;

/// Fraction of the remaining time that a ticket may spend in the queue; the
/// rest is for running it. Without this reserve an overloaded group would serve
/// every ticket just as its deadline passes, and no caller would get an answer.
constexpr double kQueuePart = 0.75;
/// One tenth of a ticket's total time is reserved for running it.
constexpr int kRunFraction = 10;
/// Minimum fraction of the drain rate assumed for any class.
constexpr double kLeastPart = 0.02;

double SecondsUntil(TimePoint now, TimePoint then) {
  return std::chrono::duration<double>(then - now).count();
}

/// Returns the latest time at which a ticket can start and still be answered in
/// time.
TimePoint LatestStart(const Ticket& ticket) {
  const auto allowed = ticket.deadline - ticket.enqueued;
  return ticket.deadline - allowed / kRunFraction;
}

}  // namespace

Queue::Impl::Policy Queue::Impl::PolicyOf(const std::string& workspace) const {
  const auto found = policies_.find(workspace);
  return found == policies_.end() ? Policy() : found->second;
}

Queue::Impl::Standing Queue::Impl::StandingOf(
    const std::string& workspace) const {
  const auto found = lines_.find(workspace);
  if (found != lines_.end()) {
    const Line& line = found->second;
    return Standing{line.priority, line.weight, line.tickets.size()};
  }
  const Policy policy = PolicyOf(workspace);
  return Standing{policy.priority, policy.weight, 0};
}

double Queue::Impl::AheadOfClass(uint32_t priority) const {
  double ahead = static_cast<double>(transactions_);
  for (const auto& [other, members] : classes_) {
    if (other >= priority) break;
    ahead += static_cast<double>(members.size());
  }
  return ahead;
}

double Queue::Impl::Ahead(const Standing& standing) const {
  const PriorityClass& members = classes_.at(standing.priority);
  return AheadOfClass(standing.priority) + members.Ahead(standing.weight,
                                                         standing.waiting + 1,
                                                         standing.waiting > 0);
}

std::optional<double> Queue::Impl::UsualPerSecond() const {
  return given_rate_.has_value() ? given_rate_ : usual_.per_second();
}

std::optional<double> Queue::Impl::PresentRate(TimePoint now) const {
  if (given_rate_.has_value()) return given_rate_;
  DrainRate drain = drain_;
  drain.Advance(now, busy());
  return drain.per_second();
}

/// Returns the part of `rate` left for a class after the arrivals of higher
/// classes. By the whole rate, a low class would always appear to be nearly
/// served while higher classes keep arriving.
std::optional<double> Queue::Impl::PartOf(std::optional<double> rate,
                                          TimePoint now,
                                          uint32_t priority) const {
  if (!rate.has_value()) return std::nullopt;
  double left = *rate;
  for (const auto& [other, members] : classes_) {
    if (other >= priority) break;
    left -= members.arrivals.per_second(now);
  }
  return std::max(left, *rate * kLeastPart);
}

double Queue::Impl::WaitSeconds(TimePoint now, const Standing& standing) const {
  const std::optional<double> rate =
      PartOf(PresentRate(now), now, standing.priority);
  return rate.has_value() ? Ahead(standing) / *rate : 0;
}

milliseconds Queue::Impl::ExpectedWait(TimePoint now,
                                       const std::string& workspace) const {
  const double seconds = WaitSeconds(now, StandingOf(workspace));
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(seconds));
}

/// Returns the reason to refuse the ticket regardless of free room; nullopt if
/// there is none.
std::optional<Reason> Queue::Impl::Judge(TimePoint now,
                                         const Ticket& ticket) const {
  if (ticket.deadline <= now) return Reason::kDeadline;
  if (ticket.in_transaction) return std::nullopt;
  const double wait = WaitSeconds(now, StandingOf(ticket.workspace));
  const double left = SecondsUntil(now, ticket.deadline);
  if (wait > kQueuePart * left) return Reason::kOverloaded;
  return std::nullopt;
}

/// Returns the tickets that cannot be served in time, unordered. Steps of open
/// transactions are excluded: they are served next, and refusing one would
/// waste the work of its transaction.
std::vector<uint64_t> Queue::Impl::LateTickets(TimePoint now) const {
  std::vector<uint64_t> late;
  for (const auto& [priority, members] : classes_) {
    const std::optional<double> rate = PartOf(PresentRate(now), now, priority);
    if (!rate.has_value()) break;
    const double before = AheadOfClass(priority);
    for (const Line* line : members.lines()) {
      size_t ordinal = 0;
      for (const Ticket& ticket : line->tickets) {
        const double ahead =
            before + members.Ahead(line->weight, ordinal + 1, true) - 1;
        const double left = SecondsUntil(now, LatestStart(ticket));
        if (ahead / *rate > left) {
          late.push_back(ticket.tag);
        } else {
          ++ordinal;
        }
      }
    }
  }
  return late;
}

}  // namespace ryefold::core::admission
