#pragma once

// What callers got, second by second, and a picture of it.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ryefold::load {

enum class Fate : uint8_t { kInGoal, kLate, kRefused, kFailed };
constexpr size_t kFates = 4;

struct Second {
  uint64_t counts[kFates] = {0, 0, 0, 0};
};

/// Counts by kind of request.
class Tally {
 public:
  void Add(const std::string& kind, std::chrono::milliseconds at, Fate fate,
           std::chrono::microseconds took);
  /// One line for each kind: counts and latencies in milliseconds.
  std::string Table() const;
  /// Stacked columns, one for each second, over all kinds.
  std::string Svg(const std::string& title) const;
  uint64_t count(Fate fate) const;

 private:
  struct Kind {
    std::vector<Second> seconds;
    std::vector<std::chrono::microseconds> latencies;
  };
  std::map<std::string, Kind> kinds_;
};

}  // namespace ryefold::load
