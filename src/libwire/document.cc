#include "ryefold/wire/document.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "document_impl.h"
#include "json_value.h"

namespace ryefold::wire {
namespace {

/// jsoncpp reports errors as "* Line 3, Column 7\n  what\n" each, with an
/// optional "See Line..." after it.
void AddSyntaxFindings(const std::string& source, std::string_view errors,
                       Findings* findings) {
  constexpr std::string_view kMark = "* Line ";
  size_t at = errors.find(kMark);
  while (at != std::string_view::npos) {
    const size_t next = errors.find(kMark, at + kMark.size());
    std::string item(errors.substr(at, next - at));
    Finding finding;
    finding.source = source;
    if (std::sscanf(item.c_str(), "* Line %d, Column %d", &finding.line,
                    &finding.column) != 2) {
      finding.line = 0;
    }
    const size_t start = std::min(item.find('\n'), item.size() - 1) + 1;
    const size_t text = item.find_first_not_of(' ', start);
    if (text != std::string::npos) {
      finding.problem = item.substr(text, item.find('\n', text) - text);
    }
    findings->push_back(std::move(finding));
    at = next;
  }
}

}  // namespace

Finding Document::Impl::At(const Json::Value* value, std::string path,
                           std::string problem, std::string allowed) const {
  Finding finding{
      source, 0, 0, std::move(path), std::move(problem), std::move(allowed)};
  if (value == nullptr) return finding;
  const auto offset = static_cast<size_t>(value->getOffsetStart());
  const std::string_view whole = text;
  const std::string_view before = whole.substr(0, offset);
  const size_t line_start = before.rfind('\n');
  finding.line =
      1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
  finding.column = 1 + static_cast<int>(line_start == std::string_view::npos
                                            ? offset
                                            : offset - line_start - 1);
  return finding;
}

Document::Document(std::string source, std::string text, bool comments)
    : impl_(std::make_unique<Impl>()) {
  impl_->source = std::move(source);
  impl_->text = std::move(text);
  std::string errors;
  impl_->ok = ParseJson(impl_->text, comments, &impl_->root, &errors);
  if (impl_->ok) return;
  AddSyntaxFindings(impl_->source, errors, &impl_->findings);
  if (!impl_->findings.empty()) return;
  const std::string allowed =
      "JSON nested at most " + std::to_string(kMaxNesting) + " deep";
  impl_->findings.push_back(impl_->At(nullptr, "", "cannot be read", allowed));
}

Document::~Document() = default;
bool Document::ok() const { return impl_->ok; }
const Findings& Document::findings() const { return impl_->findings; }

}  // namespace ryefold::wire
