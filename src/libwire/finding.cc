#include "ryefold/wire/finding.h"

#include "json_text.h"

namespace ryefold::wire {

std::string ToText(const Finding& finding) {
  std::string text = finding.source;
  if (finding.line > 0) {
    text += ':' + std::to_string(finding.line);
    text += ':' + std::to_string(finding.column);
  }
  if (!finding.path.empty()) text += ": " + finding.path;
  text += ": " + finding.problem;
  if (!finding.allowed.empty()) text += " (allowed: " + finding.allowed + ')';
  return text;
}

std::string ToJson(const Findings& findings) {
  std::string out = "[";
  for (const Finding& finding : findings) {
    if (out.size() > 1) out += ',';
    ObjectWriter writer(&out);
    writer.String("source", finding.source);
    writer.Int("line", finding.line);
    writer.Int("column", finding.column);
    writer.String("path", finding.path);
    writer.String("problem", finding.problem);
    writer.String("allowed", finding.allowed);
    writer.Finish();
  }
  return out + ']';
}

}  // namespace ryefold::wire
