#pragma once

// zstd over whole strings, with an earlier text as its dictionary.

#include <optional>
#include <string>
#include <string_view>

namespace ryefold::wire {

/// `base` must be given again to `Decompress`; may be empty.
std::string Compress(std::string_view text, std::string_view base);

/// Nothing when `data` is damaged, was made with another base, or would exceed
/// `most` bytes.
std::optional<std::string> Decompress(std::string_view data,
                                      std::string_view base, size_t most);

}  // namespace ryefold::wire
