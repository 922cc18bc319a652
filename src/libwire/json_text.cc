#include "json_text.h"

#include <array>
#include <charconv>

namespace ryefold::wire {
namespace {

constexpr unsigned char kFirstPlain = 0x20;
constexpr std::string_view kHex = "0123456789abcdef";

bool IsPlain(char c) {
  return static_cast<unsigned char>(c) >= kFirstPlain && c != '"' && c != '\\';
}

void AppendEscaped(std::string* out, char c) {
  switch (c) {
    case '"':
      *out += "\\\"";
      return;
    case '\\':
      *out += "\\\\";
      return;
    case '\n':
      *out += "\\n";
      return;
    case '\r':
      *out += "\\r";
      return;
    case '\t':
      *out += "\\t";
      return;
    default:
      break;
  }
  const auto code = static_cast<unsigned char>(c);
  *out += "\\u00";
  *out += kHex[code >> 4U];
  *out += kHex[code & 0xFU];
}

template <class Number>
void AppendNumber(std::string* out, Number value) {
  std::array<char, 24> text;
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  out->append(text.data(), end);
}

}  // namespace

void AppendQuoted(std::string* out, std::string_view text) {
  *out += '"';
  size_t start = 0;
  for (size_t i = 0; i < text.size(); ++i) {
    if (IsPlain(text[i])) continue;
    out->append(text.substr(start, i - start));
    AppendEscaped(out, text[i]);
    start = i + 1;
  }
  out->append(text.substr(start));
  *out += '"';
}

void ObjectWriter::Comma() {
  if (!first_) *out_ += ',';
  first_ = false;
}

std::string* ObjectWriter::Member(std::string_view name) {
  Comma();
  *out_ += '"';
  *out_ += name;
  *out_ += "\":";
  return out_;
}

ObjectWriter& ObjectWriter::String(std::string_view name,
                                   std::string_view value) {
  AppendQuoted(Member(name), value);
  return *this;
}

ObjectWriter& ObjectWriter::Uint(std::string_view name, uint64_t value) {
  AppendNumber(Member(name), value);
  return *this;
}

ObjectWriter& ObjectWriter::Int(std::string_view name, int64_t value) {
  AppendNumber(Member(name), value);
  return *this;
}

ObjectWriter& ObjectWriter::Bool(std::string_view name, bool value) {
  *Member(name) += value ? "true" : "false";
  return *this;
}

ObjectWriter& ObjectWriter::Raw(std::string_view name, std::string_view json) {
  *Member(name) += json;
  return *this;
}

ObjectWriter& ObjectWriter::Members(std::string_view json) {
  if (json.find_first_not_of(" \t\r\n") == std::string_view::npos) return *this;
  Comma();
  *out_ += json;
  return *this;
}

}  // namespace ryefold::wire
