#pragma once

// Failure detector of an entry: last contact and suspicion per instance.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "ryefold/core/types.h"

namespace ryefold::core::entry {

/// Judges an instance by all its answers, not by a single request: a statement
/// that is queued or runs long does not indicate a failure while the instance
/// answers other calls. Judged per request, a long queue would look like a
/// failed keeper, and each queued request would be sent twice.
class PeerHealth {
 public:
  PeerHealth(std::chrono::milliseconds contact_timeout,
             std::chrono::milliseconds probe_timeout)
      : contact_timeout_(contact_timeout), probe_timeout_(probe_timeout) {}

  /// Records an answer. Returns true if the instance had been suspected.
  bool OnAnswer(TimePoint now, const std::string& instance);
  /// Records a failure or timeout. Returns true if it should be reported, at
  /// most once per contact timeout.
  bool OnFailure(TimePoint now, const std::string& instance);
  /// State of an unanswered call.
  enum class CallState : uint8_t {
    kWait,       ///< Contact is recent, or a probe is in flight.
    kProbe,      ///< The contact timeout has passed; a probe must be sent.
    kSuspected,  ///< The contact timeout has passed and the probe was not
                 ///< answered.
  };
  CallState Evaluate(TimePoint now, const std::string& instance,
                     TimePoint sent);
  /// Returns the time at which to evaluate that call again.
  TimePoint NextEvaluation(const std::string& instance, TimePoint sent) const;

 private:
  struct Record {
    TimePoint last_contact;
    bool suspected = false;
    TimePoint next_report_at;
    /// Deadline of the last probe.
    TimePoint probe_deadline;
  };

  TimePoint TimeoutAt(const Record* record, TimePoint sent) const;

  std::chrono::milliseconds contact_timeout_;
  std::chrono::milliseconds probe_timeout_;
  std::map<std::string, Record> records_;
};

}  // namespace ryefold::core::entry
