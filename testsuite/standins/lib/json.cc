#include "testsuite/standins/lib/json.h"

#include <json/reader.h>

#include <charconv>
#include <cmath>
#include <memory>

namespace ryefold::standins {
namespace {

// Making a reader costs more than reading a small body with it.
Json::CharReader* SharedReader() {
  static const std::unique_ptr<Json::CharReader> reader = [] {
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
  }();
  return reader.get();
}

template <class Number>
void AppendNumber(std::string* out, Number value) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof(text), value).ptr;
  out->append(text, end);
}

void AppendControl(std::string* out, unsigned char c) {
  static constexpr char kHex[] = "0123456789abcdef";
  out->append("\\u00");
  out->push_back(kHex[c >> 4]);
  out->push_back(kHex[c & 15]);
}

}  // namespace

std::optional<Json::Value> ParseJson(std::string_view text) {
  Json::Value value;
  try {
    if (!SharedReader()->parse(text.data(), text.data() + text.size(), &value,
                               nullptr)) {
      return std::nullopt;
    }
  } catch (const std::exception&) {
    // jsoncpp throws when nesting exceeds its limit.
    return std::nullopt;
  }
  return value;
}

std::optional<Json::Value> ParseObject(std::string_view text) {
  std::optional<Json::Value> value = ParseJson(text);
  if (value && !value->isObject()) return std::nullopt;
  return value;
}

std::string RawText(const Json::Value& value, std::string_view document) {
  const auto start = static_cast<size_t>(value.getOffsetStart());
  const auto limit = static_cast<size_t>(value.getOffsetLimit());
  return std::string(document.substr(start, limit - start));
}

void AppendString(std::string* out, std::string_view text) {
  out->push_back('"');
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      AppendControl(out, static_cast<unsigned char>(c));
    } else {
      out->push_back(c);
    }
  }
  out->push_back('"');
}

void AppendInt(std::string* out, int64_t value) { AppendNumber(out, value); }

void AppendUint(std::string* out, uint64_t value) { AppendNumber(out, value); }

void AppendDouble(std::string* out, double value) {
  if (!std::isfinite(value)) {
    out->append("null");
    return;
  }
  const size_t before = out->size();
  AppendNumber(out, value);
  // A real number stays one for the reader: "2" would come back as integer.
  if (out->find_first_of(".e", before) == std::string::npos) out->append(".0");
}

void AppendPosition(std::string* out, const core::LogPosition& position) {
  out->append("{\"term\":");
  AppendUint(out, position.term);
  out->append(",\"index\":");
  AppendUint(out, position.index);
  out->push_back('}');
}

std::string StringOf(const Json::Value& object, const char* name) {
  const Json::Value& value = object[name];
  return value.isString() ? value.asString() : std::string();
}

uint64_t UintOf(const Json::Value& object, const char* name,
                uint64_t otherwise) {
  const Json::Value& value = object[name];
  return value.isUInt64() ? value.asUInt64() : otherwise;
}

bool BoolOf(const Json::Value& object, const char* name) {
  const Json::Value& value = object[name];
  return value.isBool() && value.asBool();
}

core::LogPosition PositionOf(const Json::Value& object, const char* name) {
  const Json::Value& value = object[name];
  if (!value.isObject()) return {};
  return {UintOf(value, "term"), UintOf(value, "index")};
}

}  // namespace ryefold::standins
