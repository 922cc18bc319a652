#pragma once

// Calls to the operators' interface of an instance.

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace ryefold::ryefoldctl {

/// Answer of an instance. `reached` is false when none of the servers
/// answered; `lost` when a call was sent and its answer did not come.
struct Reply {
  bool reached = false;
  bool lost = false;
  int status = 0;
  std::string body;
  std::string server;
};

/// Makes one call at a time and waits for its answer. Servers are tried in
/// turn; one that answered is kept for the next call.
class Client {
 public:
  Client(std::vector<std::string> servers, std::string admin_key);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  Reply Get(const std::string& path);
  Reply Post(const std::string& path, const std::string& body);
  /// Calls just this server.
  Reply GetFrom(const std::string& server, const std::string& path);
  Reply PostTo(const std::string& server, const std::string& path,
               const std::string& body);

 private:
  Reply Call(const std::string& method, const std::string& path,
             const std::string& body);
  Reply CallOne(const std::string& server, const std::string& method,
                const std::string& path, const std::string& body);

  std::vector<std::string> servers_;
  std::string admin_key_;
  size_t next_ = 0;
};

}  // namespace ryefold::ryefoldctl
