#include "ryefold/wire/report_codec.h"

#include <chrono>
#include <cstdint>

#include "msgpack_body.h"

namespace ryefold::wire {
namespace {

using core::failover::GroupReport;
using std::chrono::milliseconds;

/// Longest silence that a report may tell.
constexpr milliseconds kMaxSilence{24LL * 60 * 60 * 1000};

struct ReportMap {
  std::string group;
  int64_t silence_ms = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("g", group), MSGPACK_NVP("s", silence_ms))
};

struct ReportsMap {
  std::vector<ReportMap> reports;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("r", reports))
};

}  // namespace

std::string WriteGroupReports(const std::vector<GroupReport>& reports) {
  ReportsMap map;
  for (const GroupReport& each : reports) {
    map.reports.push_back({each.group, each.silence.count()});
  }
  return Pack(map);
}

std::optional<std::vector<GroupReport>> ReadGroupReports(
    std::string_view body) {
  ReportsMap map;
  if (!Unpack(body, &map)) return std::nullopt;
  std::vector<GroupReport> reports;
  for (const ReportMap& each : map.reports) {
    const milliseconds silence(each.silence_ms);
    if (each.group.empty() || silence < milliseconds(0) ||
        silence > kMaxSilence) {
      return std::nullopt;
    }
    reports.push_back({each.group, silence});
  }
  return reports;
}

}  // namespace ryefold::wire
