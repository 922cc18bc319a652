// Commits that the primary has acknowledged and that wait until a replica is
// known to have received them.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Pause before a replica that had not received a commit is asked again: some
/// times the delay of a network between failure domains, which is all that a
/// commit takes to arrive.
constexpr milliseconds kPollInterval{5};
constexpr uint32_t kMaxPollDoublings = 4;
/// Age of a commit from which all replicas are asked, not the likeliest alone:
/// about the time that a busy replica takes to get to the question.
constexpr milliseconds kPollAllAfter{20};
/// Age of an unconfirmed commit from which no more are let in. Twenty times
/// what a confirmation takes beside busy replicas, and still early enough that
/// callers can be told in time that their write has not run.
constexpr milliseconds kHoldWritesAfter{400};
/// A status that has not come by then is asked for on another connection: the
/// first may have fallen silent.
constexpr milliseconds kStatusTimeout{300};
/// Pace of asking replicas while commits are held back.
constexpr milliseconds kHeldPollInterval{100};
/// Retry hint of writes that are turned away meanwhile: replicas cut off from
/// their primary for longer than a second and a half get another one.
constexpr milliseconds kHeldRetryAfter{500};

}  // namespace

/// Databases that can receive a commit of `primary`. Leaving ones only where
/// there are no others: they end within seconds.
std::vector<std::string> Proxy::Impl::ReplicasOf(
    const Group& group, const std::string& primary) const {
  std::vector<std::string> staying;
  std::vector<std::string> leaving;
  for (const std::string& id : group.databases) {
    // One that is missing from the list counts until it is forgotten: entries
    // lapse while the store is away.
    const DatabaseState& database = databases_.at(id);
    if (id == primary) continue;
    (database.info.draining ? leaving : staying).push_back(id);
  }
  return staying.empty() ? leaving : staying;
}

bool Proxy::Impl::IsConfirmed(TimePoint now, const Group& group,
                              const LogPosition& position,
                              const std::string& committed_by) const {
  if (group.limits.confirms_commits) return true;
  const std::vector<std::string> replicas = ReplicasOf(group, committed_by);
  // Nobody could be promoted, so nothing can be discarded: the primary alone
  // has the log, and comes back with it.
  if (replicas.empty()) return true;
  const bool expecting =
      !group.expected_primary.empty() && now < group.expected_until;
  std::vector<LogPosition> received;
  for (const std::string& id : replicas) {
    // What the coming primary lacks when it takes over is discarded, whoever
    // else may have it.
    if (expecting && id != group.expected_primary) continue;
    // What it has applied it has received; ordinary answers tell that much.
    const DatabaseState& database = databases_.at(id);
    received.push_back(
        std::max(database.status.received, database.applied_position));
  }
  return settings_.confirmation->Holds(position, received);
}

/// The primary has acknowledged the commit of `request`.
void Proxy::Impl::ConfirmCommit(TimePoint now, Request* request, Reply reply) {
  Group* group = GroupOf(*request);
  if (group == nullptr || !reply.position.has_value() ||
      IsConfirmed(now, *group, *reply.position, request->database)) {
    AcknowledgeCommit(now, request, std::move(reply));
    return;
  }
  request->committed_at = now;
  request->unconfirmed_reply = std::move(reply);
  group->unconfirmed_commits.push_back(request->id);
  PollReplicasAgain(now, request);
}

/// Tells the caller that the commit is saved. Only from now on do its reads
/// have to see it: one that stays in doubt must not take the place of an
/// earlier one that was acknowledged, or the session would miss its own data.
void Proxy::Impl::AcknowledgeCommit(TimePoint now, Request* request,
                                    Reply reply) {
  Caller* caller = FindCaller(request->caller);
  if (caller != nullptr) RecordCommit(now, caller, reply);
  FinishRequest(now, request, std::move(reply));
}

/// Asks at a pace that slows down: a replica that has not received the commit
/// after some milliseconds is behind for longer, and each question takes one of
/// its slots.
void Proxy::Impl::PollReplicasAgain(TimePoint now, Request* request) {
  const milliseconds pause =
      kPollInterval *
      (1 << std::min(request->replica_polls, kMaxPollDoublings));
  ++request->replica_polls;
  SetTimer(request, std::min(request->timeout_at, now + pause));
  PollReplicas(now, GroupOf(*request));
}

/// Asks the database for its status, unless it has been asked just now. With
/// all connections taken, it is asked on the next that is given back, or on one
/// `beyond_cap`.
void Proxy::Impl::RequestStatus(TimePoint now, DatabaseState* database,
                                bool beyond_cap) {
  const bool pending = database->status_pending &&
                       now - database->last_status_request_at < kStatusTimeout;
  database->status_deferred = false;
  if (pending) return;
  const std::optional<ConnectionId> idle = database->pool.newest_idle();
  if (!idle.has_value()) {
    database->status_deferred = true;
    const uint32_t cap = ConnectionCap(now, *database) + (beyond_cap ? 1 : 0);
    const bool room = database->pool.size() < cap;
    const bool opening = database->pool.opening() > 0;
    if (!opening && room && now >= database->open_not_before) {
      OpenDatabaseConnection(now, database, "");
    }
    return;
  }
  Connection* connection = FindConnection(*idle);
  database->pool.Take(*idle);
  database->status_pending = true;
  database->last_status_request_at = now;
  if (database->info.id != EnsureGroup(database->info.group)->primary) {
    SendInternalCalls(now, connection, {BackendCall{}},
                      {PendingCallKind::kStatus});
    return;
  }
  // A status waits for a slot; a begin is answered at once by a database that
  // lives, however busy it is.
  SendInternalCalls(
      now, connection,
      {BackendCall{CallKind::kBegin, {}, {}, {}, {}, false},
       BackendCall{CallKind::kRollback, {}, {}, {}, {}, false}, BackendCall{}},
      {PendingCallKind::kProof, PendingCallKind::kProxyRollback,
       PendingCallKind::kStatus});
}

/// Asks what replicas have received: the one that answers soonest, after a
/// while all.
void Proxy::Impl::PollReplicas(TimePoint now, Group* group) {
  const bool confirming = !group->unconfirmed_commits.empty() ||
                          group->writes_held_position != LogPosition();
  if (!confirming && !NeedsProof(*group)) return;
  std::vector<std::string> replicas = ReplicasOf(*group, group->primary);
  const auto cost = [this, now](const std::string& id) {
    const DatabaseState& database = databases_.at(id);
    const bool near = database.info.failure_domain == settings_.failure_domain;
    return std::make_pair(
        IsDatabaseSuspected(now, database),
        database.latency.mean() * (database.in_flight + (near ? 1 : 2)));
  };
  std::sort(replicas.begin(), replicas.end(),
            [&cost](const std::string& a, const std::string& b) {
              return cost(a) < cost(b);
            });
  size_t wanted = WitnessCount(*group, group->databases.size() - 1);
  if (ShouldPollAllReplicas(now, *group)) wanted = replicas.size();
  for (const std::string& id : replicas) {
    DatabaseState* database = FindDatabase(id);
    RequestStatus(now, database, /*beyond_cap=*/confirming);
    if (!database->status_pending) continue;
    if (wanted <= 1) return;
    --wanted;
  }
}

/// Whether something waits for replicas for so long that all are asked.
bool Proxy::Impl::ShouldPollAllReplicas(TimePoint now, const Group& group) {
  if (group.writes_held_position != LogPosition()) return true;
  TimePoint since = now;
  if (!group.unconfirmed_commits.empty()) {
    const Request* oldest = FindRequest(group.unconfirmed_commits.front());
    if (oldest != nullptr) since = oldest->committed_at;
  }
  if (!group.unproved_reads.empty()) {
    const Request* oldest = FindRequest(group.unproved_reads.front());
    if (oldest != nullptr) since = std::min(since, oldest->proof_pending_since);
  }
  return now - since >= kPollAllAfter;
}

/// A replica has told what it has received, or another primary is known.
void Proxy::Impl::SettleCommits(TimePoint now, Group* group) {
  const std::vector<RequestId> waiting = group->unconfirmed_commits;
  for (const RequestId id : waiting) {
    Request* request = FindRequest(id);
    if (request == nullptr) {
      std::erase(group->unconfirmed_commits, id);
      continue;
    }
    const LogPosition position = *request->unconfirmed_reply->position;
    if (IsConfirmed(now, *group, position, request->database)) {
      AcknowledgeCommit(now, request, std::move(*request->unconfirmed_reply));
    } else if (group->term > position.term) {
      // Another primary leads, and whether it had received the commit nobody
      // can tell any more.
      FinishInDoubt(now, request, "primary replaced");
    }
  }
  if (group->writes_held_position == LogPosition()) return;
  const bool over = group->term > group->writes_held_position.term ||
                    IsConfirmed(now, *group, group->writes_held_position,
                                group->writes_held_primary);
  if (!over) return;
  Event(events_, EventWeight::kState, "writes_let_in")
      .Add("group", group->name)
      .Add("position", group->writes_held_position.index)
      .Add("term", group->term)
      .Add("held", now - group->writes_held_since);
  group->writes_held_position = LogPosition();
}

void Proxy::Impl::FinishInDoubt(TimePoint now, Request* request,
                                const std::string& why) {
  Reply reply;
  reply.error = ErrorCode::kInDoubt;
  reply.error_text = why;
  FinishRequest(now, request, std::move(reply));
}

/// Looks after commits that wait: asks again, and stops letting in writes that
/// would only have to be told that their outcome is open.
void Proxy::Impl::MaintainCommits(TimePoint now, Group* group) {
  if (!group->unconfirmed_commits.empty()) {
    const Request* oldest = FindRequest(group->unconfirmed_commits.front());
    const bool late =
        oldest != nullptr && now - oldest->committed_at >= kHoldWritesAfter;
    if (late && group->writes_held_position == LogPosition()) {
      group->writes_held_position = *oldest->unconfirmed_reply->position;
      group->writes_held_primary = oldest->database;
      group->writes_held_since = now;
      Event(events_, EventWeight::kState, "writes_held")
          .Add("group", group->name)
          .Add("primary", group->writes_held_primary)
          .Add("position", group->writes_held_position.index)
          .Add("term", group->writes_held_position.term)
          .Add("unconfirmed", group->unconfirmed_commits.size())
          .Add("waited", now - oldest->committed_at);
    }
  }
  if (group->writes_held_position == LogPosition() ||
      now < group->next_replica_poll_at)
    return;
  // Replicas that are gone do not answer any more: nothing else would show that
  // there is none left to wait for.
  SettleCommits(now, group);
  group->next_replica_poll_at = now + kHeldPollInterval;
  PollReplicas(now, group);
}

/// Whether a write would have to wait for replicas that receive nothing.
bool Proxy::Impl::AreWritesHeld(const Request& request) {
  const Group* group = GroupOf(request);
  return group != nullptr && group->writes_held_position != LogPosition();
}

/// Turns a write away before it runs: afterwards nothing could be promised.
void Proxy::Impl::RefuseHeldWrite(TimePoint now, Request* request,
                                  ErrorCode error) {
  RefuseRequest(now, request, error, kHeldRetryAfter, "not_replicated");
}

}  // namespace ryefold::core::session
