#include "ryefold/core/limits/restart_allowance.h"

#include <algorithm>
#include <cmath>

#include "ryefold/core/limits/shards.h"

namespace ryefold::core::limits {
namespace {

/// Less than the margin of the bound, 0.09 x rate + 0.1 x burst + 5
/// (docs/design/limit-restart.md).
constexpr double kRateShare = 0.08;
constexpr double kBurstShare = 0.08;
constexpr double kBase = 4;

constexpr double kRepaymentSeconds =
    std::chrono::duration<double>(kMaxRepayment).count();

}  // namespace

uint32_t TotalAdvance(const workspace::RateLimit& limit) {
  const double tokens =
      std::min(kRateShare * limit.rate + kBurstShare * limit.burst + kBase,
               limit.rate * kRepaymentSeconds);
  return static_cast<uint32_t>(std::floor(std::max(tokens, 0.0)));
}

uint32_t PartAdvance(const workspace::RateLimit& limit, uint32_t part,
                     double part_rate) {
  const uint32_t total = TotalAdvance(limit);
  const uint32_t share =
      total / kPartsPerLimit + (part < total % kPartsPerLimit ? 1 : 0);
  const double repayable = std::floor(part_rate * kRepaymentSeconds);
  return std::min(share, static_cast<uint32_t>(repayable));
}

}  // namespace ryefold::core::limits
