#include "hearing.h"

#include <algorithm>

namespace ryefold::core::entry {
namespace {

/// Records kept at most. Instances come and go all day; forgetting one only
/// means that its next call is judged by itself.
constexpr size_t kMaxRecords = 4096;

}  // namespace

bool Hearing::Heard(TimePoint now, const std::string& instance) {
  if (records_.size() >= kMaxRecords) records_.clear();
  Record& record = records_[instance];
  record.heard = std::max(record.heard, now);
  const bool suspected = record.suspected;
  record.suspected = false;
  return suspected;
}

bool Hearing::Failed(TimePoint now, const std::string& instance) {
  if (records_.size() >= kMaxRecords) records_.clear();
  Record& record = records_[instance];
  if (record.suspected && now < record.tell_again_at) return false;
  record.suspected = true;
  record.tell_again_at = now + patience_;
  return true;
}

TimePoint Hearing::DoubtAt(const std::string& instance, TimePoint sent) const {
  const auto found = records_.find(instance);
  if (found == records_.end()) return sent + patience_;
  return std::max(sent, found->second.heard) + patience_;
}

}  // namespace ryefold::core::entry
