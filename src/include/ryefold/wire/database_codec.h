#pragma once

// Databases' published protocol in JSON (docs/PROTOCOLS.md), both directions:
// the daemon writes calls and reads answers, the stand-in the reverse.

#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/messages.h"

namespace ryefold::wire {

/// Path of a call, such as "/v1/execute".
std::string_view PathOf(const core::ExecuteCall& call);
std::string_view PathOf(const core::ControlCall& call);

std::string WriteExecuteCall(const core::ExecuteCall& call);
std::optional<core::ExecuteCall> ReadExecuteCall(std::string_view path,
                                                 const std::string& body);
std::string WriteExecuteAnswer(const core::ExecuteAnswer& answer);
std::optional<core::ExecuteAnswer> ReadExecuteAnswer(const std::string& body);

std::string WriteControlCall(const core::ControlCall& call);
std::optional<core::ControlCall> ReadControlCall(std::string_view path,
                                                 const std::string& body);
/// The alternative of `answer` follows from the call.
std::string WriteControlAnswer(const core::ControlAnswer& answer);
/// `std::monostate` for a body that cannot be read.
core::ControlAnswer ReadControlAnswer(const core::ControlCall& call,
                                      const std::string& body);

}  // namespace ryefold::wire
