#pragma once

// The keeper of one database group: holds its scarce connections, its queue
// and its view of positions, orders promotions, confirms writes.

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

/// Names a request towards whoever handed it in.
using RequestTag = uint64_t;
/// Names one statement connection; chosen by the keeper, never reused.
using ConnectionId = uint64_t;
/// Names one control call; chosen by the keeper, never reused.
using CallId = uint64_t;

// ---- events: what the keeper is told ----

struct RequestArrived {
  RequestTag tag = 0;
  StatementRequest request;
};
struct SettleArrived {
  RequestTag tag = 0;
  SettleRequest request;
};
/// Whoever handed the request in no longer wants an answer.
struct RequestAbandoned {
  RequestTag tag = 0;
};
struct ConnectionOpened {
  ConnectionId connection = 0;
};
/// Refused, reset, or closed by the other side.
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
/// New limits, databases, leaving marks or workspaces are in force.
struct PolicyChanged {
  GroupSpec group;
  std::vector<WorkspacePolicy> workspaces;
};
/// Another instance is the intended keeper and has answered: finish what is
/// open, take nothing new, give the connections back.
struct StepDown {};
/// This instance is the intended keeper (again).
struct StepUp {};
/// Time has passed; due deadlines are looked at on every event as well.
struct Tick {};

using Event =
    std::variant<RequestArrived, SettleArrived, RequestAbandoned,
                 ConnectionOpened, ConnectionLost, ExecuteReturned,
                 ControlReturned, PolicyChanged, StepDown, StepUp, Tick>;

// ---- actions: what the keeper wants done ----

struct Respond {
  RequestTag tag = 0;
  StatementAnswer answer;
};
struct OpenConnection {
  ConnectionId connection = 0;
  std::string database;
};
/// Close at once; whatever is still unanswered on it is dropped.
struct CloseConnection {
  ConnectionId connection = 0;
};
/// At most one call is unanswered on a connection at any time.
struct Execute {
  ConnectionId connection = 0;
  ExecuteCall call;
};
/// The answer (or its absence) is due by `deadline`.
struct Control {
  CallId call = 0;
  std::string database;
  ControlCall request;
  TimePoint deadline;
};

using Action =
    std::variant<Respond, OpenConnection, CloseConnection, Execute, Control>;

/// Counters and gauges of one keeper, for /metrics and `ryefoldctl status`.
struct DatabaseView {
  std::string database;
  bool reachable = false;
  bool primary = false;
  bool leaving = false;
  uint64_t adopted_term = 0;
  LogPosition last;
  /// Time since the replica was last known level with the primary.
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

/// Timing of failure detection and retries. Durations are settings; the state
/// keeps deadlines worked out from them.
struct KeeperTiming {
  /// How long a status call may wait inside a database.
  std::chrono::milliseconds status_wait{500};
  /// A status call unanswered this long after its due time counts as a miss.
  std::chrono::milliseconds status_grace{1100};
  /// Silence after which a database is taken for lost. Has to exceed
  /// `status_wait` by the longest round trip that must not cause a promotion.
  std::chrono::milliseconds lost_after{1600};
  /// A primary whose writes no replica confirms for this long, though replicas
  /// answer, is taken for cut off from them.
  std::chrono::milliseconds unconfirmed_after{1100};
  /// Time a proposer waits before it tries again, doubled with jitter.
  std::chrono::milliseconds proposal_retry{100};
  /// Time allowed for one adopt, promote or follow call.
  std::chrono::milliseconds proposal_call{500};
};

/// State machine of one group's keeper. Not thread-safe; owned by one task.
class Keeper {
 public:
  /// `proposer` names this instance towards the databases; `near` is the
  /// failure domain reads prefer; `seed` feeds the jitter.
  Keeper(GroupSpec group, std::vector<WorkspacePolicy> workspaces,
         std::string proposer, std::string near, KeeperTiming timing,
         uint64_t seed);
  ~Keeper();
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  /// Takes one event and appends what has to be done to `actions`.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  /// When `Tick` is due at the latest.
  TimePoint next_deadline() const;

  /// True once a keeper told to step down holds nothing any more.
  bool idle() const;

  KeeperView view(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::core::group
