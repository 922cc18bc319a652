#pragma once

// Messages of configuration and membership between instances, as msgpack
// maps: unknown keys are skipped, missing ones keep their defaults.

#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/configuration/messages.h"

namespace ryefold::wire {

constexpr std::string_view kPeerExchange = "/peer/exchange";
constexpr std::string_view kPeerForce = "/peer/force";
constexpr std::string_view kPeerDuty = "/peer/duty";

/// Path of a request, one of the above.
std::string_view PathOf(const core::configuration::PeerRequest& request);

std::string WritePeerRequest(const core::configuration::PeerRequest& request);
std::optional<core::configuration::PeerRequest> ReadPeerControlRequest(
    std::string_view path, std::string_view body);

std::string WritePeerAnswer(const core::configuration::PeerAnswer& answer);
/// The alternative of the answer follows from the request's path.
std::optional<core::configuration::PeerAnswer> ReadPeerControlAnswer(
    std::string_view path, std::string_view body);

}  // namespace ryefold::wire
