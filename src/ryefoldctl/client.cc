#include "ryefoldctl/client.h"

#include <utility>

#include "ryefold/task/loop.h"
#include "ryefold/wire/http.h"

namespace ryefold::ryefoldctl {
namespace {

/// Longer than an instance takes to give up a publication.
constexpr std::chrono::seconds kCallTime{8};

}  // namespace

Client::Client(std::vector<std::string> servers, std::string admin_key)
    : servers_(std::move(servers)), admin_key_(std::move(admin_key)) {}
Client::~Client() = default;

Reply Client::Get(const std::string& path) { return Call("GET", path, ""); }

Reply Client::Post(const std::string& path, const std::string& body) {
  return Call("POST", path, body);
}

Reply Client::GetFrom(const std::string& server, const std::string& path) {
  return CallOne(server, "GET", path, "");
}

Reply Client::PostTo(const std::string& server, const std::string& path,
                     const std::string& body) {
  return CallOne(server, "POST", path, body);
}

Reply Client::Call(const std::string& method, const std::string& path,
                   const std::string& body) {
  Reply reply;
  for (size_t i = 0; i < servers_.size(); ++i) {
    reply = CallOne(servers_[next_ % servers_.size()], method, path, body);
    if (reply.reached) return reply;
    ++next_;
    // What may have taken effect is not simply sent again elsewhere: the
    // caller decides, with the same change id.
    if (reply.lost) return reply;
  }
  return reply;
}

Reply Client::CallOne(const std::string& server, const std::string& method,
                      const std::string& path, const std::string& body) {
  Reply reply;
  reply.server = server;
  task::Loop loop;
  wire::HttpClient http(loop.base());
  http.Call(server, method, path, body,
            std::chrono::steady_clock::now() + kCallTime,
            [&](const wire::HttpResult& result) {
              reply.reached = result.status == wire::CallStatus::kOk;
              reply.lost = result.status == wire::CallStatus::kLost;
              reply.status = result.code;
              reply.body = result.body;
              loop.Stop();
            },
            {{"Authorization", "Bearer " + admin_key_}});
  loop.Run();
  return reply;
}

}  // namespace ryefold::ryefoldctl
