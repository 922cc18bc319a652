#pragma once

// Questions for allowances between instances, as msgpack maps.

#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/limits/allowance_ledger.h"

namespace ryefold::wire {

constexpr std::string_view kPeerAllowance = "/limits/allowance";

std::string WriteAllowanceRequest(
    const core::limits::AllowanceRequest& request);
/// Nothing when the body cannot be read.
std::optional<core::limits::AllowanceRequest> ReadAllowanceRequest(
    std::string_view body);
std::string WriteAllowanceAnswer(const core::limits::AllowanceAnswer& answer);
std::optional<core::limits::AllowanceAnswer> ReadAllowanceAnswer(
    std::string_view body);

}  // namespace ryefold::wire
