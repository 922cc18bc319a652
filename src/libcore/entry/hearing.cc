#include "hearing.h"

#include <algorithm>

namespace ryefold::core::entry {
namespace {

/// Maximum number of records. Instances are replaced all the time; a call to an
/// instance without a record is judged by its own send time only.
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
  // A long statement on an otherwise idle entry causes no other answers,
  // although its keeper is healthy. If the keeper were suspected for that
  // alone, its queued writes would be fenced and answered "not run". The
  // keeper's own task answers probes while statements run; a frozen keeper does
  // not answer them.
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
