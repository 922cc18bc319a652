#pragma once

// The connections that one instance holds to one database.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/session/port.h"
#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// Keeps count of connections that each belong to one workspace for their whole
/// life. Decides nothing about when to open one.
class DatabasePool {
 public:
  /// An open connection with nothing under way.
  struct Idle {
    ConnectionId connection = 0;
    std::string workspace;
    TimePoint since;
    /// Nothing has run on it since it was opened.
    bool fresh = false;
  };

  /// A connection is being opened for `workspace`; empty: for the proxy's own
  /// calls and for callers without a workspace.
  void Opening(TimePoint now, ConnectionId connection,
               const std::string& workspace);
  void Opened(ConnectionId connection);
  /// The connection is gone, or its opening failed.
  void Remove(ConnectionId connection);
  /// The connection has nothing under way any more.
  void Return(TimePoint now, ConnectionId connection);
  /// Takes an idle connection out.
  void Take(ConnectionId connection);

  /// Idle connections, the one that has been so for longest first.
  const std::vector<Idle>& idle() const { return idle_; }
  bool HasIdle(const std::string& workspace) const;
  /// The idle connection that was used last; nothing when none is idle.
  std::optional<ConnectionId> newest_idle() const;
  /// The idle connection of another workspace that was used least recently. One
  /// that was opened a moment ago waits for whoever it was opened for.
  std::optional<ConnectionId> EvictableFor(TimePoint now,
                                           const std::string& workspace) const;

  /// Connections held, those being opened included.
  uint32_t size() const { return static_cast<uint32_t>(members_.size()); }
  uint32_t opening() const { return opening_; }
  uint32_t opening(const std::string& workspace) const;
  /// Whether a connection for the workspace is likely to open in a moment.
  bool OpensSoon(TimePoint now, const std::string& workspace) const;
  /// Connections of the workspace, those being opened included.
  uint32_t held(const std::string& workspace) const;

 private:
  struct Member {
    std::string workspace;
    TimePoint opening_since;
    bool open = false;
    bool used = false;
  };

  std::map<ConnectionId, Member> members_;
  std::vector<Idle> idle_;
  uint32_t opening_ = 0;
};

}  // namespace ryefold::core::session
