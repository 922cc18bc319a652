// Pausing and resuming the replication to replicas.

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Time for which a call to a replica waits for an idle connection. Shorter
/// than the interval at which the coordinator repeats it.
constexpr milliseconds kReplicationCallWait{100};

}  // namespace

void Proxy::Impl::PauseReplication(TimePoint now, const std::string& database,
                                   uint64_t term) {
  BackendCall call;
  call.kind = CallKind::kPauseReplication;
  call.term = term;
  CallReplica(now, database, call);
}

void Proxy::Impl::ResumeReplication(TimePoint now,
                                    const std::string& database) {
  BackendCall call;
  call.kind = CallKind::kResumeReplication;
  CallReplica(now, database, call);
}

/// Sends the call at once or on the next connection that becomes idle, before
/// any caller's statement.
void Proxy::Impl::CallReplica(TimePoint now, const std::string& database,
                              const BackendCall& call) {
  DatabaseState* replica = FindDatabase(database);
  if (replica == nullptr) return;
  replica->replication_call = call;
  replica->replication_call_deadline = now + kReplicationCallWait;
  SendReplicationCall(now, replica);
  // Opens a connection if there is none.
  if (replica->replication_call.has_value()) {
    RequestStatus(now, replica, /*beyond_limit=*/true);
  }
}

/// Sends the pending call if there is one and a connection is idle.
void Proxy::Impl::SendReplicationCall(TimePoint now, DatabaseState* database) {
  if (!database->replication_call.has_value()) return;
  if (now >= database->replication_call_deadline) {
    database->replication_call.reset();
    return;
  }
  const std::optional<ConnectionId> idle = database->pool.newest_idle();
  if (!idle.has_value()) return;
  Connection* connection = FindConnection(*idle);
  database->pool.Take(*idle);
  SendInternalCalls(now, connection, {*database->replication_call},
                    {PendingCallKind::kStatus});
  database->replication_call.reset();
}

}  // namespace ryefold::core::session
