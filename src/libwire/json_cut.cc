#include "json_cut.h"

#include "json_value.h"
#include "ryefold/wire/json_array.h"

namespace ryefold::wire {
namespace {

constexpr std::string_view kSpace = " \t\r\n";
constexpr size_t kNone = std::string_view::npos;

/// Place of the quote that ends the string whose first quote is at `open`.
size_t EndOfString(std::string_view text, size_t open) {
  for (size_t at = open + 1; at < text.size(); ++at) {
    if (text[at] == '"') return at;
    if (text[at] == '\\') ++at;
  }
  return kNone;
}

/// Place of the bracket that closes the one at `open`.
size_t EndOfBrackets(std::string_view text, size_t open) {
  std::string closing;
  for (size_t at = open; at < text.size(); ++at) {
    const char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
      if (at == kNone) return kNone;
    } else if (c == '{' || c == '[') {
      closing += c == '{' ? '}' : ']';
      if (closing.size() >= kMaxNesting) return kNone;
    } else if (c == '}' || c == ']') {
      if (closing.back() != c) return kNone;
      closing.pop_back();
      if (closing.empty()) return at;
    }
  }
  return kNone;
}

/// Place of the next character that is not space.
size_t SkipSpace(std::string_view text, size_t at) {
  return text.find_first_not_of(kSpace, at);
}

/// Place of the first character of the value of the member `name`, in an
/// object that begins at `open`.
size_t FindValue(std::string_view text, size_t open, std::string_view name) {
  size_t at = open + 1;
  while (at < text.size() && text[at] != '}') {
    if (text[at] == '{' || text[at] == '[') {
      at = EndOfBrackets(text, at);
    } else if (text[at] == '"') {
      const size_t end = EndOfString(text, at);
      if (end == kNone) return kNone;
      const std::string_view word = text.substr(at + 1, end - at - 1);
      const size_t next = SkipSpace(text, end + 1);
      if (next == kNone) return kNone;
      if (word == name && text[next] == ':') return SkipSpace(text, next + 1);
      at = end;
    }
    if (at == kNone) return kNone;
    ++at;
  }
  return kNone;
}

/// Splits the array between the brackets at `open` and `end`. Returns false if
/// it holds anything but objects.
bool SplitObjects(std::string_view text, size_t open, size_t end,
                  std::vector<std::string_view>* elements) {
  size_t at = SkipSpace(text, open + 1);
  if (at == end) return true;
  while (at < end && text[at] == '{') {
    const size_t last = EndOfBrackets(text, at);
    if (last == kNone) return false;
    elements->push_back(text.substr(at, last + 1 - at));
    at = SkipSpace(text, last + 1);
    if (at == end) return true;
    if (at == kNone || text[at] != ',') return false;
    at = SkipSpace(text, at + 1);
  }
  return false;
}

/// Returns `text` with `null` in place of the value between two positions.
std::string WithoutValue(std::string_view text, size_t first, size_t last) {
  std::string rest(text.substr(0, first));
  rest += "null";
  rest += text.substr(last + 1);
  return rest;
}

}  // namespace

CutArray CutObjects(std::string_view object, std::string_view name) {
  CutArray cut;
  const size_t open = SkipSpace(object, 0);
  if (open == kNone || object[open] != '{') return cut;
  const size_t start = FindValue(object, open, name);
  if (start == kNone || object[start] != '[') return cut;
  const size_t end = EndOfBrackets(object, start);
  if (end == kNone || !SplitObjects(object, start, end, &cut.elements)) {
    return cut;
  }
  cut.found = true;
  cut.rest = WithoutValue(object, start, end);
  return cut;
}

CutObject CutMember(std::string_view object, std::string_view name) {
  CutObject cut;
  const size_t open = SkipSpace(object, 0);
  if (open == kNone || object[open] != '{') return cut;
  const size_t start = FindValue(object, open, name);
  if (start == kNone || object[start] != '{') return cut;
  const size_t end = EndOfBrackets(object, start);
  if (end == kNone) return cut;
  cut.member = object.substr(start, end + 1 - start);
  cut.rest = WithoutValue(object, start, end);
  return cut;
}

}  // namespace ryefold::wire
