#pragma once

// Which instances have been heard of lately, and which are suspected.

#include <chrono>
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
  explicit Hearing(std::chrono::milliseconds patience) : patience_(patience) {}

  /// The instance answered; true when it had been suspected.
  bool Heard(TimePoint now, const std::string& instance);
  /// The instance failed or fell silent; true when this is worth telling, at
  /// most once in the time of patience.
  bool Failed(TimePoint now, const std::string& instance);
  /// When a call sent to it at `sent` is to be doubted.
  TimePoint DoubtAt(const std::string& instance, TimePoint sent) const;

 private:
  struct Record {
    TimePoint heard;
    bool suspected = false;
    TimePoint tell_again_at;
  };

  std::chrono::milliseconds patience_;
  std::map<std::string, Record> records_;
};

}  // namespace ryefold::core::entry
