#pragma once

// Refused and late requests in log lines of gateways.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ryefold::ryefoldctl {

/// Attributes by which requests are counted.
enum class LossAttribute : uint8_t { kReason, kRoute, kWorkspace, kGroup };

/// Requests with the same value of an attribute.
struct LossCount {
  uint64_t refused = 0;
  /// Answered without an error, but later than the route's goal.
  uint64_t late = 0;
  /// Delays that refused callers were told to wait.
  std::vector<std::chrono::milliseconds> retry_delays;

  uint64_t total() const { return refused + late; }
  /// Returns the smallest delay that `percent` of the delays do not exceed;
  /// nullopt without delays.
  std::optional<std::chrono::milliseconds> RetryDelay(uint32_t percent) const;
};

struct LossRow {
  std::string value;
  LossCount count;
};

/// Counts events `refused` and `answered`. Other lines are skipped.
class LossTally {
 public:
  /// Adds a line `time=... instance=... event=NAME key=value ...`.
  void AddLine(const std::string& line);

  const LossCount& all() const { return all_; }
  /// Number of requests that callers of the logged instances sent and that were
  /// answered, refused ones included.
  uint64_t answered() const { return answered_; }
  /// Number of lines that the instances left out of their logs.
  uint64_t lines_left_out() const { return lines_left_out_; }
  /// Returns the values of an attribute, those with most losses first. Beyond
  /// `max_rows`, the last row sums up the rest as "(N others)". Late requests
  /// have the reason "late"; a missing value is "-".
  std::vector<LossRow> Rows(LossAttribute attribute, size_t max_rows) const;

 private:
  using Fields = std::map<std::string, std::string>;

  void AddRefused(const Fields& fields);
  void AddAnswered(const Fields& fields);
  /// Calls `add` with each count that the request belongs to.
  template <typename Function>
  void ForEachCount(const Fields& fields, const std::string& reason,
                    Function add);

  LossCount all_;
  uint64_t answered_ = 0;
  uint64_t lines_left_out_ = 0;
  std::map<LossAttribute, std::map<std::string, LossCount>> counts_;
};

}  // namespace ryefold::ryefoldctl
