#pragma once

// Internal state of the session proxy and the functions that its source files
// share.

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ryefold/core/admission/return_plan.h"
#include "ryefold/core/session/isolation.h"
#include "ryefold/core/session/keeper_assignment.h"
#include "ryefold/core/session/proxy.h"
#include "state.h"

namespace ryefold::core::session {

class Proxy::Impl {
 public:
  Impl(ProxySettings settings, SessionPort* port, EventSink* events,
       AnswerObserver* observer);

  // proxy_callers.cc: callers, requests and transactions.
  void CallerStarted(TimePoint now, CallerId id, const std::string& route,
                     const workspace::KeyDigest& key);
  void CallerStatement(TimePoint now, CallerId id,
                       const std::string& statement_id, Statement statement);
  void CallerDisconnected(TimePoint now, CallerId id);
  void Drain(TimePoint now, TimePoint transactions_until, TimePoint end);
  void DrainCallers(TimePoint now);
  void EndSessions(TimePoint now);
  void ReportCutRequests(TimePoint now, std::string_view reason);
  void EndIdleTransactions(TimePoint now);

  // proxy_identity.cc: workspaces and their limits.
  void SetLimiter(limits::OperationLimiter* limiter) { limiter_ = limiter; }
  void OperationAllowed(TimePoint now, RequestId id);
  void OperationRefused(TimePoint now, RequestId id,
                        const limits::LimitAnswer& answer);
  const workspace::Workspaces& workspaces() const { return workspaces_; }
  std::map<std::string, uint32_t> ConnectionsByWorkspace() const;

  // proxy_instances.cc: state of other instances.
  void SetForwarder(Forwarder* forwarder) { forwarder_ = forwarder; }
  void SetInstances(TimePoint now, const std::string& self,
                    const std::vector<KeeperCandidate>& instances);
  void InstanceProbed(TimePoint now, const std::string& instance, bool alive);

  // proxy_forwarding.cc: statements that run through another instance.
  void ForwardAnswered(TimePoint now, ForwardId call, ForwardOutcome outcome,
                       Reply reply);
  void AdoptStatement(TimePoint now, CallerId id, ForwardedStatement forwarded);

  // proxy_placing.cc: queues and choice of databases.
  void Dispatch(TimePoint now, Request* request);
  void ServeActiveQueues(TimePoint now);
  void ServeQueues(TimePoint now, Group* group);
  void OnRequestTimer(TimePoint now, Request* request);
  void Resend(TimePoint now, Request* request);
  void Hedge(TimePoint now, Request* request);

  // proxy_replies.cc: replies of databases.
  void CallAnswered(TimePoint now, ConnectionId id, Reply reply);
  void ConnectionLost(TimePoint now, ConnectionId id);
  void TimeOut(TimePoint now, Request* request);
  void GiveUp(TimePoint now, Request* request, const std::string& reason,
              const std::string& text);

  // proxy_confirming.cc: commits that wait for a replica.
  void MaintainCommits(TimePoint now, Group* group);

  // proxy_replication.cc: pausing replicas before a promotion.
  void PauseReplication(TimePoint now, const std::string& database,
                        uint64_t term);
  void ResumeReplication(TimePoint now, const std::string& database);

  // proxy_pool.cc: database connections.
  void ConnectionOpened(TimePoint now, ConnectionId id);
  void ConnectionRefused(TimePoint now, ConnectionId id, ErrorCode error);
  void ProbeGroup(TimePoint now, Group* group);
  void MaintainPools(TimePoint now);

  // proxy_directory.cc: configuration and databases.
  void OnRoster(TimePoint now, const Roster& roster);
  void OnRosterChange(TimePoint now, const RosterChange& change);
  Group* UpdateDatabase(TimePoint now, const Database& info, bool log_addition);
  Group* MarkUnlisted(TimePoint now, const std::string& id);
  void ResetRestartedDatabase(TimePoint now, DatabaseState* database);
  void OnRoutes(TimePoint now, const RouteTable& routes);

  // proxy_leadership.cc: the presumed primary of each group.
  bool RecordClaim(TimePoint now, Group* group, const std::string& database,
                   TimePoint sent_at, const LogPosition& position);
  void MarkDeposed(TimePoint now, Group* group, const std::string& database,
                   const std::string& why);
  bool PrimaryClaimsNewestTerm(const Group& group) const;
  void ObserveTerm(TimePoint now, Group* group, const std::string& database,
                   uint64_t term);
  bool AdoptNewestClaim(TimePoint now, Group* group, bool log = true);
  void OnStatus(TimePoint now, Group* group, DatabaseState* database,
                TimePoint requested_at, const StatusReport& report);
  void ExpectPrimary(TimePoint now, Group* group, const std::string& database);
  bool ProbeUnresponsivePrimary(TimePoint now, DatabaseState* primary);
  void MaintainLeadership(TimePoint now, Group* group);

  // proxy.cc: timers and lookups.
  void Tick(TimePoint now);
  void Activate(TimePoint now, Group* group);
  bool IsQuiescent(TimePoint now, const Group& group) const;
  void DeactivateGroups(TimePoint now);
  TimePoint next_deadline() const;
  Group* FindGroup(const std::string& name);
  std::vector<GroupView> GroupViews(TimePoint now) const;
  std::vector<GroupView> ActiveGroupViews(TimePoint now) const;
  GroupView MakeGroupView(TimePoint now, const Group& group) const;
  bool ready() const;
  bool LacksDatabases() const;
  bool drained() const { return draining_ && callers_.empty(); }
  size_t callers() const { return callers_.size(); }
  size_t requests() const { return requests_.size(); }
  uint64_t route_version() const { return route_table_.version; }
  void RoutesConfirmed(TimePoint when) { routes_confirmed_at_ = when; }
  const ProxyCounters& counters() const { return counters_; }

 private:
  /// Whether routes, databases and, with forwarding, the instances are known.
  bool IsInitialized() const;

  // Callers and requests; identities (proxy_identity.cc).
  bool AdmitCaller(TimePoint now, const Route& route, Caller* caller);
  bool IsKeyValid(const Caller& caller) const;
  void RevokeSessions(TimePoint now);
  void AnswerRevoked(TimePoint now, Caller* caller);
  void CloseRevokedSessions(TimePoint now);
  void StartOperation(TimePoint now, const Caller& caller, Request* request);
  void RefuseForLimit(TimePoint now, Request* request,
                      const limits::LimitAnswer& answer);
  bool IsAdoptedKeyValid(const ForwardedStatement& forwarded) const;
  bool CheckWorkspace(TimePoint now, Connection* connection, Request* request);

  Reply MakeLocalReply(const Caller& caller) const;
  void SendReply(const Caller& caller, const Reply& reply);
  void AnswerLocally(Caller* caller, ErrorCode error, const std::string& text);
  bool AnswerWithoutDatabase(TimePoint now, Caller* caller,
                             const Statement& statement);
  PreparedRef InternPrepared(bool writes, const std::string& shape);
  void RunInTransaction(TimePoint now, Caller* caller, Request request);
  void RunOutsideTransaction(TimePoint now, Caller* caller, Request request);
  void OpenTransaction(Caller* caller, const Request& begin);
  void FailTransaction(TimePoint now, Caller* caller);
  void EndTransaction(TimePoint now, Caller* caller, bool roll_back);
  void EndSession(TimePoint now, CallerId id);
  Request* AddRequest(Request request);
  void SetTimer(Request* request, TimePoint when);
  void RecordOwnCommit(TimePoint now, const Request& request,
                       const Reply& reply, Caller* caller);
  void FinishRequest(TimePoint now, Request* request, Reply reply);
  void RefuseRequest(TimePoint now, Request* request, ErrorCode error,
                     std::chrono::milliseconds retry_after,
                     const std::string& why);
  std::chrono::milliseconds WithinPatience(
      TimePoint now, const Request& request,
      std::chrono::milliseconds retry_after);
  void RemoveRequest(Request* request);
  Request* FindRequest(RequestId id);
  Caller* FindCaller(CallerId id);
  std::shared_ptr<const Route> RouteOf(const std::string& name) const;
  std::shared_ptr<const Route> RouteOf(const Caller& caller) const;

  // State of other instances (proxy_instances.cc).
  void RecordPeerContact(TimePoint now);
  void SuspectInstance(TimePoint now, const std::string& instance,
                       TimePoint requested_at);
  void ProbeInstance(TimePoint now, const std::string& instance);
  void ProbeKeepers(TimePoint now, const Group& group);
  void ProbePeers(TimePoint now);
  void AssignKeepers(TimePoint now);
  void UpdateKeepers(TimePoint now, Group* group);
  std::vector<KeeperOption> KeeperOptions(TimePoint now, const Request& request,
                                          const Group& group) const;
  static KeeperQueueRef KeeperQueueOf(const Request& request);
  std::optional<std::string> ChooseKeeper(TimePoint now, const Request& request,
                                          Group* group);
  bool LacksPrimary(TimePoint now, const Request& request, const Group& group,
                    const InstanceState& keeper) const;
  bool MayRunLocally(TimePoint now, const Request& request,
                     const Group& group) const;
  bool IsInstanceSuspected(TimePoint now, const std::string& instance) const;
  bool IsStarting(TimePoint now, const std::string& instance) const;

  // Forwarding (proxy_forwarding.cc).
  std::string SessionName(const Caller& caller) const;
  bool RetryAfterKeeperStart(TimePoint now, Request* request,
                             const std::string& keeper, const Reply& reply);
  bool TryAnotherKeeper(TimePoint now, Request* request,
                        const std::string& keeper, const Reply& reply);
  bool RetryAfterOverload(TimePoint now, Request* request,
                          const std::string& keeper, const Reply& reply);
  void RecordKeeperReply(TimePoint now, const Request& request,
                         const std::string& keeper, const Reply& reply);
  std::optional<QueueWaits> ExpectedWaits(TimePoint now, const Caller& caller,
                                          const std::string& group,
                                          const std::string& queue_key);
  bool IsPrimaryUnreachable(TimePoint now, const Group& group) const;
  bool TryDetour(TimePoint now, Request* request, Group* group);
  bool RetryRefusedDetour(TimePoint now, Request* request,
                          const std::string& instance, const Reply& reply);
  bool ForwardToKeeper(TimePoint now, Request* request, Group* group);
  void Forward(TimePoint now, Request* request, const std::string& keeper);
  void OnForwardedReply(TimePoint now, Request* request, Caller* caller,
                        const std::string& keeper, Reply reply);

  // Placement (proxy_placing.cc).
  void RecordDemand(TimePoint now, Group* group, const Request& request);
  bool TryPlace(TimePoint now, Request* request);
  bool PlaceOnPrimary(TimePoint now, Request* request, Group* group);
  bool PlaceRead(TimePoint now, Request* request, Group* group);
  std::optional<Watermarks::Mark> RequiredMark(const Request& request,
                                               const Group& group) const;
  std::vector<std::string> ReadOrder(TimePoint now, const Request& request,
                                     const Group& group,
                                     const Watermarks::Mark& mark);
  void SendStatement(TimePoint now, Connection* connection, Request* request,
                     const std::optional<Watermarks::Mark>& mark);
  void StartAttempt(TimePoint now, const Connection& connection,
                    Request* request);
  void AwaitSession(TimePoint now, Connection* connection, Request* request,
                    const std::optional<Watermarks::Mark>& mark,
                    const std::vector<BackendCall>& calls);
  void OnSessionConfirmed(TimePoint now, Connection* connection);
  RequestId EndSessionWait(Connection* connection);
  void AbandonUnsent(TimePoint now, Connection* connection, Request* request,
                     const std::string& reason);
  bool IsSent(const Request& request) const;
  BackendCall MakeStatementCall(const Request& request) const;
  bool SharesByWork() const {
    return settings_.queue_shares == admission::QueueShares::kWork;
  }
  Group* GroupOf(const Request& request);
  admission::Queue* QueueOf(Group* group, const Request& request);
  double ServiceRate(TimePoint now, const DatabaseState& database) const;
  void UpdateRates(TimePoint now, Group* group);
  void ServeQueue(TimePoint now, admission::Queue* queue);
  void LogShortage(TimePoint now, Group* group);
  void RefuseAll(TimePoint now, const std::vector<admission::Refusal>& refused);

  // Statistics of databases (proxy_usage.cc).
  static void RecordUsage(DatabaseState* database, CallUse use,
                          TimePoint::duration response_time);
  void LogUsage(TimePoint now);
  void LogLimit(TimePoint now, const std::string& group,
                DatabaseState* database);

  // Replies (proxy_replies.cc).
  void OnBeginReply(TimePoint now, Connection* connection, Request* request,
                    const PendingCall& call, const Reply& reply);
  void OnProofReply(TimePoint now, Connection* connection,
                    const PendingCall& call, const Reply& reply);
  static void RecordForLimit(TimePoint now, DatabaseState* database,
                             const PendingCall& call, ErrorCode error);
  void OnStatementReply(TimePoint now, Connection* connection,
                        const PendingCall& call, Reply reply);
  void OnSingleStatementReply(TimePoint now, Connection* connection,
                              Request* request, const PendingCall& call,
                              Reply reply);
  void OnTransactionReply(TimePoint now, Connection* connection,
                          Request* request, Reply reply);
  void RecordWork(TimePoint now, const PendingCall& call);
  void RecordError(TimePoint now, Connection* connection,
                   const PendingCall& call, ErrorCode error);
  void OnSessionReply(TimePoint now, Connection* connection,
                      const Reply& reply);
  void RetryRequest(TimePoint now, Request* request, AttemptEnd end);
  void OnAttemptLost(TimePoint now, Request* request, ConnectionId connection,
                     AttemptEnd end);
  void GiveUpUnsent(TimePoint now, Request* request, const std::string& reason);
  void ReleaseIfIdle(TimePoint now, Connection* connection);

  // Commit confirmation (proxy_confirming.cc).
  std::vector<std::string> ReplicasOf(const Group& group,
                                      const std::string& primary) const;
  static bool AwaitsPromotion(TimePoint now, const Group& group);
  static bool IsReplaced(TimePoint now, const Group& group,
                         const std::string& primary, uint64_t term);
  static std::string SuccessorOf(TimePoint now, const Group& group,
                                 const std::string& primary);
  bool IsConfirmed(TimePoint now, const Group& group,
                   const LogPosition& position, const std::string& committed_by,
                   bool replaced) const;
  void ConfirmCommit(TimePoint now, Request* request, Reply reply);
  void RequestStatus(TimePoint now, DatabaseState* database, bool beyond_limit);
  void CallReplica(TimePoint now, const std::string& database,
                   const BackendCall& call);
  void SendReplicationCall(TimePoint now, DatabaseState* database);
  void PollReplicas(TimePoint now, Group* group);
  bool ShouldPollAllReplicas(TimePoint now, const Group& group);
  void PollReplicasAgain(TimePoint now, Request* request);
  void SettleCommits(TimePoint now, Group* group);
  void FinishInDoubt(TimePoint now, Request* request, const std::string& why);
  bool AreWritesHeld(const Request& request);
  void RefuseHeldWrite(TimePoint now, Request* request, ErrorCode error);

  // Terms of databases (proxy_terms.cc).
  static void SetTerm(TimePoint now, Group* group, uint64_t term);
  static void RecordLeader(Group* group, uint64_t term,
                           const std::string& database);
  static bool MayLeadBetween(const Group& group, const std::string& database,
                             uint64_t after, uint64_t before);
  static KnownTerms TermsOf(const DatabaseState& database);
  static MemberEvidence EvidenceOf(const Group& group,
                                   const std::string& database,
                                   const KnownTerms& known);
  std::vector<MemberEvidence> EvidenceOfOthers(
      const Group& group, const std::string& primary) const;
  std::string DescribeOlderTerms(const Group& group) const;
  bool IsListCurrent(TimePoint now) const;
  bool WillExcludeOlderTerms(TimePoint now, const Group& group) const;
  void SettleOlderTerms(TimePoint now, Group* group);
  void OrderStepDown(TimePoint now, const Group& group,
                     DatabaseState* database);

  // Proofs of leadership (proxy_proving.cc).
  size_t WitnessCount(const Group& group, size_t others) const;
  TimePoint ProvedUntil(const Group& group) const;
  void RequestProof(TimePoint now, Group* group, TimePoint since);
  bool NeedsProof(const Group& group) const;
  void FinishOnceProved(TimePoint now, Request* request,
                        TimePoint leadership_time, Reply reply);
  void SettleProofs(TimePoint now, Group* group);
  void OnProofFailed(TimePoint now, Request* request, const std::string& why);
  bool IsLeadershipInDoubt(TimePoint now, const Group& group);
  bool NeedsLeadership(const Request& request, const Group& group) const;

  // Connection pools (proxy_pool.cc).
  Connection* AcquireConnection(TimePoint now, DatabaseState* database,
                                const Caller& caller);
  Connection* TakeIdleConnection(TimePoint now, DatabaseState* database,
                                 const Caller& caller);
  bool MayOpen(TimePoint now, const DatabaseState& database) const;
  bool MayOpenFor(TimePoint now, const DatabaseState& database,
                  const std::string& workspace) const;
  void OpenStandbyConnections(TimePoint now, const Group& group);
  void OpenDatabaseConnection(TimePoint now, DatabaseState* database,
                              const std::string& workspace);
  void CloseConnection(TimePoint now, Connection* connection);
  void DropConnection(TimePoint now, ConnectionId id);
  void RecordContact(TimePoint now, DatabaseState* database);
  void RecordCallSent(TimePoint now, DatabaseState* database);
  bool IsDatabaseSuspected(TimePoint now, const DatabaseState& database) const;
  bool MayAcceptConnection(TimePoint now, const DatabaseState& database) const;
  size_t HoldersOf(const DatabaseState& database) const;
  uint32_t InFlightLimitOf(TimePoint now, const DatabaseState& database) const;
  bool HasRoom(TimePoint now, const DatabaseState& database) const;
  bool AcceptsWork(TimePoint now, const DatabaseState& database) const;
  uint32_t ConnectionLimit(TimePoint now, const DatabaseState& database) const;
  void CloseUnresponsiveIdle(TimePoint now, TimePoint since,
                             const std::string& database);
  void TrimIdle(TimePoint now, bool is_keeper, DatabaseState* database);
  bool IsAnswerOverdue(TimePoint now, const Connection& connection) const;
  void CloseUnresponsive(TimePoint now);
  void RemoveUnlistedDatabases(TimePoint now);
  void RemoveDatabase(TimePoint now, const std::string& id);
  void ForgetLog(TimePoint now, Group* group);
  Connection* FindConnection(ConnectionId id);
  DatabaseState* FindDatabase(const std::string& id);
  Group* EnsureGroup(const std::string& name);
  void UpdateQueueShares(TimePoint now, Group* group);
  std::chrono::milliseconds MaxMarkAge(const Group& group) const;
  void ProbeLeadership(TimePoint now, Group* group);
  void SendInternalCalls(TimePoint now, Connection* connection,
                         const std::vector<BackendCall>& calls,
                         const std::vector<PendingCallKind>& kinds);
  DatabaseView MakeDatabaseView(TimePoint now, const Group& group,
                                const DatabaseState& database) const;

  ProxySettings settings_;
  SessionPort* port_;
  /// Null when instances do not forward statements to each other.
  Forwarder* forwarder_ = nullptr;
  /// Null when no limits apply.
  limits::OperationLimiter* limiter_ = nullptr;
  EventSink* events_;
  AnswerObserver* observer_;

  RouteTable route_table_;
  workspace::Workspaces workspaces_;
  TimePoint routes_confirmed_at_;
  std::map<std::string, std::shared_ptr<const Route>> routes_;
  bool have_routes_ = false;
  bool have_roster_ = false;
  Roster roster_;
  std::map<std::string, std::unique_ptr<Group>> groups_;
  /// Groups that need periodic work: those that this instance keeps, and others
  /// while it uses them.
  std::map<std::string, Group*> active_groups_;
  std::map<std::string, DatabaseState> databases_;
  std::set<std::string> unlisted_databases_;
  std::unordered_map<CallerId, Caller> callers_;
  std::map<std::string, InstanceState> peers_;
  std::string self_;
  /// Whether `SetInstances` has been called, and when it was called first.
  bool have_instances_ = false;
  TimePoint instances_since_;
  std::vector<KeeperCandidate> instances_;
  KeeperAssignment keeper_assignment_;
  IsolationDetector isolation_;
  /// Instances with a pending probe, and the time at which it was sent.
  std::map<std::string, TimePoint> pending_probes_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::set<std::pair<TimePoint, RequestId>> timers_;
  std::map<std::pair<bool, std::string>, std::weak_ptr<const Prepared>>
      prepared_;
  uint64_t last_prepared_ = 0;
  RequestId last_request_ = 0;
  ConnectionId last_connection_ = 0;
  TimePoint next_maintenance_;
  /// Callers with a revoked key whose sessions are not closed yet.
  std::set<CallerId> revoked_callers_;
  bool draining_ = false;
  TimePoint transactions_until_;
  TimePoint drain_end_;
  ProxyCounters counters_;
  /// Spreads the fixed retry delays that are later than callers' patience.
  admission::RetryAfterPlanner retry_after_;
};

}  // namespace ryefold::core::session
