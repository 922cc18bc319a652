#pragma once

// Interface through which the mirror reads the store.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/answer_limits.h"
#include "ryefold/core/mirror/entry.h"
#include "ryefold/core/mirror/relay_plan.h"
#include "ryefold/core/types.h"

namespace ryefold::core::mirror {

/// An instance as it is registered in the store.
struct RegisteredInstance {
  Member member;
  /// "ip:port" at which other instances reach it.
  std::string address;
};

class StoreSource {
 public:
  using Done = std::function<void(const ReadResult&)>;
  using InstancesDone = std::function<void(
      const std::optional<std::vector<RegisteredInstance>>&)>;

  virtual ~StoreSource() = default;
  /// Reads one page of all entries, beginning after the key `after`.
  virtual void List(const std::string& after, const AnswerLimits& limits,
                    const Done& done) = 0;
  /// Calls `done` when something has changed since revision `after`, after
  /// `wait` at the latest.
  virtual void Watch(uint64_t after, std::chrono::milliseconds wait,
                     const AnswerLimits& limits, const Done& done) = 0;
  /// Reads a part of the list of instances, at a lower price than a listing.
  /// Passes nullopt to `done` if the store does not answer.
  virtual void SampleInstances(const AnswerLimits& limits,
                               const InstancesDone& done) = 0;
};

}  // namespace ryefold::core::mirror
