#include "ryefoldctl/log_fields.h"

#include <algorithm>

namespace ryefold::ryefoldctl {

std::map<std::string, std::string> ParseLogFields(const std::string& line) {
  std::map<std::string, std::string> fields;
  size_t at = 0;
  while (at < line.size()) {
    const size_t equals = line.find('=', at);
    if (equals == std::string::npos) break;
    const std::string key = line.substr(at, equals - at);
    size_t begin = equals + 1;
    const bool quoted = begin < line.size() && line[begin] == '"';
    if (quoted) ++begin;
    const size_t end =
        std::min(line.find(quoted ? '"' : ' ', begin), line.size());
    fields[key] = line.substr(begin, end - begin);
    at = std::min(end + (quoted ? 2 : 1), line.size());
  }
  return fields;
}

}  // namespace ryefold::ryefoldctl
