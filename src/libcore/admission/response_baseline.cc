#include "response_baseline.h"

#include <algorithm>
#include <cmath>

namespace ryefold::core::admission {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Kinds that are told apart; further ones share one baseline. Bounds the
/// memory for each database to a few kilobytes.
constexpr size_t kMaxKinds = 32;
/// Samples of a kind before its ratio counts. Work varies by its mean within a
/// kind, so that fewer say little.
constexpr uint32_t kMinSamples = 8;
/// Weight of a sample in a kind's mean: its spread is then about a fifth of
/// that of one response time.
constexpr double kMeanWeight = 1.0 / 16;
/// Weight of a sample in the ratio and in the mean over all kinds. At 40
/// responses a second these follow a change within a quarter of a second.
constexpr double kRatioWeight = 1.0 / 8;
/// Weight of a sample in the ratio that shows a faster database: its spread is
/// half of that of the other ratio.
constexpr double kSlowRatioWeight = 1.0 / 32;
/// Samples whose mean is the first baseline of a kind.
constexpr uint32_t kLearningSamples = 64;
/// Speed at which a baseline follows the mean of its kind while the database
/// has free slots. Otherwise it stays: a baseline that follows each lower mean
/// becomes the minimum of a varying value, and every response then seems slow.
constexpr double kUnloadedWeight = 1.0 / 16;
/// Maximum ratio of one sample. Response times measured across a suspension of
/// this instance are arbitrarily long and say nothing about the database.
constexpr double kMaxSampleRatio = 16;
/// Ratios below which the database has become faster: three times their spread
/// below one. With 0.7 for the first, the variation of work alone lowered the
/// baselines again and again.
constexpr double kFasterRatio = 0.4;
constexpr double kFasterSlowRatio = 0.7;
/// Part of the slower ratio below which the ratio falls: the spread of their
/// quotient is a fifth.
constexpr double kFallingPart = 0.7;
/// Time after which a ratio without new responses loses most of its weight.
constexpr std::chrono::duration<double> kRatioDecay{1.0};

}  // namespace

void ResponseBaseline::Record(TimePoint now, microseconds response_time,
                              std::string_view kind, bool unloaded) {
  auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    if (kinds_.size() >= kMaxKinds) kind = "";
    found = kinds_.try_emplace(std::string(kind)).first;
  }
  Kind& state = found->second;
  const auto time_us =
      std::max(1.0, static_cast<double>(response_time.count()));
  mean_us_ =
      mean_us_ == 0 ? time_us : mean_us_ + (time_us - mean_us_) * kRatioWeight;
  ++state.samples;
  if (state.samples <= kMinSamples) {
    state.mean_us += (time_us - state.mean_us) / state.samples;
    state.baseline_us = state.mean_us;
    return;
  }
  const double sample_ratio =
      std::min(time_us / state.baseline_us, kMaxSampleRatio);
  ratio_ = ratio(now);
  ratio_ += (sample_ratio - ratio_) * kRatioWeight;
  recorded_at_ = now;
  state.mean_us +=
      (sample_ratio * state.baseline_us - state.mean_us) * kMeanWeight;
  slow_ratio_ += (sample_ratio - slow_ratio_) * kSlowRatioWeight;
  if (state.samples <= kLearningSamples) {
    state.baseline_us += (time_us - state.baseline_us) / state.samples;
  } else if (unloaded) {
    state.baseline_us += (state.mean_us - state.baseline_us) * kUnloadedWeight;
  }
}

bool ResponseBaseline::IsFalling() const {
  return ratio_ < slow_ratio_ * kFallingPart;
}

bool ResponseBaseline::IsTooHigh() const {
  return ratio_ < kFasterRatio || slow_ratio_ < kFasterSlowRatio;
}

void ResponseBaseline::Rescale(double ratio) {
  const double factor = ratio_ / ratio;
  for (auto& [name, kind] : kinds_) kind.baseline_us *= factor;
  ratio_ = ratio;
  slow_ratio_ = ratio;
}

double ResponseBaseline::ratio(TimePoint now) const {
  if (recorded_at_ == TimePoint()) return 1;
  const std::chrono::duration<double> age = now - recorded_at_;
  return 1 + (ratio_ - 1) * std::exp(-std::max(0.0, age / kRatioDecay));
}

microseconds ResponseBaseline::mean() const {
  return microseconds(static_cast<int64_t>(mean_us_));
}

}  // namespace ryefold::core::admission
