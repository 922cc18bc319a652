#include "ryefold/core/group/calls.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::group {

void CallTable::Send(PendingCall call, ControlCall request,
                     std::vector<Action>* actions) {
  const CallId id = next_id_++;
  actions->push_back(
      Control{id, call.database, std::move(request), call.deadline});
  calls_.emplace(id, std::move(call));
}

std::optional<PendingCall> CallTable::Take(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return std::nullopt;
  PendingCall call = std::move(it->second);
  calls_.erase(it);
  return call;
}

std::vector<PendingCall> CallTable::TakeExpired(TimePoint now) {
  std::vector<PendingCall> expired;
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    expired.push_back(std::move(it->second));
    it = calls_.erase(it);
  }
  return expired;
}

TimePoint CallTable::next_deadline() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, call] : calls_) next = std::min(next, call.deadline);
  return next;
}

}  // namespace ryefold::core::group
