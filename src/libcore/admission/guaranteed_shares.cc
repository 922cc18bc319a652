#include "guaranteed_shares.h"

#include <algorithm>

namespace ryefold::core::admission {
namespace {

using std::chrono::milliseconds;

/// Part of the served work credited to the keys by weight, and part that
/// overdue keys may use.
constexpr double kCreditedPart = 0.25;
constexpr double kOverduePart = 0.25;
/// Bounds of unused credit and of the budget of overdue keys, in statements.
/// More would let a key that was quiet take the class for itself.
constexpr double kMaxStatements = 2;
/// A key counts as active for this long after a request.
constexpr milliseconds kActivePeriod{1000};
constexpr milliseconds kWeightUpdateInterval{50};
/// Keys without requests for this long are forgotten.
constexpr milliseconds kKeyIdlePeriod{30000};

double Seconds(TimePoint::duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void GuaranteedShares::UpdateActiveWeight(TimePoint now) {
  if (now < next_weight_update_) return;
  next_weight_update_ = now + kWeightUpdateInterval;
  std::erase_if(keys_, [now](const auto& item) {
    return now - item.second.last_request_at > kKeyIdlePeriod;
  });
  active_weight_ = 0;
  weights_ = {};
  overdue_rates_ = {};
  for (const auto& [name, key] : keys_) {
    if (now - key.last_request_at > kActivePeriod) continue;
    active_weight_ += key.weight;
    weights_[key.rank] += key.weight;
    const double patience = Seconds(key.patience);
    if (patience > 0) overdue_rates_[key.rank] += key.work / (patience / 2);
  }
}

void GuaranteedShares::RecordRequest(TimePoint now, const std::string& name,
                                     double weight, double work, size_t rank,
                                     TimePoint::duration patience) {
  const auto [found, added] = keys_.try_emplace(name);
  Key& key = found->second;
  const bool was_idle = now - key.last_request_at > kActivePeriod;
  if (added || was_idle) {
    // A key that starts again has no claim from the time without requests.
    key.credit = std::min(key.credit, 0.0);
    key.credited_at = clock_;
    key.last_served_at = std::max(key.last_served_at, now - patience / 2);
    if (now >= next_weight_update_) next_weight_update_ = now;
  }
  key.weight = weight;
  key.work = work;
  key.rank = rank;
  key.patience = patience;
  key.last_request_at = now;
  UpdateActiveWeight(now);
}

double GuaranteedShares::PartAbove(size_t rank, double rate) const {
  double weight = 0;
  double overdue_rate = 0;
  for (size_t above = rank + 1; above < kWorkRanks; ++above) {
    weight += weights_[above];
    overdue_rate += overdue_rates_[above];
  }
  if (active_weight_ <= 0) return 0;
  return kCreditedPart * weight / active_weight_ +
         std::min(overdue_rate / rate, kOverduePart);
}

double GuaranteedShares::CreditOf(const Key& key, double work) const {
  const double credit = key.credit + (clock_ - key.credited_at) * key.weight;
  return std::clamp(credit, -work, kMaxStatements * work);
}

void GuaranteedShares::RecordServed(TimePoint now, const std::string& name,
                                    double work) {
  if (active_weight_ > 0) clock_ += work * kCreditedPart / active_weight_;
  const double max_budget = kMaxStatements * work;
  overdue_budget_ = std::min(overdue_budget_ + work * kOverduePart,
                             std::max(max_budget, overdue_budget_));
  const auto found = keys_.find(name);
  if (found == keys_.end()) return;
  Key& key = found->second;
  const double credit = CreditOf(key, work);
  if (credit < work && IsOverdue(now, key)) overdue_budget_ -= work;
  key.credit = credit - work;
  key.credited_at = clock_;
  key.last_served_at = now;
}

bool GuaranteedShares::IsOverdue(TimePoint now, const Key& key) const {
  return key.patience > TimePoint::duration::zero() &&
         now - key.last_served_at >= key.patience / 2;
}

bool GuaranteedShares::IsDue(TimePoint now, const std::string& name,
                             double work) const {
  const auto found = keys_.find(name);
  if (found == keys_.end()) return false;
  if (CreditOf(found->second, work) >= work) return true;
  return overdue_budget_ > 0 && IsOverdue(now, found->second);
}

double GuaranteedShares::SecondsUntilServed(TimePoint now,
                                            const std::string& name,
                                            double work, double total,
                                            double rate) const {
  const auto found = keys_.find(name);
  if (found == keys_.end() || active_weight_ <= 0) return total / rate;
  const Key& key = found->second;
  const double part = kCreditedPart * key.weight / active_weight_;
  const double uncovered = std::max(total - CreditOf(key, work), 0.0);
  double seconds = uncovered / (rate * part);
  const bool is_first = total <= work;
  if (is_first && overdue_budget_ > 0 &&
      key.patience > TimePoint::duration::zero()) {
    const TimePoint overdue_at = key.last_served_at + key.patience / 2;
    seconds = std::min(seconds, std::max(Seconds(overdue_at - now), 0.0));
  }
  return seconds + work / rate;
}

}  // namespace ryefold::core::admission
