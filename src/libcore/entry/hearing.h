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
class Hearing {
 public:
  Hearing(std::chrono::milliseconds patience,
          std::chrono::milliseconds probe_patience)
      : patience_(patience), probe_patience_(probe_patience) {}

  /// Records an answer. Returns true if the instance had been suspected.
  bool Heard(TimePoint now, const std::string& instance);
  /// Records a failure or timeout. Returns true if it should be reported, at
  /// most once per contact timeout.
  bool Failed(TimePoint now, const std::string& instance);
  /// State of an unanswered call.
  enum class Verdict : uint8_t {
    kWait,   ///< Contact is recent, or a probe is in flight.
    kProbe,  ///< The contact timeout has passed; a probe must be sent.
    kDoubt,  ///< The contact timeout has passed and the probe was not answered.
  };
  Verdict Judge(TimePoint now, const std::string& instance, TimePoint sent);
  /// Returns the time at which to evaluate that call again.
  TimePoint JudgeAt(const std::string& instance, TimePoint sent) const;

 private:
  struct Record {
    TimePoint heard;
    bool suspected = false;
    TimePoint tell_again_at;
    /// Deadline of the last probe.
    TimePoint probe_until;
  };

  TimePoint SilentAt(const Record* record, TimePoint sent) const;

  std::chrono::milliseconds patience_;
  std::chrono::milliseconds probe_patience_;
  std::map<std::string, Record> records_;
};

}  // namespace ryefold::core::entry
