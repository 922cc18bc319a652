#pragma once

// Finds out on how many instances a revision is in force. Instances heard of
// lately are not asked; a larger fleet is asked through delegates, so that
// nobody asks more than a few dozen.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "context.h"

namespace ryefold::core::configuration {

class Census {
 public:
  explicit Census(Context* context) : context_(context) {}

  /// An operator asks for the whole fleet.
  void Arrived(TimePoint now, const ForceArrived& request);
  /// A peer asks for itself and those that it names.
  void Query(TimePoint now, Tag tag, const ForceQuery& query);
  void Tick(TimePoint now);
  TimePoint next_deadline() const;

 private:
  struct Result {
    uint64_t in_force = 0;
    std::vector<std::string> missing;
  };
  using Done = std::function<void(TimePoint, const Result&)>;
  struct Round {
    uint64_t revision = 0;
    size_t open = 0;
    Result result;
    /// Names not yet accounted for, should the deadline come first.
    std::map<CallId, std::vector<std::string>> asked;
    TimePoint deadline;
    Done done;
  };

  void Begin(TimePoint now, uint64_t revision,
             const std::vector<std::string>& names,
             std::chrono::milliseconds patience, Done done);
  void Ask(TimePoint now, uint64_t round, std::vector<std::string> names);
  void Returned(TimePoint now, uint64_t round, uint64_t question,
                const PeerAnswer* answer);
  void End(TimePoint now, uint64_t round);
  bool InForceHere(uint64_t revision) const;

  Context* context_;
  std::map<uint64_t, Round> rounds_;
  uint64_t next_id_ = 1;
};

}  // namespace ryefold::core::configuration
