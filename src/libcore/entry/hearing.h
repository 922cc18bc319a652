#pragma once

// Which instances have been heard of lately, and which are suspected.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "ryefold/core/types.h"

namespace ryefold::core::entry {

/// Silence is judged by all that an instance answers, not by one request: a
/// statement that waits its turn or runs long says nothing about the instance
/// as long as that goes on answering others. Judged one by one, a full queue
/// would look like a dead keeper, and each waiting request would be doubled.
class Hearing {
 public:
  Hearing(std::chrono::milliseconds patience,
          std::chrono::milliseconds probe_patience)
      : patience_(patience), probe_patience_(probe_patience) {}

  /// The instance answered; true when it had been suspected.
  bool Heard(TimePoint now, const std::string& instance);
  /// The instance failed or fell silent; true when this is worth telling, at
  /// most once in the time of patience.
  bool Failed(TimePoint now, const std::string& instance);
  /// What to think of a call sent to it at `sent`.
  enum class Verdict : uint8_t {
    kWait,   ///< Not silent for long, or a probe is under way.
    kProbe,  ///< Silent for the time of patience: ask whether it is there.
    kDoubt,  ///< Silent, and the probe was not answered either.
  };
  Verdict Judge(TimePoint now, const std::string& instance, TimePoint sent);
  /// When to judge that call again.
  TimePoint JudgeAt(const std::string& instance, TimePoint sent) const;

 private:
  struct Record {
    TimePoint heard;
    bool suspected = false;
    TimePoint tell_again_at;
    /// When the last probe has to be answered.
    TimePoint probe_until;
  };

  TimePoint SilentAt(const Record* record, TimePoint sent) const;

  std::chrono::milliseconds patience_;
  std::chrono::milliseconds probe_patience_;
  std::map<std::string, Record> records_;
};

}  // namespace ryefold::core::entry
