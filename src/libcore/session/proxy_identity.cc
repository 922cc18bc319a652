// Who callers are: the workspace whose key they gave, for as long as it is
// configured.

#include <algorithm>
#include <utility>
#include <vector>

#include "proxy_impl.h"

namespace ryefold::core::session {

using workspace::Identity;

/// Finds out to which workspace the caller belongs on this route. False when
/// its key is not configured: its session has been closed then.
bool Proxy::Impl::Admit(TimePoint now, const Route& route, Caller* caller) {
  const Identity identity =
      workspaces_.Identify(route.open_to_all, caller->key);
  if (identity.known) {
    caller->workspace =
        identity.workspace == nullptr ? "" : identity.workspace->name;
    return true;
  }
  Event(events_, EventPriority::kRequest, "caller_refused")
      .Add("caller", caller->id)
      .Add("database", caller->route)
      .Add("reason", "unknown_key")
      .Add("key_fingerprint", workspace::Fingerprint(caller->key))
      .Add("config_version", table_.version)
      .Add("config_age", now - routes_confirmed_at_);
  const CallerId id = caller->id;
  CallerGone(now, id);
  port_->CloseCaller(id, ErrorCode::kUnknownKey, "key is not configured");
  return false;
}

/// Whether the caller's key still stands for its workspace. An adopted caller
/// was judged by the other instance, whose configuration may be the newer one.
bool Proxy::Impl::StillKnown(const Caller& caller) const {
  if (caller.adopted && caller.judged_by >= table_.version) return true;
  const std::shared_ptr<const Route> route = RouteOf(caller);
  // A route that is gone is told to the caller as such.
  if (route == nullptr || route->open_to_all) return true;
  return workspaces_.StandsFor(caller.key, caller.workspace);
}

/// Keys were taken away. What has not been sent to a database is refused; what
/// runs is answered; then the sessions end.
void Proxy::Impl::RevokeSessions(TimePoint now) {
  std::vector<RequestId> unsent;
  for (auto& [id, caller] : callers_) {
    if (caller.revoked || StillKnown(caller)) continue;
    caller.revoked = true;
    revoked_.insert(id);
    const Request* request = FindRequest(caller.request);
    Event(events_, EventPriority::kRequest, "session_revoked")
        .Add("caller", id)
        .Add("workspace", caller.workspace)
        .Add("key_fingerprint", workspace::Fingerprint(caller.key))
        .Add("request", request == nullptr ? "" : request->statement_id)
        .Add("config_version", table_.version);
    if (request == nullptr) continue;
    const bool sent =
        !request->running.empty() || !request->forwarded_to.empty() ||
        request->unconfirmed.has_value() || request->unproved.has_value();
    if (!sent) unsent.push_back(request->id);
  }
  for (const RequestId id : unsent) {
    Refuse(now, FindRequest(id), ErrorCode::kUnknownKey,
           std::chrono::milliseconds(0), "key_dropped");
  }
  EndRevoked(now);
}

/// The statement came after the key was taken away: its transaction is rolled
/// back.
void Proxy::Impl::AnswerRevoked(TimePoint now, Caller* caller) {
  if (caller->state == TransactionState::kOpen) {
    EndTransaction(now, caller, /*roll_back=*/true);
  }
  caller->state = TransactionState::kIdle;
  AnswerLocally(caller, ErrorCode::kUnknownKey, "key was taken away");
}

void Proxy::Impl::EndRevoked(TimePoint now) {
  const std::vector<CallerId> ids(revoked_.begin(), revoked_.end());
  for (const CallerId id : ids) {
    const Caller* caller = FindCaller(id);
    if (caller != nullptr && caller->request != 0) continue;
    const bool adopted = caller != nullptr && caller->adopted;
    CallerGone(now, id);
    revoked_.erase(id);
    if (adopted) continue;  // told with its next statement
    port_->CloseCaller(id, ErrorCode::kUnknownKey, "key was taken away");
  }
}

/// An operation begins: a transaction, or a statement outside of one. Its
/// workspace's limit was asked for where the caller is, so an adopted one is
/// not counted again.
void Proxy::Impl::StartOperation(TimePoint now, const Caller& caller,
                                 Request* request) {
  if (limiter_ == nullptr || caller.adopted || caller.workspace.empty()) {
    Dispatch(now, request);
    return;
  }
  const limits::LimitAnswer answer =
      limiter_->Ask(now, workspaces_.Find(caller.workspace), request->id);
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
  Refuse(now, request, ErrorCode::kOverLimit, answer.retry_after,
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

/// Whether another instance's caller may be served here: the newer of the two
/// configurations decides.
bool Proxy::Impl::AdmitAdopted(const ForwardedStatement& forwarded) const {
  if (forwarded.config_version >= table_.version) return true;
  if (forwarded.route.open_to_all) return true;
  return workspaces_.StandsFor(forwarded.key, forwarded.workspace);
}

/// The one place that every statement passes on its way to a database: it never
/// runs on a connection of another workspace than its caller's.
bool Proxy::Impl::BelongsTo(TimePoint now, Connection* connection,
                            Request* request) {
  Caller& caller = callers_.at(request->caller);
  if (connection->workspace == caller.workspace) return true;
  Event(events_, EventPriority::kState, "foreign_connection")
      .Add("request", request->statement_id)
      .Add("workspace", caller.workspace)
      .Add("connection_of", connection->workspace);
  if (caller.state == TransactionState::kOpen) FailTransaction(now, &caller);
  Refuse(now, request, ErrorCode::kAborted, std::chrono::milliseconds(0),
         "foreign_connection");
  return false;
}

}  // namespace ryefold::core::session
