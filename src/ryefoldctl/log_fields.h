#pragma once

// Fields of structured log lines.

#include <map>
#include <string>

namespace ryefold::ryefoldctl {

/// Returns the fields of a line `key=value key="value with spaces" ...`.
std::map<std::string, std::string> ParseLogFields(const std::string& line);

}  // namespace ryefold::ryefoldctl
