// Successive versions of the configuration, of which only the changes are
// decoded.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/records.h"

namespace ryefold::platform {
namespace {

using core::session::RouteTable;

std::string RouteText(size_t number, uint32_t timeout_ms) {
  return "{\"name\":\"r\",\"host\":\"h" + std::to_string(number) +
         "\",\"service\":\"g" + std::to_string(number % 7) +
         "\",\"type\":\"bounded\",\"timeout_ms\":" +
         std::to_string(timeout_ms) + "}";
}

/// A configuration of a route for each timeout.
std::string ConfigText(const std::vector<uint32_t>& timeouts) {
  std::string routes;
  for (size_t i = 0; i < timeouts.size(); ++i) {
    if (i > 0) routes += ", ";
    routes += RouteText(i, timeouts[i]);
  }
  std::string groups;
  for (int i = 0; i < 7; ++i) {
    if (i > 0) groups += ",";
    groups.append("{\"name\":\"g")
        .append(std::to_string(i))
        .append("\",\"max_conns\":21}");
  }
  return "{\"version\":3,\"routes\":[" + routes + "],\"services\":[" + groups +
         "],\"limits\":{\"tx_idle_ms\":700}}";
}

bool AreEqual(const RouteTable& one, const RouteTable& other) {
  if (one.routes.size() != other.routes.size()) return false;
  for (const auto& [name, route] : one.routes) {
    const auto found = other.routes.find(name);
    if (found == other.routes.end()) return false;
    if (found->second.group != route.group) return false;
    if (found->second.freshness != route.freshness) return false;
    if (found->second.statement_timeout != route.statement_timeout) {
      return false;
    }
  }
  if (one.groups.size() != other.groups.size()) return false;
  for (const auto& [name, limits] : one.groups) {
    const auto found = other.groups.find(name);
    if (found == other.groups.end()) return false;
    if (found->second.connection_limit != limits.connection_limit) return false;
  }
  return one.version == other.version &&
         one.transaction_idle_timeout == other.transaction_idle_timeout;
}

/// Whether the decoder reads `text` as a whole decoding does.
bool ReadsAlike(RouteTableDecoder* decoder, const std::string& text) {
  wire::Findings expected_findings;
  const RouteTable expected = DecodeRouteTable(text, &expected_findings);
  wire::Findings findings;
  const RouteTable table = decoder->Decode(text, &findings);
  if (findings.empty() != expected_findings.empty()) return false;
  return !findings.empty() || AreEqual(table, expected);
}

// Guards against a configuration that is read differently by an instance which
// knows the version before it.
RC_GTEST_PROP(RouteTableDecoderProperty, ReadsVersionsAsAWholeDecodingDoes,
              (const std::vector<std::vector<uint8_t>>& versions)) {
  RouteTableDecoder decoder;
  for (const std::vector<uint8_t>& version : versions) {
    const std::vector<uint32_t> timeouts(version.begin(), version.end());
    RC_ASSERT(ReadsAlike(&decoder, ConfigText(timeouts)));
  }
}

// Guards against text that a parser refuses and the decoder accepts.
RC_GTEST_PROP(RouteTableDecoderProperty, RefusesWhatAWholeDecodingRefuses,
              (const std::vector<std::pair<uint16_t, uint8_t>>& changes)) {
  RouteTableDecoder decoder;
  std::string text = ConfigText({10, 20, 30, 20});
  RC_ASSERT(ReadsAlike(&decoder, text));
  for (const auto& [place, byte] : changes) {
    text[place % text.size()] = static_cast<char>(byte);
    RC_ASSERT(ReadsAlike(&decoder, text));
  }
}

TEST(RouteTableDecoder, RefusesWhatAWholeDecodingRefuses) {
  RouteTableDecoder decoder;
  const std::string route = RouteText(1, 5);
  const std::string head = "{\"version\":1,\"routes\":[";
  const std::string tail = "],\"services\":[]}";
  const std::vector<std::string> texts = {
      head + route + "," + tail,
      head + route + route + tail,
      head + "7" + tail,
      head + "],\"services\":[],\"routes\":[" + route + "]}",
      "{\"routes\":[" + route + tail,
      "{\"version\":1,\"services\":[]}",
      "[]",
      "{",
      ""};
  for (const std::string& text : texts) {
    EXPECT_TRUE(ReadsAlike(&decoder, text)) << text;
  }
}

// Guards against decoding all routes of a large fleet for each that changes:
// every instance would stop serving for that time at once.
TEST(RouteTableDecoder, DecodesOnlyTheRoutesThatChanged) {
  for (const size_t count : {250U, 2000U}) {
    RouteTableDecoder decoder;
    std::vector<uint32_t> timeouts(count, 1000);
    wire::Findings findings;
    decoder.Decode(ConfigText(timeouts), &findings);
    const uint64_t before = decoder.decoded_count();
    timeouts[17] = 900;
    const RouteTable table = decoder.Decode(ConfigText(timeouts), &findings);
    EXPECT_TRUE(findings.empty());
    EXPECT_EQ(decoder.decoded_count() - before, 1U) << count;
    EXPECT_EQ(table.routes.at("h17").statement_timeout.count(), 900);
  }
}

}  // namespace
}  // namespace ryefold::platform
