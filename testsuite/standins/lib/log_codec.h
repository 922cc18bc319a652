#pragma once

// JSON form of log shipping, which is between databases only. Everything else
// that a database says goes through ryefold/wire/database_codec.h.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "testsuite/standins/lib/database.h"

namespace ryefold::standins {

std::string ToJson(const LogCall& call);
std::optional<LogCall> ReadLogCall(std::string_view body);
/// Entries that the answer ships are taken from `log`.
std::string ToJson(const LogAnswer& answer, const Log& log);
/// An answer as its reader needs it.
struct ShippedLog {
  LogAnswer answer;
  std::vector<Entry> entries;
};
std::optional<ShippedLog> ReadLogAnswer(std::string_view body);

}  // namespace ryefold::standins
