#pragma once

// The keeper of a database group holds the connections to its databases, queues
// and routes statements, tracks log positions, confirms writes and orders
// promotions.

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "ryefold/core/messages.h"
#include "ryefold/core/outcome.h"
#include "ryefold/core/policy.h"
#include "ryefold/core/types.h"

namespace ryefold::core::group {

/// Identifies a request; assigned by the host that submits it.
using RequestTag = uint64_t;
/// Identifies a statement connection; assigned by the keeper and never reused.
using ConnectionId = uint64_t;
/// Identifies a control call; assigned by the keeper and never reused.
using CallId = uint64_t;

// ---- events: inputs of the keeper ----

struct RequestArrived {
  RequestTag tag = 0;
  StatementRequest request;
};
struct SettleArrived {
  RequestTag tag = 0;
  SettleRequest request;
};
/// The submitter of the request no longer needs an answer.
struct RequestAbandoned {
  RequestTag tag = 0;
};
struct ConnectionOpened {
  ConnectionId connection = 0;
};
/// The connection was refused, reset, or closed by the database.
struct ConnectionLost {
  ConnectionId connection = 0;
};
struct ExecuteReturned {
  ConnectionId connection = 0;
  ExecuteAnswer answer;
};
struct ControlReturned {
  CallId call = 0;
  ControlAnswer answer;
};
/// The limits, the databases, their leaving marks or the workspaces changed.
struct PolicyChanged {
  GroupSpec group;
  std::vector<WorkspacePolicy> workspaces;
};
/// Another instance is the intended keeper and responds: finish open work,
/// accept no new requests and close the connections.
struct StepDown {};
/// This instance is the intended keeper, possibly again.
struct StepUp {};
/// Time has passed. Every other event processes due deadlines as well.
struct Tick {};

using Event =
    std::variant<RequestArrived, SettleArrived, RequestAbandoned,
                 ConnectionOpened, ConnectionLost, ExecuteReturned,
                 ControlReturned, PolicyChanged, StepDown, StepUp, Tick>;

// ---- actions: outputs of the keeper ----

struct Respond {
  RequestTag tag = 0;
  StatementAnswer answer;
};
struct OpenConnection {
  ConnectionId connection = 0;
  std::string database;
};
/// Close the connection at once; an answer still in flight on it is dropped.
struct CloseConnection {
  ConnectionId connection = 0;
};
/// Send a call; a connection has at most one call in flight.
struct Execute {
  ConnectionId connection = 0;
  ExecuteCall call;
};
/// Send a control call. `ControlReturned` is expected by `deadline`, with or
/// without an answer.
struct Control {
  CallId call = 0;
  std::string database;
  ControlCall request;
  TimePoint deadline;
};

using Action =
    std::variant<Respond, OpenConnection, CloseConnection, Execute, Control>;

/// Counters and gauges of a keeper, for /metrics and `ryefoldctl status`.
struct DatabaseView {
  std::string database;
  bool reachable = false;
  bool primary = false;
  bool leaving = false;
  uint64_t adopted_term = 0;
  LogPosition last;
  /// Time since the replica was last known to have caught up with the primary.
  std::chrono::milliseconds lag{0};
  uint32_t connections = 0;
  uint32_t running = 0;
};
struct KeeperView {
  std::string group;
  std::string primary;
  uint64_t term = 0;
  bool stepping_down = false;
  uint32_t queued = 0;
  uint32_t unconfirmed = 0;
  uint64_t failovers = 0;
  uint64_t reads_replica = 0;
  uint64_t reads_primary = 0;
  uint64_t writes = 0;
  uint64_t refused = 0;
  std::vector<DatabaseView> databases;
};

/// Timing of failure detection and retries, from the settings.
struct KeeperTiming {
  /// How long a status call may wait inside a database for a change.
  std::chrono::milliseconds status_wait{500};
  /// A status call counts as failed when it has no answer this long after its
  /// wait.
  std::chrono::milliseconds status_grace{1100};
  /// A database without an answer for this long is lost. Has to exceed
  /// `status_wait` by the longest round trip that must not cause a promotion.
  std::chrono::milliseconds lost_after{1600};
  /// A primary whose writes are unconfirmed for this long, while its replicas
  /// answer, counts as partitioned from them.
  std::chrono::milliseconds unconfirmed_after{1100};
  /// Backoff of a proposer after a failed proposal; doubled each time, with
  /// jitter.
  std::chrono::milliseconds proposal_retry{100};
  /// Timeout of an adopt, promote or follow call.
  std::chrono::milliseconds proposal_call{500};
};

/// State machine of one group's keeper. Not thread-safe; owned by one task.
class Keeper {
 public:
  /// `proposer` names this instance to the databases; `preferred_domain` is
  /// the failure domain preferred for reads; `seed` seeds the jitter.
  Keeper(GroupSpec group, std::vector<WorkspacePolicy> workspaces,
         std::string proposer, std::string preferred_domain,
         KeeperTiming timing, uint64_t seed);
  ~Keeper();
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  /// Processes one event and appends the resulting actions to `actions`.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  /// Returns the latest time at which the next `Tick` is due.
  TimePoint next_deadline() const;

  /// Returns whether the keeper has stepped down and released all its
  /// connections.
  bool HasSteppedDown() const;

  KeeperView view(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::core::group
