#include "testsuite/load/tally.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace ryefold::load {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr const char* kNames[kFates] = {"in goal", "late", "refused", "failed"};
constexpr const char* kColours[kFates] = {"#4c9f70", "#e3b505", "#d1603d",
                                          "#6b2737"};
/// Pixels of the picture.
constexpr int kHeight = 240;
constexpr int kColumn = 14;
constexpr int kMargin = 30;

double Percentile(std::vector<microseconds> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  const microseconds value = values[static_cast<size_t>(last * part)];
  return std::chrono::duration<double, std::milli>(value).count();
}

uint64_t Sum(const std::vector<Second>& seconds, size_t fate) {
  uint64_t sum = 0;
  for (const Second& second : seconds) sum += second.counts[fate];
  return sum;
}

std::string Rectangle(int x, double y, double height, const char* colour) {
  std::ostringstream svg;
  svg << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << kColumn - 2
      << "\" height=\"" << height << "\" fill=\"" << colour << "\"/>\n";
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

void Tally::Add(const std::string& kind, milliseconds at, Fate fate,
                microseconds took) {
  Kind& entry = kinds_[kind];
  const auto second = static_cast<size_t>(at.count() / 1000);
  if (entry.seconds.size() <= second) entry.seconds.resize(second + 1);
  ++entry.seconds[second].counts[static_cast<size_t>(fate)];
  const bool served = fate == Fate::kInGoal || fate == Fate::kLate;
  if (served) entry.latencies.push_back(took);
}

uint64_t Tally::count(Fate fate) const {
  uint64_t sum = 0;
  for (const auto& [name, kind] : kinds_) {
    sum += Sum(kind.seconds, static_cast<size_t>(fate));
  }
  return sum;
}

std::string Tally::Table() const {
  std::ostringstream table;
  table << std::left << std::setw(12) << "KIND";
  for (const char* name : kNames) table << std::right << std::setw(10) << name;
  table << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms"
        << "\n";
  for (const auto& [name, kind] : kinds_) {
    table << std::left << std::setw(12) << name << std::right;
    for (size_t fate = 0; fate < kFates; ++fate) {
      table << std::setw(10) << Sum(kind.seconds, fate);
    }
    table << std::fixed << std::setprecision(1) << std::setw(10)
          << Percentile(kind.latencies, 0.5) << std::setw(10)
          << Percentile(kind.latencies, 0.99) << "\n";
  }
  return table.str();
}

std::string Tally::Svg(const std::string& title) const {
  std::vector<Second> all;
  for (const auto& [name, kind] : kinds_) {
    if (all.size() < kind.seconds.size()) all.resize(kind.seconds.size());
    for (size_t i = 0; i < kind.seconds.size(); ++i) {
      for (size_t fate = 0; fate < kFates; ++fate) {
        all[i].counts[fate] += kind.seconds[i].counts[fate];
      }
    }
  }
  uint64_t most = 1;
  for (const Second& second : all) {
    uint64_t sum = 0;
    for (const uint64_t count : second.counts) sum += count;
    most = std::max(most, sum);
  }
  const int width = kMargin * 2 + static_cast<int>(all.size()) * kColumn + 90;
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
      << "\" height=\"" << kHeight + 2 * kMargin << "\">\n"
      << Label(kMargin, kMargin - 12, title);
  for (size_t i = 0; i < all.size(); ++i) {
    double y = kHeight + kMargin;
    const int x = kMargin + static_cast<int>(i) * kColumn;
    for (size_t fate = 0; fate < kFates; ++fate) {
      const double height = static_cast<double>(all[i].counts[fate]) * kHeight /
                            static_cast<double>(most);
      y -= height;
      svg << Rectangle(x, y, height, kColours[fate]);
    }
    if (i % 5 == 0) svg << Label(x, kHeight + kMargin + 14, std::to_string(i));
  }
  for (size_t fate = 0; fate < kFates; ++fate) {
    const int y = kMargin + static_cast<int>(fate) * 18;
    svg << Rectangle(width - 84, y, 12, kColours[fate])
        << Label(width - 66, y + 10, kNames[fate]);
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace ryefold::load
