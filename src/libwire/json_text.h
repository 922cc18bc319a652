#pragma once

// Writing JSON by hand, where building a tree first would cost more.

#include <cstdint>
#include <string>
#include <string_view>

namespace ryefold::wire {

/// Appends `text` as a JSON string with its quotes.
void AppendQuoted(std::string* out, std::string_view text);

/// Writes the members of one JSON object in order.
class ObjectWriter {
 public:
  explicit ObjectWriter(std::string* out) : out_(out) { *out_ += '{'; }

  ObjectWriter& String(std::string_view name, std::string_view value);
  ObjectWriter& Uint(std::string_view name, uint64_t value);
  ObjectWriter& Int(std::string_view name, int64_t value);
  ObjectWriter& Bool(std::string_view name, bool value);
  /// `json` goes in as it is.
  ObjectWriter& Raw(std::string_view name, std::string_view json);
  /// Members that are JSON text already, as found between two braces.
  ObjectWriter& Members(std::string_view json);
  /// Starts a member whose value the caller appends.
  std::string* Member(std::string_view name);
  void Finish() { *out_ += '}'; }

 private:
  void Comma();

  std::string* out_;
  bool first_ = true;
};

}  // namespace ryefold::wire
