// Statements that run through another instance: on the forwarding side and on
// the keeper.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Maximum number of instances tried for one statement.
constexpr uint32_t kMaxForwardAttempts = 4;
/// Time within which a keeper must show that it is alive before a statement is
/// sent to it; otherwise the statement goes to another keeper. A statement sent
/// to a host that lost power would wait until its goal, and a write would be in
/// doubt. The check takes one round trip. A process under a CPU quota can stall
/// for nearly 100 ms; it is then no worse to use another keeper.
constexpr milliseconds kAliveTimeout{60};
/// The same for a statement of a transaction, which only this keeper can run.
constexpr milliseconds kTransactionAliveTimeout{300};
/// A keeper replies by the route's timeout; it is considered failed this much
/// later.
constexpr milliseconds kAnswerMargin{150};
/// Backoff after several instances failed to reach the primary: it is lost, and
/// further detours would only add load.
constexpr milliseconds kDetourBackoff{500};
/// Time for which a keeper that cannot reach a group's primary is not used for
/// statements that need it. A promotion takes about one second, and a failed
/// attempt is cheap for the keeper.
constexpr milliseconds kNoPrimaryBackoff{400};
/// Backoff for a keeper that has just started.
constexpr milliseconds kStartingKeeperBackoff{40};
/// Retry hint when no keeper is reachable.
constexpr milliseconds kNoKeeperRetryAfter{200};
/// Retry hint while this instance is isolated. Callers are normally balanced to
/// another instance; the hint is for those whose load balancer has none.
constexpr milliseconds kCutOffRetryAfter{500};

}  // namespace

/// Returns the name of the caller's forwarded transaction or single statement.
/// Each gets a unique name: a statement delayed by a partition can reach the
/// keeper ten seconds after it was given up here. Under a name per session it
/// would run inside the transaction that the session has opened there since.
std::string Proxy::Impl::SessionName(const Caller& caller) const {
  return settings_.session_prefix + std::to_string(caller.id) + "/" +
         std::to_string(caller.forward_count);
}

/// Tries another keeper if this one has just started. When a whole fleet starts
/// with a large configuration, the first instances would otherwise refuse
/// statements that others can serve a few tenths of a second later.
bool Proxy::Impl::RetryAfterKeeperStart(TimePoint now, Request* request,
                                        const std::string& keeper,
                                        const Reply& reply) {
  if (reply.error != ErrorCode::kNotReady || request->detour) return false;
  peers_[keeper].starting_until = now + kStartingKeeperBackoff;
  --request->attempts;
  Dispatch(now, request);
  return true;
}

/// Tries another keeper if this one reaches no primary, or only one that is cut
/// off from its replicas: another may be on the side of the partition where the
/// statement can run. Returns false if the reply is final.
bool Proxy::Impl::TryAnotherKeeper(TimePoint now, Request* request,
                                   const std::string& keeper,
                                   const Reply& reply) {
  if (reply.error != ErrorCode::kReadOnly) return false;
  if (request->requirement == Requirement::kTransaction) return false;
  Group* group = GroupOf(*request);
  if (group == nullptr || group->is_keeper) return false;
  peers_[keeper].no_primary_until[group->name] = now + kNoPrimaryBackoff;
  request->rejected_by.push_back(keeper);
  Dispatch(now, request);
  return true;
}

/// Tries one other keeper after a refusal as overloaded, if its newest report
/// says that the statement is served within its goal. The refused statement has
/// not run, so this holds for writes too. Returns false if the reply is final.
bool Proxy::Impl::RetryAfterOverload(TimePoint now, Request* request,
                                     const std::string& keeper,
                                     const Reply& reply) {
  if (reply.error != ErrorCode::kBusy) return false;
  if (request->keeper_retried) {
    ++counters_.keeper_retries_refused;
    return false;
  }
  if (request->requirement == Requirement::kTransaction) return false;
  if (now >= request->goal_deadline) return false;
  if (request->attempts >= kMaxForwardAttempts) return false;
  const Group* group = GroupOf(*request);
  if (group == nullptr || group->is_keeper) return false;
  request->rejected_by.push_back(keeper);
  const std::vector<KeeperOption> options =
      KeeperOptions(now, *request, *group);
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(request->goal_deadline - now);
  const auto decision = settings_.keeper_choice->ChooseAfterRefusal(
      now, KeeperQueueOf(*request), options, time_left);
  if (!decision.has_value()) return false;
  const KeeperOption& chosen = options[decision->chosen];
  request->keeper_retried = true;
  ++counters_.keeper_retries;
  Event(events_, EventPriority::kRequest, "keeper_retried")
      .Add("request", request->statement_id)
      .Add("group", group->name)
      .Add("refused_by", keeper)
      .Add("keeper", chosen.instance)
      .Add("expected_wait", decision->expected_wait)
      .Add("left", time_left);
  Forward(now, request, chosen.instance);
  return true;
}

/// Records the load report and the response time of a keeper's reply.
void Proxy::Impl::RecordKeeperReply(TimePoint now, const Request& request,
                                    const std::string& keeper,
                                    const Reply& reply) {
  if (reply.queue_waits.has_value()) ++counters_.keeper_reports;
  KeeperReply record;
  record.keeper = keeper;
  record.group = request.route->group;
  record.priority = request.route->priority;
  record.waits = reply.queue_waits;
  // A refusal is quick, and would make an overloaded keeper appear fast.
  if (reply.ok() || reply.error == ErrorCode::kTimeout) {
    record.response_time =
        std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                              request.sent_at);
  }
  settings_.keeper_choice->RecordReply(now, record);
}

/// Returns the load report for the reply to a forwarded statement; nullopt if
/// the caller is connected here or this instance does not report.
std::optional<QueueWaits> Proxy::Impl::ExpectedWaits(
    TimePoint now, const Caller& caller, const std::string& group_name,
    const std::string& queue_key) {
  if (!caller.adopted || !settings_.keeper_choice->reports_waits()) {
    return std::nullopt;
  }
  const Group* group = FindGroup(group_name);
  // An instance that only helps out with a detour has no queue to report.
  if (group == nullptr || !group->is_keeper) return std::nullopt;
  return QueueWaits{group->primary_queue.expected_wait(now, queue_key),
                    group->read_queue.expected_wait(now, queue_key)};
}

bool Proxy::Impl::IsPrimaryUnreachable(TimePoint now,
                                       const Group& group) const {
  const auto primary = databases_.find(group.primary);
  return primary != databases_.end() &&
         IsDatabaseSuspected(now, primary->second);
}

/// Forwards the statement to an instance that may reach the primary and its
/// replicas when this one does not. Otherwise a partial partition would force a
/// promotion, which stops all writes for about one second.
bool Proxy::Impl::TryDetour(TimePoint now, Request* request, Group* group) {
  const bool possible =
      forwarder_ != nullptr && group->is_keeper &&
      !callers_.at(request->caller).adopted && request->running_on.empty() &&
      now >= group->no_detour_until &&
      (IsPrimaryUnreachable(now, *group) || IsLeadershipInDoubt(now, *group) ||
       (request->writes && AreWritesHeld(*request)));
  if (!possible) return false;
  const size_t count = instances_.size();
  for (size_t i = 0; i < count; ++i) {
    const std::string& instance =
        instances_[(i + request->caller) % count].instance;
    if (instance == self_) continue;
    const auto& rejected = request->rejected_by;
    if (std::count(rejected.begin(), rejected.end(), instance) > 0) continue;
    if (IsInstanceSuspected(now, instance)) continue;
    request->detour = true;
    Forward(now, request, instance);
    return true;
  }
  return false;
}

/// Dispatches a statement again whose detour was refused: to another instance
/// or to the local queue. Returns false if the reply is final.
bool Proxy::Impl::RetryRefusedDetour(TimePoint now, Request* request,
                                     const std::string& instance,
                                     const Reply& reply) {
  if (!std::exchange(request->detour, false)) return false;
  if (!MeansNotRun(reply.error) || now >= request->timeout_at) return false;
  request->rejected_by.push_back(instance);
  Group* group = GroupOf(*request);
  if (group == nullptr) return false;
  if (request->attempts >= kMaxForwardAttempts) {
    group->no_detour_until = now + kDetourBackoff;
    request->attempts = 0;
  }
  Dispatch(now, request);
  return true;
}

/// Forwards the statement to a keeper, or refuses it. Returns false if no
/// keeper is reachable and the statement is to run here.
bool Proxy::Impl::ForwardToKeeper(TimePoint now, Request* request,
                                  Group* group) {
  if (isolation_.cut_off()) {
    RefuseRequest(now, request, ErrorCode::kBusy,
                  WithinPatience(now, *request, kCutOffRetryAfter), "cut_off");
    return true;
  }
  if (request->attempts < kMaxForwardAttempts) {
    const auto keeper = ChooseKeeper(now, *request, group);
    if (keeper.has_value()) {
      Forward(now, request, *keeper);
      return true;
    }
  }
  const bool starting =
      std::any_of(group->keepers.begin(), group->keepers.end(),
                  [this, now](const KeeperCandidate& each) {
                    return IsStarting(now, each.instance);
                  });
  if (starting) {
    request->awaits_keeper = true;
    SetTimer(request,
             std::min(request->timeout_at, now + kStartingKeeperBackoff));
    return true;
  }
  if (MayRunLocally(now, *request, *group)) return false;
  const bool refused = request->last_error == ErrorCode::kReadOnly;
  RefuseRequest(now, request, ErrorCode::kBusy,
                WithinPatience(now, *request, kNoKeeperRetryAfter),
                refused ? "no_primary" : "no_keeper");
  return true;
}

void Proxy::Impl::Forward(TimePoint now, Request* request,
                          const std::string& keeper) {
  Caller& caller = callers_.at(request->caller);
  if (request->requirement != Requirement::kTransaction) ++caller.forward_count;
  ForwardedStatement forwarded;
  forwarded.session = SessionName(caller);
  forwarded.statement_id = request->statement_id;
  forwarded.statement = request->statement;
  forwarded.route = *request->route;
  forwarded.config_version = route_table_.version;
  forwarded.workspace = caller.workspace;
  forwarded.key = caller.key;
  forwarded.variables = caller.variables;
  for (const auto& [name, prepared] : caller.prepared) {
    forwarded.prepared[name] = {prepared->writes, prepared->shape};
  }
  const OwnCommitRequirement own =
      caller.commits.RequirementIn(request->route->group);
  forwarded.committed = own.position;
  if (forwarded.route.freshness == Freshness::kSession) {
    // The keeper has another clock, so that it gets the time up to which the
    // read must see all commits as a maximum age of its data.
    forwarded.route.max_staleness =
        std::min(forwarded.route.max_staleness,
                 std::chrono::floor<milliseconds>(now - own.all_until));
  }
  forwarded.in_transaction = request->requirement == Requirement::kTransaction;
  ++request->attempts;
  request->forwarded_to = keeper;
  request->database = keeper;
  request->sent_at = now;
  ++peers_[keeper].forwards_in_flight;
  const bool is_transaction_step = forwarded.in_transaction;
  const bool run_at_most_once = request->writes || is_transaction_step;
  const TimePoint answer_deadline = request->timeout_at + kAnswerMargin;
  ForwardTimeouts terms;
  // A repeatable statement is retried on another keeper after its goal.
  terms.deadline = run_at_most_once || now >= request->goal_deadline
                       ? answer_deadline
                       : request->goal_deadline;
  terms.send_by =
      now + (is_transaction_step ? kTransactionAliveTimeout : kAliveTimeout);
  const bool is_commit = request->statement.kind == StatementKind::kCommit;
  const bool may_commit =
      is_commit || (request->writes && !is_transaction_step);
  terms.fail_if_unreachable = !may_commit;
  SetTimer(request, answer_deadline + kAnswerMargin);
  forwarder_->Forward(request->id, keeper, forwarded, terms);
}

void Proxy::Impl::ForwardAnswered(TimePoint now, ForwardId call,
                                  ForwardOutcome outcome, Reply reply) {
  Request* request = FindRequest(call);
  if (request == nullptr) return;
  const std::string keeper = std::exchange(request->forwarded_to, "");
  InstanceState& state = peers_[keeper];
  if (state.forwards_in_flight > 0) --state.forwards_in_flight;
  Caller* caller = FindCaller(request->caller);
  if (outcome == ForwardOutcome::kAnswered) {
    RecordPeerContact(now);
    RecordKeeperReply(now, *request, keeper, reply);
    OnForwardedReply(now, request, caller, keeper, std::move(reply));
    return;
  }
  // Many statements can be in flight to the keeper; the suspicion is logged
  // once.
  const bool newly_suspected = !IsInstanceSuspected(now, keeper);
  SuspectInstance(now, keeper, request->sent_at);
  if (newly_suspected) {
    const Group* group = GroupOf(*request);
    if (group != nullptr) ProbeKeepers(now, *group);
    Event(events_, EventPriority::kState, "keeper_lost")
        .Add("keeper", keeper)
        .Add("request", request->statement_id)
        .Add("sent", outcome == ForwardOutcome::kLost ? "yes" : "no");
  }
  const bool may_have_run = outcome == ForwardOutcome::kLost;
  const AttemptEnd end =
      may_have_run ? AttemptEnd::kUnanswered : AttemptEnd::kNotSent;
  if (request->requirement == Requirement::kTransaction) {
    caller->transaction.keeper.clear();
    caller->state = TransactionState::kFailed;
    OnAttemptLost(now, request, 0, end);
  } else if (request->writes && !may_have_run) {
    Dispatch(now, request);
  } else {
    OnAttemptLost(now, request, 0, end);
  }
}

void Proxy::Impl::OnForwardedReply(TimePoint now, Request* request,
                                   Caller* caller, const std::string& keeper,
                                   Reply reply) {
  const StatementKind kind = request->statement.kind;
  const bool is_begin =
      kind == StatementKind::kBegin || kind == StatementKind::kBeginRead;
  const bool is_commit = kind == StatementKind::kCommit;
  request->last_error = reply.error;
  if (RetryAfterKeeperStart(now, request, keeper, reply)) return;
  if (RetryRefusedDetour(now, request, keeper, reply)) return;
  if (TryAnotherKeeper(now, request, keeper, reply)) return;
  if (RetryAfterOverload(now, request, keeper, reply)) return;
  if (is_begin && reply.ok()) {
    OpenTransaction(caller, *request);
    caller->transaction.keeper = keeper;
  } else if (request->requirement == Requirement::kTransaction &&
             reply.state != TransactionState::kOpen) {
    caller->transaction = Transaction();
    caller->state =
        is_commit ? TransactionState::kIdle : TransactionState::kFailed;
  }
  if (reply.error == ErrorCode::kNotReady) reply.error = ErrorCode::kBusy;
  FinishRequest(now, request, std::move(reply));
}

/// Runs a statement of another instance's caller. `id` is the number of the
/// adopted session; a transaction keeps it until it ends.
void Proxy::Impl::AdoptStatement(TimePoint now, CallerId id,
                                 ForwardedStatement forwarded) {
  Caller* caller = FindCaller(id);
  if (caller != nullptr && caller->request != 0) {
    // The forwarding instance has given up the statement that still runs here.
    // Its reply must not be taken for the reply to this one.
    CallerDisconnected(now, id);
    caller = nullptr;
  }
  if (caller == nullptr) {
    if (forwarded.in_transaction) {
      // The transaction was ended here or began before this process started; in
      // both cases the database has rolled it back.
      Reply reply;
      reply.error = ErrorCode::kAborted;
      reply.error_text = "transaction is gone";
      reply.state = TransactionState::kFailed;
      forwarder_->AnswerForwarded(id, reply);
      return;
    }
    Caller adopted;
    adopted.id = id;
    adopted.adopted = true;
    caller = &callers_.emplace(id, std::move(adopted)).first->second;
  }
  if (!IsAdoptedKeyValid(forwarded)) {
    Reply reply;
    reply.error = ErrorCode::kUnknownKey;
    reply.error_text = "key was taken away";
    if (caller->state == TransactionState::kOpen) {
      EndTransaction(now, caller, /*roll_back=*/true);
    }
    forwarder_->AnswerForwarded(id, reply);
    return;
  }
  caller->route = forwarded.route.name;
  caller->key = forwarded.key;
  caller->admission_version =
      std::max(caller->admission_version, forwarded.config_version);
  if (caller->state != TransactionState::kOpen) {
    caller->workspace = forwarded.workspace;
  }
  caller->forwarded_route = std::make_shared<const Route>(forwarded.route);
  caller->commits = OwnCommits();
  if (forwarded.committed != LogPosition()) {
    caller->commits.Record(now, forwarded.route.group, forwarded.committed);
  }
  caller->variables = std::move(forwarded.variables);
  caller->prepared.clear();
  for (const auto& [name, prepared] : forwarded.prepared) {
    caller->prepared[name] = InternPrepared(prepared.writes, prepared.text);
  }
  CallerStatement(now, id, forwarded.statement_id,
                  std::move(forwarded.statement));
}

}  // namespace ryefold::core::session
