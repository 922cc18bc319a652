#pragma once

// Small helpers over jsoncpp: one reused parser, and fast writing of text.

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/types.h"

namespace ryefold::standins {

/// Parses a whole document; nothing when the syntax is broken.
std::optional<Json::Value> ParseJson(std::string_view text);

/// Parses a document that must be an object.
std::optional<Json::Value> ParseObject(std::string_view text);

/// Text of `value` exactly as it stands in `document`.
std::string RawText(const Json::Value& value, std::string_view document);

/// Appends `text` as a JSON string, quotes included.
void AppendString(std::string* out, std::string_view text);
void AppendInt(std::string* out, int64_t value);
void AppendUint(std::string* out, uint64_t value);
void AppendDouble(std::string* out, double value);
void AppendPosition(std::string* out, const core::LogPosition& position);

// Members of an object; the default when absent or of another type.
std::string StringOf(const Json::Value& object, const char* name);
uint64_t UintOf(const Json::Value& object, const char* name,
                uint64_t otherwise = 0);
bool BoolOf(const Json::Value& object, const char* name);
core::LogPosition PositionOf(const Json::Value& object, const char* name);

}  // namespace ryefold::standins
