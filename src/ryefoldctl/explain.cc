// explain: what the logs of all instances say about one request, and what was
// believed about the databases that it met.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ryefoldctl/commands.h"
#include "ryefoldctl/log_fields.h"

namespace ryefold::ryefoldctl {
namespace {

using std::chrono::milliseconds;

/// How far before and after a request's lines other lines may explain it: a
/// failover takes two seconds, and a belief may be as old again.
constexpr milliseconds kBefore{5000};
constexpr milliseconds kAfter{2000};

/// One line of a log, taken apart.
struct LogLine {
  std::string text;
  /// Time of day.
  milliseconds at{0};
  std::map<std::string, std::string> fields;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

/// Nothing when the line is none of ours.
std::optional<LogLine> ParseLine(const std::string& text) {
  LogLine line;
  line.text = text;
  line.fields = ParseLogFields(text);
  int hour = 0;
  int minute = 0;
  int second = 0;
  int milli = 0;
  const int read = std::sscanf(line.Field("time").c_str(), "%d:%d:%d.%d", &hour,
                               &minute, &second, &milli);
  constexpr int kParts = 4;
  if (read != kParts || line.Field("event").empty()) return std::nullopt;
  line.at = std::chrono::hours(hour) + std::chrono::minutes(minute) +
            std::chrono::seconds(second) + milliseconds(milli);
  return line;
}

bool ReadLog(const std::string& path, std::vector<LogLine>* lines) {
  std::ifstream file(path);
  if (!file) return false;
  std::string text;
  while (std::getline(file, text)) {
    auto line = ParseLine(text);
    if (line.has_value()) lines->push_back(std::move(*line));
  }
  return true;
}

/// What a request's own lines name: when, where, and which databases.
struct Trail {
  milliseconds first{0};
  milliseconds last{0};
  std::set<std::string> databases;
  std::set<std::string> instances;
};

Trail Follow(const std::vector<LogLine>& own) {
  Trail trail;
  trail.first = own.front().at;
  for (const LogLine& line : own) {
    trail.first = std::min(trail.first, line.at);
    trail.last = std::max(trail.last, line.at);
    trail.instances.insert(line.Field("instance"));
    for (const char* key : {"database", "silent", "also", "keeper"}) {
      const std::string value = line.Field(key);
      if (!value.empty()) trail.databases.insert(value);
    }
  }
  return trail;
}

/// Whether a line about a belief concerns the request.
bool Concerns(const LogLine& line, const Trail& trail) {
  if (!line.Field("request").empty()) return false;
  if (line.at < trail.first - kBefore || line.at > trail.last + kAfter) {
    return false;
  }
  for (const char* key : {"database", "previous", "replaces", "keeper"}) {
    if (trail.databases.count(line.Field(key)) > 0) return true;
  }
  const std::string event = line.Field("event");
  const bool of_instance = trail.instances.count(line.Field("instance")) > 0;
  static const auto* const events_of_instance = new std::set<std::string>{
      "config_in_force", "store_lost", "store_regained", "drain_begin",
      "started",         "group_left", "group_kept",     "lines_left_out",
      "duty_held",       "duty_lost"};
  return of_instance && events_of_instance->count(event) > 0;
}

void Print(const std::string& title, std::vector<LogLine> lines) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.at < b.at; });
  std::cout << title << "\n";
  for (const LogLine& line : lines) std::cout << "  " << line.text << "\n";
}

}  // namespace

int Explain(const Invocation& invocation, Client* /*client*/) {
  constexpr size_t kLeast = 2;
  if (invocation.arguments.size() < kLeast) {
    std::cerr << "ryefoldctl: explain needs a request's id and log files\n";
    return kExitUsage;
  }
  const std::string& id = invocation.arguments.front();
  std::vector<LogLine> lines;
  for (size_t i = 1; i < invocation.arguments.size(); ++i) {
    if (ReadLog(invocation.arguments[i], &lines)) continue;
    std::cerr << "ryefoldctl: cannot read " << invocation.arguments[i] << "\n";
    return kExitUsage;
  }
  std::vector<LogLine> own;
  std::vector<LogLine> others;
  for (const LogLine& line : lines) {
    if (line.Field("request") == id) own.push_back(line);
  }
  if (own.empty()) {
    std::cerr << "no line about request " << id
              << "; event=lines_left_out tells when lines were left out\n";
    return kExitFindings;
  }
  const Trail trail = Follow(own);
  for (const LogLine& line : lines) {
    if (Concerns(line, trail)) others.push_back(line);
  }
  Print("request " + id, own);
  Print("around it", others);
  return kExitOk;
}

}  // namespace ryefold::ryefoldctl
