#pragma once

// What the session proxy needs from the outside, and what it is told.

#include <cstdint>
#include <string>
#include <vector>

#include "ryefold/core/session/directory.h"
#include "ryefold/core/session/statement.h"

namespace ryefold::core::session {

/// Names a caller's connection; chosen by the port, never reused.
using CallerId = uint64_t;
/// Names a connection to a database; chosen by the proxy, never reused.
using ConnectionId = uint64_t;

/// Sockets towards callers and databases. No call may lead to an event being
/// delivered before it returns: implementations deliver from their loop.
class SessionPort {
 public:
  virtual ~SessionPort() = default;

  /// Lets the caller in.
  virtual void AcceptCaller(CallerId caller) = 0;
  virtual void ReplyToCaller(CallerId caller, const Reply& reply) = 0;
  /// Closes; with an error other than kNone, after telling it.
  virtual void CloseCaller(CallerId caller, ErrorCode error,
                           const std::string& text) = 0;

  /// The connection belongs to `workspace` for its whole life; empty: to none.
  virtual void OpenConnection(ConnectionId connection, const Database& database,
                              const std::string& workspace) = 0;
  /// Sends calls in one go; each is answered in order.
  virtual void SendCalls(ConnectionId connection,
                         const std::vector<BackendCall>& calls) = 0;
  virtual void CloseConnection(ConnectionId connection) = 0;
};

/// Takes what the platform tells about configuration and databases.
class DirectoryListener {
 public:
  virtual ~DirectoryListener() = default;
  virtual void OnRoutes(TimePoint now, const RouteTable& routes) = 0;
  virtual void OnRoster(TimePoint now, const Roster& roster) = 0;
};

}  // namespace ryefold::core::session
