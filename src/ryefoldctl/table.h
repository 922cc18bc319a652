#pragma once

// Plain tables for terminals.

#include <ostream>
#include <string>
#include <vector>

namespace ryefold::ryefoldctl {

/// Rows under a header, columns as wide as their widest text.
class Table {
 public:
  explicit Table(std::vector<std::string> header);
  void Add(std::vector<std::string> row);
  void Print(std::ostream* out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace ryefold::ryefoldctl
