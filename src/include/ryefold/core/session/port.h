#pragma once

// Interfaces between the session proxy and its environment: sockets,
// configuration and the list of databases.

#include <cstdint>
#include <string>
#include <vector>

#include "ryefold/core/session/directory.h"
#include "ryefold/core/session/statement.h"

namespace ryefold::core::session {

/// Identifies a caller's connection. Assigned by the port, never reused.
using CallerId = uint64_t;
/// Identifies a connection to a database. Assigned by the proxy, never reused.
using ConnectionId = uint64_t;

/// Sockets of callers and databases. Methods must not deliver events
/// synchronously: implementations deliver them from their event loop.
class SessionPort {
 public:
  virtual ~SessionPort() = default;

  /// Accepts the caller's session.
  virtual void AcceptCaller(CallerId caller) = 0;
  virtual void ReplyToCaller(CallerId caller, const Reply& reply) = 0;
  /// Refuses the caller's session and closes its connection.
  virtual void RefuseCaller(CallerId caller, ErrorCode error,
                            const std::string& text) = 0;
  /// Ends an accepted session without a pending statement, telling the caller
  /// why. A statement that was under way is answered with the same error, which
  /// must therefore be one that means that it has not run.
  virtual void EndSession(CallerId caller, ErrorCode error,
                          const std::string& text) = 0;

  /// Opens a connection dedicated to `workspace` for its lifetime; empty for
  /// connections without a workspace.
  virtual void OpenConnection(ConnectionId connection, const Database& database,
                              const std::string& workspace) = 0;
  /// Sends the calls as one batch; they are answered in order.
  virtual void SendCalls(ConnectionId connection,
                         const std::vector<BackendCall>& calls) = 0;
  virtual void CloseConnection(ConnectionId connection) = 0;
};

/// Receives the platform's updates of routes and databases.
class DirectoryListener {
 public:
  virtual ~DirectoryListener() = default;
  virtual void OnRoutes(TimePoint now, const RouteTable& routes) = 0;
  /// The first change holds all databases, and is reported if there are none.
  virtual void OnRosterChange(TimePoint now, const RosterChange& change) = 0;
};

}  // namespace ryefold::core::session
