#include "ryefoldctl/table.h"

#include <algorithm>

namespace ryefold::ryefoldctl {

std::string Table::ToText() const {
  std::vector<size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace ryefold::ryefoldctl
