#pragma once

// The waiting lines behind `Queue`: one per workspace, grouped by class.

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

/// Tickets of one workspace, oldest first. Lives as long as it has some.
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

/// One class: deficit round robin over its lines that have tickets. Each turn
/// of a line earns it its weight in units of the class's least weight, so
/// large weights do not mean long bursts.
class PriorityClass {
 public:
  Tickets::iterator Add(Line* line, Ticket ticket);
  void Remove(Line* line, Tickets::iterator ticket);

  /// Takes the next ticket that can run.
  std::optional<Ticket> Take(const CanRun& can_run);

  /// Tickets of this class that may be served before the `ordinal`-th ticket
  /// (from 1) of a line of this weight; an upper bound in constant time.
  /// `active` says that the line has tickets already.
  double Ahead(double weight, size_t ordinal, bool active) const;

  /// The line with the most tickets for its weight; null when all are empty.
  Line* heaviest() const;

  /// Takes the line out or in with all its tickets, to be served in another
  /// class or with another weight.
  void Leave(Line* line);
  void Join(Line* line);

  size_t size() const { return size_; }
  const std::list<Line*>& lines() const { return ring_; }

  /// Tickets of open transactions, served before those of any line.
  Tickets transactions;
  double least_weight = 1;
  ArrivalRate arrivals;
  /// Until when callers that were refused have been told to come back.
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
