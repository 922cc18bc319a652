#pragma once

// Environment of a session proxy without callers, databases or other
// instances, for tests and benchmarks of what it costs to know a fleet.

#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/session/forwarding.h"
#include "ryefold/core/session/port.h"

namespace ryefold::testsuite {

using core::session::ConnectionId;

/// Records which connections to open; drops everything else.
class IdlePort : public core::session::SessionPort,
                 public core::session::Forwarder {
 public:
  void AcceptCaller(core::session::CallerId /*caller*/) override {}
  void ReplyToCaller(core::session::CallerId /*caller*/,
                     const core::session::Reply& /*reply*/) override {}
  void RefuseCaller(core::session::CallerId /*caller*/,
                    core::session::ErrorCode /*error*/,
                    const std::string& /*text*/) override {}
  void EndSession(core::session::CallerId /*caller*/,
                  core::session::ErrorCode /*error*/,
                  const std::string& /*text*/) override {}
  void OpenConnection(ConnectionId connection,
                      const core::session::Database& /*database*/,
                      const std::string& /*workspace*/) override {
    opening_.push_back(connection);
  }
  void SendCalls(
      ConnectionId /*connection*/,
      const std::vector<core::session::BackendCall>& /*calls*/) override {}
  void CloseConnection(ConnectionId /*connection*/) override {}
  void Forward(core::session::ForwardId /*call*/, const std::string& /*keeper*/,
               const core::session::ForwardedStatement& /*statement*/,
               const core::session::ForwardTimeouts& /*timeouts*/) override {}
  void Probe(const std::string& /*instance*/,
             core::TimePoint /*deadline*/) override {}
  void Cancel(core::session::ForwardId /*call*/) override {}
  void Release(const std::string& /*keeper*/,
               const std::string& /*session*/) override {}
  void AnswerForwarded(core::session::CallerId /*caller*/,
                       const core::session::Reply& /*reply*/) override {}

  std::vector<ConnectionId> TakeOpening() {
    return std::exchange(opening_, {});
  }

 private:
  std::vector<ConnectionId> opening_;
};

}  // namespace ryefold::testsuite
