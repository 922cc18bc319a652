#include "ryefoldctl/loss_tally.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "ryefoldctl/log_fields.h"

namespace ryefold::ryefoldctl {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kAllPercent = 100;

std::string Field(const std::map<std::string, std::string>& fields,
                  const std::string& name) {
  const auto found = fields.find(name);
  return found == fields.end() || found->second.empty() ? "-" : found->second;
}

/// Reads the leading digits of a field, such as "40ms"; nullopt if it has none.
std::optional<uint64_t> NumberIn(
    const std::map<std::string, std::string>& fields, const std::string& name) {
  const std::string text = Field(fields, name);
  uint64_t value = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (read.ec != std::errc()) return std::nullopt;
  return value;
}

}  // namespace

std::optional<milliseconds> LossCount::RetryDelay(uint32_t percent) const {
  if (retry_delays.empty()) return std::nullopt;
  std::vector<milliseconds> sorted = retry_delays;
  const size_t rank = (sorted.size() * percent + kAllPercent - 1) / kAllPercent;
  const auto nth =
      sorted.begin() + static_cast<ptrdiff_t>(std::max<size_t>(rank, 1) - 1);
  std::nth_element(sorted.begin(), nth, sorted.end());
  return *nth;
}

void LossTally::AddLine(const std::string& line) {
  const Fields fields = ParseLogFields(line);
  const std::string event = Field(fields, "event");
  if (event == "refused") AddRefused(fields);
  if (event == "answered") AddAnswered(fields);
  if (event == "lines_left_out") {
    lines_left_out_ += NumberIn(fields, "count").value_or(0);
  }
}

template <typename Function>
void LossTally::ForEachCount(const Fields& fields, const std::string& reason,
                             Function add) {
  add(&all_);
  add(&counts_[LossAttribute::kReason][reason]);
  add(&counts_[LossAttribute::kRoute][Field(fields, "route")]);
  add(&counts_[LossAttribute::kWorkspace][Field(fields, "workspace")]);
  add(&counts_[LossAttribute::kGroup][Field(fields, "group")]);
}

void LossTally::AddRefused(const Fields& fields) {
  const auto delay = NumberIn(fields, "retry_after");
  ForEachCount(fields, Field(fields, "reason"), [&delay](LossCount* count) {
    ++count->refused;
    // Callers that are told no delay are not asked to retry.
    if (delay.value_or(0) > 0) count->retry_delays.emplace_back(*delay);
  });
}

void LossTally::AddAnswered(const Fields& fields) {
  // The keeper's line about a forwarded statement repeats what the caller's
  // instance logs.
  if (Field(fields, "side") == "keeper") return;
  ++answered_;
  const auto took = NumberIn(fields, "took");
  const auto goal = NumberIn(fields, "goal");
  if (Field(fields, "outcome") != "none") return;
  if (!took.has_value() || !goal.has_value() || *took <= *goal) return;
  ForEachCount(fields, "late", [](LossCount* count) { ++count->late; });
}

std::vector<LossRow> LossTally::Rows(LossAttribute attribute,
                                     size_t max_rows) const {
  std::vector<LossRow> rows;
  const auto found = counts_.find(attribute);
  if (found == counts_.end() || max_rows == 0) return rows;
  for (const auto& [value, count] : found->second) {
    rows.push_back({value, count});
  }
  std::stable_sort(rows.begin(), rows.end(),
                   [](const LossRow& a, const LossRow& b) {
                     return a.count.total() > b.count.total();
                   });
  if (rows.size() <= max_rows) return rows;
  LossRow others;
  others.value = "(" + std::to_string(rows.size() - max_rows + 1) + " others)";
  for (size_t i = max_rows - 1; i < rows.size(); ++i) {
    const LossCount& count = rows[i].count;
    others.count.refused += count.refused;
    others.count.late += count.late;
    others.count.retry_delays.insert(others.count.retry_delays.end(),
                                     count.retry_delays.begin(),
                                     count.retry_delays.end());
  }
  rows.resize(max_rows - 1);
  rows.push_back(std::move(others));
  return rows;
}

}  // namespace ryefold::ryefoldctl
