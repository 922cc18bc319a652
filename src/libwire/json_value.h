#pragma once

// Reading JSON through jsoncpp. Included only by the few sources that do.

#include <json/json.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace ryefold::wire {

/// Deepest nesting that is read. Deeper bodies are refused: the parser calls
/// itself once a level, and a caller could make it run out of stack.
constexpr int kMaxNesting = 64;

/// Parses the whole of `text`; duplicate keys are errors. False with reasons
/// in `errors` (when wanted) as jsoncpp words them.
bool ParseJson(std::string_view text, bool comments, Json::Value* root,
               std::string* errors);

/// Reads members of a peer's object: unknown ones are skipped, missing ones
/// keep their defaults, one of a wrong type spoils the whole.
class Fields {
 public:
  /// `text` is what `value` was parsed from; `value` may be null (missing).
  Fields(std::string_view text, const Json::Value* value);

  Fields& String(std::string_view name, std::string* out);
  Fields& Uint(std::string_view name, uint64_t* out);
  Fields& Bool(std::string_view name, bool* out);
  /// Text of an array or object as written.
  Fields& RawArray(std::string_view name, std::string* out);
  Fields& RawObject(std::string_view name, std::string* out);
  /// The member, null when missing.
  const Json::Value* Find(std::string_view name) const;

  void Spoil() { ok_ = false; }
  bool ok() const { return ok_; }
  std::string_view text() const { return text_; }

 private:
  std::string_view text_;
  const Json::Value* value_;
  bool ok_ = true;
};

/// Text of `value` as written in `text`.
std::string_view RawText(std::string_view text, const Json::Value& value);

}  // namespace ryefold::wire
