#pragma once

// Messages between instances as msgpack maps. Unknown keys are skipped and
// missing ones keep their defaults, so that instances of two versions work
// together while a fleet is being replaced.

#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/messages.h"
#include "ryefold/core/outcome.h"

namespace ryefold::wire {

constexpr std::string_view kPeerStatement = "/peer/statement";
constexpr std::string_view kPeerSettle = "/peer/settle";
/// Answered at once, with an empty body, by a keeper task that runs.
constexpr std::string_view kPeerAlive = "/peer/alive";

/// Deadlines travel as time left, since instances share no clock.
std::string WritePeerRequest(core::TimePoint now,
                             const core::StatementRequest& request);
std::optional<core::StatementRequest> ReadPeerRequest(core::TimePoint now,
                                                      std::string_view body);
std::string WritePeerSettle(core::TimePoint now,
                            const core::SettleRequest& request);
std::optional<core::SettleRequest> ReadPeerSettle(core::TimePoint now,
                                                  std::string_view body);
std::string WritePeerAnswer(const core::StatementAnswer& answer);
std::optional<core::StatementAnswer> ReadPeerAnswer(std::string_view body);

}  // namespace ryefold::wire
