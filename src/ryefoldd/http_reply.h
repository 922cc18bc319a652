#pragma once

// Statuses and headers of the daemon's HTTP answers.

#include <chrono>
#include <string>

namespace ryefold::ryefoldd {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;

/// Value of a Retry-After header, which counts whole seconds; bodies carry
/// milliseconds.
inline std::string RetryAfterSeconds(std::chrono::milliseconds retry_after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  return std::to_string(seconds.count());
}

}  // namespace ryefold::ryefoldd
