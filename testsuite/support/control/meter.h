#pragma once

// Counts messages and bytes between the instances of a fleet, encoded as on the
// wire, and calls to the store.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

#include "ryefold/wire/exchange_codec.h"
#include "testsuite/support/control/fleet.h"

namespace ryefold::testing::control {

/// Overhead of each message beside its msgpack body: HTTP/2 frame headers of
/// HEADERS and DATA (18), header fields from the dynamic table after the first
/// call (8), IP and TCP headers with timestamps (52), and half of the single
/// bare acknowledgement that a call costs (26), since the answer acknowledges
/// the request.
constexpr uint64_t kMessageOverheadBytes = 104;

class Meter {
 public:
  explicit Meter(Fleet* fleet)
      : fleet_(fleet), messages_(fleet->size()), bytes_(fleet->size()) {
    fleet_->on_message = [this](size_t from, size_t to,
                                const cfg::PeerRequest* request,
                                const cfg::PeerAnswer* answer) {
      const uint64_t size = request != nullptr
                                ? wire::WritePeerRequest(*request).size()
                                : wire::WritePeerAnswer(*answer).size();
      Count(from, size);
      Count(to, size);
    };
    Reset();
  }
  ~Meter() { fleet_->on_message = nullptr; }
  Meter(const Meter&) = delete;
  Meter& operator=(const Meter&) = delete;

  void Reset() {
    std::fill(messages_.begin(), messages_.end(), 0);
    std::fill(bytes_.begin(), bytes_.end(), 0);
    begin_ = fleet_->now();
    store_begin_ = fleet_->platform.calls;
  }
  double seconds() const {
    return std::chrono::duration<double>(fleet_->now() - begin_).count();
  }
  /// Messages sent and received per instance and second.
  double messages() const { return Mean(messages_) / seconds(); }
  double bytes() const { return Mean(bytes_) / seconds(); }
  /// Bytes per second of the instance with the most traffic.
  double worst_bytes() const { return Max(bytes_) / seconds(); }
  /// Fraction of the instances with more than `limit` bytes per second.
  double share_above(double limit) const {
    const auto above =
        std::count_if(bytes_.begin(), bytes_.end(), [&](const uint64_t bytes) {
          return static_cast<double>(bytes) / seconds() > limit;
        });
    return static_cast<double>(above) / static_cast<double>(bytes_.size());
  }
  /// Store calls per second of the whole fleet.
  double store_calls() const {
    return static_cast<double>(fleet_->platform.calls - store_begin_) /
           seconds();
  }

 private:
  void Count(size_t i, uint64_t size) {
    ++messages_[i];
    bytes_[i] += size + kMessageOverheadBytes;
  }
  static double Mean(const std::vector<uint64_t>& counts) {
    uint64_t sum = 0;
    for (const uint64_t count : counts) sum += count;
    return static_cast<double>(sum) / static_cast<double>(counts.size());
  }
  static double Max(const std::vector<uint64_t>& counts) {
    return static_cast<double>(*std::max_element(counts.begin(), counts.end()));
  }

  Fleet* fleet_;
  std::vector<uint64_t> messages_;
  std::vector<uint64_t> bytes_;
  TimePoint begin_;
  uint64_t store_begin_ = 0;
};

/// Returns a fleet in the proportions of the target: 1,100 instances and 533
/// groups of three databases, in five failure domains of two regions.
inline FleetOptions TargetProportions(size_t instances) {
  constexpr size_t kTargetInstances = 1100;
  constexpr size_t kTargetGroups = 533;
  FleetOptions options;
  options.instances = instances;
  options.domains = 5;
  options.regions = 2;
  options.groups =
      std::max<size_t>(3, instances * kTargetGroups / kTargetInstances);
  options.check = false;
  return options;
}

inline std::vector<std::string> GroupNames(size_t count) {
  std::vector<std::string> names;
  for (size_t g = 0; g < count; ++g) names.push_back("g" + std::to_string(g));
  return names;
}

}  // namespace ryefold::testing::control
