#pragma once

// Reports of failing groups to the holder of the duty, as msgpack maps with the
// rules of peer_codec.h for keys.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/failover/group_monitor.h"

namespace ryefold::wire {

/// Answered without a body; refused by instances that do not hold the duty.
constexpr std::string_view kPeerGroupReports = "/peer/failover/reports";

std::string WriteGroupReports(
    const std::vector<core::failover::GroupReport>& reports);
std::optional<std::vector<core::failover::GroupReport>> ReadGroupReports(
    std::string_view body);

}  // namespace ryefold::wire
