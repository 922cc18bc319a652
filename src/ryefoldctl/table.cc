#include "ryefoldctl/table.h"

#include <algorithm>
#include <utility>

namespace ryefold::ryefoldctl {

Table::Table(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void Table::Add(std::vector<std::string> row) {
  row.resize(rows_.front().size());
  rows_.push_back(std::move(row));
}

void Table::Print(std::ostream* out) const {
  std::vector<size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 == row.size()) break;
      line += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    *out << line << "\n";
  }
}

}  // namespace ryefold::ryefoldctl
