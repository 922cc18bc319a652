#include "ryefoldctl/client.h"

#include <event2/event.h>

#include <algorithm>
#include <memory>

#include "ryefold/wire/http.h"

namespace ryefold::ryefoldctl {
namespace {

using std::chrono::steady_clock;

constexpr int kUnavailable = 503;
/// Longest time that one instance is given to answer.
constexpr std::chrono::seconds kCallTime{12};

}  // namespace

bool Client::expired() const { return steady_clock::now() >= access_.deadline; }

Response Client::Get(const std::string& path) { return Call("GET", path, ""); }

Response Client::Post(const std::string& path, const Json::Value& body) {
  return Call("POST", path, ToText(body));
}

Response Client::Call(const std::string& method, const std::string& path,
                      const std::string& body) {
  Response last;
  bool lost = false;
  for (size_t i = 0; i < access_.servers.size() && !expired(); ++i) {
    const size_t at = (preferred_ + i) % access_.servers.size();
    last = CallOne(access_.servers[at], method, path, body);
    lost = lost || last.lost;
    if (last.status != 0 && last.status != kUnavailable) {
      preferred_ = at;
      break;
    }
  }
  last.lost = lost;
  return last;
}

Response Client::CallOne(const std::string& server, const std::string& method,
                         const std::string& path, const std::string& body) {
  const std::unique_ptr<event_base, decltype(&event_base_free)> base(
      event_base_new(), &event_base_free);
  Response response;
  response.server = server;
  {
    wire::HttpClient client(base.get());
    const auto deadline =
        std::min(access_.deadline, steady_clock::now() + kCallTime);
    client.Call(server, method, path, body, deadline,
                [&](const wire::HttpResult& result) {
                  response.lost = result.status == wire::CallStatus::kLost;
                  if (result.status == wire::CallStatus::kOk) {
                    response.status = result.code;
                    response.body =
                        ParseJson(result.body).value_or(Json::Value());
                  }
                  event_base_loopbreak(base.get());
                },
                {{"Authorization", "Bearer " + access_.admin_key}});
    event_base_dispatch(base.get());
  }
  return response;
}

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::optional<Json::Value> ParseJson(const std::string& text) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  const char* begin = text.data();
  if (!reader->parse(begin, begin + text.size(), &value, nullptr)) {
    return std::nullopt;
  }
  return value;
}

std::string Escape(const std::string& text) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      escaped += c;
      continue;
    }
    escaped += '%';
    escaped += kHex[byte >> 4];
    escaped += kHex[byte & 0xF];
  }
  return escaped;
}

}  // namespace ryefold::ryefoldctl
