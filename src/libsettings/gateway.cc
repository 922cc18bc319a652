#include "ryefold/settings/gateway.h"

#include "ryefold/settings/instance.h"
#include "ryefold/wire/document.h"

namespace ryefold::settings {
namespace {

using std::chrono::milliseconds;
using wire::Reader;

constexpr double kMaxGraceSeconds = 3600;
constexpr double kMillisecondsPerSecond = 1000;
constexpr int64_t kMaxLogLines = 100000;

std::string ReadAddress(Reader* reader, std::string_view name, bool required) {
  std::string text =
      required ? reader->RequiredString(name) : reader->String(name);
  if (!text.empty() && !IsAddress(text)) {
    reader->Report(name, "\"" + text + "\" is no address",
                   "ip:port, such as 10.0.0.5:6400");
  }
  return text;
}

}  // namespace

GatewaySettings ParseGatewaySettings(const std::string& source,
                                     const std::string& text,
                                     wire::Findings* findings) {
  GatewaySettings settings;
  wire::Document document(source, text, /*comments=*/true);
  Reader reader(&document, findings);
  if (!document.ok()) return settings;
  settings.name = reader.RequiredString("name");
  settings.failure_domain = reader.RequiredString("failure_domain");
  settings.session_address = ReadAddress(&reader, "session_address", true);
  settings.peer_address = ReadAddress(&reader, "peer_address", false);
  settings.ready_address = ReadAddress(&reader, "ready_address", true);
  settings.metrics_address = ReadAddress(&reader, "metrics_address", false);
  settings.store_address = ReadAddress(&reader, "store_address", true);
  settings.promotion_address = ReadAddress(&reader, "promotion_address", true);
  settings.first_start = reader.Bool("first_start", false);
  const double grace = reader.Number(
      "stop_grace_s",
      static_cast<double>(settings.stop_grace.count()) / kMillisecondsPerSecond,
      0, kMaxGraceSeconds);
  settings.stop_grace =
      milliseconds(static_cast<int64_t>(grace * kMillisecondsPerSecond));
  const std::vector<std::string_view> confirmations = {"replica", "primary"};
  settings.confirm_commits =
      confirmations[reader.Choice("confirm_commits", confirmations, 0)];
  const std::vector<std::string_view> shares = {"requests", "work"};
  settings.queue_shares = shares[reader.Choice("queue_shares", shares, 0)];
  const std::vector<std::string_view> choices = {"in_flight", "expected_wait"};
  settings.keeper_choice = choices[reader.Choice("keeper_choice", choices, 0)];
  const std::vector<std::string_view> orders = {"arrival", "priority"};
  settings.limit_order = orders[reader.Choice("limit_order", orders, 0)];
  const std::vector<std::string_view> concurrencies = {"fixed", "adaptive"};
  settings.database_concurrency =
      concurrencies[reader.Choice("database_concurrency", concurrencies, 0)];
  settings.log_lines = static_cast<uint32_t>(
      reader.Int("log_lines", settings.log_lines, 0, kMaxLogLines));
  settings.restart_allowance = reader.Bool("restart_allowance", false);
  reader.Finish();
  return settings;
}

}  // namespace ryefold::settings
