#pragma once

// When a statement may be sent to a database again.
//
// Only the database's own answer to a statement, or the fact that the statement
// was never sent, tells that it has not run. The state of the connection, the
// answers to other calls on it and the state of the group decide where later
// statements go, never the outcome of one that was sent.

#include <cstdint>
#include <string_view>

namespace ryefold::core::session {

/// How an attempt to run a statement ended without a reply for its caller.
enum class AttemptEnd : uint8_t {
  kNotSent,    ///< No database was given the statement.
  kRejected,   ///< The database answered that it did not run this statement.
  kUnusable,   ///< It ran, but its reply must not reach the caller.
  kUnanswered  ///< It was sent and not answered.
};

/// Returns whether the statement may be sent again after such an attempt.
/// `writes` tells whether running it twice would take effect twice.
constexpr bool MayRunAgain(bool writes, AttemptEnd end) {
  return !writes || end == AttemptEnd::kNotSent || end == AttemptEnd::kRejected;
}

/// Returns a short name for logs.
std::string_view AttemptEndName(AttemptEnd end);

}  // namespace ryefold::core::session
