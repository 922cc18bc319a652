#include "testsuite/load/tally.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace ryefold::load {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr const char* kLabels[kOutcomes] = {"in goal", "late", "refused",
                                            "failed"};
constexpr const char* kOutcomeColors[kOutcomes] = {"#4c9f70", "#e3b505",
                                                   "#d1603d", "#6b2737"};
/// Sizes in the chart, in pixels.
constexpr int kHeight = 240;
constexpr int kColumnWidth = 14;
constexpr int kMargin = 30;

double Percentile(std::vector<microseconds> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last_index = static_cast<double>(values.size() - 1);
  const microseconds value = values[static_cast<size_t>(last_index * fraction)];
  return std::chrono::duration<double, std::milli>(value).count();
}

uint64_t Sum(const std::vector<SecondCounts>& seconds, size_t outcome) {
  uint64_t sum = 0;
  for (const SecondCounts& second : seconds) sum += second.counts[outcome];
  return sum;
}

std::string Rectangle(int x, double y, double height, const char* color) {
  std::ostringstream svg;
  svg << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\""
      << kColumnWidth - 2 << "\" height=\"" << height << "\" fill=\"" << color
      << "\"/>\n";
  return svg.str();
}

std::string Label(int x, int y, const std::string& text) {
  std::ostringstream svg;
  svg << "<text x=\"" << x << "\" y=\"" << y
      << "\" font-size=\"11\" font-family=\"sans-serif\">" << text
      << "</text>\n";
  return svg.str();
}

}  // namespace

void Tally::Add(const std::string& kind, milliseconds at, Outcome outcome,
                microseconds latency) {
  Kind& entry = kinds_[kind];
  const auto second = static_cast<size_t>(at.count() / 1000);
  if (entry.seconds.size() <= second) entry.seconds.resize(second + 1);
  ++entry.seconds[second].counts[static_cast<size_t>(outcome)];
  const bool served = outcome == Outcome::kInGoal || outcome == Outcome::kLate;
  if (served) entry.latencies.push_back(latency);
}

uint64_t Tally::count(Outcome outcome) const {
  uint64_t sum = 0;
  for (const auto& [name, kind] : kinds_) {
    sum += Sum(kind.seconds, static_cast<size_t>(outcome));
  }
  return sum;
}

std::string Tally::Table() const {
  std::ostringstream table;
  table << std::left << std::setw(12) << "KIND";
  for (const char* name : kLabels) table << std::right << std::setw(10) << name;
  table << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms"
        << "\n";
  for (const auto& [name, kind] : kinds_) {
    table << std::left << std::setw(12) << name << std::right;
    for (size_t outcome = 0; outcome < kOutcomes; ++outcome) {
      table << std::setw(10) << Sum(kind.seconds, outcome);
    }
    table << std::fixed << std::setprecision(1) << std::setw(10)
          << Percentile(kind.latencies, 0.5) << std::setw(10)
          << Percentile(kind.latencies, 0.99) << "\n";
  }
  return table.str();
}

std::string Tally::Svg(const std::string& title) const {
  std::vector<SecondCounts> totals;
  for (const auto& [name, kind] : kinds_) {
    if (totals.size() < kind.seconds.size()) totals.resize(kind.seconds.size());
    for (size_t i = 0; i < kind.seconds.size(); ++i) {
      for (size_t outcome = 0; outcome < kOutcomes; ++outcome) {
        totals[i].counts[outcome] += kind.seconds[i].counts[outcome];
      }
    }
  }
  uint64_t max_sum = 1;
  for (const SecondCounts& second : totals) {
    uint64_t sum = 0;
    for (const uint64_t count : second.counts) sum += count;
    max_sum = std::max(max_sum, sum);
  }
  const int width =
      kMargin * 2 + static_cast<int>(totals.size()) * kColumnWidth + 90;
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
      << "\" height=\"" << kHeight + 2 * kMargin << "\">\n"
      << Label(kMargin, kMargin - 12, title);
  for (size_t i = 0; i < totals.size(); ++i) {
    double y = kHeight + kMargin;
    const int x = kMargin + static_cast<int>(i) * kColumnWidth;
    for (size_t outcome = 0; outcome < kOutcomes; ++outcome) {
      const double height = static_cast<double>(totals[i].counts[outcome]) *
                            kHeight / static_cast<double>(max_sum);
      y -= height;
      svg << Rectangle(x, y, height, kOutcomeColors[outcome]);
    }
    if (i % 5 == 0) svg << Label(x, kHeight + kMargin + 14, std::to_string(i));
  }
  for (size_t outcome = 0; outcome < kOutcomes; ++outcome) {
    const int y = kMargin + static_cast<int>(outcome) * 18;
    svg << Rectangle(width - 84, y, 12, kOutcomeColors[outcome])
        << Label(width - 66, y + 10, kLabels[outcome]);
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace ryefold::load
