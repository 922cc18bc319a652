#include "ryefold/core/group/resolution.h"

#include <algorithm>

namespace ryefold::core::group {
namespace {

constexpr std::chrono::milliseconds kAskAgainAfter{50};

}  // namespace

void Resolution::Add(TimePoint now, RequestTag tag) {
  Doubt doubt;
  doubt.ask_at = now;
  doubts_[tag] = doubt;
}

std::vector<RequestTag> Resolution::TakeDue(TimePoint now, uint64_t term) {
  std::vector<RequestTag> due;
  for (auto& [tag, doubt] : doubts_) {
    // A newer primary is asked at once: the one before it is lost, and what it
    // was asked may never be answered.
    const bool newer = term > doubt.asked_term;
    if (!newer && (doubt.asked || doubt.ask_at > now)) continue;
    doubt.asked = true;
    doubt.asked_term = term;
    due.push_back(tag);
  }
  return due;
}

void Resolution::AskAgain(TimePoint now, RequestTag tag) {
  const auto it = doubts_.find(tag);
  if (it == doubts_.end()) return;
  it->second.asked = false;
  it->second.ask_at = now + kAskAgainAfter;
}

TimePoint Resolution::next_deadline(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [tag, doubt] : doubts_) {
    if (!doubt.asked && doubt.ask_at > now) {
      next = std::min(next, doubt.ask_at);
    }
  }
  return next;
}

}  // namespace ryefold::core::group
