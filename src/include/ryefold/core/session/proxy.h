#pragma once

// Interactive sessions: lets callers in, places their statements on database
// connections, keeps transactions on one connection, and says what is known
// about the outcome when something breaks.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "ryefold/core/event.h"
#include "ryefold/core/limits/operation_limiter.h"
#include "ryefold/core/session/confirmation.h"
#include "ryefold/core/session/forwarding.h"
#include "ryefold/core/session/port.h"

namespace ryefold::core::session {

struct ProxySettings {
  /// Failure domain of this instance.
  std::string failure_domain;
  /// Feeds the spread of the times at which refused callers may return.
  uint64_t seed = 1;
  /// Begins the names of sessions towards keepers: unique to this process.
  std::string session_prefix;
  /// When commits are acknowledged.
  std::shared_ptr<const Confirmation> confirmation =
      std::make_shared<const ConfirmedByReplica>();
};

/// One database as this instance sees it, for failover, logs and metrics.
struct DatabaseView {
  std::string id;
  std::string failure_domain;
  bool draining = false;
  bool primary = false;
  /// Has answered something within the last second or owes nothing.
  bool responsive = true;
  /// When it last answered anything here; epoch if never.
  TimePoint last_heard;
  /// Since when calls have gone without any answer; epoch when none does.
  TimePoint silent_since;
  /// Connection attempts in a row that were refused.
  uint32_t refusals = 0;
  /// Newest status that was answered, and when it was asked for; epoch if
  /// never.
  StatusReport status;
  TimePoint status_asked;
  /// Position that its last answer of any kind showed as applied.
  LogPosition applied;
  uint32_t connections = 0;
  uint32_t in_flight = 0;
};

struct GroupView {
  std::string group;
  /// Database taken for the primary; empty when unknown.
  std::string primary;
  /// Term of the newest proof that it is.
  uint64_t term = 0;
  size_t waiting = 0;
  /// Whether this instance holds connections to the databases.
  bool kept = true;
  /// Writes are turned away since no replica receives commits.
  bool writes_held = false;
  std::vector<DatabaseView> databases;
};

/// What became of statements, since the start.
struct ProxyCounters {
  uint64_t answered = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t replica_reads = 0;
  uint64_t primary_reads = 0;
  uint64_t connections_opened = 0;
  /// Idle ones closed to open one for another workspace.
  uint64_t connections_evicted = 0;
};

/// Told about each statement that was answered, for histograms.
class AnswerObserver {
 public:
  virtual ~AnswerObserver() = default;
  virtual void OnAnswer(const Route& route, ErrorCode outcome,
                        std::chrono::microseconds latency) = 0;
};

/// State machine of all sessions of one instance. Not thread-safe; owned by
/// one task, which hands in every event with its time.
class Proxy : public DirectoryListener {
 public:
  Proxy(ProxySettings settings, SessionPort* port, EventSink* events,
        AnswerObserver* observer);
  ~Proxy() override;
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// `key` is the digest of what the caller gave as its key.
  void CallerStarted(TimePoint now, CallerId caller, const std::string& route,
                     const workspace::KeyDigest& key = {});
  /// At most one statement of a caller is unanswered at any time.
  void CallerStatement(TimePoint now, CallerId caller, const std::string& id,
                       Statement statement);
  void CallerGone(TimePoint now, CallerId caller);

  void ConnectionOpened(TimePoint now, ConnectionId connection);
  void ConnectionRefused(TimePoint now, ConnectionId connection,
                         ErrorCode error);
  /// Broken, closed by the database, or what it sent was unreadable.
  void ConnectionLost(TimePoint now, ConnectionId connection);
  void CallAnswered(TimePoint now, ConnectionId connection, Reply reply);

  void OnRoutes(TimePoint now, const RouteTable& routes) override;
  void OnRoster(TimePoint now, const Roster& roster) override;

  /// Lets statements of groups that others keep be forwarded, and others'
  /// statements be run here.
  void SetForwarder(Forwarder* forwarder);
  /// Has operations of workspaces admitted by `limiter`; null: all are.
  void SetLimiter(limits::OperationLimiter* limiter);
  /// What the limiter decided on operations that were pending.
  void OperationAllowed(TimePoint now, limits::OperationId operation);
  void OperationRefused(TimePoint now, limits::OperationId operation,
                        const limits::LimitAnswer& answer);
  /// All instances that there are, this one included.
  void SetInstances(TimePoint now, const std::string& self,
                    const std::vector<KeeperCandidate>& instances);
  void ForwardAnswered(TimePoint now, ForwardId call, ForwardOutcome outcome,
                       Reply reply);
  /// What came of `Forwarder::Probe`.
  void InstanceProbed(TimePoint now, const std::string& instance, bool alive);
  /// The routes are known to be those that were in force at `when`.
  void RoutesConfirmed(TimePoint when);
  /// Runs a statement forwarded by another instance; `Forwarder` is given the
  /// answer. The caller ends, for one that was answered outside of a
  /// transaction, with `CallerGone`.
  void AdoptStatement(TimePoint now, CallerId caller,
                      ForwardedStatement statement);

  /// Asks every database of the group for its status.
  void ProbeGroup(TimePoint now, const std::string& group);
  /// Somebody who knows says that `database` is about to lead: a hint that
  /// makes statements wait for it rather than be refused.
  void ExpectPrimary(TimePoint now, const std::string& group,
                     const std::string& database);

  /// Ends sessions as they fall idle; open transactions may go on until
  /// `transactions_until`, everything until `end`.
  void Drain(TimePoint now, TimePoint transactions_until, TimePoint end);
  bool drained() const;

  void Tick(TimePoint now);
  TimePoint next_deadline() const;

  /// Whether callers can be served: routes and databases are known, and this
  /// instance is not cut off from all others.
  bool ready() const;
  /// Whether a configured group has no database at all.
  bool LacksDatabases() const;
  uint64_t route_version() const;
  /// The workspaces in force.
  const workspace::Workspaces& workspaces() const;
  /// Connections to databases held for each workspace, openings included.
  std::map<std::string, uint32_t> connections_by_workspace() const;
  std::vector<GroupView> groups(TimePoint now) const;
  const ProxyCounters& counters() const;
  size_t callers() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::core::session
