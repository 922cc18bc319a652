#include "ryefold/settings/instance.h"

#include <arpa/inet.h>

#include <cstdlib>

#include "ryefold/wire/document.h"

namespace ryefold::settings {
namespace {

using std::chrono::milliseconds;
using wire::Reader;

constexpr size_t kMinAdminKey = 8;
constexpr size_t kMaxName = 64;
constexpr int kMaxPort = 65535;
constexpr const char* kAddressForm = "ip:port, such as 10.0.0.5:6400";

milliseconds ReadTime(Reader* reader, std::string_view name,
                      milliseconds default_value, int64_t min, int64_t max) {
  return milliseconds(reader->Int(name, default_value.count(), min, max));
}

std::string ReadName(Reader* reader, std::string_view name) {
  std::string text = reader->RequiredString(name);
  // Names are parts of keys, paths and transaction ids, which use '~' and '/'
  // as separators.
  const bool has_separator = text.find_first_of("~/\" \n") != std::string::npos;
  if (has_separator || text.size() > kMaxName) {
    reader->Report(name, "not a name",
                   "1 to 64 bytes without blanks, quotes, '~' and '/'");
  }
  return text;
}

std::string ReadAddress(Reader* reader, std::string_view name) {
  std::string text = reader->RequiredString(name);
  if (!text.empty() && !IsAddress(text)) {
    reader->Report(name, "\"" + text + "\" is no address", kAddressForm);
  }
  return text;
}

std::vector<std::string> ReadAddresses(Reader* reader, std::string_view name,
                                       bool required) {
  std::vector<std::string> addresses = reader->Strings(name);
  for (const std::string& text : addresses) {
    if (IsAddress(text)) continue;
    reader->Report(name, "\"" + text + "\" is no address", kAddressForm);
  }
  if (required && addresses.empty()) {
    reader->Report(name, "is missing or empty", "a list of addresses");
  }
  return addresses;
}

void ReadLimits(Reader* reader, wire::HttpLimits* limits) {
  limits->max_body = static_cast<size_t>(reader->Int(
      "max_body_bytes", static_cast<int64_t>(limits->max_body), 1024, 1 << 26));
  limits->max_headers = static_cast<size_t>(
      reader->Int("max_header_bytes", static_cast<int64_t>(limits->max_headers),
                  1024, 1 << 20));
  limits->receive_timeout = ReadTime(reader, "receive_timeout_ms",
                                     limits->receive_timeout, 100, 600000);
  limits->idle_timeout =
      ReadTime(reader, "idle_timeout_ms", limits->idle_timeout, 1000, 86400000);
  limits->max_connections = static_cast<size_t>(
      reader->Int("max_connections",
                  static_cast<int64_t>(limits->max_connections), 1, 1000000));
  reader->Finish();
}

void ReadDetection(Reader* reader, core::group::KeeperTiming* timing) {
  timing->status_wait =
      ReadTime(reader, "status_wait_ms", timing->status_wait, 10, 10000);
  timing->status_grace =
      ReadTime(reader, "status_grace_ms", timing->status_grace, 10, 10000);
  timing->lost_after =
      ReadTime(reader, "lost_after_ms", timing->lost_after, 50, 60000);
  timing->unconfirmed_after = ReadTime(reader, "unconfirmed_after_ms",
                                       timing->unconfirmed_after, 50, 60000);
  timing->proposal_retry =
      ReadTime(reader, "proposal_retry_ms", timing->proposal_retry, 10, 10000);
  timing->proposal_call =
      ReadTime(reader, "proposal_call_ms", timing->proposal_call, 10, 10000);
  // Otherwise a database that waits as requested would be suspected whenever it
  // has no changes, which would cause a promotion every second in an idle
  // group.
  if (timing->lost_after <= timing->status_wait) {
    reader->Report("lost_after_ms", "not longer than status_wait_ms",
                   "more than status_wait_ms");
  }
  reader->Finish();
}

}  // namespace

bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) return false;
  const std::string port = text.substr(colon + 1);
  if (port.find_first_not_of("0123456789") != std::string::npos) return false;
  if (port.size() > 5) return false;
  const int number = std::atoi(port.c_str());
  in_addr parsed{};
  const std::string ip = text.substr(0, colon);
  return number > 0 && number <= kMaxPort &&
         inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
}

InstanceSettings ParseInstanceSettings(const std::string& source,
                                       const std::string& text,
                                       wire::Findings* findings) {
  InstanceSettings settings;
  wire::Document document(source, text, /*comments=*/true);
  Reader reader(&document, findings);
  if (!document.ok()) return settings;
  settings.name = ReadName(&reader, "name");
  settings.failure_domain = ReadName(&reader, "failure_domain");
  settings.region = ReadName(&reader, "region");
  settings.caller_address = ReadAddress(&reader, "caller_address");
  settings.peer_address = ReadAddress(&reader, "peer_address");
  settings.platform = ReadAddresses(&reader, "platform", /*required=*/true);
  settings.seeds = ReadAddresses(&reader, "seeds", /*required=*/false);
  settings.admin_key = reader.RequiredString("admin_key");
  if (settings.admin_key.size() < kMinAdminKey) {
    reader.Report("admin_key", "too short", "8 bytes or more");
  }
  reader.Object("limits", [&settings](Reader* limits) {
    ReadLimits(limits, &settings.http);
  });
  settings.drain_notice =
      ReadTime(&reader, "drain_notice_ms", settings.drain_notice, 0, 60000);
  reader.Object("detection", [&settings](Reader* detection) {
    ReadDetection(detection, &settings.keeper);
  });
  reader.Finish();
  return settings;
}

}  // namespace ryefold::settings
