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

TimePoint Hearing::SilentAt(const Record* record, TimePoint sent) const {
  if (record == nullptr) return sent + patience_;
  return std::max(sent, record->heard) + patience_;
}

Hearing::Verdict Hearing::Judge(TimePoint now, const std::string& instance,
                                TimePoint sent) {
  // A statement that runs for seconds on a quiet entry leaves nothing to hear,
  // although its keeper is well. Doubted for that alone, the keeper's waiting
  // writes were fenced and its callers told "not run". A probe is answered by
  // the keeper's own task whatever its statements do; a frozen one is silent.
  Record& record = records_[instance];
  const TimePoint silent_at = SilentAt(&record, sent);
  if (now < silent_at) return Verdict::kWait;
  if (record.probe_until < silent_at) {
    record.probe_until = now + probe_patience_;
    return Verdict::kProbe;
  }
  return now < record.probe_until ? Verdict::kWait : Verdict::kDoubt;
}

TimePoint Hearing::JudgeAt(const std::string& instance, TimePoint sent) const {
  const auto found = records_.find(instance);
  const Record* record = found == records_.end() ? nullptr : &found->second;
  const TimePoint silent_at = SilentAt(record, sent);
  if (record == nullptr) return silent_at;
  return std::max(silent_at, record->probe_until);
}

}  // namespace ryefold::core::entry
