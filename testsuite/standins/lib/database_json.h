#pragma once

// JSON forms of the calls and answers of a database (docs/PROTOCOLS.md).

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "testsuite/standins/lib/database.h"

namespace ryefold::standins {

/// `path` tells the step; nothing for another path or a malformed body.
std::optional<core::ExecuteCall> ReadExecuteCall(std::string_view path,
                                                 std::string_view body);
std::string ToJson(const core::ExecuteAnswer& answer);

std::optional<core::StatusCall> ReadStatusCall(std::string_view body);
std::optional<core::AdoptCall> ReadAdoptCall(std::string_view body);
std::optional<core::PromoteCall> ReadPromoteCall(std::string_view body);
std::optional<core::FollowCall> ReadFollowCall(std::string_view body);
std::optional<core::SettleCall> ReadSettleCall(std::string_view body);

std::string ToJson(const core::DatabaseStatus& status);
/// For adopt, promote and follow.
std::string AcceptedToJson(bool accepted, const core::DatabaseStatus& status);
std::string ToJson(const core::SettleAnswer& answer);

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
