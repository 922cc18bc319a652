// losses: refused and late requests in collected logs.

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "ryefoldctl/commands.h"
#include "ryefoldctl/loss_tally.h"
#include "ryefoldctl/table.h"

namespace ryefold::ryefoldctl {
namespace {

struct Section {
  LossAttribute attribute;
  const char* title;
  size_t max_rows;
};

/// With heading and sum at most 23 lines: the output fits a terminal of 24.
constexpr Section kSections[] = {
    {LossAttribute::kReason, "reason", 6},
    {LossAttribute::kRoute, "route", 4},
    {LossAttribute::kWorkspace, "workspace", 6},
    {LossAttribute::kGroup, "group", 4},
};
constexpr uint32_t kPercentiles[] = {10, 50, 90};

std::vector<std::string> RowOf(const std::string& title,
                               const std::string& value,
                               const LossCount& count) {
  std::vector<std::string> row = {title, value, std::to_string(count.refused),
                                  std::to_string(count.late)};
  for (const uint32_t percent : kPercentiles) {
    const auto delay = count.RetryDelay(percent);
    row.push_back(delay.has_value() ? std::to_string(delay->count()) + " ms"
                                    : "-");
  }
  return row;
}

void AddLines(std::istream* in, LossTally* tally) {
  std::string line;
  while (std::getline(*in, line)) tally->AddLine(line);
}

void Print(const LossTally& tally) {
  std::cout << tally.answered() << " requests answered; "
            << tally.lines_left_out() << " log lines left out\n";
  Table table({"by", "value", "refused", "late", "retry 10%", "50%", "90%"});
  table.Add(RowOf("all", "", tally.all()));
  for (const Section& section : kSections) {
    for (const LossRow& row : tally.Rows(section.attribute, section.max_rows)) {
      table.Add(RowOf(section.title, row.value, row.count));
    }
  }
  table.Print(&std::cout);
}

}  // namespace

int Losses(const Invocation& invocation, Client* /*client*/) {
  LossTally tally;
  for (const std::string& path : invocation.arguments) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "ryefoldctl: cannot read " << path << "\n";
      return kExitUsage;
    }
    AddLines(&file, &tally);
  }
  if (invocation.arguments.empty()) AddLines(&std::cin, &tally);
  Print(tally);
  return kExitOk;
}

}  // namespace ryefold::ryefoldctl
