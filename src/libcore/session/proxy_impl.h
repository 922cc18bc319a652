#pragma once

// The session proxy's state and the parts its sources share.

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ryefold/core/session/isolation.h"
#include "ryefold/core/session/proxy.h"
#include "state.h"

namespace ryefold::core::session {

class Proxy::Impl {
 public:
  Impl(ProxySettings settings, SessionPort* port, EventSink* events,
       AnswerObserver* observer);

  // proxy_callers.cc: what callers ask.
  void CallerStarted(TimePoint now, CallerId id, const std::string& route,
                     const workspace::KeyDigest& key);
  void CallerStatement(TimePoint now, CallerId id,
                       const std::string& statement_id, Statement statement);
  void CallerGone(TimePoint now, CallerId id);
  void Drain(TimePoint now, TimePoint transactions_until, TimePoint end);
  void DrainCallers(TimePoint now);
  void EndIdleTransactions(TimePoint now);

  // proxy_identity.cc: workspaces and their limits.
  void SetLimiter(limits::OperationLimiter* limiter) { limiter_ = limiter; }
  void OperationAllowed(TimePoint now, RequestId id);
  void OperationRefused(TimePoint now, RequestId id,
                        const limits::LimitAnswer& answer);
  const workspace::Workspaces& workspaces() const { return workspaces_; }
  std::map<std::string, uint32_t> ConnectionsByWorkspace() const;

  // proxy_instances.cc: the other instances.
  void SetForwarder(Forwarder* forwarder) { forwarder_ = forwarder; }
  void SetKeepers(TimePoint now, const std::string& self,
                  const std::vector<KeeperCandidate>& instances);
  void InstanceProbed(TimePoint now, const std::string& instance, bool alive);

  // proxy_forwarding.cc: statements that run through another instance.
  void ForwardAnswered(TimePoint now, ForwardId call, ForwardOutcome outcome,
                       Reply reply);
  void AdoptStatement(TimePoint now, CallerId id, ForwardedStatement forwarded);

  // proxy_placing.cc: where statements go.
  void Dispatch(TimePoint now, Request* request);
  void PumpAll(TimePoint now);
  void Pump(TimePoint now, Group* group);
  void LookAfter(TimePoint now, Request* request);
  void Resend(TimePoint now, Request* request);
  void Hedge(TimePoint now, Request* request);

  // proxy_replies.cc: what databases answer.
  void CallAnswered(TimePoint now, ConnectionId id, Reply reply);
  void ConnectionLost(TimePoint now, ConnectionId id);
  void TimeOut(TimePoint now, Request* request);

  // proxy_confirming.cc: commits that wait for a replica.
  void MaintainCommits(TimePoint now, Group* group);

  // proxy_pool.cc: connections.
  void ConnectionOpened(TimePoint now, ConnectionId id);
  void ConnectionRefused(TimePoint now, ConnectionId id, ErrorCode error);
  void ProbeGroup(TimePoint now, Group* group);
  void MaintainPools(TimePoint now);

  // proxy_directory.cc: configuration and databases.
  void OnRoster(TimePoint now, const Roster& roster);
  void StartedAnew(TimePoint now, DatabaseState* database);
  void OnRoutes(TimePoint now, const RouteTable& routes);

  // proxy_leadership.cc: who is the primary.
  bool Claimed(TimePoint now, Group* group, const std::string& database,
               TimePoint sent, const LogPosition& position);
  void Deposed(TimePoint now, Group* group, const std::string& database,
               const std::string& why);
  bool KnownByItsWord(const Group& group) const;
  void NoteTerm(TimePoint now, Group* group, const std::string& database,
                uint64_t term);
  void AdoptClaims(TimePoint now, Group* group);
  void StatusArrived(TimePoint now, Group* group, DatabaseState* database,
                     TimePoint asked, const StatusReport& report);
  void ExpectPrimary(TimePoint now, Group* group, const std::string& database);
  bool AskAnew(TimePoint now, DatabaseState* primary);
  void MaintainLeadership(TimePoint now, Group* group);

  // proxy.cc
  void Tick(TimePoint now);
  TimePoint next_deadline() const;
  Group* FindGroup(const std::string& name);
  std::vector<GroupView> Views(TimePoint now) const;
  bool ready() const;
  bool LacksDatabases() const;
  bool drained() const { return draining_ && callers_.empty(); }
  size_t callers() const { return callers_.size(); }
  uint64_t route_version() const { return table_.version; }
  void RoutesConfirmed(TimePoint when) { routes_confirmed_at_ = when; }
  const ProxyCounters& counters() const { return counters_; }

 private:
  /// Whether all is known that is needed to serve: routes, databases, and who
  /// keeps which group.
  bool Informed() const;

  // Callers and requests.
  // Who callers are (proxy_identity.cc).
  bool Admit(TimePoint now, const Route& route, Caller* caller);
  bool StillKnown(const Caller& caller) const;
  void RevokeSessions(TimePoint now);
  void AnswerRevoked(TimePoint now, Caller* caller);
  void EndRevoked(TimePoint now);
  void StartOperation(TimePoint now, const Caller& caller, Request* request);
  void RefuseForLimit(TimePoint now, Request* request,
                      const limits::LimitAnswer& answer);
  bool AdmitAdopted(const ForwardedStatement& forwarded) const;
  bool BelongsTo(TimePoint now, Connection* connection, Request* request);

  Reply LocalReply(const Caller& caller) const;
  void Tell(const Caller& caller, const Reply& reply);
  void AnswerLocally(Caller* caller, ErrorCode error, const std::string& text);
  bool AnswerWithoutDatabase(TimePoint now, Caller* caller,
                             const Statement& statement);
  PreparedRef Intern(bool writes, const std::string& shape);
  void InTransaction(TimePoint now, Caller* caller, Request request);
  void OutsideTransaction(TimePoint now, Caller* caller, Request request);
  void OpenTransaction(Caller* caller, const Request& begin);
  void FailTransaction(TimePoint now, Caller* caller);
  void EndTransaction(TimePoint now, Caller* caller, bool roll_back);
  Request* Keep(Request request);
  void SetTimer(Request* request, TimePoint when);
  void Finish(TimePoint now, Request* request, Reply reply);
  void Refuse(TimePoint now, Request* request, ErrorCode error,
              std::chrono::milliseconds retry_after, const std::string& why);
  void Forget(Request* request);
  Request* FindRequest(RequestId id);
  Caller* FindCaller(CallerId id);
  std::shared_ptr<const Route> RouteOf(const std::string& name) const;
  std::shared_ptr<const Route> RouteOf(const Caller& caller) const;

  // What is believed of other instances (proxy_instances.cc).
  void InstanceHeard(TimePoint now);
  void InstanceSilent(TimePoint now, const std::string& instance,
                      TimePoint asked);
  void ProbeInstance(TimePoint now, const std::string& instance);
  void ProbeKeepers(TimePoint now, const Group& group);
  void MaintainTouch(TimePoint now);
  void ChooseAllKeepers(TimePoint now);
  const KeeperCandidate* ChooseKeeper(TimePoint now, const Request& request,
                                      const Group& group) const;
  bool NoPrimaryThere(TimePoint now, const Request& request, const Group& group,
                      const InstanceState& keeper) const;
  bool MayRunAlone(TimePoint now, const Request& request,
                   const Group& group) const;
  bool KeptSilent(TimePoint now, const std::string& instance) const;
  bool IsStarting(TimePoint now, const std::string& instance) const;

  // Forwarding.
  std::string SessionName(const Caller& caller) const;
  bool AwaitKeeper(TimePoint now, Request* request, const std::string& keeper,
                   const Reply& reply);
  bool TryAnotherKeeper(TimePoint now, Request* request,
                        const std::string& keeper, const Reply& reply);
  bool PrimaryOutOfReach(TimePoint now, const Group& group) const;
  bool TryDetour(TimePoint now, Request* request, Group* group);
  bool DetourRefused(TimePoint now, Request* request,
                     const std::string& instance, const Reply& reply);
  bool ForwardToAny(TimePoint now, Request* request, const Group& group);
  void Forward(TimePoint now, Request* request, const std::string& keeper);
  void TakeForwardedReply(TimePoint now, Request* request, Caller* caller,
                          const std::string& keeper, Reply reply);
  void NoteCommit(TimePoint now, Caller* caller, const Reply& reply);

  // Placing.
  void NoteDemand(TimePoint now, Group* group, const Request& request);
  bool TryPlace(TimePoint now, Request* request);
  bool PlaceOnPrimary(TimePoint now, Request* request, Group* group);
  bool PlaceOnAny(TimePoint now, Request* request, Group* group);
  std::optional<Watermarks::Mark> NeededMark(const Request& request,
                                             const Group& group) const;
  std::vector<std::string> ReadOrder(TimePoint now, const Request& request,
                                     const Group& group,
                                     const Watermarks::Mark& mark);
  void Send(TimePoint now, Connection* connection, Request* request,
            const std::optional<Watermarks::Mark>& mark);
  void Synchronize(TimePoint now, Connection* connection, const Caller& caller,
                   const Request& request, std::vector<BackendCall>* calls);
  BackendCall StatementCall(const Request& request) const;
  Group* GroupOf(const Request& request);
  admission::Queue* QueueOf(Group* group, const Request& request);
  double ServiceRate(TimePoint now, const DatabaseState& database) const;
  void UpdateRates(TimePoint now, Group* group);
  void PumpQueue(TimePoint now, admission::Queue* queue);
  void RefuseAll(TimePoint now, const std::vector<admission::Refusal>& refused);

  // Replies.
  void BeginAnswered(TimePoint now, Connection* connection, Request* request,
                     const Expected& expected, const Reply& reply);
  void ProofAnswered(TimePoint now, Connection* connection,
                     const Expected& expected, const Reply& reply);
  void StatementAnswered(TimePoint now, Connection* connection,
                         const Expected& expected, Reply reply);
  void SingleAnswered(TimePoint now, Connection* connection, Request* request,
                      const Expected& expected, Reply reply);
  void TransactionAnswered(TimePoint now, Connection* connection,
                           Request* request, Reply reply);
  void NoteError(TimePoint now, Connection* connection,
                 const Expected& expected, ErrorCode error);
  void Retry(TimePoint now, Request* request);
  void AttemptLost(TimePoint now, Request* request, ConnectionId connection);
  void Released(TimePoint now, Connection* connection);

  // Confirming.
  std::vector<std::string> ReplicasOf(const Group& group,
                                      const std::string& primary) const;
  bool IsConfirmed(TimePoint now, const Group& group,
                   const LogPosition& position,
                   const std::string& committed_by) const;
  void Confirm(TimePoint now, Request* request, Reply reply);
  void Acknowledge(TimePoint now, Request* request, Reply reply);
  void AskStatus(TimePoint now, DatabaseState* database, bool beyond_cap);
  void AskReplicas(TimePoint now, Group* group);
  bool LongUnsettled(TimePoint now, const Group& group);
  void AskAgain(TimePoint now, Request* request);
  void SettleCommits(TimePoint now, Group* group);
  void CommitInDoubt(TimePoint now, Request* request, const std::string& why);
  bool WritesHeld(const Request& request);
  void RefuseHeld(TimePoint now, Request* request, ErrorCode error);

  // Proving that a primary led (proxy_proving.cc).
  size_t Witnesses(const Group& group, size_t others) const;
  TimePoint ProvedUntil(const Group& group) const;
  void WantProof(TimePoint now, Group* group, TimePoint since);
  bool ProofWanted(const Group& group) const;
  void TellOnceProved(TimePoint now, Request* request, TimePoint led_at,
                      Reply reply);
  void SettleProofs(TimePoint now, Group* group);
  void ProofFailed(TimePoint now, Request* request, const std::string& why);
  bool LeadInDoubt(TimePoint now, const Group& group);
  bool NeedsLead(const Request& request, const Group& group) const;

  // Pool.
  Connection* Acquire(TimePoint now, DatabaseState* database,
                      const Caller& caller);
  Connection* TakeIdle(TimePoint now, DatabaseState* database,
                       const Caller& caller);
  bool MayOpen(TimePoint now, const DatabaseState& database) const;
  bool MayOpenFor(TimePoint now, const DatabaseState& database,
                  const std::string& workspace) const;
  void OpenFirst(TimePoint now, const Group& group);
  void Open(TimePoint now, DatabaseState* database,
            const std::string& workspace);
  void CloseConnection(TimePoint now, Connection* connection);
  void DropConnection(TimePoint now, ConnectionId id);
  void Heard(TimePoint now, DatabaseState* database);
  void Sent(TimePoint now, DatabaseState* database);
  bool Suspect(TimePoint now, const DatabaseState& database) const;
  bool MayAnswer(TimePoint now, const DatabaseState& database) const;
  uint32_t Window(const DatabaseState& database) const;
  bool TakesWork(TimePoint now, const DatabaseState& database) const;
  uint32_t ConnectionCap(TimePoint now, const DatabaseState& database) const;
  void DropSilentIdle(TimePoint now, TimePoint since,
                      const std::string& database);
  void TrimIdle(TimePoint now, DatabaseState* database);
  bool HasFallenSilent(TimePoint now, const Connection& connection) const;
  void CloseSilent(TimePoint now);
  void ForgetGone(TimePoint now);
  Connection* FindConnection(ConnectionId id);
  DatabaseState* FindDatabase(const std::string& id);
  Group* EnsureGroup(const std::string& name);
  void SetPolicies(TimePoint now, Group* group);
  std::chrono::milliseconds MarkAge(const Group& group) const;
  void ProbeLead(TimePoint now, Group* group);
  void SendOwn(TimePoint now, Connection* connection,
               const std::vector<BackendCall>& calls,
               const std::vector<ExpectedKind>& kinds);
  DatabaseView View(TimePoint now, const Group& group,
                    const DatabaseState& database) const;

  ProxySettings settings_;
  SessionPort* port_;
  /// Null where instances do not forward to each other.
  Forwarder* forwarder_ = nullptr;
  /// Null where no limits are kept.
  limits::OperationLimiter* limiter_ = nullptr;
  EventSink* events_;
  AnswerObserver* observer_;

  RouteTable table_;
  workspace::Workspaces workspaces_;
  TimePoint routes_confirmed_at_;
  std::map<std::string, std::shared_ptr<const Route>> routes_;
  bool have_routes_ = false;
  bool have_roster_ = false;
  Roster roster_;
  std::map<std::string, std::unique_ptr<Group>> groups_;
  std::map<std::string, DatabaseState> databases_;
  std::unordered_map<CallerId, Caller> callers_;
  std::map<std::string, InstanceState> others_;
  std::string self_;
  /// Whether `instances_` has been told.
  bool have_instances_ = false;
  /// When they were told first.
  TimePoint instances_since_;
  std::vector<KeeperCandidate> instances_;
  IsolationDetector isolation_;
  /// Instances asked for a sign of life, and since when.
  std::map<std::string, TimePoint> probes_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::set<std::pair<TimePoint, RequestId>> timers_;
  std::map<std::pair<bool, std::string>, std::weak_ptr<const Prepared>>
      prepared_;
  uint64_t last_prepared_ = 0;
  RequestId last_request_ = 0;
  ConnectionId last_connection_ = 0;
  TimePoint maintain_at_;
  /// Whose keys were taken away, until their sessions have ended.
  std::set<CallerId> revoked_;
  bool draining_ = false;
  TimePoint transactions_until_;
  TimePoint drain_end_;
  ProxyCounters counters_;
};

}  // namespace ryefold::core::session
