#pragma once

// The platform's key-value service and instance list in JSON
// (docs/PROTOCOLS.md).

#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/configuration/node.h"

namespace ryefold::wire {

/// One HTTP call to the platform.
struct PlatformCall {
  std::string method;
  std::string path;
  std::string body;
};

PlatformCall WriteStoreRequest(
    const core::configuration::StoreRequest& request);

/// Reads the answer to `request`. Nothing when status or body make no sense
/// or the platform refused; the node is told StoreFailed then.
std::optional<core::configuration::StoreAnswer> ReadStoreAnswer(
    const core::configuration::StoreRequest& request, int status,
    const std::string& body);

/// The text kept under a key, and back. An empty text is `std::monostate`.
std::string WriteStoreValue(const core::configuration::StoreValue& value);
std::optional<core::configuration::StoreValue> ReadStoreValue(
    std::string_view key, const std::string& text);

/// A list of members as the platform writes it, for stand-ins.
std::string WriteInstances(uint64_t version,
                           const std::vector<core::membership::Member>& all);

}  // namespace ryefold::wire
