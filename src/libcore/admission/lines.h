#pragma once

// Workspace queues behind `Queue`, grouped by priority class.

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "guaranteed_shares.h"
#include "rates.h"
#include "ryefold/core/admission/queue.h"

namespace ryefold::core::admission {

using Tickets = std::list<Ticket>;
using TicketPredicate = std::function<bool(const Ticket&)>;

/// Returns the rank of this work in seconds: each one covers work up to 1.5
/// times that of the one before. Within a rank keys share by weight: estimates
/// of equal statements differ by some percent, and a strict order would prefer
/// one workspace to another without a reason.
size_t WorkRank(double work);

class PriorityClass;

/// Tickets of one workspace, oldest first. Exists only while it has tickets.
struct WorkspaceQueue {
  uint64_t id = 0;
  std::string workspace;
  uint32_t priority = 0;
  double weight = 1;
  double deficit = 0;
  /// Work of one ticket in seconds; 1 if tickets count alike.
  double work = 1;
  /// Rank of `work`.
  size_t rank = 0;
  /// Number of the last `TakeNextByWork` in which no ticket could run.
  uint64_t blocked_in = 0;
  Tickets tickets;
  PriorityClass* owner = nullptr;
  std::list<WorkspaceQueue*>::iterator ring_position;

  double load() const { return queued_work() / weight; }
  double queued_work() const {
    return static_cast<double>(tickets.size()) * work;
  }
};

/// Position of a queue key in the order by work per statement.
struct OrderPosition {
  /// Work of one ticket.
  double work = 1;
  /// Queued work of lower ranks.
  double before = 0;
  /// Work queued in the key's rank, with one more ticket of the key.
  double same_rank = 0;
  /// Total weight of that rank relative to the key's.
  double relative_weight = 1;
  /// Work served per second, and the part of it that arrivals of lower ranks
  /// leave.
  double rate = 1;
  double rate_left = 1;
};

/// One priority class: deficit round robin over its non-empty queues. Each turn
/// adds a queue's weight divided by the smallest weight of the class, so that
/// large weights do not cause long bursts.
class PriorityClass {
 public:
  Tickets::iterator Add(WorkspaceQueue* queue, Ticket ticket);
  void Remove(WorkspaceQueue* queue, Tickets::iterator ticket);

  /// Removes and returns the next ticket that can run; nullopt if there is
  /// none.
  std::optional<Ticket> TakeNext(const TicketPredicate& can_run);

  /// Same by deficit round robin over work: each turn adds `mean_work` times
  /// the relative weight, and a ticket takes its work. While the class is
  /// short, queues that are due by their guaranteed share come first, then
  /// those of the lowest rank.
  std::optional<Ticket> TakeNextByWork(TimePoint now, double mean_work,
                                       const TicketPredicate& can_run);

  /// Whether the class could not be served completely within the last second.
  bool IsShort(TimePoint now) const { return now < short_until_; }
  /// Records that a ticket was refused for lack of capacity.
  void RecordShortage(TimePoint now);

  /// Returns an upper bound, in constant time, on the tickets of this class
  /// served before the `ordinal`-th ticket (from 1) of a queue of this weight.
  /// `active` is true if the queue already has tickets.
  double TicketsAhead(double weight, size_t ordinal, bool active) const;

  /// Returns an upper bound on the work of this class served until the
  /// `ordinal`-th ticket (from 1) of a queue with this weight and work per
  /// ticket, that ticket included. `active` as above.
  double WorkUntil(double weight, double work, size_t ordinal,
                   bool active) const;

  /// Returns the position of a key with this weight and work per ticket in the
  /// order while the class is short, at `rate` work per second. `active` as
  /// above. Takes time in proportion to the queues.
  OrderPosition PositionInOrder(TimePoint now, double weight, double work,
                                bool active, double rate) const;
  /// Returns the seconds until the `ordinal`-th ticket of the key is served
  /// while the class is short.
  double SecondsUntilServed(TimePoint now, const std::string& key,
                            const OrderPosition& position,
                            size_t ordinal) const;

  /// Returns the queue with the most tickets relative to its weight; null if
  /// the class is empty.
  WorkspaceQueue* most_loaded() const;

  /// Detaches or attaches a queue with all its tickets, to move it to another
  /// class or to change its weight.
  void Detach(WorkspaceQueue* queue);
  void Attach(WorkspaceQueue* queue);

  size_t size() const { return size_; }
  /// Sum of the work of all queued tickets.
  double work() const { return work_; }
  const std::list<WorkspaceQueue*>& queues() const { return ring_; }

  /// Tickets of open transactions, served before all workspace queues.
  Tickets transactions;
  double min_weight = 1;
  ArrivalRate arrivals;
  /// Work of requests by rank, queued or refused.
  std::array<ArrivalRate, kWorkRanks> requested;
  GuaranteedShares guaranteed;
  /// Latest retry time given to a refused caller of this class.
  TimePoint last_retry_at;

 private:
  using LoadKey = std::tuple<double, uint64_t, WorkspaceQueue*>;
  static LoadKey LoadKeyOf(WorkspaceQueue* queue) {
    return {queue->load(), queue->id, queue};
  }
  void AddToTotals(WorkspaceQueue* queue);
  void SubtractFromTotals(WorkspaceQueue* queue);
  void EndTurn();
  std::optional<Ticket> TakeDue(TimePoint now, const TicketPredicate& can_run);
  std::optional<Ticket> TakeFromRank(std::optional<size_t> rank,
                                     double mean_work,
                                     const TicketPredicate& can_run);

  std::list<WorkspaceQueue*> ring_;
  std::set<LoadKey> by_load_;
  size_t size_ = 0;
  double work_ = 0;
  uint64_t takes_ = 0;
  TimePoint short_until_;
  double active_weight_ = 0;
};

}  // namespace ryefold::core::admission
