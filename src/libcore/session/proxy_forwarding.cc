// Statements that run through another instance: as the one that forwards them,
// and as the keeper that runs them.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Keepers tried for one statement.
constexpr uint32_t kMaxForwards = 4;
/// Time that a keeper has for a sign of life before a statement goes to it; the
/// statement then goes to another. Sent to one that has lost power it would
/// wait until its goal, and be in doubt if it is a write. A sign of life takes
/// one round trip; a process under a processor quota can stand still for nearly
/// a tenth of a second, and is then no worse off for being passed over.
constexpr milliseconds kAliveTime{60};
/// The same for a statement of a transaction, which only this keeper can run.
constexpr milliseconds kBoundAliveTime{300};
/// The keeper answers when the route's time is over; this much later it is
/// taken to have failed.
constexpr milliseconds kAnswerReserve{150};
/// Pause after several instances could not reach a primary either: it is lost,
/// and asking around for each statement would only add load.
constexpr milliseconds kDetourPause{500};
/// How long a keeper that has no primary of a group in reach is passed over for
/// statements that need one: promoting another takes about a second, and each
/// question costs the keeper little.
constexpr milliseconds kNoPrimaryThere{400};
/// Pause before a keeper is asked again that had only just started.
constexpr milliseconds kStartingPause{40};
/// Retry hint when no keeper could be reached.
constexpr milliseconds kNoKeeperRetry{200};
/// Retry hint while this instance reaches no other. Callers that come back go
/// elsewhere; the hint is for those whose balancer has no other.
constexpr milliseconds kCutOffRetry{500};

}  // namespace

/// Names the transaction, or the single statement, that the caller has under
/// way elsewhere. Each has a name of its own: a statement can be held up by a
/// partition, given up here, and still reach the keeper when the partition
/// heals ten seconds later. Under the session's name it would run inside the
/// transaction that the session has begun there since.
std::string Proxy::Impl::SessionName(const Caller& caller) const {
  return settings_.session_prefix + std::to_string(caller.id) + "/" +
         std::to_string(caller.forwarded);
}

/// A keeper that has only just started says so; another is asked. When a whole
/// fleet starts, with a large configuration, the instances that are first would
/// turn away what the others can serve a few tenths of a second later.
bool Proxy::Impl::AwaitKeeper(TimePoint now, Request* request,
                              const std::string& keeper, const Reply& reply) {
  if (reply.error != ErrorCode::kNotReady || request->detour) return false;
  others_[keeper].starting_until = now + kStartingPause;
  --request->attempts;
  Dispatch(now, request);
  return true;
}

/// A keeper without a way to the primary, or whose primary is cut off from its
/// replicas, says so; another may be on the other side of the partition, where
/// the statement can run. False when the answer stands.
bool Proxy::Impl::TryAnotherKeeper(TimePoint now, Request* request,
                                   const std::string& keeper,
                                   const Reply& reply) {
  if (reply.error != ErrorCode::kReadOnly) return false;
  if (request->need == Need::kTransaction) return false;
  Group* group = GroupOf(*request);
  if (group == nullptr || group->kept) return false;
  others_[keeper].no_primary_until[group->name] = now + kNoPrimaryThere;
  request->turned_down.push_back(keeper);
  Dispatch(now, request);
  return true;
}

bool Proxy::Impl::PrimaryOutOfReach(TimePoint now, const Group& group) const {
  const auto primary = databases_.find(group.primary);
  return primary != databases_.end() && Suspect(now, primary->second);
}

/// A primary can be cut off from some instances and serve the others, and so
/// can the replicas that commits are confirmed by. A statement that needs them
/// goes through an instance that reaches them, rather than that all pay for a
/// promotion with a second without writes.
bool Proxy::Impl::TryDetour(TimePoint now, Request* request, Group* group) {
  const bool possible =
      forwarder_ != nullptr && group->kept &&
      !callers_.at(request->caller).adopted && request->running.empty() &&
      now >= group->no_detour_until &&
      (PrimaryOutOfReach(now, *group) || LeadInDoubt(now, *group) ||
       (request->writes && WritesHeld(*request)));
  if (!possible) return false;
  const size_t count = instances_.size();
  for (size_t i = 0; i < count; ++i) {
    const std::string& instance =
        instances_[(i + request->caller) % count].instance;
    if (instance == self_) continue;
    const auto& refused = request->turned_down;
    if (std::count(refused.begin(), refused.end(), instance) > 0) continue;
    if (KeptSilent(now, instance)) continue;
    request->detour = true;
    Forward(now, request, instance);
    return true;
  }
  return false;
}

/// Whether a detour that was refused goes on to another instance, or back to
/// the queue here.
bool Proxy::Impl::DetourRefused(TimePoint now, Request* request,
                                const std::string& instance,
                                const Reply& reply) {
  if (!std::exchange(request->detour, false)) return false;
  if (!MeansNotRun(reply.error) || now >= request->timeout_at) return false;
  request->turned_down.push_back(instance);
  Group* group = GroupOf(*request);
  if (group == nullptr) return false;
  if (request->attempts >= kMaxForwards) {
    group->no_detour_until = now + kDetourPause;
    request->attempts = 0;
  }
  Dispatch(now, request);
  return true;
}

/// Sends the statement to a keeper, or refuses it. False when no keeper is in
/// reach and it is to be run here.
bool Proxy::Impl::ForwardToAny(TimePoint now, Request* request,
                               const Group& group) {
  if (isolation_.cut_off()) {
    Refuse(now, request, ErrorCode::kBusy, kCutOffRetry, "cut_off");
    return true;
  }
  const KeeperCandidate* keeper = ChooseKeeper(now, *request, group);
  if (keeper != nullptr && request->attempts < kMaxForwards) {
    Forward(now, request, keeper->instance);
    return true;
  }
  const bool starting = std::any_of(group.keepers.begin(), group.keepers.end(),
                                    [this, now](const KeeperCandidate& each) {
                                      return IsStarting(now, each.instance);
                                    });
  if (starting) {
    request->awaits_keeper = true;
    SetTimer(request, std::min(request->timeout_at, now + kStartingPause));
    return true;
  }
  if (MayRunAlone(now, *request, group)) return false;
  const bool refused = request->last_error == ErrorCode::kReadOnly;
  Refuse(now, request, ErrorCode::kBusy, kNoKeeperRetry,
         refused ? "no_primary" : "no_keeper");
  return true;
}

void Proxy::Impl::Forward(TimePoint now, Request* request,
                          const std::string& keeper) {
  Caller& caller = callers_.at(request->caller);
  if (request->need != Need::kTransaction) ++caller.forwarded;
  ForwardedStatement forwarded;
  forwarded.session = SessionName(caller);
  forwarded.statement_id = request->statement_id;
  forwarded.statement = request->statement;
  forwarded.route = *request->route;
  forwarded.config_version = table_.version;
  forwarded.workspace = caller.workspace;
  forwarded.key = caller.key;
  forwarded.variables = caller.variables;
  for (const auto& [name, prepared] : caller.prepared) {
    forwarded.prepared[name] = {prepared->writes, prepared->shape};
  }
  forwarded.committed = caller.committed;
  forwarded.in_transaction = request->need == Need::kTransaction;
  ++request->attempts;
  request->forwarded_to = keeper;
  request->database = keeper;
  request->sent = now;
  ++others_[keeper].under_way;
  const bool bound = forwarded.in_transaction;
  const bool once = request->writes || bound;
  const TimePoint last = request->timeout_at + kAnswerReserve;
  ForwardTimeouts terms;
  // What may be sent again is sent elsewhere once its goal is missed.
  terms.deadline = once || now >= request->goal_at ? last : request->goal_at;
  terms.send_by = now + (bound ? kBoundAliveTime : kAliveTime);
  const bool commit = request->statement.kind == StatementKind::kCommit;
  const bool takes_effect = commit || (request->writes && !bound);
  terms.fail_if_unreachable = !takes_effect;
  SetTimer(request, last + kAnswerReserve);
  forwarder_->Forward(request->id, keeper, forwarded, terms);
}

void Proxy::Impl::ForwardAnswered(TimePoint now, ForwardId call,
                                  ForwardOutcome outcome, Reply reply) {
  Request* request = FindRequest(call);
  if (request == nullptr) return;
  const std::string keeper = std::exchange(request->forwarded_to, "");
  InstanceState& state = others_[keeper];
  if (state.under_way > 0) --state.under_way;
  Caller* caller = FindCaller(request->caller);
  if (outcome == ForwardOutcome::kAnswered) {
    InstanceHeard(now);
    TakeForwardedReply(now, request, caller, keeper, std::move(reply));
    return;
  }
  // Many statements can be under way to it; one line tells of the belief.
  const bool news = !KeptSilent(now, keeper);
  InstanceSilent(now, keeper, request->sent);
  if (news) {
    const Group* group = GroupOf(*request);
    if (group != nullptr) ProbeKeepers(now, *group);
    Event(events_, EventPriority::kState, "keeper_lost")
        .Add("keeper", keeper)
        .Add("request", request->statement_id)
        .Add("sent", outcome == ForwardOutcome::kLost ? "yes" : "no");
  }
  const bool sent = outcome == ForwardOutcome::kLost;
  if (request->need == Need::kTransaction) {
    caller->transaction.keeper.clear();
    caller->state = TransactionState::kFailed;
    if (!sent) caller->transaction.wrote = false;
    AttemptLost(now, request, 0);
  } else if (request->writes && !sent) {
    Dispatch(now, request);
  } else {
    AttemptLost(now, request, 0);
  }
}

void Proxy::Impl::TakeForwardedReply(TimePoint now, Request* request,
                                     Caller* caller, const std::string& keeper,
                                     Reply reply) {
  const StatementKind kind = request->statement.kind;
  const bool begins =
      kind == StatementKind::kBegin || kind == StatementKind::kBeginRead;
  const bool commit = kind == StatementKind::kCommit;
  request->last_error = reply.error;
  if (AwaitKeeper(now, request, keeper, reply)) return;
  if (DetourRefused(now, request, keeper, reply)) return;
  if (TryAnotherKeeper(now, request, keeper, reply)) return;
  if (begins && reply.ok()) {
    OpenTransaction(caller, *request);
    caller->transaction.keeper = keeper;
  } else if (request->need == Need::kTransaction &&
             reply.state != TransactionState::kOpen) {
    const bool wrote = caller->transaction.wrote;
    caller->transaction = Transaction();
    caller->state =
        commit ? TransactionState::kIdle : TransactionState::kFailed;
    if (commit && wrote && reply.ok()) NoteCommit(now, caller, reply);
  } else if (request->writes && request->need != Need::kTransaction &&
             reply.ok()) {
    NoteCommit(now, caller, reply);
  }
  if (reply.error == ErrorCode::kNotReady) reply.error = ErrorCode::kBusy;
  Finish(now, request, std::move(reply));
}

void Proxy::Impl::NoteCommit(TimePoint now, Caller* caller,
                             const Reply& reply) {
  if (!reply.position.has_value()) return;
  caller->committed = std::max(caller->committed, *reply.position);
  caller->committed_at = now;
}

/// Runs a statement of another instance's caller. `id` is that session's
/// number here; a transaction keeps it until it ends.
void Proxy::Impl::AdoptStatement(TimePoint now, CallerId id,
                                 ForwardedStatement forwarded) {
  Caller* caller = FindCaller(id);
  if (caller != nullptr && caller->request != 0) {
    // The other side has given up what still runs here. Its answer would be
    // taken for this statement's.
    CallerGone(now, id);
    caller = nullptr;
  }
  if (caller == nullptr) {
    if (forwarded.in_transaction) {
      // The transaction was ended here, or began before this process did:
      // either way the database has rolled it back.
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
  if (!AdmitAdopted(forwarded)) {
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
  caller->judged_by = std::max(caller->judged_by, forwarded.config_version);
  if (caller->state != TransactionState::kOpen) {
    caller->workspace = forwarded.workspace;
  }
  caller->fixed_route = std::make_shared<const Route>(forwarded.route);
  caller->group = forwarded.route.group;
  caller->committed = forwarded.committed;
  caller->committed_at = now;
  caller->variables = std::move(forwarded.variables);
  caller->prepared.clear();
  for (const auto& [name, prepared] : forwarded.prepared) {
    caller->prepared[name] = Intern(prepared.writes, prepared.text);
  }
  CallerStatement(now, id, forwarded.statement_id,
                  std::move(forwarded.statement));
}

}  // namespace ryefold::core::session
