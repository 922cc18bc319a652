// Commits that the primary has acknowledged but that no replica is known to
// have received.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// First interval between status requests to replicas: several times the
/// network latency between failure domains, which a commit needs to arrive.
constexpr milliseconds kPollInterval{5};
constexpr uint32_t kMaxPollDoublings = 4;
/// Age of a commit from which all replicas are asked instead of the fastest:
/// about the time in which a busy replica answers.
constexpr milliseconds kPollAllAfter{20};
/// Age of an unconfirmed commit from which new writes are refused. Twenty times
/// the usual confirmation time with busy replicas, and early enough to report
/// that the refused writes have not run.
constexpr milliseconds kHoldWritesAfter{400};
/// A status not received within this time is requested on another connection,
/// in case the first one no longer delivers data.
constexpr milliseconds kStatusTimeout{300};
/// Interval between status requests to replicas while writes are held.
constexpr milliseconds kHeldPollInterval{100};
/// Retry hint for held writes: replicas cut off from their primary
/// for more than 1.5 s get a new one.
constexpr milliseconds kHeldRetryAfter{500};

}  // namespace

/// Returns the databases that can receive a commit of `primary`. Draining
/// databases count only if there are no others: they stop within seconds.
std::vector<std::string> Proxy::Impl::ReplicasOf(
    const Group& group, const std::string& primary) const {
  std::vector<std::string> active_ids;
  std::vector<std::string> draining_ids;
  for (const std::string& id : group.databases) {
    // An unlisted database counts until it is removed: list entries expire
    // while the store is unavailable.
    const DatabaseState& database = databases_.at(id);
    if (id == primary) continue;
    (database.info.draining ? draining_ids : active_ids).push_back(id);
  }
  return active_ids.empty() ? draining_ids : active_ids;
}

bool Proxy::Impl::AwaitsPromotion(TimePoint now, const Group& group) {
  return !group.expected_primary.empty() && now < group.expected_until;
}

/// Returns whether a primary that committed under `term` has been replaced or
/// is about to be.
bool Proxy::Impl::IsReplaced(TimePoint now, const Group& group,
                             const std::string& primary, uint64_t term) {
  if (group.term > term || group.deposed.count(primary) > 0) return true;
  return !SuccessorOf(now, group, primary).empty();
}

/// Returns the database that replaces `primary`, or "" if none is known.
std::string Proxy::Impl::SuccessorOf(TimePoint now, const Group& group,
                                     const std::string& primary) {
  const std::string& next =
      AwaitsPromotion(now, group) ? group.expected_primary : group.primary;
  return next == primary ? "" : next;
}

/// Returns whether a commit of `committed_by` may be acknowledged: it outlives
/// the loss of its primary, and no read can be proved under an older term from
/// now on. `replaced` tells whether that primary has been replaced since or is
/// about to be.
bool Proxy::Impl::IsConfirmed(TimePoint now, const Group& group,
                              const LogPosition& position,
                              const std::string& committed_by,
                              bool replaced) const {
  const std::vector<std::string> replicas = ReplicasOf(group, committed_by);
  // Readers do not count a draining database once it has left the list.
  const bool all_drain =
      !replicas.empty() && databases_.at(replicas.front()).info.draining;
  if (!ExcludesOlderTerms(position.term, EvidenceOfOthers(group, committed_by),
                          IsListCurrent(now) && !all_drain)) {
    return false;
  }
  if (group.limits.confirms_commits) return true;
  // No database can be promoted, so no commit can be discarded: the primary has
  // the only log and keeps it.
  if (replicas.empty()) return true;
  // A promotion discards commits that the new primary lacks, even if other
  // replicas have received them.
  const std::string successor = SuccessorOf(now, group, committed_by);
  std::vector<LogPosition> received;
  for (const std::string& id : replicas) {
    if (replaced && id != successor) continue;
    // An applied position has also been received, and ordinary replies report
    // it.
    const DatabaseState& database = databases_.at(id);
    received.push_back(
        std::max(database.status.received, database.applied_position));
  }
  return settings_.confirmation->IsSatisfied(position, received);
}

/// Handles a commit that the primary has acknowledged.
void Proxy::Impl::ConfirmCommit(TimePoint now, Request* request, Reply reply) {
  Group* group = GroupOf(*request);
  if (group != nullptr && reply.position.has_value()) {
    RecordLeader(group, reply.position->term, request->database);
  }
  if (group == nullptr || !reply.position.has_value() ||
      IsConfirmed(
          now, *group, *reply.position, request->database,
          IsReplaced(now, *group, request->database, reply.position->term))) {
    FinishRequest(now, request, std::move(reply));
    return;
  }
  request->committed_at = now;
  request->unconfirmed_reply = std::move(reply);
  group->unconfirmed_commits.push_back(request->id);
  PollReplicasAgain(now, request);
}

/// Polls with exponential backoff: a replica that lacks the commit after some
/// milliseconds stays behind for longer, and each request takes one of its
/// slots.
void Proxy::Impl::PollReplicasAgain(TimePoint now, Request* request) {
  const milliseconds delay =
      kPollInterval *
      (1 << std::min(request->replica_polls, kMaxPollDoublings));
  ++request->replica_polls;
  SetTimer(request, std::min(request->timeout_at, now + delay));
  PollReplicas(now, GroupOf(*request));
}

/// Requests the status of the database unless a request is pending. If no
/// connection is idle, the request waits for the next returned connection, or
/// for a new one, which may exceed the limit by one if `beyond_limit`.
void Proxy::Impl::RequestStatus(TimePoint now, DatabaseState* database,
                                bool beyond_limit) {
  const bool pending = database->status_pending &&
                       now - database->last_status_request_at < kStatusTimeout;
  database->status_deferred = false;
  if (pending) return;
  const std::optional<ConnectionId> idle = database->pool.newest_idle();
  if (!idle.has_value()) {
    database->status_deferred = true;
    const uint32_t limit =
        ConnectionLimit(now, *database) + (beyond_limit ? 1 : 0);
    const bool below_limit = database->pool.size() < limit;
    const bool opening = database->pool.opening() > 0;
    if (!opening && below_limit && now >= database->open_not_before) {
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
  // A status request waits for a slot, whereas a live database answers a begin
  // at once under any load.
  SendInternalCalls(
      now, connection,
      {BackendCall{CallKind::kBegin, {}, {}, {}, {}, false},
       BackendCall{CallKind::kRollback, {}, {}, {}, {}, false}, BackendCall{}},
      {PendingCallKind::kProof, PendingCallKind::kProxyRollback,
       PendingCallKind::kStatus});
}

/// Requests the received positions of replicas: of the fastest ones first, of
/// all after `kPollAllAfter`.
void Proxy::Impl::PollReplicas(TimePoint now, Group* group) {
  const bool confirming = !group->unconfirmed_commits.empty() ||
                          group->writes_held_position != LogPosition();
  if (!confirming && !NeedsProof(*group)) return;
  if (confirming && !WillExcludeOlderTerms(now, *group)) {
    SettleOlderTerms(now, group);
  }
  std::vector<std::string> replicas = ReplicasOf(*group, group->primary);
  const auto cost = [this, now](const std::string& id) {
    const DatabaseState& database = databases_.at(id);
    const bool same_domain =
        database.info.failure_domain == settings_.failure_domain;
    return std::make_pair(
        IsDatabaseSuspected(now, database),
        database.latency.mean() * (database.in_flight + (same_domain ? 1 : 2)));
  };
  std::sort(replicas.begin(), replicas.end(),
            [&cost](const std::string& a, const std::string& b) {
              return cost(a) < cost(b);
            });
  size_t remaining = WitnessCount(*group, group->databases.size() - 1);
  if (ShouldPollAllReplicas(now, *group)) remaining = replicas.size();
  for (const std::string& id : replicas) {
    DatabaseState* database = FindDatabase(id);
    RequestStatus(now, database, /*beyond_limit=*/confirming);
    if (!database->status_pending) continue;
    if (remaining <= 1) return;
    --remaining;
  }
}

/// Whether a commit or proof has waited long enough to ask all replicas.
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

/// Completes waiting commits after a replica reported its position or the
/// primary changed.
void Proxy::Impl::SettleCommits(TimePoint now, Group* group) {
  const std::vector<RequestId> waiting = group->unconfirmed_commits;
  for (const RequestId id : waiting) {
    Request* request = FindRequest(id);
    if (request == nullptr) {
      std::erase(group->unconfirmed_commits, id);
      continue;
    }
    const LogPosition position = *request->unconfirmed_reply->position;
    if (IsReplaced(now, *group, request->database, position.term)) {
      request->primary_replaced = true;
    }
    const std::string successor = SuccessorOf(now, *group, request->database);
    if (request->successor.empty()) request->successor = successor;
    // What the next successor reported before may have been discarded by the
    // first one.
    if (successor != request->successor) {
      FinishInDoubt(now, request, "primary replaced again");
      continue;
    }
    if (IsConfirmed(now, *group, position, request->database,
                    request->primary_replaced)) {
      FinishRequest(now, request, std::move(*request->unconfirmed_reply));
    } else if (group->term > position.term) {
      // The primary was replaced; whether its successor had received the commit
      // can no longer be determined.
      FinishInDoubt(now, request, "primary replaced");
    }
  }
  if (group->writes_held_position == LogPosition()) return;
  const bool resolved =
      group->term > group->writes_held_position.term ||
      IsConfirmed(now, *group, group->writes_held_position,
                  group->writes_held_primary,
                  IsReplaced(now, *group, group->writes_held_primary,
                             group->writes_held_position.term));
  if (!resolved) return;
  Event(events_, EventPriority::kState, "writes_resumed")
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

/// Holds new writes while a commit stays unconfirmed, since their outcome would
/// be unknown as well, and keeps polling replicas.
void Proxy::Impl::MaintainCommits(TimePoint now, Group* group) {
  if (!group->unconfirmed_commits.empty()) {
    const Request* oldest = FindRequest(group->unconfirmed_commits.front());
    const bool overdue =
        oldest != nullptr && now - oldest->committed_at >= kHoldWritesAfter;
    if (overdue && group->writes_held_position == LogPosition()) {
      group->writes_held_position = *oldest->unconfirmed_reply->position;
      group->writes_held_primary = oldest->database;
      group->writes_held_since = now;
      Event(events_, EventPriority::kState, "writes_held")
          .Add("group", group->name)
          .Add("primary", group->writes_held_primary)
          .Add("position", group->writes_held_position.index)
          .Add("term", group->writes_held_position.term)
          .Add("unconfirmed", group->unconfirmed_commits.size())
          .Add("older_terms", DescribeOlderTerms(*group))
          .Add("list_age", now - routes_confirmed_at_)
          .Add("waited", now - oldest->committed_at);
    }
  }
  if (group->writes_held_position == LogPosition() ||
      now < group->next_replica_poll_at) {
    return;
  }
  // Removed replicas send no replies, so only this check detects that no
  // replica is left to wait for.
  SettleCommits(now, group);
  group->next_replica_poll_at = now + kHeldPollInterval;
  PollReplicas(now, group);
  // A new primary ends the hold by the term that it reports.
  const bool replaced = group->primary != group->writes_held_primary;
  DatabaseState* primary = FindDatabase(group->primary);
  if (replaced && primary != nullptr) {
    RequestStatus(now, primary, /*beyond_limit=*/false);
  }
}

/// Whether writes are refused because replicas receive no commits.
bool Proxy::Impl::AreWritesHeld(const Request& request) {
  const Group* group = GroupOf(request);
  return group != nullptr && group->writes_held_position != LogPosition();
}

/// Refuses the write before it runs: its durability could not be guaranteed.
void Proxy::Impl::RefuseHeldWrite(TimePoint now, Request* request,
                                  ErrorCode error) {
  RefuseRequest(now, request, error,
                WithinPatience(now, *request, kHeldRetryAfter),
                "not_replicated");
}

}  // namespace ryefold::core::session
