#include "ryefold/core/group/resolution.h"

#include <algorithm>

namespace ryefold::core::group {
namespace {

constexpr std::chrono::milliseconds kSettleRetryInterval{50};

}  // namespace

void InDoubtResolver::Add(TimePoint now, RequestTag tag) {
  InDoubtRequest request;
  request.next_call = now;
  requests_[tag] = request;
}

std::vector<RequestTag> InDoubtResolver::TakeDueCalls(TimePoint now,
                                                      uint64_t term) {
  std::vector<RequestTag> due;
  for (auto& [tag, request] : requests_) {
    // A newer primary is asked at once: the previous one is lost and may never
    // answer.
    const bool new_term = term > request.called_term;
    if (!new_term && (request.in_flight || request.next_call > now)) continue;
    request.in_flight = true;
    request.called_term = term;
    due.push_back(tag);
  }
  return due;
}

void InDoubtResolver::ScheduleRetry(TimePoint now, RequestTag tag) {
  const auto it = requests_.find(tag);
  if (it == requests_.end()) return;
  it->second.in_flight = false;
  it->second.next_call = now + kSettleRetryInterval;
}

TimePoint InDoubtResolver::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [tag, request] : requests_) {
    if (!request.in_flight && request.next_call > now) {
      next = std::min(next, request.next_call);
    }
  }
  return next;
}

}  // namespace ryefold::core::group
