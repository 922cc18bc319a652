#pragma once

// Interactive sessions: authenticates callers, routes their statements to
// database connections, pins transactions to one connection, and reports the
// outcome of statements interrupted by a failure.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/admission/queue.h"
#include "ryefold/core/event.h"
#include "ryefold/core/limits/operation_limiter.h"
#include "ryefold/core/session/call_statistics.h"
#include "ryefold/core/session/confirmation.h"
#include "ryefold/core/session/forwarding.h"
#include "ryefold/core/session/keeper_load.h"
#include "ryefold/core/session/port.h"

namespace ryefold::core::session {

/// How many statements an instance may have in flight at a database.
enum class DatabaseConcurrency : uint8_t {
  kFixed,     ///< A fixed number for each slot, divided by the keepers.
  kAdaptive,  ///< What response times, rejections and demand allow.
};

struct ProxySettings {
  /// Failure domain of this instance.
  std::string failure_domain;
  /// Seeds the jitter of retry hints.
  uint64_t seed = 1;
  /// Prefix of session names sent to keepers; unique to this process.
  std::string session_prefix;
  /// Decides when a commit may be acknowledged to its caller.
  std::shared_ptr<const Confirmation> confirmation =
      std::make_shared<const ConfirmedByReplica>();
  /// Shares within a class of a group's queues. With `kWork`, retry delays also
  /// keep to the patience of callers.
  admission::QueueShares queue_shares = admission::QueueShares::kRequests;
  /// `kAdaptive` also applies the lag that replicas report to the choice of
  /// databases for reads.
  DatabaseConcurrency database_concurrency = DatabaseConcurrency::kFixed;
  /// Chooses the keepers of forwarded statements. It has state and belongs to
  /// one proxy.
  std::shared_ptr<KeeperChoice> keeper_choice =
      std::make_shared<InFlightChoice>();
};

/// State of one database as observed by this instance, for failover, logs and
/// metrics.
struct DatabaseView {
  std::string id;
  std::string failure_domain;
  bool draining = false;
  bool primary = false;
  /// False while the database is suspected: calls have been unanswered for too
  /// long, or connection attempts fail.
  bool responsive = true;
  /// Time of the last response of any kind; epoch if there was none.
  TimePoint last_contact;
  /// Time since which calls have been pending without any response; epoch when
  /// none is pending.
  TimePoint unanswered_since;
  /// Consecutive refused connection attempts.
  uint32_t refusals = 0;
  /// Newest status received, and the time at which it was requested; epoch if
  /// there is none.
  StatusReport status;
  TimePoint status_requested_at;
  /// Highest log position that any response reported as applied.
  LogPosition applied;
  uint32_t connections = 0;
  uint32_t in_flight = 0;
  /// Statements that this instance may have in flight at present.
  uint32_t in_flight_limit = 0;
  CallStatistics usage;
};

struct GroupView {
  std::string group;
  /// Presumed primary; empty when unknown.
  std::string primary;
  /// Newest term observed in the group.
  uint64_t term = 0;
  size_t waiting = 0;
  /// Whether this instance is a keeper of the group: it holds connections to
  /// the databases.
  bool is_keeper = true;
  /// Number of keepers; 0 if all instances keep the group.
  size_t keepers = 0;
  /// Writes are refused because no replica receives commits.
  bool writes_held = false;
  std::vector<DatabaseView> databases;
};

/// Counters since the start of the process.
struct ProxyCounters {
  uint64_t answered = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  /// Refusals whose retry delay was shortened to the patience of the caller.
  uint64_t retries_moved_up = 0;
  /// Times that a class of a group's queue began to serve cheap statements
  /// first.
  uint64_t queue_shortages = 0;
  /// Requests removed because their callers disconnected.
  uint64_t abandoned = 0;
  /// Requests whose callers got no answer because this instance ended the
  /// session.
  uint64_t cut = 0;
  uint64_t replica_reads = 0;
  uint64_t primary_reads = 0;
  /// Commits of which sessions keep the time instead of the position.
  uint64_t own_commits_forgotten = 0;
  /// Callers' statements sent to databases, and times that one first had to
  /// wait until a database confirmed the variables of its session.
  uint64_t statements_sent = 0;
  uint64_t session_waits = 0;
  uint64_t connections_opened = 0;
  /// Idle connections closed to make room for another workspace.
  uint64_t connections_evicted = 0;
  /// Load reports received from keepers.
  uint64_t keeper_reports = 0;
  /// Statements sent to another keeper because of the preferred one's load.
  uint64_t keepers_passed_over = 0;
  /// Statements sent to another keeper after a refusal as overloaded, and those
  /// of them that were refused again.
  uint64_t keeper_retries = 0;
  uint64_t keeper_retries_refused = 0;
  /// Groups visited by periodic work.
  uint64_t group_visits = 0;
};

/// Receives the outcome and latency of each answered statement, for histograms.
class AnswerObserver {
 public:
  virtual ~AnswerObserver() = default;
  virtual void OnAnswer(const Route& route, ErrorCode outcome,
                        std::chrono::microseconds latency) = 0;
};

/// State machine of all sessions of one instance. Not thread-safe: one task
/// owns it and passes the current time with every event.
class Proxy : public DirectoryListener {
 public:
  Proxy(ProxySettings settings, SessionPort* port, EventSink* events,
        AnswerObserver* observer);
  ~Proxy() override;
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// `key` is the digest of the API key that the caller presented.
  void CallerStarted(TimePoint now, CallerId caller, const std::string& route,
                     const workspace::KeyDigest& key = {});
  /// A caller has at most one statement pending at any time.
  void CallerStatement(TimePoint now, CallerId caller, const std::string& id,
                       Statement statement);
  void CallerDisconnected(TimePoint now, CallerId caller);

  void ConnectionOpened(TimePoint now, ConnectionId connection);
  void ConnectionRefused(TimePoint now, ConnectionId connection,
                         ErrorCode error);
  /// The connection broke, was closed by the database, or delivered malformed
  /// data.
  void ConnectionLost(TimePoint now, ConnectionId connection);
  void CallAnswered(TimePoint now, ConnectionId connection, Reply reply);

  void OnRoutes(TimePoint now, const RouteTable& routes) override;
  void OnRosterChange(TimePoint now, const RosterChange& change) override;

  /// Replaces the list of databases by `roster`.
  void OnRoster(TimePoint now, const Roster& roster);

  /// Enables forwarding: statements of groups whose keepers are other instances
  /// are sent there, and statements forwarded by other instances run here.
  void SetForwarder(Forwarder* forwarder);
  /// Makes `limiter` admit the operations of workspaces; null admits all.
  void SetLimiter(limits::OperationLimiter* limiter);
  /// Reports the limiter's decision on a pending operation.
  void OperationAllowed(TimePoint now, limits::OperationId operation);
  void OperationRefused(TimePoint now, limits::OperationId operation,
                        const limits::LimitAnswer& answer);
  /// Replaces the list of instances, which includes this one.
  void SetInstances(TimePoint now, const std::string& self,
                    const std::vector<KeeperCandidate>& instances);
  void ForwardAnswered(TimePoint now, ForwardId call, ForwardOutcome outcome,
                       Reply reply);
  /// Reports the result of `Forwarder::Probe`.
  void InstanceProbed(TimePoint now, const std::string& instance, bool alive);
  /// Records that the routes were confirmed to be current at `when`.
  void RoutesConfirmed(TimePoint when);
  /// Runs a statement forwarded by another instance and passes the reply to
  /// `Forwarder`. For a statement answered outside of a transaction, the owner
  /// ends the adopted session with `CallerDisconnected`.
  void AdoptStatement(TimePoint now, CallerId caller,
                      ForwardedStatement statement);

  /// Requests the status of every database of the group.
  void ProbeGroup(TimePoint now, const std::string& group);
  /// Stops a replica from receiving until a promotion or `ResumeReplication`.
  /// `term` has to be above every term that it knows. Its status, which tells
  /// whether it stopped, is in `groups` once it has answered; calls that get no
  /// answer are not repeated.
  void PauseReplication(TimePoint now, const std::string& database,
                        uint64_t term);
  void ResumeReplication(TimePoint now, const std::string& database);
  /// Announces that `database` is about to be promoted, or that no database is
  /// if the id is empty. Statements wait for the new primary instead of being
  /// refused, and only what it has received confirms commits.
  void ExpectPrimary(TimePoint now, const std::string& group,
                     const std::string& database);

  /// Begins no operation from now on: new sessions, transactions and single
  /// statements are refused, and sessions are ended between operations. Open
  /// transactions may continue until `transactions_until`. At `end` the rest is
  /// answered as by `EndSessions`.
  void Drain(TimePoint now, TimePoint transactions_until, TimePoint end);
  /// Answers every pending statement, as denied only if it has not run, and
  /// ends all sessions. Only after `Drain`.
  void EndSessions(TimePoint now);
  /// Whether no session is left after `Drain`.
  bool drained() const;
  /// Reports each request in progress as cut; its session ends without an
  /// answer.
  void ReportCutRequests(TimePoint now, std::string_view reason);
  /// Returns the number of requests in progress.
  size_t requests() const;

  void Tick(TimePoint now);
  TimePoint next_deadline() const;

  /// Whether callers can be served: routes and databases are loaded, and this
  /// instance is not isolated from all others.
  bool ready() const;
  /// Whether any configured group has no database.
  bool LacksDatabases() const;
  uint64_t route_version() const;
  /// Returns the workspaces of the active configuration.
  const workspace::Workspaces& workspaces() const;
  /// Returns the number of connections per workspace, including those being
  /// opened.
  std::map<std::string, uint32_t> connections_by_workspace() const;
  std::vector<GroupView> groups(TimePoint now) const;
  /// Returns the groups that this instance keeps or uses.
  std::vector<GroupView> active_groups(TimePoint now) const;
  /// Returns nullopt if the group is not known.
  std::optional<GroupView> group(TimePoint now, const std::string& name) const;
  const ProxyCounters& counters() const;
  size_t callers() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::core::session
