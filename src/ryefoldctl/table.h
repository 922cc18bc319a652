#pragma once

// Plain text tables.

#include <string>
#include <vector>

namespace ryefold::ryefoldctl {

class Table {
 public:
  explicit Table(std::vector<std::string> head) { rows_.push_back(head); }
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  /// Columns as wide as their widest cell, two blanks between them.
  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace ryefold::ryefoldctl
