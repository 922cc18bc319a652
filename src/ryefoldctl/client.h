#pragma once

// Operators' calls to any of several instances.

#include <json/json.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::ryefoldctl {

/// Where to call, and as whom.
struct Access {
  std::vector<std::string> servers;
  std::string admin_key;
  /// For the whole command.
  core::TimePoint deadline;
};

struct Response {
  /// HTTP status; 0 when no instance gave a whole answer.
  int status = 0;
  Json::Value body;
  /// Instance that answered.
  std::string server;
  /// A request was sent whose answer never came: it may have had an effect.
  bool lost = false;
};

class Client {
 public:
  explicit Client(Access access) : access_(std::move(access)) {}

  /// Asks one instance after the other until one answers with anything but
  /// 503. Only for calls that may be repeated.
  Response Get(const std::string& path);
  /// Likewise; the body carries an id by which a repeat is recognised.
  Response Post(const std::string& path, const Json::Value& body);

  core::TimePoint deadline() const { return access_.deadline; }
  bool expired() const;

 private:
  Response Call(const std::string& method, const std::string& path,
                const std::string& body);
  Response CallOne(const std::string& server, const std::string& method,
                   const std::string& path, const std::string& body);

  Access access_;
  /// The server that answered last is asked first.
  size_t preferred_ = 0;
};

/// Text of `value` without line breaks.
std::string ToText(const Json::Value& value);
/// The JSON in `text`; nothing when it is broken.
std::optional<Json::Value> ParseJson(const std::string& text);
/// For use in a query.
std::string Escape(const std::string& text);

}  // namespace ryefold::ryefoldctl
