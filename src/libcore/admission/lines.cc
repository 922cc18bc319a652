#include "lines.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::admission {

Tickets::iterator PriorityClass::Add(Line* line, Ticket ticket) {
  Discount(line);
  const auto added =
      line->tickets.insert(line->tickets.end(), std::move(ticket));
  if (line->home == nullptr) {
    line->place = ring_.insert(ring_.end(), line);
    line->home = this;
  }
  Count(line);
  return added;
}

void PriorityClass::Remove(Line* line, Tickets::iterator ticket) {
  Discount(line);
  line->tickets.erase(ticket);
  Count(line);
  // An empty queue loses its turn and its unused deficit: shares are for
  // workspaces with queued tickets, not for those that may return.
  if (line->tickets.empty()) Leave(line);
}

std::optional<Ticket> PriorityClass::Take(const CanRun& can_run) {
  for (size_t turns = ring_.size(); turns > 0; --turns) {
    Line* line = ring_.front();
    if (line->deficit < 1) line->deficit += line->weight / least_weight;
    const auto next =
        std::find_if(line->tickets.begin(), line->tickets.end(), can_run);
    if (next == line->tickets.end()) {
      Pass();
      continue;
    }
    Ticket taken = std::move(*next);
    line->deficit -= 1;
    Remove(line, next);
    if (!line->tickets.empty() && line->deficit < 1) Pass();
    return taken;
  }
  return std::nullopt;
}

double PriorityClass::Ahead(double weight, size_t ordinal, bool active) const {
  const double weights = active_weight_ + (active ? 0 : weight);
  const double by_share = static_cast<double>(ordinal) * weights / weight;
  return std::min(by_share, static_cast<double>(size_));
}

Line* PriorityClass::heaviest() const {
  return by_load_.empty() ? nullptr : std::get<Line*>(*by_load_.rbegin());
}

void PriorityClass::Leave(Line* line) {
  if (line->home != this) return;
  Discount(line);
  ring_.erase(line->place);
  line->home = nullptr;
  line->deficit = 0;
}

void PriorityClass::Join(Line* line) {
  if (line->tickets.empty()) return;
  line->place = ring_.insert(ring_.end(), line);
  line->home = this;
  Count(line);
}

void PriorityClass::Count(Line* line) {
  if (line->tickets.empty()) return;
  by_load_.insert(LoadOf(line));
  size_ += line->tickets.size();
  active_weight_ += line->weight;
}

void PriorityClass::Discount(Line* line) {
  if (line->tickets.empty()) return;
  by_load_.erase(LoadOf(line));
  size_ -= line->tickets.size();
  active_weight_ -= line->weight;
}

void PriorityClass::Pass() { ring_.splice(ring_.end(), ring_, ring_.begin()); }

}  // namespace ryefold::core::admission
