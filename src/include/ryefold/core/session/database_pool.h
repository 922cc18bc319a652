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

/// Tracks connections, each of which belongs to one workspace for its whole
/// lifetime. Does not decide when to open one.
class DatabasePool {
 public:
  /// An open connection that is not in use.
  struct Idle {
    ConnectionId connection = 0;
    std::string workspace;
    TimePoint since;
    /// No statement has run on it since it was opened.
    bool never_used = false;
  };

  /// Adds a connection that is being opened for `workspace`. An empty workspace
  /// stands for the proxy's own calls and for callers without a workspace.
  void AddOpening(TimePoint now, ConnectionId connection,
                  const std::string& workspace);
  void MarkOpen(ConnectionId connection);
  /// Removes a connection that was closed or failed to open.
  void Remove(ConnectionId connection);
  /// Adds the connection to the idle ones.
  void Return(TimePoint now, ConnectionId connection);
  /// Removes the connection from the idle ones, for use.
  void Take(ConnectionId connection);

  /// Idle connections, the longest idle first.
  const std::vector<Idle>& idle() const { return idle_; }
  bool HasIdle(const std::string& workspace) const;
  /// Returns the most recently used idle connection, or nullopt if none is
  /// idle.
  std::optional<ConnectionId> newest_idle() const;
  /// Returns the least recently used idle connection of any other workspace, or
  /// nullopt if there is none. Skips connections opened a moment ago, which are
  /// reserved for the statement that they were opened for.
  std::optional<ConnectionId> EvictableFor(TimePoint now,
                                           const std::string& workspace) const;

  /// Number of connections held, including those being opened.
  uint32_t size() const { return static_cast<uint32_t>(members_.size()); }
  uint32_t opening() const { return opening_; }
  uint32_t opening(const std::string& workspace) const;
  /// Returns whether a connection for the workspace is expected to open
  /// shortly.
  bool OpensSoon(TimePoint now, const std::string& workspace) const;
  /// Number of connections of the workspace, including those being opened.
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
