#pragma once

// Findings about a document: everything wrong with it, each with its place,
// collected and reported together.

#include <string>
#include <string_view>
#include <vector>

namespace ryefold::wire {

/// One thing wrong at one place.
struct Finding {
  /// File name, or "request" for a caller's body.
  std::string source;
  /// From 1; 0 when the place is the whole document.
  int line = 0;
  int column = 0;
  /// Path of the value, such as "databases[2].address".
  std::string path;
  /// What is wrong.
  std::string problem;
  /// What is allowed.
  std::string allowed;
};

using Findings = std::vector<Finding>;

/// "file:line:column: path: problem (allowed: ...)"
std::string ToText(const Finding& finding);

/// JSON array of findings, for answers to callers and `--json`.
std::string ToJson(const Findings& findings);

}  // namespace ryefold::wire
