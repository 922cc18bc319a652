// Identity of callers: the workspace of the presented key, for as long as the
// key is configured.

#include <algorithm>
#include <utility>
#include <vector>

#include "proxy_impl.h"

namespace ryefold::core::session {

using workspace::Identity;

/// Assigns the caller to its workspace on this route. Returns false if the key
/// is not configured.
bool Proxy::Impl::AdmitCaller(TimePoint now, const Route& route,
                              Caller* caller) {
  const Identity identity =
      workspaces_.Identify(route.open_to_all, caller->key);
  if (identity.accepted) {
    caller->workspace =
        identity.workspace == nullptr ? "" : identity.workspace->name;
    return true;
  }
  Event(events_, EventPriority::kRequest, "caller_refused")
      .Add("caller", caller->id)
      .Add("database", caller->route)
      .Add("reason", "unknown_key")
      .Add("key_fingerprint", workspace::Fingerprint(caller->key))
      .Add("config_version", route_table_.version)
      .Add("config_age", now - routes_confirmed_at_);
  return false;
}

/// Whether the caller's key still belongs to its workspace. An adopted caller
/// was checked by the other instance, whose configuration may be newer.
bool Proxy::Impl::IsKeyValid(const Caller& caller) const {
  if (caller.adopted && caller.admission_version >= route_table_.version) {
    return true;
  }
  const std::shared_ptr<const Route> route = RouteOf(caller);
  // A removed route is reported by the reply to the next statement.
  if (route == nullptr || route->open_to_all) return true;
  return workspaces_.KeyBelongsTo(caller.key, caller.workspace);
}

/// Revokes the sessions whose keys were removed: refuses requests that were not
/// sent to a database, lets those in flight finish, then closes the sessions.
void Proxy::Impl::RevokeSessions(TimePoint now) {
  std::vector<RequestId> unsent;
  for (auto& [id, caller] : callers_) {
    if (caller.revoked || IsKeyValid(caller)) continue;
    caller.revoked = true;
    revoked_callers_.insert(id);
    const Request* request = FindRequest(caller.request);
    Event(events_, EventPriority::kRequest, "session_revoked")
        .Add("caller", id)
        .Add("workspace", caller.workspace)
        .Add("key_fingerprint", workspace::Fingerprint(caller.key))
        .Add("request", request == nullptr ? "" : request->statement_id)
        .Add("config_version", route_table_.version);
    if (request == nullptr) continue;
    const bool sent = IsSent(*request) ||
                      request->unconfirmed_reply.has_value() ||
                      request->unproved_reply.has_value();
    if (!sent) unsent.push_back(request->id);
  }
  for (const RequestId id : unsent) {
    RefuseRequest(now, FindRequest(id), ErrorCode::kUnknownKey,
                  std::chrono::milliseconds(0), "key_dropped");
  }
  CloseRevokedSessions(now);
}

/// Rolls back the transaction of a revoked session and answers its statement.
void Proxy::Impl::AnswerRevoked(TimePoint now, Caller* caller) {
  if (caller->state == TransactionState::kOpen) {
    EndTransaction(now, caller, /*roll_back=*/true);
  }
  caller->state = TransactionState::kIdle;
  AnswerLocally(caller, ErrorCode::kUnknownKey, "key was taken away");
}

void Proxy::Impl::CloseRevokedSessions(TimePoint now) {
  const std::vector<CallerId> ids(revoked_callers_.begin(),
                                  revoked_callers_.end());
  for (const CallerId id : ids) {
    const Caller* caller = FindCaller(id);
    if (caller != nullptr && caller->request != 0) continue;
    const bool adopted = caller != nullptr && caller->adopted;
    CallerDisconnected(now, id);
    revoked_callers_.erase(id);
    if (adopted) continue;  // The reply to its next statement reports the end.
    port_->EndSession(id, ErrorCode::kUnknownKey, "key was taken away");
  }
}

/// Starts an operation: a transaction or a single statement. The instance that
/// holds the caller's session checks the workspace's limit, so adopted callers
/// are not counted again.
void Proxy::Impl::StartOperation(TimePoint now, const Caller& caller,
                                 Request* request) {
  if (limiter_ == nullptr || caller.adopted || caller.workspace.empty()) {
    Dispatch(now, request);
    return;
  }
  const limits::LimitAnswer answer = limiter_->RequestAdmission(
      now, workspaces_.Find(caller.workspace), request->id,
      {request->route->priority, request->timeout_at});
  if (answer.verdict == limits::Verdict::kPending) {
    request->awaits_limit = true;
  } else if (answer.verdict == limits::Verdict::kAllowed) {
    Dispatch(now, request);
  } else {
    RefuseForLimit(now, request, answer);
  }
}

void Proxy::Impl::RefuseForLimit(TimePoint now, Request* request,
                                 const limits::LimitAnswer& answer) {
  RefuseRequest(now, request, ErrorCode::kOverLimit, answer.retry_after,
                answer.unknown ? "limit_unknown" : "over_limit");
}

void Proxy::Impl::OperationAllowed(TimePoint now, RequestId id) {
  Request* request = FindRequest(id);
  if (request == nullptr) return;
  request->awaits_limit = false;
  Dispatch(now, request);
}

void Proxy::Impl::OperationRefused(TimePoint now, RequestId id,
                                   const limits::LimitAnswer& answer) {
  Request* request = FindRequest(id);
  if (request == nullptr) return;
  request->awaits_limit = false;
  RefuseForLimit(now, request, answer);
}

std::map<std::string, uint32_t> Proxy::Impl::ConnectionsByWorkspace() const {
  std::map<std::string, uint32_t> held;
  for (const auto& [id, connection] : connections_) {
    ++held[connection.workspace];
  }
  return held;
}

/// Whether a caller of another instance may run here, decided by the newer of
/// the two configurations.
bool Proxy::Impl::IsAdoptedKeyValid(const ForwardedStatement& forwarded) const {
  if (forwarded.config_version >= route_table_.version) return true;
  if (forwarded.route.open_to_all) return true;
  return workspaces_.KeyBelongsTo(forwarded.key, forwarded.workspace);
}

/// Refuses a statement that is about to run on a connection of another
/// workspace, and returns false. Every statement passes this check first.
bool Proxy::Impl::CheckWorkspace(TimePoint now, Connection* connection,
                                 Request* request) {
  Caller& caller = callers_.at(request->caller);
  if (connection->workspace == caller.workspace) return true;
  Event(events_, EventPriority::kState, "foreign_connection")
      .Add("request", request->statement_id)
      .Add("workspace", caller.workspace)
      .Add("connection_of", connection->workspace);
  if (caller.state == TransactionState::kOpen) FailTransaction(now, &caller);
  RefuseRequest(now, request, ErrorCode::kAborted, std::chrono::milliseconds(0),
                "foreign_connection");
  return false;
}

}  // namespace ryefold::core::session
