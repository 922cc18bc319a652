#include "ryefold/core/admission/work_estimator.h"

#include <algorithm>
#include <cmath>

namespace ryefold::core::admission {
namespace {

using std::chrono::microseconds;

/// Statements faster than this count as this long: below it, network delay is
/// most of the response time.
constexpr microseconds kMinWork{1000};
/// Work of all statements until one is measured. Only ratios matter then, and
/// they are 1.
constexpr microseconds kUnmeasured{10000};
/// Statements in the average of a key, and in that of the finished ones.
/// Service times have a long tail, and fewer would move a key back and forth in
/// the order.
constexpr uint32_t kMaxSamples = 64;
/// Weight of a statement in the pace.
constexpr double kPaceWeight = 1.0 / 8;
/// Bounds of one statement's effect on the pace, as a factor: a lost reply that
/// came late is not a slow database.
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 3;
/// The same for the size of a key once it has some samples. Otherwise sizes
/// take on a part of a change of pace before the pace has followed it.
constexpr double kMinSizeRatio = 0.5;
constexpr double kMaxSizeRatio = 2;
constexpr uint32_t kFewSamples = 8;
/// Sizes are relative to the pace, so that both can drift together. Beyond this
/// factor they are set back.
constexpr double kMaxPace = 1000;
/// Measured keys of one group, about 100 bytes each. At the limit all are
/// forgotten and measured again within seconds, so that keys of removed
/// workspaces do not stay.
constexpr size_t kMaxKeys = 1024;

}  // namespace

void WorkEstimator::Average::Add(double sample, uint32_t max_samples) {
  samples = std::min(samples + 1, max_samples);
  value += (sample - value) / samples;
}

void WorkEstimator::RecordResponse(const std::string& key,
                                   microseconds response_time) {
  if (sizes_.size() >= kMaxKeys && sizes_.count(key) == 0) sizes_.clear();
  const auto sample =
      static_cast<double>(std::max(response_time, kMinWork).count());
  Average& size = sizes_[key];
  if (size.samples > 0) {
    const double ratio =
        std::clamp(sample / (size.value * pace_), kMinRatio, kMaxRatio);
    pace_ *= 1 + (ratio - 1) * kPaceWeight;
  }
  double relative = sample / pace_;
  if (size.samples >= kFewSamples) {
    relative = std::clamp(relative, size.value * kMinSizeRatio,
                          size.value * kMaxSizeRatio);
  }
  size.Add(relative, kMaxSamples);
  if (pace_ > kMaxPace || pace_ < 1 / kMaxPace) RescaleSizes();
}

void WorkEstimator::RescaleSizes() {
  for (auto& [key, size] : sizes_) size.value *= pace_;
  mean_size_.value *= pace_;
  pace_ = 1;
}

void WorkEstimator::RecordFinished(const std::string& key) {
  const auto found = sizes_.find(key);
  if (found == sizes_.end()) return;
  mean_size_.Add(found->second.value, kMaxSamples);
}

microseconds WorkEstimator::work(const std::string& key) const {
  const auto found = sizes_.find(key);
  if (found == sizes_.end()) return mean();
  const microseconds work(std::llround(found->second.value * pace_));
  return std::max(work, kMinWork);
}

microseconds WorkEstimator::mean() const {
  if (mean_size_.samples == 0) return kUnmeasured;
  const microseconds work(std::llround(mean_size_.value * pace_));
  return std::max(work, kMinWork);
}

}  // namespace ryefold::core::admission
