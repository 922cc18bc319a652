#pragma once

// Outcome counts per second and latencies of the load tool's operations.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ryefold::load {

enum class Outcome : uint8_t { kInGoal, kLate, kRefused, kFailed };
constexpr size_t kOutcomes = 4;

struct SecondCounts {
  uint64_t counts[kOutcomes] = {0, 0, 0, 0};
};

/// Collects outcomes and latencies by caller kind.
class Tally {
 public:
  void Add(const std::string& kind, std::chrono::milliseconds at,
           Outcome outcome, std::chrono::microseconds latency);
  /// Returns a text table with one line per kind: outcome counts and latency
  /// percentiles in milliseconds.
  std::string Table() const;
  /// Returns an SVG chart with one stacked column per second over all kinds.
  std::string Svg(const std::string& title) const;
  uint64_t count(Outcome outcome) const;

 private:
  struct Kind {
    std::vector<SecondCounts> seconds;
    std::vector<std::chrono::microseconds> latencies;
  };
  std::map<std::string, Kind> kinds_;
};

}  // namespace ryefold::load
