#include "ryefold/core/session/placement.h"

#include <algorithm>

namespace ryefold::core::session {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Backoff after a replica has rejected a position. A replica that lags by 60
/// ms makes noticeable progress in about this time.
constexpr milliseconds kRejectionBackoff{30};
/// Interval between trials of a replica whose estimated lag is too high.
/// Without trials the estimate would never recover and the primary would serve
/// all reads. A rejection costs the replica nothing and the read one round
/// trip.
constexpr milliseconds kTrialInterval{250};
/// Bounds of the lag estimate. Below the minimum, network delay dominates;
/// above the maximum, the staleness of every route excludes the replica anyway.
constexpr milliseconds kMinLag{40};
constexpr milliseconds kMaxLag{10000};
/// Time for which a reported lag excludes a replica. A replica that catches up
/// is used again after at most this time if nothing newer is known.
constexpr milliseconds kReportValidity{1000};
/// The weight of a new sample in the latency average is 1/8, as for round-trip
/// times in TCP.
constexpr int kLatencyDivisor = 8;
/// Extra cost of the primary, in percent of its latency. Under low load the
/// primary then takes a third of the reads without crowding out writes.
constexpr int kPrimaryCostPercent = 150;
/// Extra cost of another failure domain: round trip and traffic charges,
/// together weighted as one short statement.
constexpr microseconds kCrossDomainCost{6000};

}  // namespace

void LagEstimate::RecordLag(milliseconds lag) {
  bound_ = std::clamp(lag + kMinLag, kMinLag, kMaxLag);
  reported_lag_ = std::min(reported_lag_, lag);
}

void LagEstimate::RecordRejection(TimePoint now, milliseconds age) {
  bound_ = std::min(std::max(bound_, age + kMinLag), kMaxLag);
  backoff_until_ = now + kRejectionBackoff;
  next_trial_ = now + kTrialInterval;
}

void LagEstimate::RecordServed(milliseconds age) {
  bound_ = std::max(kMinLag, std::min(age, bound_));
  reported_lag_ = std::min(reported_lag_, age);
}

void LagEstimate::RecordReport(TimePoint as_of, milliseconds lag) {
  if (as_of < reported_at_) return;
  reported_at_ = as_of;
  reported_lag_ = lag;
}

bool LagEstimate::ShouldTry(TimePoint now, milliseconds age) const {
  if (now < backoff_until_) return false;
  if (IsReportedBehind(now, age)) return false;
  return age >= bound_ || now >= next_trial_;
}

bool LagEstimate::IsReportedBehind(TimePoint now, milliseconds age) const {
  return age < reported_lag_ && now - reported_at_ < kReportValidity;
}

void Latency::Add(microseconds sample) {
  mean_ += (sample - mean_) / kLatencyDivisor;
}

std::vector<size_t> OrderForRead(std::vector<ReadCandidate> candidates) {
  const auto cost = [](const ReadCandidate& candidate) {
    microseconds sum = candidate.latency * (candidate.in_flight + 1);
    if (candidate.primary) sum += candidate.latency * kPrimaryCostPercent / 100;
    if (!candidate.same_domain) sum += kCrossDomainCost;
    return sum;
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&cost](const ReadCandidate& a, const ReadCandidate& b) {
                     if (a.suspected != b.suspected) return b.suspected;
                     if (a.expected_to_hold != b.expected_to_hold) {
                       return a.expected_to_hold;
                     }
                     return cost(a) < cost(b);
                   });
  std::vector<size_t> order;
  order.reserve(candidates.size());
  for (const ReadCandidate& candidate : candidates) {
    order.push_back(candidate.index);
  }
  return order;
}

}  // namespace ryefold::core::session
