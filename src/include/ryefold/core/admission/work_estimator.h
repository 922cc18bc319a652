#pragma once

// Time that a statement of a queue key takes at the database.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace ryefold::core::admission {

/// Learned work per statement of each queue key of one group. Keys that have
/// not been measured count as the mean.
///
/// The work of a key is its size times the pace of the group's databases. The
/// pace follows all statements together. With one average for each key, keys
/// with few statements kept the work of a slow period for seconds after it and
/// were refused.
class WorkEstimator {
 public:
  /// Records the response time of a statement that did not wait for a slot of
  /// its database: with waiting times included, keys would differ less than
  /// their work does.
  void RecordResponse(const std::string& key,
                      std::chrono::microseconds response_time);
  /// Records a finished statement, waiting time or not, for `mean`.
  void RecordFinished(const std::string& key);

  /// Returns the work of one statement, at least 1 ms.
  std::chrono::microseconds work(const std::string& key) const;
  /// Returns the mean work of the statements finished recently. A rate in
  /// statements per second times this mean is a rate in work per second.
  std::chrono::microseconds mean() const;
  /// Returns the number of measured keys.
  size_t size() const { return sizes_.size(); }

 private:
  /// Moving average.
  struct Average {
    double value = 0;
    uint32_t samples = 0;

    void Add(double sample, uint32_t max_samples);
  };

  void RescaleSizes();

  /// Work in microseconds divided by the pace.
  std::unordered_map<std::string, Average> sizes_;
  Average mean_size_;
  double pace_ = 1;
};

}  // namespace ryefold::core::admission
