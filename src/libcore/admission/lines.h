#pragma once

// Workspace queues behind `Queue`, grouped by priority class.

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "rates.h"
#include "ryefold/core/admission/queue.h"

namespace ryefold::core::admission {

using Tickets = std::list<Ticket>;
using CanRun = std::function<bool(const Ticket&)>;

class PriorityClass;

/// Tickets of one workspace, oldest first. Exists only while it has tickets.
struct Line {
  uint64_t id = 0;
  std::string workspace;
  uint32_t priority = 0;
  double weight = 1;
  double deficit = 0;
  Tickets tickets;
  PriorityClass* home = nullptr;
  std::list<Line*>::iterator place;

  double load() const { return static_cast<double>(tickets.size()) / weight; }
};

/// One priority class: deficit round robin over its non-empty queues. Each turn
/// adds a queue's weight divided by the smallest weight of the class, so that
/// large weights do not cause long bursts.
class PriorityClass {
 public:
  Tickets::iterator Add(Line* line, Ticket ticket);
  void Remove(Line* line, Tickets::iterator ticket);

  /// Removes and returns the next ticket that can run; nullopt if there is
  /// none.
  std::optional<Ticket> Take(const CanRun& can_run);

  /// Returns an upper bound, in constant time, on the tickets of this class
  /// served before the `ordinal`-th ticket (from 1) of a queue of this weight.
  /// `active` is true if the queue already has tickets.
  double Ahead(double weight, size_t ordinal, bool active) const;

  /// Returns the queue with the most tickets relative to its weight; null if
  /// the class is empty.
  Line* heaviest() const;

  /// Detaches or attaches a queue with all its tickets, to move it to another
  /// class or to change its weight.
  void Leave(Line* line);
  void Join(Line* line);

  size_t size() const { return size_; }
  const std::list<Line*>& lines() const { return ring_; }

  /// Tickets of open transactions, served before all workspace queues.
  Tickets transactions;
  double least_weight = 1;
  ArrivalRate arrivals;
  /// Latest retry time given to a refused caller of this class.
  TimePoint promised;

 private:
  using Load = std::tuple<double, uint64_t, Line*>;
  static Load LoadOf(Line* line) { return {line->load(), line->id, line}; }
  void Count(Line* line);
  void Discount(Line* line);
  void Pass();

  std::list<Line*> ring_;
  std::set<Load> by_load_;
  size_t size_ = 0;
  double active_weight_ = 0;
};

}  // namespace ryefold::core::admission
