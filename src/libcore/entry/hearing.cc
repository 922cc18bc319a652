#include "hearing.h"

#include <algorithm>

namespace ryefold::core::entry {
namespace {

/// Maximum number of records. Instances are replaced all the time; a call to an
/// instance without a record is judged by its own send time only.
constexpr size_t kMaxRecords = 4096;

}  // namespace

bool PeerHealth::OnAnswer(TimePoint now, const std::string& instance) {
  if (records_.size() >= kMaxRecords) records_.clear();
  Record& record = records_[instance];
  record.last_contact = std::max(record.last_contact, now);
  const bool suspected = record.suspected;
  record.suspected = false;
  return suspected;
}

bool PeerHealth::OnFailure(TimePoint now, const std::string& instance) {
  if (records_.size() >= kMaxRecords) records_.clear();
  Record& record = records_[instance];
  if (record.suspected && now < record.next_report_at) return false;
  record.suspected = true;
  record.next_report_at = now + contact_timeout_;
  return true;
}

TimePoint PeerHealth::TimeoutAt(const Record* record, TimePoint sent) const {
  if (record == nullptr) return sent + contact_timeout_;
  return std::max(sent, record->last_contact) + contact_timeout_;
}

PeerHealth::CallState PeerHealth::Evaluate(TimePoint now,
                                           const std::string& instance,
                                           TimePoint sent) {
  // A long statement on an otherwise idle entry causes no other answers,
  // although its keeper is healthy. If the keeper were suspected for that
  // alone, its queued writes would be fenced and answered "not run". The
  // keeper's own task answers probes while statements run; a frozen keeper does
  // not answer them.
  Record& record = records_[instance];
  const TimePoint timeout_at = TimeoutAt(&record, sent);
  if (now < timeout_at) return CallState::kWait;
  if (record.probe_deadline < timeout_at) {
    record.probe_deadline = now + probe_timeout_;
    return CallState::kProbe;
  }
  return now < record.probe_deadline ? CallState::kWait : CallState::kSuspected;
}

TimePoint PeerHealth::NextEvaluation(const std::string& instance,
                                     TimePoint sent) const {
  const auto found = records_.find(instance);
  const Record* record = found == records_.end() ? nullptr : &found->second;
  const TimePoint timeout_at = TimeoutAt(record, sent);
  if (record == nullptr) return timeout_at;
  return std::max(timeout_at, record->probe_deadline);
}

}  // namespace ryefold::core::entry
