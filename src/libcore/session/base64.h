#pragma once

// URL-safe base64 without padding (RFC 4648, section 5).

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ryefold::core::session {

std::string ToBase64(const std::vector<uint8_t>& bytes);

/// Returns nullopt if `text` contains an invalid character, has an impossible
/// length or non-zero trailing bits, so that each byte string has exactly one
/// encoding.
std::optional<std::vector<uint8_t>> FromBase64(std::string_view text);

}  // namespace ryefold::core::session
