#pragma once

// Forwarded statements and their answers as msgpack maps, with the rules of
// peer_codec.h for keys.

#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/session/forwarding.h"

namespace ryefold::wire {

constexpr std::string_view kPeerSessionStatement = "/peer/session/statement";
/// The body is the session's name.
constexpr std::string_view kPeerSessionRelease = "/peer/session/release";
/// Has neither body nor answer: a sign of life.
constexpr std::string_view kPeerSessionAlive = "/peer/session/alive";

std::string WriteForwarded(const core::session::ForwardedStatement& statement);
std::optional<core::session::ForwardedStatement> ReadForwarded(
    std::string_view body);
std::string WriteForwardedReply(const core::session::Reply& reply);
std::optional<core::session::Reply> ReadForwardedReply(std::string_view body);

}  // namespace ryefold::wire
